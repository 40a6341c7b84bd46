#include "emberdale/placement_map.hpp"

#include <algorithm>
#include <set>

#include "emberdale/avro_codec.hpp"

namespace emberdale {

std::vector<std::string> rendezvous_rank(const std::string& key, std::vector<std::string> names) {
  std::sort(names.begin(), names.end(), [&](const std::string& a, const std::string& b) {
    auto weight_a = stable_hash(key + "\n" + a), weight_b = stable_hash(key + "\n" + b);
    return weight_a == weight_b ? a < b : weight_a > weight_b;
  });
  return names;
}

std::vector<WarmupGrant> split_allowance(const std::string& runner, std::int64_t allowance,
                                         const std::vector<std::string>& daemons) {
  std::vector<WarmupGrant> grants;
  if (daemons.empty() || allowance <= 0)
    return grants;
  auto ranked = rendezvous_rank(runner, daemons);
  auto count = static_cast<std::int64_t>(ranked.size());
  for (std::int64_t i = 0; i < count; ++i) {
    std::int64_t calls = allowance / count + (i < allowance % count ? 1 : 0);
    if (calls > 0)
      grants.push_back({Address{ranked[static_cast<std::size_t>(i)]}, calls});
  }
  return grants;
}

PlacementMap compute_map(const FleetState& state, const Configuration& configuration,
                         const std::map<RunnerName, RunnerStatus>& statuses, const std::vector<GatewayRow>& gateways,
                         const std::vector<GatewayRow>& edges, const MapVersion& version,
                         const WarmupShareFunction& share) {
  PlacementMap map;
  map.edges = edges;
  map.master = state.master;
  map.version = version;
  map.config_revision = state.config_revision;
  std::set<ZoneName> emptied;
  for (const auto& order : configuration.orders)
    if (order.is_evacuated)
      emptied.insert(order.zone);
  map.evacuated_zones.assign(emptied.begin(), emptied.end());
  for (const auto& resource : state.resources)
    if (resource.kind == plans_kind)
      map.plans.push_back({PlanName{resource.name}, resource.version, resource.body});
  for (const auto& gateway : gateways)
    if (emptied.count(gateway.zone) == 0)
      map.gateways.push_back(gateway);
  std::map<std::pair<PoolName, RegionName>, RegionRow> regions;
  for (const auto& runner : configuration.runners) {
    RunnerRow row;
    row.name = runner.name;
    row.http_address = runner.http;
    row.pool = runner.pool;
    row.zone = runner.zone;
    row.region = runner.region;
    row.seal_key = runner.seal_key;
    auto status = statuses.find(runner.name);
    bool is_known = status != statuses.end();
    if (is_known) {
      row.incarnation = status->second.incarnation;
      row.capacity = status->second.capacity;
      row.load = status->second.load;
      row.allowance = status->second.allowance;
    }
    if (runner.is_leaving)
      row.state = RunnerState::draining;
    else if (emptied.count(runner.zone) != 0)
      row.state = RunnerState::evacuated;
    else if (!is_known || !status->second.is_reachable)
      row.state = RunnerState::down;
    else
      row.state = status->second.is_warming_up ? RunnerState::warming_up : RunnerState::warm;
    if (row.state == RunnerState::warming_up) {
      // Daemons of the runner's own region share what it bears; without one, those of the others.
      std::vector<std::string> near, all;
      for (const auto& gateway : gateways) {
        all.push_back(gateway.daemon.text);
        if (gateway.region == runner.region)
          near.push_back(gateway.daemon.text);
      }
      row.warmup_grants =
          share ? share(row, near, all) : split_allowance(row.name.text, row.allowance, near.empty() ? all : near);
    }
    auto& region = regions[{runner.pool, runner.region}];
    region.pool = runner.pool;
    region.region = runner.region;
    if (row.state == RunnerState::warm)
      region.capacity += row.capacity;
    if (row.state == RunnerState::warming_up)
      region.capacity += row.allowance;
    if (row.state == RunnerState::warm || row.state == RunnerState::warming_up)
      region.load += row.load;
    map.runners.push_back(std::move(row));
  }
  for (auto& [where, region] : regions) {
    region.spills = region.capacity == 0 || region.load * 100 >= region.capacity * 75;
    map.regions.push_back(region);
  }
  return map;
}

MapChange compare_maps(const PlacementMap& before, const PlacementMap& after) {
  auto bare = [](PlacementMap map, bool has_load) {
    map.version = MapVersion{};
    map.routing_table.clear();  // traffic_of tells of it
    if (!has_load) {
      for (auto& runner : map.runners)
        runner.load = 0;
      for (auto& region : map.regions)
        region.load = 0;
    }
    return encode_message(Message{PlacementUpdate{std::move(map), true}});
  };
  if (bare(before, false) != bare(after, false))
    return MapChange::placement;
  return bare(before, true) == bare(after, true) ? MapChange::none : MapChange::load;
}

}  // namespace emberdale
