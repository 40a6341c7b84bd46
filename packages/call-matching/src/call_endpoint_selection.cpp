// Endpoint selection of calls: prefix affinity within a load bound, the home region first, then spill to others.
#include <algorithm>

#include "emberdale/call_dispatcher.hpp"
#include "emberdale/placement_map.hpp"

namespace emberdale {

std::int64_t CallDispatcher::load_of(const RunnerRow& row, const EndpointState& endpoint) const {
  std::int64_t reported_of_others = 0;
  if (endpoint.has_report && endpoint.incarnation == row.incarnation)
    reported_of_others = std::max<std::int64_t>(0, endpoint.reported_load - endpoint.in_flight_at_report);
  return reported_of_others + endpoint.in_flight;
}

// A warming runner is bounded by this daemon's slow-start quota, a warm one by its capacity.
std::int64_t CallDispatcher::load_limit(const RunnerRow& row, TimePoint now) const {
  if (row.state != RunnerState::warming_up)
    return row.capacity;
  if (grant_.warming_up_until <= now)
    return 0;  // the quota may have been given to another daemon by now
  for (const auto& grant : row.warmup_grants)
    if (grant.daemon == settings_.self)
      return grant.requests;
  return 0;
}

std::optional<CallDispatcher::Candidate> CallDispatcher::candidate_of(const Call& call, const RunnerRow& row,
                                                                      TimePoint now, bool is_last_resort) const {
  static const EndpointState unused;
  if (row.state != RunnerState::warm && row.state != RunnerState::warming_up)
    return std::nullopt;
  if (std::find(call.tried.begin(), call.tried.end(), row.name) != call.tried.end())
    return std::nullopt;
  auto entry = endpoints_.find(row.name);
  const EndpointState& endpoint = entry == endpoints_.end() ? unused : entry->second;
  bool is_new_incarnation = endpoint.ejected_at_version < view_->version && endpoint.incarnation != row.incarnation;
  bool is_ejected = now < endpoint.ejected_until && !is_new_incarnation;
  if (is_ejected && !(is_last_resort && endpoint.is_reachable))
    return std::nullopt;
  // A runner warms up once in an incarnation: a map that calls this one warm is right, whatever an older report said.
  std::int64_t limit = load_limit(row, now);
  std::int64_t load = row.state == RunnerState::warming_up ? endpoint.in_flight : load_of(row, endpoint);
  if (load >= limit)
    return std::nullopt;
  return Candidate{&row, load, limit};
}

// Affinity within a load bound: the first by rank whose load is not above its fair share.
std::optional<RunnerName> CallDispatcher::select_in_region(const Call& call, const ServingPlan& plan,
                                                           const RegionName& region, TimePoint now,
                                                           bool is_last_resort) const {
  auto pool = view_->pools.find(plan.pool);
  if (pool == view_->pools.end())
    return std::nullopt;
  std::vector<Candidate> candidates;
  std::vector<std::string> names;
  std::int64_t total_load = 0;
  for (const auto& name : pool->second) {
    const RunnerRow& row = view_->runners.at(name);
    if (row.region != region)
      continue;
    auto candidate = candidate_of(call, row, now, is_last_resort);
    if (!candidate)
      continue;
    candidates.push_back(*candidate);
    names.push_back(name.text);
    total_load += candidate->load;
  }
  if (candidates.empty())
    return std::nullopt;
  auto count = static_cast<std::int64_t>(candidates.size());
  std::int64_t fair_share = ((total_load + 1) * 5 + 4 * count - 1) / (4 * count) + 1;
  for (const auto& name : rendezvous_rank(call.affinity_key, names))
    for (const auto& candidate : candidates)
      if (candidate.row->name.text == name && candidate.load < fair_share)
        return candidate.row->name;
  return std::min_element(candidates.begin(), candidates.end(),
                          [](const Candidate& a, const Candidate& b) { return a.load < b.load; })
      ->row->name;
}

// A plan may spill up to its share of what is in flight, and without bound while its own region has no capacity.
bool CallDispatcher::may_spill_now(const ServingPlan& plan) const {
  auto region = view_->regions.find({plan.pool, settings_.region});
  if (region == view_->regions.end() || region->second.capacity == 0)
    return true;
  auto entry = plan_loads_.find(plan.name);
  PlanLoad load = entry == plan_loads_.end() ? PlanLoad{} : entry->second;
  return (load.spilled + 1) * 100 <= std::max<std::int64_t>(load.in_flight + 1, 4) * plan.spill_percent;
}

std::optional<RunnerName> CallDispatcher::select_endpoint(const Call& call, const ServingPlan& plan, TimePoint now,
                                                          bool& is_spill) const {
  is_spill = false;
  if (auto runner = select_in_region(call, plan, settings_.region, now, false))
    return runner;
  if (!call.home.empty() || !plan.may_spill || !may_spill_now(plan))
    return select_in_region(call, plan, settings_.region, now, true);
  for (const auto& [where, row] : view_->regions) {
    if (where.first != plan.pool || where.second == settings_.region || row.capacity == 0)
      continue;
    if (auto runner = select_in_region(call, plan, where.second, now, false)) {
      is_spill = true;
      return runner;
    }
  }
  return select_in_region(call, plan, settings_.region, now, true);
}

}  // namespace emberdale
