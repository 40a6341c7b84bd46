#include "emberdale/endpoint_selector.hpp"

#include <algorithm>
#include <utility>

#include "emberdale/placement_map.hpp"

namespace emberdale {
namespace {

constexpr std::int64_t long_prompt_tokens = 2000;  // calls with more delay the others at a runner
constexpr Duration short_call_window{10000};       // a region has short calls while the last is not older
constexpr std::int64_t default_slots = 8;          // of a runner that states no capacity
constexpr std::uint64_t long_prompt_salt = 0x10a9;

// Costs are milliseconds of expected delay.
constexpr double other_zone_cost = 2;
constexpr double queueing_cost = 300;  // per runner-full of calls beyond the slots
constexpr double short_among_long_cost = 40, long_among_short_cost = 250;
constexpr double model_load_cost = 0.2, model_crowding_cost = 2;  // per call; beyond a quarter of the slots
constexpr double slot_load_cost = 60;                             // of a runner that serves each slot by itself
constexpr double warming_cost = 40;
constexpr double read_cost_weight = 5;  // tokens that are read again are paid for as well
constexpr std::int64_t jitter_steps = 1000;
constexpr double jitter_steps_per_ms = 250;

std::uint64_t mix(std::uint64_t a, std::uint64_t b) { return RandomGenerator(a * 0x9E3779B97F4A7C15ull ^ b).next(); }

std::int64_t slots_of(const RunnerRow& row) { return row.capacity > 0 ? row.capacity : default_slots; }

// Beyond the slots a runner queues; more than half of its slots are not queued there.
bool is_full(std::int64_t load, std::int64_t slots) { return load >= slots + slots / 2 + 2; }

double queue_cost(std::int64_t load, std::int64_t slots) {
  if (load < slots)
    return 0;
  return queueing_cost * static_cast<double>(load - slots + 1) / static_cast<double>(slots);
}

// A model runner serves many calls at once at nearly the same rate; others serve each slot by itself.
double load_cost(std::int64_t load, std::int64_t slots, bool is_model_call) {
  if (!is_model_call)
    return slot_load_cost * static_cast<double>(load) / static_cast<double>(slots);
  double crowding = static_cast<double>(load) - static_cast<double>(slots) / 4;
  return model_load_cost * static_cast<double>(load) + model_crowding_cost * std::max(0.0, crowding);
}

const EndpointState& endpoint_of(const SelectionContext& context, const RunnerName& name) {
  static const EndpointState unused;
  auto entry = context.endpoints.find(name);
  return entry == context.endpoints.end() ? unused : entry->second;
}

// Only the owners count as having the shared parts cached: elsewhere they may have been evicted since.
std::int64_t uncached_tokens(const SelectionCall& call, bool is_primary, bool is_secondary) {
  std::int64_t shared = call.tokens_in - call.prompt.back().tokens;
  if (call.affinity_key == 0)
    return call.tokens_in;
  if (is_primary)
    return call.tokens_in - shared;
  return is_secondary ? call.tokens_in - shared / 5 : call.tokens_in;
}

}  // namespace

bool is_home_region(const std::vector<RegionName>& homes, const RegionName& region) {
  return homes.empty() || std::find(homes.begin(), homes.end(), region) != homes.end();
}

std::optional<RunnerName> EndpointSelector::select(const SelectionCall& call, const std::vector<RegionName>& homes,
                                                   const SelectionContext& context) {
  auto pool = context.view.pools.find(call.pool);
  if (pool == context.view.pools.end())
    return std::nullopt;
  bool is_long = call.tokens_in >= long_prompt_tokens;
  Query query{call, homes, context, pool->second, stable_hash(call.id.text), is_long, {}, {}};
  if (!query.is_long && call.tokens_in > 0)
    record_short_call(query);
  if (call.tokens_in > 0)
    query.for_long_prompts = runners_for_long_prompts(pool->second, context);
  if (call.affinity_key != 0)
    query.owners = affinity_owners(query);
  const RunnerRow* best = nullptr;
  double best_cost = 0;
  for (const auto& name : pool->second) {
    const RunnerRow& row = context.view.runners.at(name);
    const EndpointState& endpoint = endpoint_of(context, name);
    if (!is_eligible(query, row, endpoint))
      continue;
    double cost = cost_of(query, row, endpoint);
    if (best == nullptr || cost < best_cost) {
      best = &row;
      best_cost = cost;
    }
  }
  if (best == nullptr)
    return std::nullopt;
  return best->name;
}

// Short calls that are bound to no region come in all of them.
void EndpointSelector::record_short_call(const Query& query) {
  const PoolName& pool = query.call.pool;
  if (query.homes.empty())
    for (const auto& [where, region] : query.context.view.regions)
      if (where.first == pool)
        last_short_call_[{pool, where.second}] = query.context.now;
  for (const auto& home : query.homes)
    last_short_call_[{pool, home}] = query.context.now;
}

// A long prompt is read in large pieces, and every stream at that runner waits meanwhile. So long ones go to regions
// without short calls, if there are any; else part of each region's runners is reserved for them. Every daemon finds
// the same ones, by a ranking of the warm runners.
std::set<RunnerName> EndpointSelector::runners_for_long_prompts(const std::vector<RunnerName>& pool,
                                                                const SelectionContext& context) const {
  std::map<RegionName, std::vector<std::pair<std::uint64_t, RunnerName>>> ranked;
  std::set<RunnerName> without_short_calls;
  std::size_t warm = 0;
  for (const auto& name : pool) {
    const RunnerRow& row = context.view.runners.at(name);
    if (row.state != RunnerState::warm)
      continue;
    ++warm;
    auto last = last_short_call_.find({row.pool, row.region});
    bool has_short_calls = last != last_short_call_.end() && context.now - last->second <= short_call_window;
    if (has_short_calls)
      ranked[row.region].emplace_back(mix(stable_hash(name.text), long_prompt_salt), name);
    else
      without_short_calls.insert(name);
  }
  if (without_short_calls.size() * 3 >= warm * 2)
    return without_short_calls;
  std::set<RunnerName> reserved = std::move(without_short_calls);
  for (auto& [region, runners] : ranked) {
    if (runners.size() < 2)
      continue;
    std::sort(runners.begin(), runners.end());
    std::size_t count = std::max<std::size_t>(1, runners.size() * 2 / 5);
    for (std::size_t i = 0; i < count; ++i)
      reserved.insert(runners[i].second);
  }
  return reserved;
}

// Long prompts are owned by runners of all regions (to bring one there costs less than to read its shared parts
// twice), short ones by runners of this daemon's region.
bool EndpointSelector::may_own_affinity(const Query& query, const RunnerRow& row) const {
  if (row.state != RunnerState::warm || !is_home_region(query.homes, row.region))
    return false;
  if (!query.is_long && query.homes.empty() && row.region != settings_.region)
    return false;
  if (!query.for_long_prompts.empty() && query.is_long != (query.for_long_prompts.count(row.name) != 0))
    return false;
  return !endpoint_of(query.context, row.name).is_ejected(query.context.now);
}

EndpointSelector::AffinityOwners EndpointSelector::affinity_owners(const Query& query) const {
  AffinityOwners owners;
  std::uint64_t primary_weight = 0, secondary_weight = 0;
  for (const auto& name : query.pool) {
    const RunnerRow& row = query.context.view.runners.at(name);
    if (!may_own_affinity(query, row))
      continue;
    std::uint64_t weight = mix(stable_hash(name.text), query.call.affinity_key);
    if (owners.primary == nullptr || weight > primary_weight) {
      owners.secondary = std::exchange(owners.primary, &row);
      secondary_weight = std::exchange(primary_weight, weight);
    } else if (owners.secondary == nullptr || weight > secondary_weight) {
      owners.secondary = &row;
      secondary_weight = weight;
    }
  }
  return owners;
}

bool EndpointSelector::is_eligible(const Query& query, const RunnerRow& row, const EndpointState& endpoint) const {
  const SelectionContext& context = query.context;
  bool is_warming_up = row.state == RunnerState::warming_up;
  if (row.state != RunnerState::warm && !is_warming_up)
    return false;
  if (!is_home_region(query.homes, row.region) || query.call.tried.count(row.name) != 0)
    return false;
  if (endpoint.is_ejected(context.now) || endpoint.is_on_probation())
    return false;
  if (is_warming_up && !has_slow_start_quota(row, endpoint, context))
    return false;
  return !is_full(endpoint.estimated_load(context.now), slots_of(row));
}

bool EndpointSelector::has_slow_start_quota(const RunnerRow& row, const EndpointState& endpoint,
                                            const SelectionContext& context) const {
  if (!context.may_use_warming_runners)
    return false;
  std::int64_t quota = 0;
  for (const auto& grant : row.warmup_grants)
    if (grant.daemon == settings_.self) {
      quota = grant.requests;
      break;
    }
  return endpoint.attempts_within_last_second(context.now) < quota;
}

double EndpointSelector::distance_cost(const RunnerRow& row) const {
  if (row.region != settings_.region)
    return 2.0 * static_cast<double>(settings_.region_ms);
  return row.zone != settings_.zone ? other_zone_cost : 0;
}

double EndpointSelector::cost_of(const Query& query, const RunnerRow& row, const EndpointState& endpoint) const {
  const SelectionCall& call = query.call;
  std::int64_t slots = slots_of(row);
  std::int64_t load = endpoint.estimated_load(query.context.now);
  double cost = distance_cost(row);
  cost += queue_cost(load, slots);
  cost += load_cost(load, slots, call.tokens_in > 0);
  if (!query.for_long_prompts.empty() && query.is_long != (query.for_long_prompts.count(row.name) != 0))
    cost += query.is_long ? long_among_short_cost : short_among_long_cost;
  cost += static_cast<double>(endpoint.pending_prompt_tokens()) / prompt_tokens_per_ms;
  if (row.state == RunnerState::warming_up)
    cost += warming_cost;
  if (!call.prompt.empty()) {
    std::int64_t uncached = uncached_tokens(call, query.owners.primary == &row, query.owners.secondary == &row);
    cost += read_cost_weight * static_cast<double>(uncached) / prompt_tokens_per_ms;
  }
  std::uint64_t jitter = mix(query.call_hash, stable_hash(row.name.text)) % jitter_steps;
  cost += static_cast<double>(jitter) / jitter_steps_per_ms;
  return cost;
}

}  // namespace emberdale
