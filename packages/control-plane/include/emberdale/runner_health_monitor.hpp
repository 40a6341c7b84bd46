// What is known of the runners: this daemon's own probes where it is home, and at the master what every home
// reports. Without I/O, clock or threads.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "emberdale/messages.hpp"
#include "emberdale/serving_plans.hpp"

namespace emberdale {

struct ProbeRequest {
  RunnerName runner;
  std::string http;
  PoolName pool;
};

// Example:
//   RunnerHealthMonitor watch(self); watch.schedule_probes(configuration, live_edges_of_my_zone, is_master, now);
//   if (watch.on_probe(status, now)) report(); watch.statuses()
class RunnerHealthMonitor {
 public:
  static constexpr Duration status_lifetime{1500};  // a status older than this is nobody's word any more
  explicit RunnerHealthMonitor(DaemonEntry self, Duration probe_pace = Duration{400})
      : self_(std::move(self)), probe_pace_(probe_pace) {}

  // Each service's home in a zone is the first of its living edge daemons by rendezvous; it probes the service's
  // runners there. A master looks itself where no home reports.
  void schedule_probes(const Configuration& configuration, const std::vector<std::string>& live_edges, bool is_master,
                       TimePoint now);
  std::vector<ProbeRequest> drain_probes() { return std::exchange(probes_, {}); }
  // True when it says something new. Example: if (watch.on_probe(status, now)) send_heartbeat(now);
  bool on_probe(const RunnerStatus& status, TimePoint now);
  // A home's report, at the master. Example: for (auto& status : follow.statuses) watch.on_report(status, now);
  void on_report(const RunnerStatus& status, TimePoint now);
  // This daemon's probes, with their age, for its master. Example: follow.statuses = watch.reports(now);
  std::vector<RunnerStatus> reports(TimePoint now) const;
  // A term begins: what the old map says stands until the homes report. Example: watch.inherit(map, now)
  void inherit(const PlacementMap& map, TimePoint now);
  // By name, as the map is worked out from. Example: compute_map(state, configuration, watch.statuses(), ...)
  std::map<RunnerName, RunnerStatus> statuses() const;
  std::int64_t probes_made() const { return probes_made_; }

 private:
  struct View {
    RunnerStatus status;
    TimePoint at;
  };
  DaemonEntry self_;
  Duration probe_pace_;
  std::map<RunnerName, View> known_, own_;
  std::map<RunnerName, TimePoint> next_;
  std::vector<ProbeRequest> probes_;
  std::int64_t probes_made_ = 0;
};

}  // namespace emberdale
