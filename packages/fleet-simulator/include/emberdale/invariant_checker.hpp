// The brief's rules as code that watches a fleet: told what happens, it keeps the breaks. It knows
// nothing of the fleet's insides, so each rule can be tried on a planted break without one.
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
  std::int64_t at = 0;
  std::string rule, detail;
};

// One send of a call, as the moment of sending has it.
struct WatchedSend {
  std::int64_t call = 0;
  std::string daemon, runner, runner_region, home;
  std::int64_t config_revision = 0;  // of the map it was sent by
  bool is_retry = false;
};

// Example:
//   InvariantChecker watch; watch.told(now, "runners", "m1", true); watch.acknowledged(now, ack);
//   watch.sent(now, send); watch.ran(now, 7, false); watch.breaks().empty()
class InvariantChecker {
 public:
  static constexpr std::int64_t old_plan_limit = 3000, leaving_limit = 5000;

  // --- calls ---------------------------------------------------------------------------------------
  void sent(std::int64_t now, const WatchedSend& send);
  // A runner began it. Example: watch.ran(now, call, false)
  void ran(std::int64_t now, std::int64_t call, bool is_repeatable);
  void refused(std::int64_t now, std::int64_t call, bool is_repeatable);
  // A cold runner was asked for more at once than it bears. Example: watch.asked_while_warming_up(now, "m1", 3, 2)
  void asked_while_warming_up(std::int64_t now, const std::string& runner, std::int64_t at_once,
                              std::int64_t allowance);

  // --- the register and the map ----------------------------------------------------------------------
  // What a daemon takes for the newest chosen state. Example: watch.saw_state(now, "a1", state, encode_state(state))
  void saw_state(std::int64_t now, const std::string& daemon, const FleetState& state, const std::string& bytes);
  // Whether that daemon has shown this version before. Example: if (watch.is_news("a1", 7)) ...
  bool is_news(const std::string& daemon, std::int64_t version) const {
    auto seen = seen_versions_.find(daemon);
    return seen == seen_versions_.end() || seen->second != version;
  }
  // Whether the newest state known holds it from new work. Example: watch.is_barred("m1")
  bool is_barred(const std::string& runner) const {
    auto free = free_since_.find(runner);
    return free == free_since_.end() || free->second < newest_revision_;
  }
  void published(std::int64_t now, const std::string& daemon, const MapVersion& version, const std::string& bytes);
  // The version by which a data daemon serves. Example: watch.follows(now, "a1-data", view.version)
  void follows(std::int64_t now, const std::string& daemon, const MapVersion& version);
  // A daemon has started anew: it may begin from nothing. Example: watch.restarted("a1-data")
  void restarted(const std::string& daemon) {
    seen_versions_.erase(daemon);
    seen_maps_.erase(daemon);
  }

  // --- operators ---------------------------------------------------------------------------------------
  struct Ask {
    std::string change, kind, name, act, body;
    std::int64_t at = 0;
  };
  struct Ack {
    Ask ask;
    std::int64_t version = 0, config_revision = 0;
  };
  void acknowledged(std::int64_t now, const Ack& ack);
  // Definitely refused: it must never be found in the register. Example: watch.turned_down(now, ask)
  void turned_down(std::int64_t now, const Ask& ask);
  // A read that began then and showed this state. Example: watch.was_read(now, begun, "a1", *state)
  void was_read(std::int64_t now, std::int64_t begun, const std::string& daemon, const FleetState& state);
  // Any edit, when it is asked: a deletion that gets no answer may have been done. Example: watch.asked(ask)
  void asked(const Ask& ask) {
    if (ask.act == "delete")
      open_deletions_[ask.kind + "/" + ask.name].insert(ask.change);
  }
  // After the day: what the register holds, and what each data daemon follows.
  void settled(std::int64_t now, const FleetState& state);
  // Example: watch.holds(now, "a1-data", view->plan_versions, {{RunnerName{"m1"}, "leaving"}}, state)
  void holds(std::int64_t now, const std::string& daemon, const std::map<PlanName, std::int64_t>& plans,
             const std::map<RunnerName, RunnerState>& states, const FleetState& state);

  void broken(std::int64_t now, const std::string& rule, const std::string& detail);
  const std::vector<InvariantViolation>& breaks() const { return breaks_; }
  std::int64_t worst_old_plan_ms() const { return worst_old_plan_ms_; }
  std::int64_t worst_leaving_ms() const { return worst_leaving_ms_; }            // from the acknowledgement
  std::int64_t worst_notification_ms() const { return worst_notification_ms_; }  // from the ask
  // When that runner was last sent anything; 0: never. Example: watch.last_sent("m1")
  std::int64_t last_sent(const std::string& runner) const {
    auto last = last_sent_.find(runner);
    return last == last_sent_.end() ? 0 : last->second;
  }
  std::int64_t warmup_excess() const { return warmup_excess_; }
  std::int64_t acked_revision() const { return acks_.empty() ? 0 : acks_.back().second; }
  std::size_t acked() const { return acked_.size(); }
  std::size_t reads() const { return reads_; }

 private:
  struct Hold {
    std::int64_t config_revision = 0;
    std::int64_t notified_at = 0, acked_at = 0;
  };
  struct CallLedger {
    int runs = 0;
    bool was_refused = false;
  };
  void check_retries(std::int64_t now, bool is_retry);

  std::vector<InvariantViolation> breaks_;
  std::map<std::string, int> broken_;  // by rule
  std::map<std::int64_t, CallLedger> calls_;
  std::deque<std::pair<std::int64_t, bool>> window_;  // sends of the last seconds: when, and whether retries
  std::int64_t window_retries_ = 0;
  std::int64_t warmup_excess_ = 0;
  std::map<std::int64_t, std::uint64_t> states_;                         // by state version
  std::map<std::pair<std::int64_t, std::int64_t>, std::uint64_t> maps_;  // by map version
  std::map<std::int64_t, std::string> publishers_;                       // by term
  std::map<std::string, std::int64_t> seen_versions_;
  std::map<std::string, MapVersion> seen_maps_;
  std::int64_t newest_revision_ = -1;
  std::map<std::string, std::int64_t> free_since_;  // runner: last revision in which nothing holds it
  std::map<std::pair<std::string, std::int64_t>, std::string> bodies_;   // resource and version: its text
  std::map<std::pair<std::string, std::int64_t>, std::string> winners_;  // resource and version: the change
  std::set<std::string> changes_found_;                                  // in the register's list of changes done
  std::set<std::string> turned_down_;
  std::map<std::string, std::set<std::string>> open_deletions_;  // by resource: asked, and not refused
  std::map<std::string, Ack> acked_;                             // by resource: the newest
  std::vector<std::pair<std::int64_t, std::int64_t>> acks_;      // when, config revision
  std::map<std::string, Hold> holds_;                            // by runner
  std::map<std::string, std::int64_t> last_sent_;                // by runner
  std::map<std::string, std::set<std::string>> zone_runners_;
  std::int64_t newest_read_ = 0;                                    // state version, by the reads that have ended
  std::deque<std::pair<std::int64_t, std::int64_t>> read_history_;  // when it ended, state version
  std::int64_t worst_old_plan_ms_ = 0, worst_leaving_ms_ = 0, worst_notification_ms_ = 0;
  std::size_t reads_ = 0;
};

}  // namespace emberdale
