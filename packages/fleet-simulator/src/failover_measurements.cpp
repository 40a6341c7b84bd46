#include "failover_measurements.hpp"

#include <algorithm>
#include <functional>
#include <iostream>

#include "parallel_runs.hpp"
#include "scenarios.hpp"

namespace emberdale {
namespace {

using scenarios::Figure;
using scenarios::power_cut_zone;
using scenarios::serving_fleet;
using scenarios::total_loss;
using scenarios::until_new_map;

constexpr const char* measured_plan = "check";
constexpr const char* measured_runner = "model-a1";
constexpr const char* deadline_patch = R"({"horizon_ms":4000})";
constexpr const char* leaving_patch = R"({"leaving":true})";
constexpr Duration fault_detection_head_start{30};  // the fault comes this long before the operator's request
constexpr std::int64_t not_acknowledged = -1;

using Measurement = std::function<std::int64_t(std::uint64_t seed)>;
using Fault = std::function<void(FleetSimulation&)>;

// What happens to the master, and perhaps to more of the fleet with it.
enum class MasterFault { none, killed, frozen, isolated, stopped_cleanly, zone_lost, frozen_while_core_is_split };

void split_core(FleetSimulation& fleet) {
  fleet.cut_both("a0", "b0");
  fleet.cut_both("a0", "c0");
  fleet.cut_both("b0", "c0");
}

void stop_cleanly(FleetSimulation& fleet, const std::string& master) {
  fleet.control(master)->stop(fleet.moment(master));
  fleet.run(Duration{30});
  fleet.kill(master);
}

void apply(MasterFault fault, FleetSimulation& fleet, const std::string& master) {
  switch (fault) {
    case MasterFault::none:
      break;
    case MasterFault::killed:
      fleet.kill(master);
      break;
    case MasterFault::frozen:
      fleet.freeze(master);
      break;
    case MasterFault::isolated:
      fleet.isolate(master);
      break;
    case MasterFault::stopped_cleanly:
      stop_cleanly(fleet, master);
      break;
    case MasterFault::zone_lost:
      power_cut_zone(fleet, master[0]);
      break;
    case MasterFault::frozen_while_core_is_split:
      fleet.freeze(master);
      split_core(fleet);
      break;
  }
}

void print(const Figure& figure) {
  std::cout << figure.what << ": median " << figure.median() << ", from " << figure.best() << " to " << figure.worst()
            << " (" << figure.values.size() << " seeds)" << std::endl;
}

// Takes one value from each seed, several seeds at once, and prints their spread.
void measure(const SeedRange& seeds, const std::string& what, const Measurement& measurement) {
  Figure figure{what, std::vector<std::int64_t>(seeds.count, -1)};
  run_in_parallel(seeds.count, seeds.threads,
                  [&](std::uint64_t index) { figure.values[index] = measurement(seeds.first + index); });
  print(figure);
}

// --- failover of the master -------------------------------------------------------------------------------------

void measure_new_master(const SeedRange& seeds, const std::string& what, MasterFault fault) {
  measure(seeds, what, [fault](std::uint64_t seed) {
    auto fleet = serving_fleet(seed);
    std::string previous = fleet->master();
    apply(fault, *fleet, previous);
    return until_new_map(*fleet, previous);
  });
}

std::int64_t time_to_restart_all_edges(std::uint64_t seed) {
  auto fleet = serving_fleet(seed);
  for (const auto& name : fleet->names("edge"))
    fleet->kill(name);
  fleet->run(Duration{500});
  for (const auto& name : fleet->names("edge"))
    fleet->start(name);
  return until_new_map(*fleet, "");
}

void measure_new_masters(const SeedRange& seeds) {
  std::cout << "-- from the fault to a map of a new master, ms\n";
  measure_new_master(seeds, "master killed", MasterFault::killed);
  measure_new_master(seeds, "master frozen", MasterFault::frozen);
  measure_new_master(seeds, "master isolated", MasterFault::isolated);
  measure_new_master(seeds, "master stopped cleanly", MasterFault::stopped_cleanly);
  measure(seeds, "all edge daemons restarted at once", time_to_restart_all_edges);
  measure_new_master(seeds, "zone of the master lost", MasterFault::zone_lost);
}

void measure_total_loss(const SeedRange& seeds) {
  std::cout << "-- total loss: from power to every data daemon serving, ms\n";
  measure(seeds, "at the same addresses", [](std::uint64_t seed) { return total_loss(*serving_fleet(seed), false); });
  measure(seeds, "edge daemons at new addresses",
          [](std::uint64_t seed) { return total_loss(*serving_fleet(seed), true); });
}

// --- calls refused for want of a grant --------------------------------------------------------------------------

void cut_core_from_edge_machines(FleetSimulation& fleet, std::size_t core_machines) {
  auto cores = fleet.names("core");
  cores.resize(core_machines);
  for (const auto& core : cores)
    for (const char* role : {"edge", "data"})
      for (const auto& name : fleet.names(role))
        fleet.cut_both(core, name);
}

void cut_off_zone(FleetSimulation& fleet, char zone) {
  for (const char* role : {"core", "edge", "data"})
    for (const auto& inside : fleet.names(role))
      for (const char* other_role : {"core", "edge", "data"})
        for (const auto& outside : fleet.names(other_role))
          if (inside[0] == zone && outside[0] != zone)
            fleet.cut_both(inside, outside);
}

void edit_each_second(FleetSimulation& fleet) {
  for (int i = 0; i < 9; ++i)
    fleet.later(std::int64_t{1000} * i,
                [&fleet] { fleet.edit(fleet.master(), "patch", plans_kind, measured_plan, deadline_patch); });
}

void measure_refusals(const SeedRange& seeds, const std::string& what, const Fault& fault) {
  measure(seeds, what, [&fault](std::uint64_t seed) {
    auto fleet = serving_fleet(seed);
    fault(*fleet);
    fleet->reset_call_counters();
    fleet->run(Duration{10000});
    const CallCounters& calls = fleet->call_counters();
    return calls.refused_no_grant * 1000 / std::max<std::int64_t>(1, calls.arrived - calls.no_daemon);
  });
}

void measure_refusals_by_fault(const SeedRange& seeds) {
  std::cout << "-- calls turned away for want of a grant, per thousand asked in 10 s of the fault\n";
  measure_refusals(seeds, "nothing fails", [](FleetSimulation&) {});
  measure_refusals(seeds, "master killed", [](FleetSimulation& fleet) { fleet.kill(fleet.master()); });
  measure_refusals(seeds, "one core machine lost", [](FleetSimulation& fleet) { fleet.power_cut("a0"); });
  measure_refusals(seeds, "one core machine isolated", [](FleetSimulation& fleet) { fleet.isolate("b0"); });
  measure_refusals(seeds, "a zone lost", [](FleetSimulation& fleet) { power_cut_zone(fleet, 'b'); });
  measure_refusals(seeds, "core split into single machines", split_core);
  measure_refusals(seeds, "core cut off from every edge machine",
                   [](FleetSimulation& fleet) { cut_core_from_edge_machines(fleet, fleet.names("core").size()); });
  measure_refusals(seeds, "an edit each second", edit_each_second);
}

void measure_refusals_in_partition(const SeedRange& seeds, const std::string& what, int seconds, const Fault& cut) {
  measure(seeds, what + " cut off for " + std::to_string(seconds) + " s", [&cut, seconds](std::uint64_t seed) {
    auto fleet = serving_fleet(seed);
    fleet->run(Duration{8000});
    cut(*fleet);
    fleet->reset_call_counters();
    fleet->run(Duration{std::int64_t{1000} * seconds});
    const CallCounters& calls = fleet->call_counters();
    return calls.refused_no_grant * 1000 / std::max<std::int64_t>(1, calls.arrived);
  });
}

void measure_refusals_by_partition(const SeedRange& seeds) {
  std::cout << "-- calls turned away for want of a grant in a cut, per thousand asked in it\n";
  for (int seconds : {5, 15, 30, 60}) {
    measure_refusals_in_partition(seeds, "the whole core", seconds,
                                  [](FleetSimulation& fleet) { cut_core_from_edge_machines(fleet, 3); });
    measure_refusals_in_partition(seeds, "two core machines", seconds,
                                  [](FleetSimulation& fleet) { cut_core_from_edge_machines(fleet, 2); });
    measure_refusals_in_partition(seeds, "one zone", seconds, [](FleetSimulation& fleet) { cut_off_zone(fleet, 'b'); });
  }
}

// --- edits ------------------------------------------------------------------------------------------------------

// The last edge daemon by name that is not the former master and, if so wanted, runs.
std::string other_edge(FleetSimulation& fleet, const std::string& former_master, bool has_to_run) {
  std::string chosen;
  for (const auto& name : fleet.names("edge"))
    if (name != former_master && (!has_to_run || fleet.is_running(name)))
      chosen = name;
  return chosen;
}

std::int64_t time_to_acknowledgement(std::uint64_t seed, MasterFault fault) {
  auto fleet = serving_fleet(seed);
  fleet->run(Duration{8000});
  std::string previous = fleet->master();
  apply(fault, *fleet, previous);
  fleet->run(fault_detection_head_start);
  std::int64_t requested_at = fleet->now();
  auto outcome = fleet->edit(other_edge(*fleet, previous, true), "patch", plans_kind, measured_plan, deadline_patch);
  fleet->run_until([&] { return outcome->is_finished; }, Duration{45000});
  return outcome->code == 200 ? fleet->now() - requested_at : not_acknowledged;
}

void measure_acknowledgements(const SeedRange& seeds) {
  std::cout << "-- from an edit, asked right after the fault, to its acknowledgement, ms\n";
  auto run = [&](const std::string& what, MasterFault fault) {
    measure(seeds, what, [fault](std::uint64_t seed) { return time_to_acknowledgement(seed, fault); });
  };
  run("master killed", MasterFault::killed);
  run("master frozen", MasterFault::frozen);
  run("master isolated", MasterFault::isolated);
  run("master its zone lost", MasterFault::zone_lost);
}

// When the runner was last sent new work, from the first request to mark it as leaving on. The request is repeated, as
// the platform would do, until it is acknowledged.
std::int64_t time_of_last_work(std::uint64_t seed, MasterFault fault) {
  auto fleet = serving_fleet(seed);
  std::string previous = fleet->master();
  apply(fault, *fleet, previous);
  fleet->run(fault_detection_head_start);
  std::string edge = other_edge(*fleet, previous, false);
  std::int64_t requested_at = fleet->now(), last = 0;
  auto outcome = fleet->edit(edge, "patch", runners_kind, measured_runner, leaving_patch);
  while (fleet->now() - requested_at < 15000) {
    std::int64_t before = fleet->invariant_checker().last_sent(measured_runner);
    fleet->run(Duration{25});
    if (fleet->invariant_checker().last_sent(measured_runner) != before)
      last = fleet->now() - requested_at;
    if (outcome->is_finished && outcome->code != 200)
      outcome = fleet->edit(edge, "patch", runners_kind, measured_runner, leaving_patch);
  }
  return last;
}

void measure_work_for_leaving_runner(const SeedRange& seeds) {
  std::cout
      << "-- new work for a runner, the longest after its mark was asked for, ms; the master fails 30 ms before\n";
  auto run = [&](const std::string& what, MasterFault fault) {
    measure(seeds, what, [fault](std::uint64_t seed) { return time_of_last_work(seed, fault); });
  };
  run("nothing", MasterFault::none);
  run("killed", MasterFault::killed);
  run("frozen", MasterFault::frozen);
  run("isolated", MasterFault::isolated);
  run("the core split, and the master frozen", MasterFault::frozen_while_core_is_split);
}

std::int64_t time_to_edit(std::uint64_t seed) {
  auto fleet = serving_fleet(seed);
  std::int64_t requested_at = fleet->now();
  fleet->edit_until_done("patch", plans_kind, measured_plan, deadline_patch, Duration{8000});
  return fleet->now() - requested_at;
}

// Cuts one data daemon off from the updates, edits, and runs the fleet on for `duration` after the acknowledgement.
FleetSimulation::Figures edit_while_data_daemon_is_cut_off(std::uint64_t seed, const char* kind, const char* name,
                                                           const char* patch, Duration duration) {
  auto fleet = serving_fleet(seed);
  for (const auto& edge : fleet->names("edge"))
    fleet->cut_both("a1-data", edge);
  fleet->edit_until_done("patch", kind, name, patch, Duration{8000});
  fleet->run(duration);
  return fleet->figures();
}

void measure_edits(const SeedRange& seeds) {
  std::cout << "-- from an edit to its acknowledgement, ms, and the oldest plan sent by after it\n";
  measure(seeds, "edit acknowledged", time_to_edit);
  measure(seeds, "worst old plan, a data daemon cut off from the news", [](std::uint64_t seed) {
    return edit_while_data_daemon_is_cut_off(seed, plans_kind, measured_plan, deadline_patch, Duration{5000})
        .worst_old_plan_ms;
  });
  measure(seeds, "worst new work for a leaving runner", [](std::uint64_t seed) {
    return edit_while_data_daemon_is_cut_off(seed, runners_kind, measured_runner, leaving_patch, Duration{7000})
        .worst_leaving_ms;
  });
}

// --- messages ---------------------------------------------------------------------------------------------------

// Messages to each daemon in ten virtual seconds of an idle fleet.
struct MessageLoad {
  std::int64_t all = 0, busiest = 0, busiest_core = 0, master = 0;
  std::int64_t daemons = 0;
};

MessageLoad measure_idle_messages(FleetSimulation& fleet) {
  auto before = fleet.figures();
  fleet.run(Duration{10000});
  auto after = fleet.figures();
  MessageLoad load;
  for (const auto& [name, number] : after.messages_to)
    load.busiest = std::max(load.busiest, number - before.messages_to[name]);
  for (const auto& core : fleet.names("core"))
    load.busiest_core = std::max(load.busiest_core, after.messages_to[core] - before.messages_to[core]);
  load.all = after.messages - before.messages;
  load.daemons = static_cast<std::int64_t>(after.messages_to.size());
  std::string master = fleet.master();
  load.master = after.messages_to[master] - before.messages_to[master];
  return load;
}

}  // namespace

int measure_failovers(const SeedRange& seeds) {
  measure_new_masters(seeds);
  measure_total_loss(seeds);
  measure_refusals_by_fault(seeds);
  measure_refusals_by_partition(seeds);
  measure_acknowledgements(seeds);
  measure_work_for_leaving_runner(seeds);
  measure_edits(seeds);
  return 0;
}

int measure_message_load() {
  std::cout << "machines  messages/s  per daemon/s  busiest daemon/s  at a core/s  at the master/s  rounds to found "
               "and declare\n";
  for (int edges : {3, 15, 63}) {
    SimulationShape shape;
    shape.edges_per_zone = edges;
    shape.calls_per_second = 0;
    FleetSimulation fleet(1, shape);
    int machines = (edges + 1) * 3;
    if (!fleet.found() || !fleet.declare()) {
      std::cout << machines << " did not come up\n" << fleet.why_silent();
      return 1;
    }
    auto rounds = fleet.figures().register_rounds;
    fleet.run(Duration{20000});
    MessageLoad load = measure_idle_messages(fleet);
    std::cout << machines << "  " << load.all / 10 << "  " << load.all / 10 / load.daemons << "  " << load.busiest / 10
              << "  " << load.busiest_core / 10 << "  " << load.master / 10 << "  " << rounds << std::endl;
  }
  return 0;
}

}  // namespace emberdale
