// Health of the runners: this daemon's own probes where it owns their shard, and at the master the reports of all shard
// owners. Without I/O, clock or threads.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "emberdale/messages.hpp"
#include "emberdale/serving_plans.hpp"

namespace emberdale {

// A runner that is to be probed.
struct ProbeRequest {
  RunnerName runner;
  std::string http;  // IP:PORT
  PoolName pool;
};

class RunnerHealthMonitor {
 public:
  static constexpr Duration status_lifetime{1500};  // a status older than this says nothing any more
  explicit RunnerHealthMonitor(DaemonEntry self, Duration probe_interval = Duration{400})
      : self_(std::move(self)), probe_interval_(probe_interval) {}

  // The owner of a pool's runners in one zone is the first of its living edge daemons by rendezvous hashing; it probes
  // them. A master probes those that no owner reports. `live_edges`: addresses of the edge daemons of this zone.
  void schedule_probes(const Configuration& configuration, const std::vector<std::string>& live_edges, bool is_master,
                       TimePoint now);
  std::vector<ProbeRequest> drain_probes() { return std::exchange(probes_, {}); }
  // The result of an own probe. True when the runner's condition differs from that of the probe before.
  bool on_probe(const RunnerStatus& status, TimePoint now);
  // A report of a shard owner, at the master.
  void on_report(const RunnerStatus& status, TimePoint now);
  // The results of this daemon's probes, with their age, for its master.
  std::vector<RunnerStatus> reports(TimePoint now) const;
  // A term begins: what the map says stands until the owners report.
  void inherit(const PlacementMap& map, TimePoint now);
  // The newest status of each runner.
  std::map<RunnerName, RunnerStatus> statuses() const;
  std::int64_t probes_made() const { return probes_made_; }

 private:
  struct View {
    RunnerStatus status;
    TimePoint at;
  };
  bool is_owner(const PoolName& pool, const std::vector<std::string>& live_edges) const;

  DaemonEntry self_;
  Duration probe_interval_;
  std::map<RunnerName, View> known_;  // from any source
  std::map<RunnerName, View> own_;    // from this daemon's probes
  std::map<RunnerName, TimePoint> probe_next_;
  std::vector<ProbeRequest> probes_;
  std::int64_t probes_made_ = 0;
};

}  // namespace emberdale
