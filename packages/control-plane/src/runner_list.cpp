#include "emberdale/runner_list.hpp"

#include <algorithm>

namespace emberdale {
namespace {
constexpr Duration read_timeout{3000};
constexpr int empty_lists_believed = 3;
constexpr std::int64_t default_slots = 8;
}  // namespace

bool ListReadSchedule::is_due(TimePoint now) {
  if (now < next_ || (is_reading_ && now < until_))
    return false;
  is_reading_ = true;
  next_ = now + interval_;
  until_ = now + read_timeout;
  return true;
}

void ListReadSchedule::restart(TimePoint now) {
  is_reading_ = false;
  next_ = now;
}

void RunnerList::begin(TimePoint now) {
  runners_.clear();
  restored_zones_.clear();
  is_known_ = false;
  empty_lists_ = 0;
  reads_.restart(now);
}

RunnerList::Listed RunnerList::listed(ListedRunner runner, TimePoint begun, TimePoint now) const {
  Listed listed;
  auto known = runners_.find(runner.name);
  if (known != runners_.end())
    listed = known->second;
  else
    listed.listed = now;
  TimePoint warming_up_until = runner.warmup_left.value > 0 ? begun + runner.warmup_left : TimePoint{0};
  listed.warming_up_until = std::max(listed.warming_up_until, warming_up_until);
  listed.runner = std::move(runner);
  return listed;
}

void RunnerList::take(std::vector<ListedRunner> runners, TimePoint begun, TimePoint now) {
  reads_.ended();
  if (runners.empty() && !runners_.empty() && ++empty_lists_ < empty_lists_believed)
    return;
  empty_lists_ = 0;
  std::map<RunnerName, Listed> next;
  for (auto& runner : runners) {
    if (runner.name.empty() || runner.http.empty())
      continue;
    RunnerName name = runner.name;
    next[name] = listed(std::move(runner), begun, now);
  }
  runners_ = std::move(next);
  is_known_ = true;
  for (auto entry = restored_zones_.begin(); entry != restored_zones_.end();) {
    if (entry->second + longest_lag <= begun)
      entry = restored_zones_.erase(entry);
    else
      ++entry;
  }
}

std::vector<RunnerEntry> RunnerList::entries() const {
  std::vector<RunnerEntry> entries;
  for (const auto& [name, listed] : runners_) {
    RunnerEntry entry;
    entry.name = name;
    entry.http = listed.runner.http;
    entry.pool = listed.runner.pool;
    entry.zone = listed.runner.zone;
    entry.region = listed.runner.region;
    entry.is_leaving = listed.runner.is_leaving;
    entries.push_back(std::move(entry));
  }
  return entries;
}

RunnerStatus RunnerList::status_of(const Listed& listed, const RunnerStatus* probed, double warmup_requests_per_s,
                                   TimePoint now) const {
  bool is_reported_warming_up = probed != nullptr && probed->is_warming_up;
  bool is_zone_restored = restored_zones_.count(listed.runner.zone) != 0;
  bool may_be_cold = is_reported_warming_up || is_zone_restored || now < listed.warming_up_until;
  RunnerStatus status;
  status.name = listed.runner.name;
  status.is_reachable = probed == nullptr || probed->is_reachable;  // listed, and no probe has failed
  status.is_warming_up = warmup_requests_per_s > 0 && may_be_cold;
  status.capacity = listed.runner.slots > 0 ? listed.runner.slots : default_slots;
  status.allowance = static_cast<std::int64_t>(warmup_requests_per_s);
  return status;
}

void RunnerList::fill(std::map<RunnerName, RunnerStatus>& statuses, const std::map<PoolName, RoutePool>& pools,
                      TimePoint now) const {
  for (const auto& [name, listed] : runners_) {
    auto probed = statuses.find(name);
    auto pool = pools.find(listed.runner.pool);
    double warmup_requests_per_s = pool == pools.end() ? 0 : pool->second.warmup_requests_per_s;
    statuses[name] =
        status_of(listed, probed == statuses.end() ? nullptr : &probed->second, warmup_requests_per_s, now);
  }
}

}  // namespace emberdale
