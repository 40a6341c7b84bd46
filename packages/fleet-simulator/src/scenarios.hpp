// Named days of failure that tests and measurements share.
#pragma once
#include <algorithm>
#include <string>
#include <vector>

#include "emberdale/fleet_simulation.hpp"

namespace emberdale::scenarios {

struct Figure {
  std::string what;
  std::vector<std::int64_t> values;
  std::int64_t median() const {
    auto sorted = values;
    std::sort(sorted.begin(), sorted.end());
    return sorted.empty() ? -1 : sorted[sorted.size() / 2];
  }
  std::int64_t worst() const { return values.empty() ? -1 : *std::max_element(values.begin(), values.end()); }
  std::int64_t best() const { return values.empty() ? -1 : *std::min_element(values.begin(), values.end()); }
};

// A fleet that serves, warm and in peace. Example: auto fleet = serving_fleet(7);
inline std::unique_ptr<FleetSimulation> serving_fleet(std::uint64_t seed, SimulationShape shape = {}) {
  auto fleet = std::make_unique<FleetSimulation>(seed, shape);
  if (!fleet->found() || !fleet->declare())
    return nullptr;
  fleet->run(Duration{4000});
  return fleet;
}

// Virtual milliseconds until a map is published by a master other than `was` (or by anyone).
inline std::int64_t until_new_map(FleetSimulation& fleet, const std::string& was, std::int64_t limit = 30000) {
  std::int64_t begun = fleet.now();
  bool is_there = fleet.run_until(
      [&] {
        std::string master = fleet.master();
        return !master.empty() && master != was &&
               fleet.control(master)->map().version.term == fleet.control(master)->election().term();
      },
      Duration{limit});
  return is_there ? fleet.now() - begun : -1;
}

// All daemons of a zone, named by the first letter of their names, lose power.
inline void power_cut_zone(FleetSimulation& fleet, char zone) {
  for (const char* role : {"edge", "data", "core"})
    for (const auto& name : fleet.names(role))
      if (name[0] == zone)
        fleet.power_cut(name);
}

// Everything loses power at once; `has_new_addresses`: the edge daemons come back elsewhere.
inline std::int64_t total_loss(FleetSimulation& fleet, bool has_new_addresses) {
  std::vector<std::string> edges = fleet.names("edge");
  for (const char* role : {"edge", "data", "core"})
    for (const auto& name : fleet.names(role))
      fleet.power_cut(name);
  for (const auto& runner : fleet.runner_names())
    fleet.kill_runner(runner);
  fleet.run(Duration{5000});
  for (const auto& runner : fleet.runner_names())
    fleet.start_runner(runner);
  for (const char* role : {"core", "data"})
    for (const auto& name : fleet.names(role))
      fleet.start(name);
  for (const auto& name : edges) {
    if (has_new_addresses)
      fleet.add_edge(name.substr(0, 1));
    else
      fleet.start(name);
  }
  std::int64_t begun = fleet.now();
  fleet.reset_call_counters();
  fleet.run_until(
      [&] {
        return fleet.serving_daemons() == static_cast<std::int64_t>(fleet.names("data").size()) &&
               fleet.call_counters().served > 0;
      },
      Duration{30000});
  return fleet.now() - begun;
}

}  // namespace emberdale::scenarios
