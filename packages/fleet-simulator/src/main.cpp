// emberdale-fleet-simulator: seeded scenarios of failure under virtual time; any seed can be run again.
#include <docopt/docopt.h>

#include <iostream>
#include <optional>
#include <sstream>

#include "failover_measurements.hpp"
#include "scale_runs.hpp"
#include "scenario_reports.hpp"

namespace emberdale {
namespace {

constexpr const char* program_version = "emberdale-fleet-simulator 0.1";
constexpr int usage_error = 2;
constexpr double small_fleet_calls_per_second = 30;

const char usage[] =
    R"(emberdale-fleet-simulator: seeded scenarios of failure, with the invariants checked at every step.

Usage:
  emberdale-fleet-simulator [options]
  emberdale-fleet-simulator (scenarios | days) [options]
  emberdale-fleet-simulator faults [options]
  emberdale-fleet-simulator measure [options]
  emberdale-fleet-simulator scale [options]
  emberdale-fleet-simulator (loopback | hollow) [options]

scenarios: harder scenarios, with every fault of the brief, alone and together, and one last fault; it
prints how often each fault was injected and had an effect (days: the same). faults: the same with each
fault alone, five seconds of every ten, and the calls it cost. measure: times and counts of named failures over )"
    R"(the seeds; scale: control work as the fleet grows.
loopback (hollow: the same): edge and data daemons over real connections, all in this process, that join a started
fleet.

Options:
  --first N     First seed [default: 1].
  --count N     How many seeds [default: 50].
  --seconds N   Virtual seconds of failure in each [default: 30].
  --threads N   Seeds run at once [default: 6].
  --shape NAME  Fleet of the scenarios: small, caspian or kathmandu [default: small].
  --dimension NAME  Of scale: machines, daemons, data, runners, idle-runners, zones, bare-zones, plans,
                changes, changes-in-a-fleet, enrolment or faults (docs/CAPACITY.md) [default: machines].
  --sizes LIST  Of scale: these sizes in place of the dimension's own, e.g. 12,48.
  --fleet FILE  Of loopback: the fleet.json of a running emberdale-fleet-starter [default: fleet-run/fleet.json].
  --edges N     Of loopback: how many edge daemons [default: 30].
  --gateways N  Of loopback: how many data daemons [default: 30].
  --digest      Of scenarios: print only a line `shape seed digest` for each seed, a SHA-256 over all that happened.
  --event-log   Print what failed when, for every seed.
  --story       The same as --event-log.
  -h --help     Show this.
)";

using Arguments = std::map<std::string, docopt::value>;

SeedRange seeds_of(Arguments& arguments) {
  return {static_cast<std::uint64_t>(arguments["--first"].asLong()),
          static_cast<std::uint64_t>(arguments["--count"].asLong()), arguments["--threads"].asLong()};
}

Duration length_of(Arguments& arguments) { return Duration{arguments["--seconds"].asLong() * 1000}; }

std::optional<ScenarioPlan> plan_of(Arguments& arguments) {
  std::string shape = arguments["--shape"].asString();
  ScenarioPlan plan;
  plan.length = length_of(arguments);
  if (shape == "small")
    plan.shape.calls_per_second = small_fleet_calls_per_second;
  else if (shape == "caspian")
    plan.shape = caspian_shape();
  else if (shape == "kathmandu")
    plan.shape = kathmandu_shape();
  else
    return std::nullopt;
  return plan;
}

std::vector<int> sizes_of(Arguments& arguments) {
  std::vector<int> sizes;
  std::istringstream list(arguments["--sizes"].isString() ? arguments["--sizes"].asString() : "");
  for (std::string size; std::getline(list, size, ',');)
    sizes.push_back(std::stoi(size));
  return sizes;
}

int run_scale_command(Arguments& arguments) {
  std::string dimension = arguments["--dimension"].asString();
  std::vector<int> sizes = sizes_of(arguments);
  if (dimension == "machines")
    return measure_message_load();
  return scale::run_scale(dimension, sizes, length_of(arguments));
}

int run_loopback_command(Arguments& arguments) {
  return scale::run_loopback_daemons(arguments["--fleet"].asString(), static_cast<int>(arguments["--edges"].asLong()),
                                     static_cast<int>(arguments["--gateways"].asLong()), length_of(arguments));
}

int run_scenario_command(Arguments& arguments) {
  auto plan = plan_of(arguments);
  if (!plan) {
    std::cerr << "emberdale-fleet-simulator: there is no shape '" << arguments["--shape"].asString() << "'\n";
    return usage_error;
  }
  SeedRange seeds = seeds_of(arguments);
  bool is_random_scenario = arguments["scenarios"].asBool() || arguments["days"].asBool();
  if (is_random_scenario && arguments["--digest"].asBool())
    return print_digests(seeds, arguments["--shape"].asString(), *plan);
  if (arguments["faults"].asBool())
    return report_fault_costs(seeds, *plan);
  return report_scenarios(seeds, is_random_scenario ? ScenarioKind::random_scenario : ScenarioKind::fault_injection,
                          *plan, arguments["--event-log"].asBool() || arguments["--story"].asBool());
}

int run(int argc, char** argv) {
  Arguments arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true, program_version);
  if (arguments["measure"].asBool())
    return measure_failovers(seeds_of(arguments));
  if (arguments["loopback"].asBool() || arguments["hollow"].asBool())
    return run_loopback_command(arguments);
  if (arguments["scale"].asBool())
    return run_scale_command(arguments);
  return run_scenario_command(arguments);
}

}  // namespace
}  // namespace emberdale

int main(int argc, char** argv) { return emberdale::run(argc, argv); }
