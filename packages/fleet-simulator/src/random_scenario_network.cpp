// Faults of the network: cuts, losses and delays.
#include <algorithm>

#include "random_scenario_run.hpp"

namespace emberdale {

void RandomScenario::isolate_one() {
  std::string name = random_.chance(0.3) ? fleet_.master() : pick(all_daemons());
  if (name.empty())
    return;
  log("isolate " + name);
  auto others = all_daemons();
  others.insert(others.end(), runners_.begin(), runners_.end());
  cut_until_end({name}, others);
}

void RandomScenario::cut_from_core() {
  std::string name = random_.chance(0.3) ? fleet_.master() : pick(random_.chance(0.5) ? edges_ : data_daemons_);
  if (name.empty())
    return;
  log("cut " + name + " from the core");
  cut_until_end({name}, cores_);
}

void RandomScenario::cut_from_edge() {
  std::string name = pick(random_.chance(0.5) ? cores_ : data_daemons_);
  log("cut " + name + " from the edge");
  cut_until_end({name}, edges_);
}

void RandomScenario::cut_from_runners() {
  std::string name = pick(data_daemons_);
  log("cut " + name + " from runners");
  std::vector<std::string> some;
  for (const auto& runner : runners_)
    if (random_.chance(0.5))
      some.push_back(runner);
  for (const auto& runner : some)
    fleet_.cut_both(name, runner);
  fleet_.later(fault_duration_, [this, name, some] {
    for (const auto& runner : some)
      fleet_.repair_both(name, runner);
  });
  count_effect(!some.empty());
}

void RandomScenario::cut_one_way() {
  std::vector<std::string> ones, others;
  for (int i = 0; i < 3; ++i) {
    ones.push_back(pick(random_.chance(0.5) ? edges_ : cores_));
    others.push_back(pick(all_daemons()));
  }
  cut_until_end(ones, others, true);
}

void RandomScenario::cut_zone() {
  std::string zone = pick_zone();
  log("cut off zone " + zone);
  std::vector<std::string> inside = daemons_of_zone(zone), outside;
  for (const auto& name : all_daemons())
    if (fleet_.zone(name) != zone)
      outside.push_back(name);
  cut_until_end(inside, outside, random_.chance(0.2));
}

void RandomScenario::split_core() {
  log("core split");
  cut_until_end({cores_[0]}, {cores_[1], cores_[2]}, random_.chance(0.3));
  if (random_.chance(0.4))
    cut_until_end({cores_[1]}, {cores_[2]});
}

void RandomScenario::cut_off_core() {
  log("core cut off");
  std::vector<std::string> edge_side = edges_;
  edge_side.insert(edge_side.end(), data_daemons_.begin(), data_daemons_.end());
  std::vector<std::string> some = cores_;
  if (random_.chance(0.4))
    some.pop_back();
  cut_until_end(some, edge_side);
}

void RandomScenario::lose_messages() {
  fleet_.network().loss = 0.05 + 0.01 * static_cast<double>(random_.below(20));
  end_and_count_effect([this] { return fleet_.network().lost(); }, [this] { fleet_.network().loss = 0; });
}

void RandomScenario::delay_messages() {
  fleet_.network().extra_delay = 20 + random_.below(300);
  end_and_count_effect([this] { return fleet_.network().delayed(); }, [this] { fleet_.network().extra_delay = 0; });
}

}  // namespace emberdale
