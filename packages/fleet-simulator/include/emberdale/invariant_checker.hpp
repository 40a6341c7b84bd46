// The invariants of the fleet as code: the simulator reports what happens, and the checker keeps the violations. It
// depends on no part of the simulated fleet, so that each invariant is tested with events made up for the purpose.
// Without I/O, clock or threads: all times are virtual milliseconds that the caller gives.
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "emberdale/messages.hpp"

namespace emberdale {

struct InvariantViolation {
  std::int64_t at = 0;  // virtual milliseconds
  std::string rule;     // which invariant; one short sentence that names the violation
  std::string detail;
};

// A call that a data daemon sends to a runner, as it is at the time of sending.
struct SentCall {
  std::int64_t call = 0;
  std::string daemon, runner, runner_region;
  std::string home;                  // the region that the call must run in; empty: any
  std::int64_t config_revision = 0;  // of the map that the daemon sent it by
  bool is_retry = false;
};

// Example:
//   InvariantChecker checker;
//   checker.on_edit_acknowledged(now, acknowledged);
//   checker.on_call_sent(now, call);
//   bool is_correct = checker.violations().empty();
class InvariantChecker {
 public:
  // From an acknowledgement on, an older plan may be used for so long, in ms.
  static constexpr std::int64_t old_plan_limit = 3000;
  // From the request to mark a runner as leaving on, it may be sent new work for so long, in ms.
  static constexpr std::int64_t leaving_limit = 5000;

  // --- calls ---
  void on_call_sent(std::int64_t now, const SentCall& send);
  void on_call_started(std::int64_t now, std::int64_t call, bool is_repeatable);
  void on_call_refused(std::int64_t now, std::int64_t call, bool is_repeatable);
  // A runner that warms up was sent `at_once` calls at a time, of which it allows `allowance`.
  void on_request_while_warming_up(std::int64_t now, const std::string& runner, std::int64_t at_once,
                                   std::int64_t allowance);

  // --- the register and the map ---
  // What a daemon takes for the newest chosen state; `bytes` is its encoding.
  void on_state(std::int64_t now, const std::string& daemon, const FleetState& state, const std::string& bytes);
  // Whether the daemon's newest reported state has another version than this.
  bool is_new_version(const std::string& daemon, std::int64_t version) const {
    auto seen = seen_versions_.find(daemon);
    return seen == seen_versions_.end() || seen->second != version;
  }
  // Whether the newest known state keeps the runner from new work.
  bool is_blocked(const std::string& runner) const {
    auto free = free_since_.find(runner);
    return free == free_since_.end() || free->second < newest_revision_;
  }
  void on_map_published(std::int64_t now, const std::string& daemon, const MapVersion& version,
                        const std::string& bytes);
  // The version of the map that a data daemon serves by.
  void on_map_applied(std::int64_t now, const std::string& daemon, const MapVersion& version);
  // A daemon has started again: what it reported before no longer binds it.
  void on_restarted(const std::string& daemon) {
    seen_versions_.erase(daemon);
    seen_maps_.erase(daemon);
  }

  // --- operators ---
  struct RequestedEdit {
    std::string change, kind, name, act, body;
    std::int64_t at = 0;
  };
  struct AcknowledgedEdit {
    RequestedEdit edit;
    std::int64_t version = 0, config_revision = 0;
  };
  // Every edit, when it is requested: a deletion without a response may have taken effect.
  void on_edit_requested(const RequestedEdit& edit) {
    if (edit.act == "delete")
      open_deletions_[edit.kind + "/" + edit.name].insert(edit.change);
  }
  void on_edit_acknowledged(std::int64_t now, const AcknowledgedEdit& acknowledged);
  // Definitely refused: the change must never be found in the register.
  void on_edit_refused(std::int64_t now, const RequestedEdit& edit);
  // A read that was requested at `begun` and has shown this state.
  void on_read(std::int64_t now, std::int64_t begun, const std::string& daemon, const FleetState& state);

  // --- after a scenario ---
  // Compares the state that the register holds in the end with everything that was acknowledged.
  void check_final_state(std::int64_t now, const FleetState& state);
  // Compares what a data daemon serves by with that state.
  void check_data_daemon(std::int64_t now, const std::string& daemon, const std::map<PlanName, std::int64_t>& plans,
                         const std::map<RunnerName, RunnerState>& states, const FleetState& state);

  void report_violation(std::int64_t now, const std::string& rule, const std::string& detail);
  // At most a few of each invariant, in the order in which they were found.
  const std::vector<InvariantViolation>& violations() const { return violations_; }
  std::int64_t worst_old_plan_ms() const { return worst_old_plan_ms_; }
  std::int64_t worst_leaving_ms() const { return worst_leaving_ms_; }            // since the acknowledgement
  std::int64_t worst_notification_ms() const { return worst_notification_ms_; }  // since the request
  // When the runner was last sent a call; 0: never.
  std::int64_t last_sent(const std::string& runner) const {
    auto last = last_sent_.find(runner);
    return last == last_sent_.end() ? 0 : last->second;
  }
  std::int64_t warmup_excess() const { return warmup_excess_; }
  std::size_t reads() const { return reads_; }

 private:
  struct DispatchBlock {
    std::int64_t config_revision = 0;
    std::int64_t notified_at = 0, acknowledged_at = 0;
  };
  struct ExecutionRecord {
    int runs = 0;
    bool was_refused = false;
  };
  struct CountedSend {
    std::int64_t at;
    bool is_retry;
  };
  struct Acknowledgement {
    std::int64_t at, config_revision;
  };
  struct EndedRead {
    std::int64_t at, version;  // the newest state version that any read had shown by then
  };

  void check_retries(std::int64_t now, bool is_retry);
  void on_new_revision(std::int64_t now, const FleetState& state);
  void check_acknowledged_text(std::int64_t now, const std::string& resource, const AcknowledgedEdit& acknowledged);
  std::set<std::string> blocked_runners(const RequestedEdit& edit);
  void block(std::int64_t now, const std::string& runner, const AcknowledgedEdit& acknowledged);
  void check_deleted(std::int64_t now, const std::string& resource, const AcknowledgedEdit& acknowledged,
                     const Resource* found, std::int64_t config_revision);

  std::vector<InvariantViolation> violations_;
  std::map<std::string, int> violations_by_rule_;  // by rule
  std::map<std::int64_t, ExecutionRecord> calls_;
  std::deque<CountedSend> window_;  // of the last seconds
  std::int64_t window_retries_ = 0;
  std::int64_t warmup_excess_ = 0;
  std::map<std::int64_t, std::uint64_t> states_;                         // by state version
  std::map<std::pair<std::int64_t, std::int64_t>, std::uint64_t> maps_;  // by map version
  std::map<std::int64_t, std::string> publishers_;                       // by term
  std::map<std::string, std::int64_t> seen_versions_;
  std::map<std::string, MapVersion> seen_maps_;
  std::int64_t newest_revision_ = -1;
  std::map<std::string, std::int64_t> free_since_;  // runner: last revision in which nothing blocks it
  std::map<std::pair<std::string, std::int64_t>, std::string> bodies_;   // resource and version: its text
  std::map<std::pair<std::string, std::int64_t>, std::string> winners_;  // resource and version: the change
  std::set<std::string> changes_found_;                                  // in the register's list of changes done
  std::set<std::string> refused_edits_;
  std::map<std::string, std::set<std::string>> open_deletions_;  // by resource: asked, and not refused
  std::map<std::string, AcknowledgedEdit> newest_acknowledged_;  // by resource: the newest
  std::vector<Acknowledgement> acknowledgements_;                // revisions ascend
  std::map<std::string, DispatchBlock> blocks_;                  // by runner
  std::map<std::string, std::int64_t> last_sent_;                // by runner
  std::map<std::string, std::set<std::string>> zone_runners_;
  std::int64_t newest_read_ = 0;  // state version, by the reads that have ended
  std::deque<EndedRead> read_history_;
  std::int64_t worst_old_plan_ms_ = 0, worst_leaving_ms_ = 0, worst_notification_ms_ = 0;
  std::size_t reads_ = 0;
};

}  // namespace emberdale
