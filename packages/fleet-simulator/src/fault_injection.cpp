// A random day by one seed.
#include <algorithm>
#include <sstream>

#include "emberdale/fleet_simulation.hpp"

namespace emberdale {
namespace {

const char* const plan_variants[] = {
    R"({"service":"s","match":{"path":"/check"},"pool":"models","spill":{"allowed":true},"horizon_ms":5000,)"
    R"("prefix_bytes":64})",
    R"({"service":"s","match":{"path":"/check"},"pool":"models","spill":{"allowed":true,"limit_percent":20},)"
    R"("horizon_ms":4000,"prefix_bytes":32})",
    R"({"service":"s","match":{"path":"/check"},"pool":"models","horizon_ms":4500,"prefix_bytes":16})"};

}  // namespace

FaultInjectionResult run_fault_injection(std::uint64_t seed, Duration length, bool is_grant_check_off) {
  FaultInjectionResult result;
  std::ostringstream story;
  SimulationShape shape;
  shape.calls_per_second = 30;
  FleetSimulation fleet(seed, shape);
  fleet.is_grant_check_off = is_grant_check_off;
  auto fail = [&](const std::string& rule) {
    result.breaks.push_back({fleet.now(), rule, fleet.why_silent()});
    result.story = story.str();
  };
  if (!fleet.found() || !fleet.declare()) {
    fail("the fleet did not come up");
    return result;
  }
  RandomGenerator random(seed * 77 + 5);
  std::int64_t end = fleet.now() + length.value;
  std::vector<std::shared_ptr<FleetSimulation::EditOutcome>> edits;
  std::vector<std::string> edges = fleet.names("edge"), datas = fleet.names("data"), cores = fleet.names("core"),
                           runners = fleet.runner_names();
  auto pick = [&](const std::vector<std::string>& list) {
    return list[static_cast<std::size_t>(random.below(static_cast<std::int64_t>(list.size())))];
  };
  std::string wiped;  // at most one core machine is lost with its disk at a time
  while (fleet.now() < end) {
    std::int64_t hold = 300 + random.below(3500);
    auto note = [&](const std::string& what) {
      story << fleet.now() << " " << what << " for " << hold << "\n";
    };
    auto kill_for = [&](const std::string& name, bool is_power) {
      note((is_power ? "power cut " : "kill ") + name);
      if (is_power)
        fleet.power_cut(name);
      else
        fleet.kill(name);
      fleet.later(hold, [&fleet, name] { fleet.start(name); });
    };
    switch (random.below(17)) {
      case 0:
        kill_for(pick(edges), false);
        break;
      case 1:
        kill_for(pick(datas), false);
        break;
      case 2:
        kill_for(pick(cores), random.chance(0.5));
        break;
      case 3: {
        std::string master = fleet.master();
        if (!master.empty())
          kill_for(master, false);
        break;
      }
      case 4: {
        std::string name = random.chance(0.4) ? fleet.master() : pick(random.chance(0.5) ? edges : datas);
        if (name.empty())
          break;
        note("freeze " + name);
        fleet.freeze(name);
        fleet.later(hold, [&fleet, name] { fleet.thaw(name); });
        break;
      }
      case 5: {
        std::string name = random.chance(0.3) ? fleet.master()
                                              : pick(random.chance(0.4)   ? cores
                                                     : random.chance(0.5) ? edges
                                                                          : datas);
        if (name.empty())
          break;
        note("isolate " + name);
        fleet.isolate(name);
        fleet.later(hold, [&fleet] { fleet.heal(); });
        break;
      }
      case 6: {
        note("one-way cuts");
        for (int i = 0; i < 6; ++i)
          fleet.cut(pick(random.chance(0.5) ? edges : cores), pick(random.chance(0.5) ? edges : datas));
        fleet.later(hold, [&fleet] { fleet.heal(); });
        break;
      }
      case 7: {  // one zone cut off from the others
        std::string zone = pick({"a", "b", "c"});
        note("cut off zone " + zone);
        for (const auto& list : {edges, datas, cores})
          for (const auto& one : list)
            for (const auto& others : {edges, datas, cores})
              for (const auto& other : others)
                if ((one.substr(0, 1) == zone) != (other.substr(0, 1) == zone))
                  fleet.cut(one, other);
        fleet.later(hold, [&fleet] { fleet.heal(); });
        break;
      }
      case 8: {
        std::string core = pick(cores);
        auto disk = static_cast<FleetSimulation::Disk>(1 + random.below(4));
        note("disk " + std::to_string(static_cast<int>(disk)) + " at " + core);
        fleet.set_disk(core, disk);
        fleet.later(hold, [&fleet, core] {
          fleet.set_disk(core, FleetSimulation::Disk::good);
          if (!fleet.is_running(core))
            fleet.start(core);
        });
        break;
      }
      case 9: {
        if (!wiped.empty() ||
            std::any_of(cores.begin(), cores.end(), [&](const auto& core) { return !fleet.is_running(core); }))
          break;
        // One machine's disk may be lost; the next only after the set is whole again.
        wiped = pick(cores);
        note("wipe " + wiped);
        fleet.power_cut(wiped);
        fleet.wipe(wiped);
        fleet.later(hold, [&fleet, wiped] { fleet.start(wiped); });
        break;
      }
      case 10: {
        std::string runner = pick(runners);
        note("runner back cold " + runner);
        fleet.kill_runner(runner);
        fleet.later(hold / 3, [&fleet, runner] { fleet.start_runner(runner); });
        break;
      }
      case 11: {
        std::string runner = pick(runners);
        bool is_leaving = random.chance(0.5);
        note(runner + (is_leaving ? " leaving" : " staying"));
        edits.push_back(fleet.edit(pick(edges), "patch", runners_kind, runner,
                                   is_leaving ? R"({"leaving":true})" : R"({"leaving":false})"));
        break;
      }
      case 12: {
        std::string zone = pick({"a", "b", "c"});
        bool is_evacuated = random.chance(0.4);
        note("zone " + zone + (is_evacuated ? " emptied" : " serving"));
        edits.push_back(fleet.edit(pick(cores), "put", orders_kind, zone,
                                   is_evacuated ? R"({"state":"emptied"})" : R"({"state":"serving"})"));
        break;
      }
      case 13:
      case 14:
      case 15: {  // two operators at once, on the version both have seen
        std::string one = pick(edges), other = pick(edges);
        std::int64_t version = 1;
        if (auto* control = fleet.control(one))
          for (const auto& resource : control->proposer().state().resources)
            if (resource.kind == plans_kind && resource.name == "check")
              version = resource.version;
        note("rival edits at version " + std::to_string(version));
        edits.push_back(fleet.edit(one, "put", plans_kind, "check", plan_variants[random.below(3)], version));
        edits.push_back(fleet.edit(other, "put", plans_kind, "check", plan_variants[random.below(3)], version));
        break;
      }
      case 16:
        note("messages lost");
        fleet.set_loss(0.15);
        fleet.later(hold, [&fleet] { fleet.set_loss(0); });
        break;
    }
    fleet.run(Duration{100 + random.below(1800)});
    if (!wiped.empty() && fleet.is_running(wiped) && fleet.control(wiped) != nullptr) {
      // Whole again once the register names the new store.
      const auto* acceptor = fleet.control(wiped)->acceptor();
      for (const auto& entry : fleet.control(wiped)->proposer().state().acceptors)
        if (acceptor != nullptr && entry.store == acceptor->store() && !acceptor->is_blank()) {
          wiped.clear();
          break;
        }
    }
  }
  // Peace: everything comes back, and the fleet must serve and take edits again.
  story << fleet.now() << " peace\n";
  fleet.run(Duration{4000});
  fleet.heal();
  fleet.set_loss(0);
  for (const auto& core : cores)
    fleet.set_disk(core, FleetSimulation::Disk::good);
  for (const auto& list : {edges, datas, cores})
    for (const auto& name : list) {
      fleet.thaw(name);
      fleet.start(name);
    }
  for (const auto& runner : runners)
    fleet.start_runner(runner);
  bool is_serving = fleet.run_until(
      [&] { return !fleet.master().empty() && fleet.serving_daemons() == static_cast<std::int64_t>(datas.size()); },
      Duration{12000});
  if (!is_serving)
    fail("service did not return within 12 s of peace");
  for (const std::string zone : {"a", "b", "c"})
    if (!fleet.edit_until_done("put", orders_kind, zone, R"({"state":"serving"})", Duration{20000})) {
      fail("no edit was taken after peace");
      break;
    }
  for (const auto& runner : runners)
    fleet.edit_until_done("patch", runners_kind, runner, R"({"leaving":false})", Duration{20000});
  fleet.run(Duration{4000});
  fleet.reset_tally();
  fleet.run(Duration{3000});
  result.tally = fleet.tally();
  if (result.tally.served * 10 < result.tally.asked * 8)
    fail("calls are not served after peace: " + std::to_string(result.tally.served) + " of " +
         std::to_string(result.tally.asked));
  for (const auto& edit : edits) {
    if (edit->code == 200 || edit->code == 201)
      ++result.acked;
    else if (edit->code == 504 || !edit->is_over)
      ++result.unknown;
    else
      ++result.refused;
  }
  for (const auto& broken : fleet.breaks())
    result.breaks.push_back(broken);
  auto figures = fleet.figures();
  double allowed = 0.2 * static_cast<double>(figures.sends) + 60;
  if (static_cast<double>(figures.retries) > allowed)
    result.breaks.push_back(
        {fleet.now(), "too many retries", std::to_string(figures.retries) + " of " + std::to_string(figures.sends)});
  story << "acked " << result.acked << " refused " << result.refused << " unknown " << result.unknown
        << " worst old plan " << figures.worst_old_plan_ms << " worst leaving " << figures.worst_leaving_ms
        << " cold over " << figures.warmup_peak_over << " retries " << figures.retries << " of " << figures.sends
        << "\n";
  result.story = story.str();
  return result;
}

}  // namespace emberdale
