#include "emberdale/runner_health_monitor.hpp"

#include "emberdale/placement_map.hpp"
#include "emberdale/placement_slices.hpp"

namespace emberdale {

bool RunnerHealthMonitor::is_owner(const PoolName& pool, const std::vector<std::string>& live_edges) const {
  auto ranked = rendezvous_rank("home:" + pool_topic(pool), live_edges);
  return !ranked.empty() && ranked.front() == self_.address.text;
}

void RunnerHealthMonitor::schedule_probes(const Configuration& configuration,
                                          const std::vector<std::string>& live_edges, bool is_master, TimePoint now) {
  std::map<PoolName, bool> owned;  // ranked once for each pool
  for (const auto& runner : configuration.runners) {
    bool is_mine = false;
    if (runner.zone == self_.zone) {
      auto [entry, is_new] = owned.insert({runner.pool, false});
      if (is_new)
        entry->second = is_owner(runner.pool, live_edges);
      is_mine = entry->second;
    }
    if (!is_mine && is_master)
      is_mine = now - known_[runner.name].at > status_lifetime;
    TimePoint& next = probe_next_[runner.name];
    if (!is_mine || now < next)
      continue;
    next = now + probe_interval_;
    ++probes_made_;
    probes_.push_back({runner.name, runner.http, runner.pool});
  }
}

bool RunnerHealthMonitor::on_probe(const RunnerStatus& status, TimePoint now) {
  auto before = own_.find(status.name);
  bool is_new = before == own_.end() || before->second.status.is_reachable != status.is_reachable ||
                before->second.status.is_warming_up != status.is_warming_up ||
                before->second.status.incarnation != status.incarnation;
  own_[status.name] = known_[status.name] = {status, now};
  return is_new;
}

void RunnerHealthMonitor::on_report(const RunnerStatus& status, TimePoint now) {
  View& view = known_[status.name];
  TimePoint at{now.value - status.age_ms};
  if (view.at <= at)
    view = {status, at};
}

std::vector<RunnerStatus> RunnerHealthMonitor::reports(TimePoint now) const {
  std::vector<RunnerStatus> list;
  for (const auto& [name, view] : own_) {
    Duration age = now - view.at;
    if (age > status_lifetime)
      continue;
    list.push_back(view.status);
    list.back().age_ms = age.value;
  }
  return list;
}

void RunnerHealthMonitor::inherit(const PlacementMap& map, TimePoint now) {
  for (const auto& row : map.runners) {
    auto known = known_.find(row.name);
    if (known != known_.end() && now - known->second.at <= status_lifetime)
      continue;
    RunnerStatus status{row.name,
                        row.state != RunnerState::down,
                        row.state == RunnerState::warming_up,
                        row.incarnation,
                        row.capacity,
                        row.load,
                        row.allowance,
                        0};
    known_[row.name] = {status, TimePoint{now.value - status_lifetime.value / 2}};
  }
}

std::map<RunnerName, RunnerStatus> RunnerHealthMonitor::statuses() const {
  std::map<RunnerName, RunnerStatus> list;
  for (const auto& [name, view] : known_)
    if (!view.status.name.empty())
      list[name] = view.status;
  return list;
}

}  // namespace emberdale
