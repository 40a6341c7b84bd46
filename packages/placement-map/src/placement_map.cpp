#include "emberdale/placement_map.hpp"

#include <algorithm>
#include <set>

#include "emberdale/avro_codec.hpp"

namespace emberdale {

namespace {

// From this load on, in percent of a region's capacity, requests may go to other regions.
constexpr std::int64_t spill_load_percent = 75;

std::set<ZoneName> find_evacuated_zones(const Configuration& configuration) {
  std::set<ZoneName> zones;
  for (const auto& order : configuration.orders)
    if (order.is_evacuated)
      zones.insert(order.zone);
  return zones;
}

std::vector<PlanRow> make_plan_rows(const FleetState& state) {
  std::vector<PlanRow> rows;
  for (const auto& resource : state.resources)
    if (resource.kind == plans_kind)
      rows.push_back({PlanName{resource.name}, resource.version, resource.body});
  return rows;
}

std::vector<GatewayRow> remove_gateways_of(const std::set<ZoneName>& zones, const std::vector<GatewayRow>& gateways) {
  std::vector<GatewayRow> rest;
  for (const auto& gateway : gateways)
    if (zones.count(gateway.zone) == 0)
      rest.push_back(gateway);
  return rest;
}

// `status` is null for a runner that has not been probed.
RunnerState state_in_map(const RunnerEntry& runner, const RunnerStatus* status, bool is_evacuated) {
  if (runner.is_leaving)
    return RunnerState::draining;
  if (is_evacuated)
    return RunnerState::evacuated;
  if (status == nullptr || !status->is_reachable)
    return RunnerState::down;
  return status->is_warming_up ? RunnerState::warming_up : RunnerState::warm;
}

RunnerRow make_runner_row(const RunnerEntry& runner, const RunnerStatus* status, bool is_evacuated) {
  RunnerRow row;
  row.name = runner.name;
  row.http_address = runner.http;
  row.pool = runner.pool;
  row.zone = runner.zone;
  row.region = runner.region;
  row.seal_key = runner.seal_key;
  row.state = state_in_map(runner, status, is_evacuated);
  if (status != nullptr) {
    row.incarnation = status->incarnation;
    row.capacity = status->capacity;
    row.load = status->load;
    row.allowance = status->allowance;
  }
  return row;
}

std::vector<WarmupGrant> make_warmup_grants(const RunnerRow& row, const std::vector<GatewayRow>& gateways,
                                            const WarmupGrantFunction& share) {
  std::vector<std::string> local;
  std::vector<std::string> all;
  for (const auto& gateway : gateways) {
    all.push_back(gateway.daemon.text);
    if (gateway.region == row.region)
      local.push_back(gateway.daemon.text);
  }
  if (share)
    return share(row, local, all);
  return split_allowance(row.name.text, row.allowance, local.empty() ? all : local);
}

void add_to_region(const RunnerRow& row, RegionRow& region) {
  region.pool = row.pool;
  region.region = row.region;
  bool is_warm = row.state == RunnerState::warm;
  bool is_warming_up = row.state == RunnerState::warming_up;
  if (is_warm)
    region.capacity += row.capacity;
  if (is_warming_up)
    region.capacity += row.allowance;
  if (is_warm || is_warming_up)
    region.load += row.load;
}

bool should_spill(const RegionRow& region) {
  return region.capacity == 0 || region.load * 100 >= region.capacity * spill_load_percent;
}

std::vector<RegionRow> make_region_rows(const std::vector<RunnerRow>& runners) {
  std::map<PoolName, std::map<RegionName, RegionRow>> regions_by_pool;
  for (const auto& row : runners)
    add_to_region(row, regions_by_pool[row.pool][row.region]);
  std::vector<RegionRow> rows;
  for (auto& [pool, regions] : regions_by_pool)
    for (auto& [name, region] : regions) {
      region.spills = should_spill(region);
      rows.push_back(region);
    }
  return rows;
}

// The bytes by which two maps are compared.
std::string encode_for_comparison(PlacementMap map, bool has_load) {
  map.version = MapVersion{};
  map.routing_table.clear();
  if (!has_load) {
    for (auto& runner : map.runners)
      runner.load = 0;
    for (auto& region : map.regions)
      region.load = 0;
  }
  return encode_message(Message{PlacementUpdate{std::move(map), true}});
}

}  // namespace

std::vector<std::string> rendezvous_rank(const std::string& key, std::vector<std::string> names) {
  std::sort(names.begin(), names.end(), [&](const std::string& left, const std::string& right) {
    std::uint64_t left_weight = stable_hash(key + "\n" + left);
    std::uint64_t right_weight = stable_hash(key + "\n" + right);
    return left_weight == right_weight ? left < right : left_weight > right_weight;
  });
  return names;
}

std::vector<WarmupGrant> split_allowance(const std::string& runner, std::int64_t allowance,
                                         const std::vector<std::string>& daemons) {
  std::vector<WarmupGrant> grants;
  if (daemons.empty() || allowance <= 0)
    return grants;
  std::vector<std::string> ranked = rendezvous_rank(runner, daemons);
  auto count = static_cast<std::int64_t>(ranked.size());
  std::int64_t remainder = allowance % count;
  for (const auto& daemon : ranked) {
    std::int64_t requests = allowance / count + (remainder > 0 ? 1 : 0);
    --remainder;
    if (requests > 0)
      grants.push_back({Address{daemon}, requests});
  }
  return grants;
}

PlacementMap compute_map(const FleetState& state, const Configuration& configuration,
                         const std::map<RunnerName, RunnerStatus>& statuses, const std::vector<GatewayRow>& gateways,
                         const std::vector<GatewayRow>& edges, const MapVersion& version,
                         const WarmupGrantFunction& share) {
  std::set<ZoneName> evacuated_zones = find_evacuated_zones(configuration);
  PlacementMap map;
  map.version = version;
  map.config_revision = state.config_revision;
  map.master = state.master;
  map.edges = edges;
  map.evacuated_zones.assign(evacuated_zones.begin(), evacuated_zones.end());
  map.plans = make_plan_rows(state);
  map.gateways = remove_gateways_of(evacuated_zones, gateways);
  for (const auto& runner : configuration.runners) {
    auto status = statuses.find(runner.name);
    RunnerRow row = make_runner_row(runner, status == statuses.end() ? nullptr : &status->second,
                                    evacuated_zones.count(runner.zone) != 0);
    if (row.state == RunnerState::warming_up)
      row.warmup_grants = make_warmup_grants(row, gateways, share);
    map.runners.push_back(std::move(row));
  }
  map.regions = make_region_rows(map.runners);
  return map;
}

MapChange compare_maps(const PlacementMap& before, const PlacementMap& after) {
  if (encode_for_comparison(before, false) != encode_for_comparison(after, false))
    return MapChange::placement;
  bool is_equal = encode_for_comparison(before, true) == encode_for_comparison(after, true);
  return is_equal ? MapChange::none : MapChange::load;
}

}  // namespace emberdale
