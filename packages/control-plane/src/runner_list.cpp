#include "emberdale/runner_list.hpp"

#include <algorithm>

namespace emberdale {

void RunnerList::begin(TimePoint now) {
  runners_.clear();
  taken_back_.clear();
  is_known_ = is_reading_ = false;
  empty_lists_ = 0;
  read_next_ = now;
}

bool RunnerList::is_read_due(TimePoint now) {
  if (now < read_next_ || (is_reading_ && now < read_until_))
    return false;
  is_reading_ = true;
  read_next_ = now + read_pace;
  read_until_ = now + Duration{3000};  // a reading that never ends is begun anew
  return true;
}

void RunnerList::take(std::vector<ListedRunner> runners, TimePoint begun, TimePoint now) {
  is_reading_ = false;
  if (runners.empty() && !runners_.empty() && ++empty_lists_ < 3)
    return;
  empty_lists_ = 0;
  std::map<RunnerName, Listed> next;
  for (auto& runner : runners) {
    if (runner.name.empty() || runner.http.empty())
      continue;
    Listed listed;
    auto known = runners_.find(runner.name);
    if (known != runners_.end())
      listed = known->second;
    else
      listed.listed = now;
    TimePoint warming_up_until = runner.warmup_left.value > 0 ? begun + runner.warmup_left : TimePoint{0};
    listed.warming_up_until = std::max(listed.warming_up_until, warming_up_until);
    listed.runner = std::move(runner);
    RunnerName name = listed.runner.name;
    next[name] = std::move(listed);
  }
  runners_ = std::move(next);
  is_known_ = true;
  for (auto entry = taken_back_.begin(); entry != taken_back_.end();) {
    if (entry->second + lag_allowed <= begun)
      entry = taken_back_.erase(entry);
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

void RunnerList::fill(std::map<RunnerName, RunnerStatus>& statuses, const std::map<PoolName, RoutePool>& pools,
                      TimePoint now) const {
  for (const auto& [name, listed] : runners_) {
    auto known = statuses.find(name);
    RunnerStatus status;
    status.name = name;
    status.is_reachable =
        known == statuses.end() || known->second.is_reachable;  // listed, and nothing speaks against it
    auto pool = pools.find(listed.runner.pool);
    double warmup_requests_per_s = pool == pools.end() ? 0 : pool->second.warmup_requests_per_s;
    bool is_reported_warming_up = known != statuses.end() && known->second.is_warming_up;
    bool is_suspect = taken_back_.count(listed.runner.zone) != 0;
    status.is_warming_up =
        warmup_requests_per_s > 0 && (is_reported_warming_up || is_suspect || now < listed.warming_up_until);
    status.capacity = listed.runner.slots > 0 ? listed.runner.slots : 8;
    status.allowance = static_cast<std::int64_t>(warmup_requests_per_s);
    statuses[name] = status;
  }
}

}  // namespace emberdale
