// The placement map: which runner takes which requests, as the master computes it from the configuration in the
// register and the statuses of the runners. Pure functions, without I/O, clock or threads.
#pragma once
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "emberdale/messages.hpp"
#include "emberdale/serving_plans.hpp"

namespace emberdale {

// Rendezvous hashing (highest random weight): ranks names for a key so that all daemons find the same order, and the
// loss of a name only moves the keys that it was first for. The first name is the owner of the key.
// Example: rendezvous_rank("pool:m", {"b", "a"}).front()
std::vector<std::string> rendezvous_rank(const std::string& key, std::vector<std::string> names);

// Divides the allowance of a runner that is warming up among data daemons: `local` are those of its own region, `all`
// those of every region.
using WarmupGrantFunction = std::function<std::vector<WarmupGrant>(
    const RunnerRow&, const std::vector<std::string>& local, const std::vector<std::string>& all)>;

// Computes the map of one version. The routing table is left out: the caller adds its rows.
//  statuses   of the runners, from health probes; a runner without one counts as down
//  gateways   data daemons that were heard lately
//  edges      control daemons that follow the master
//  share      divides the allowance of runners that are warming up; split_allowance() among the daemons of the
//             runner's region, or of all regions if it has none, if this is null
PlacementMap compute_map(const FleetState& state, const Configuration& configuration,
                         const std::map<RunnerName, RunnerStatus>& statuses, const std::vector<GatewayRow>& gateways,
                         const std::vector<GatewayRow>& edges, const MapVersion& version,
                         const WarmupGrantFunction& share = nullptr);

// Divides an allowance (requests a second) evenly among daemons; the sum of the grants is the allowance. The remainder
// goes to the daemons that rank first for the runner.
// Example: split_allowance("r1", 2, {"d1", "d2", "d3"}) gives two daemons one request each.
std::vector<WarmupGrant> split_allowance(const std::string& runner, std::int64_t allowance,
                                         const std::vector<std::string>& daemons);

// How much two maps differ.
enum class MapChange {
  none,
  load,      // only loads of runners and regions
  placement  // anything else
};

// Compares two maps by all but their versions and routing tables; a change of the routing table shows in
// PlacementMap::routing_table_revision.
MapChange compare_maps(const PlacementMap& before, const PlacementMap& after);

}  // namespace emberdale
