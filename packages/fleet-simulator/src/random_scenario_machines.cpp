// Faults of processes, machines, disks and clocks.
#include <algorithm>

#include "random_scenario_run.hpp"

namespace emberdale {

using Disk = FleetSimulation::Disk;

void RandomScenario::kill_edge() { take_down(pick(edges_), false, fault_duration_); }

void RandomScenario::kill_data() { take_down(pick(data_daemons_), false, fault_duration_); }

void RandomScenario::kill_core() { take_down(pick(cores_), random_.chance(0.5), fault_duration_); }

void RandomScenario::kill_master() { take_down(fleet_.master(), false, fault_duration_); }

void RandomScenario::kill_many() {
  auto list = all_daemons();
  for (std::int64_t i = 2 + random_.below(8); i > 0; --i)
    take_down(pick(list), random_.chance(0.5), fault_duration_ + random_.below(1500));
}

void RandomScenario::kill_runner_for_duration(const std::string& runner) {
  fleet_.kill_runner(runner);
  fleet_.later(fault_duration_, [this, runner] { fleet_.start_runner(runner); });
}

void RandomScenario::lose_zone() {
  std::string zone = pick_zone();
  log("zone " + zone + " loses power for " + std::to_string(fault_duration_));
  for (const auto& name : daemons_of_zone(zone))
    take_down(name, true, fault_duration_);
  for (const auto& runner : runners_)
    if (fleet_.runner(runner).zone == zone)
      kill_runner_for_duration(runner);
}

void RandomScenario::lose_region() {
  bool is_south = random_.chance(0.5);
  log(std::string("region ") + (is_south ? "south" : "north") + " loses power for " + std::to_string(fault_duration_));
  for (const std::string zone : {"a", "b", "c"})
    if ((zone == "c") == is_south)
      for (const auto& name : daemons_of_zone(zone))
        take_down(name, true, fault_duration_);
  for (const auto& runner : runners_)
    if ((fleet_.runner(runner).zone == "c") == is_south)
      kill_runner_for_duration(runner);
}

void RandomScenario::lose_all() {
  log("total loss for " + std::to_string(fault_duration_));
  for (const auto& name : all_daemons())
    take_down(name, true, fault_duration_ + random_.below(300));
}

void RandomScenario::freeze_one() {
  std::string name = random_.chance(0.35) ? fleet_.master() : pick(all_daemons());
  if (name.empty() || !fleet_.is_running(name))
    return;
  log("freeze " + name);
  fleet_.freeze(name);
  fleet_.later(fault_duration_, [this, name, fault = current_fault_] {
    result_.effects[fault] += fleet_.held_while_frozen(name) > 0;
    fleet_.thaw(name);
  });
}

void RandomScenario::fail_disk() {
  std::string core = pick(cores_);
  auto disk = static_cast<Disk>(1 + random_.below(4));
  log("disk " + std::to_string(static_cast<int>(disk)) + " at " + core);
  fleet_.set_disk(core, disk);
  end_and_count_effect([this] { return fleet_.disk_fault_effects(); },
                       [this, core] {
                         fleet_.set_disk(core, Disk::good);
                         restart(core);
                       });
}

void RandomScenario::wipe_core() {
  if (!may_lose_disk())
    return;
  lost_core_ = pick(cores_);
  log("wipe " + lost_core_);
  fleet_.power_cut(lost_core_);
  fleet_.wipe(lost_core_);
  count_effect();
  fleet_.later(fault_duration_, [this, name = lost_core_] { restart(name); });
}

void RandomScenario::move_core() {
  if (!may_lose_disk())
    return;
  std::string old = pick(cores_);
  // A daemon that starts anew knows three seeds; when all were replaced and nobody remembers it, only new
  // settings help (docs/operators.md). One seed stays.
  if (old.size() == 2 &&
      std::count_if(cores_.begin(), cores_.end(), [](const auto& core) { return core.size() == 2; }) == 1)
    return;
  std::string fresh = fleet_.add_core(fleet_.zone(old));
  lost_core_ = fresh;
  log("core machine " + old + " is lost for good; " + fresh + " comes instead");
  replaced_daemons_.push_back(old);
  fleet_.power_cut(old);
  *std::find(cores_.begin(), cores_.end(), old) = fresh;
  replace_until_done(old, fresh);
}

void RandomScenario::replace_until_done(const std::string& old, const std::string& fresh) {
  fleet_.later(700, [this, old, fresh] {
    if (is_admitted(fresh))
      return count_effect();
    replacement_ = fleet_.replace_core(pick(edges_), old, fresh);
    replace_until_done(old, fresh);
  });
}

void RandomScenario::move_edges() {
  for (std::int64_t i = 1 + random_.below(4); i > 0; --i) {
    std::size_t at = static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(edges_.size())));
    std::string old = edges_[at];
    replaced_daemons_.push_back(old);
    fleet_.kill(old);
    edges_[at] = fleet_.add_edge(fleet_.zone(old));
    log("edge daemon " + old + " is gone, " + edges_[at] + " comes instead");
    count_effect();
  }
}

void RandomScenario::step_clocks() {
  std::string name = pick(all_daemons());
  std::int64_t ms = 500 + random_.below(60000);
  log("clock of " + name + " leaps by " + std::to_string(ms));
  count_effect(fleet_.is_running(name));
  fleet_.leap_clock(name, ms);
  fleet_.leap_wall_clock(pick(all_daemons()), random_.below(7200) - 3600);
}

void RandomScenario::skew_clocks() {
  for (int i = 0; i < 4; ++i) {
    std::string name = pick(all_daemons());
    count_effect(fleet_.is_running(name));
    fleet_.set_clock_rate(name, 990 + random_.below(21));
  }
}

void RandomScenario::restart_in_turn() {
  const auto& list = random_.chance(0.5) ? data_daemons_ : edges_;
  log("rolling restart");
  for (std::size_t i = 0; i < list.size(); ++i)
    fleet_.later(static_cast<std::int64_t>(i) * 700, [this, name = list[i]] {
      if (std::find(replaced_daemons_.begin(), replaced_daemons_.end(), name) != replaced_daemons_.end())
        return;
      fleet_.stop(name);
      restart_when_down(name);
    });
  count_effect();
}

void RandomScenario::restart_when_down(const std::string& name) {
  fleet_.later(300, [this, name] { fleet_.is_up(name) ? restart_when_down(name) : restart(name); });
}

}  // namespace emberdale
