#include "emberdale/runner_watch.hpp"

#include "emberdale/map_slices.hpp"
#include "emberdale/placement_map.hpp"

namespace emberdale {

void RunnerWatch::wish_probes(const Configuration& configuration, const std::vector<std::string>& live_edges,
                              bool is_master, Moment now) {
  std::map<PoolName, bool> homes;
  for (const auto& runner : configuration.runners) {
    bool is_mine = false;
    if (runner.zone == self_.zone) {
      auto [entry, is_new] = homes.insert({runner.pool, false});
      if (is_new) {
        auto ranked = rendezvous_rank("home:" + pool_topic(runner.pool), live_edges);
        entry->second = !ranked.empty() && ranked.front() == self_.address.text;
      }
      is_mine = entry->second;
    }
    if (!is_mine && is_master)
      is_mine = now - known_[runner.name].at > status_span;
    Moment& next = next_[runner.name];
    if (!is_mine || now < next)
      continue;
    next = now + probe_pace_;
    ++probes_made_;
    probes_.push_back({runner.name, runner.http, runner.pool});
  }
}

bool RunnerWatch::on_probe(const RunnerStatus& status, Moment now) {
  auto before = own_.find(status.name);
  bool is_new = before == own_.end() || before->second.status.answers != status.answers ||
                before->second.status.cold != status.cold || before->second.status.incarnation != status.incarnation;
  own_[status.name] = known_[status.name] = {status, now};
  return is_new;
}

void RunnerWatch::on_report(const RunnerStatus& status, Moment now) {
  View& view = known_[status.name];
  Moment at{now.value - status.age};
  if (view.at <= at)
    view = {status, at};
}

std::vector<RunnerStatus> RunnerWatch::reports(Moment now) const {
  std::vector<RunnerStatus> list;
  for (const auto& [name, view] : own_) {
    Span age = now - view.at;
    if (age > status_span)
      continue;
    list.push_back(view.status);
    list.back().age = age.value;
  }
  return list;
}

void RunnerWatch::inherit(const PlacementMap& map, Moment now) {
  for (const auto& row : map.runners) {
    auto known = known_.find(row.name);
    if (known != known_.end() && now - known->second.at <= status_span)
      continue;
    RunnerStatus status{
        row.name, row.status != "down", row.status == "cold", row.incarnation, row.capacity, row.load, row.allowance,
        0};
    known_[row.name] = {status, Moment{now.value - status_span.value / 2}};
  }
}

std::map<RunnerName, RunnerStatus> RunnerWatch::statuses() const {
  std::map<RunnerName, RunnerStatus> list;
  for (const auto& [name, view] : known_)
    if (!view.status.name.empty())
      list[name] = view.status;
  return list;
}

}  // namespace emberdale
