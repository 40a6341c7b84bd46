// The placement map as the master works it out, and who is home for which service in a zone.
#pragma once
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "emberdale/messages.hpp"
#include "emberdale/serving_plans.hpp"

namespace emberdale {

// Ranks names for a key so that every daemon finds the same order, and one name less moves only
// its own share. Example: rendezvous_rank("pool:m", {"b", "a"}).front() is the home.
std::vector<std::string> rendezvous_rank(const std::string& key, std::vector<std::string> names);

// Shares out what a cold runner bears among the daemons of its region, or among all.
using WarmupShareFunction = std::function<std::vector<WarmupGrant>(
    const RunnerRow&, const std::vector<std::string>& near, const std::vector<std::string>& all)>;

// Example: compute_map(state, configuration, statuses, gateways, live_edges, MapVersion{3, 1}).runners
PlacementMap compute_map(const FleetState& state, const Configuration& configuration,
                         const std::map<RunnerName, RunnerStatus>& statuses, const std::vector<GatewayRow>& gateways,
                         const std::vector<GatewayRow>& edges, const MapVersion& version,
                         const WarmupShareFunction& share = nullptr);

// Splits what a cold runner bears among the daemons that may send to it; the sum never exceeds it.
// Example: split_allowance("r1", 2, {"d1", "d2", "d3"}) gives two daemons one call each.
std::vector<WarmupGrant> split_allowance(const std::string& runner, std::int64_t allowance,
                                         const std::vector<std::string>& daemons);

// How much two maps differ, versions aside. Example: compare_maps(old, fresh) == MapChange::load
enum class MapChange { none, load, placement };
MapChange compare_maps(const PlacementMap& before, const PlacementMap& after);

}  // namespace emberdale
