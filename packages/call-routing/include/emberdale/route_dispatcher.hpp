// The stages of a routed call that need no I/O: gate, match, pending, resend, resume, end.
// Deterministic: the daemon and the tests run the same dispatcher.
#pragma once
#include <absl/container/flat_hash_map.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "emberdale/call_dispatcher.hpp"
#include "emberdale/routing_view.hpp"

namespace emberdale {

// One part of a prompt: which, and how many tokens it has.
struct PromptPart {
  std::uint64_t id = 0;
  std::int64_t tokens = 0;
};

struct RoutedCall {
  CallId id;
  std::string host, path;  // the path without its query
  Duration deadline{0};    // the caller's; 0: as the route says
  std::vector<PromptPart> prompt;
  std::int64_t tokens_in = 0, tokens_out = 0;
  std::string resume_after;  // the caller continues a stream after this event; empty: from the start
};

// Send this call to that runner now. A send is known by call and turn together.
struct RoutedSend {
  CallIndex call = 0;
  int turn = 0;  // 1, 2, ..: the how-manieth send of this call
  RunnerName runner;
  std::string http;
  bool is_repeatable = false, is_streaming = false;
  std::int64_t rank = 5;
  TimePoint deadline;
  std::string resume_after;  // continue after this event; empty: from the start
};

// Give this send up: close its link, hand nothing of it on. The dispatcher forgets it at once and expects no end of it.
struct StopSend {
  CallIndex call = 0;
  int turn = 0;
};

enum class RoutedEndKind {
  answered,           // a whole sound answer went to the caller
  refused,            // the runner says that it did not run it (full, draining, ..)
  wrong_incarnation,  // another runner has that address now: it did not run it
  unsent,             // the link never came up, or was closed before anything was written: nothing left this daemon
  lost,               // sent, and no sound answer came; may have run
  broken,             // a stream broke after events went to the caller
  caller_gone,        // the caller left; the send was given up
};

struct RoutedEnd {
  CallIndex call = 0;
  int turn = 0;
  RoutedEndKind kind = RoutedEndKind::lost;
  std::string reason;
  std::string last_event;   // broken: the id of the last event that went to the caller
  bool has_report = false;  // the runner told its load along
  std::int64_t running = 0, waiting = 0, slots = 0;
  bool may_have_run = false;            // refused or unsent: yet it was written before, over a link that then closed
  bool was_connection_refused = false;  // a definite word: no one listens there
  bool was_slow_to_connect = false;     // the link did not come up in time: silent machine
};

struct RouteDispatcherSettings {
  Address self;
  RegionName region;
  ZoneName zone;
  std::size_t queue_bound = 256;  // calls that wait for a free runner, all together
  double resend_share = 0.08;     // resends earned by each first send
  double resend_start = 1, resend_bound = 3;
  std::int64_t region_ms = 60;  // what a call to another region costs more than one nearby, in waiting
};

// Example:
//   RouteDispatcher dispatcher(settings); dispatcher.see(view, now); dispatcher.set_warming_up_until(until);
//   auto refusal = dispatcher.arrive(call, now, index);        // refused at once, or taken in
//   for (auto& act : dispatcher.take_sends()) send(act);  for (auto& act : dispatcher.take_stops()) stop(act);
//   dispatcher.first_piece(index, turn, now); dispatcher.end_send(end, now); dispatcher.on_timer(now);
//   for (auto& act : dispatcher.take_finals()) answer(act);    // FinalAct.call is never in hand any more afterwards
//   timer(dispatcher.timer_next());                            // nothing is due before
class RouteDispatcher {
 public:
  explicit RouteDispatcher(RouteDispatcherSettings settings);

  void see(std::shared_ptr<const RoutingView> view, TimePoint now);
  // Shares of cold runners may be used until then. Example: dispatcher.set_warming_up_until(grant.warming_up_until)
  void set_warming_up_until(TimePoint until) { warming_up_until_ = until; }

  std::optional<FinalAct> admit(const RoutedCall& call, TimePoint now, CallIndex index);
  // The head of an answer has come, the first event has gone to the caller, a later event has come.
  void answer_begun(CallIndex index, int turn, TimePoint now);
  void first_piece(CallIndex index, int turn, TimePoint now);
  void on_attempt_finished(const RoutedEnd& end, TimePoint now);
  // The caller left: what is pending is forgotten, what is sent is stopped.
  void caller_gone(CallIndex index, TimePoint now);
  void on_timer(TimePoint now);
  TimePoint timer_next(TimePoint now) const;

  std::vector<RoutedSend> take_sends() { return std::exchange(sends_, {}); }
  std::vector<StopSend> take_stops() { return std::exchange(stops_, {}); }
  // A final act with may_have_run after a first piece means: break the caller's stream off visibly.
  std::vector<FinalAct> take_finals() { return std::exchange(finals_, {}); }
  std::size_t in_hand() const { return calls_.size() + unmapped_.size(); }

  struct Counts {
    std::int64_t arrived = 0, sends = 0, resends = 0, resumed = 0, answered = 0, refused_route = 0, refused_full = 0,
                 refused_no_view = 0, unknown = 0, pended = 0, warmup_sends = 0, resend_denied = 0, stopped = 0,
                 far_sends = 0, kept_tokens = 0, read_tokens = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Call {
    CallIndex index = 0;
    CallId id;
    const Route* route = nullptr;  // in view_held
    std::shared_ptr<const RoutingView> view_held;
    PoolName pool;
    std::vector<PromptPart> prompt;
    std::uint64_t key = 0;  // of the opening
    std::int64_t tokens_in = 0, tokens_out = 0;
    std::string resume_after;
    TimePoint arrived, deadline, queued_until, sent_at, heard_at;
    std::int64_t unread = 0;  // of its prompt, at the runner it was sent to
    int turn = 0, unsent = 0;
    RunnerName runner;
    std::set<RunnerName> tried;
    bool is_queued = false, is_sent = false, has_answer = false, has_piece = false;
    bool has_piece_here = false;     // of the send in hand
    bool has_ended_silence = false;  // its runner's silence was seen and told already
    bool may_have_run = false;
  };
  // What this daemon itself knows of one runner.
  struct EndpointState {
    std::int64_t in_flight = 0;
    std::int64_t prompt_tokens = 0;  // of sends without a first piece yet
    std::int64_t reported = 0, own_at_report = 0;
    TimePoint reported_at{-100000};
    TimePoint shunned_until{-100000};         // it refused, reset or kept silent
    int troubles = 0;                         // in a row
    TimePoint heard{-100000};                 // anything came from it
    std::deque<TimePoint> sent;               // the sends of the last second, for cold runners
    std::map<std::uint64_t, TimePoint> kept;  // parts that it was sent before, and when last
  };
  std::set<RunnerName> runners_for_long(const std::vector<RunnerName>& pool, TimePoint now);
  std::optional<FinalAct> take_in(const RoutedCall& call, TimePoint arrived, TimePoint now, CallIndex index);
  void take_unmapped(TimePoint now);
  std::optional<RunnerName> pick_endpoint(Call& call, TimePoint now);
  bool try_send(Call& call, TimePoint now);
  void pend(Call& call, TimePoint now);
  void dispatch_queued(TimePoint now);
  void unlink(Call& call);
  void finish(CallIndex index, FinalAct act);
  bool may_resend(Call& call, TimePoint now);
  void resend_or_end(Call& call, bool surely_not_run, const std::string& reason, TimePoint now);
  static Duration unread_patience(const Call& call);
  FinalAct refusal(CallIndex index, const std::string& reason, Duration retry_after) const;
  bool has_living(const Call& call) const;
  std::int64_t warmup_share(const RunnerRow& row) const;
  std::int64_t unread_tokens(const Call& call, const EndpointState& endpoint, TimePoint now) const;

  // A call that came before the first map.
  struct Unmapped {
    RoutedCall call;
    CallIndex index = 0;
    TimePoint arrived;
  };
  RouteDispatcherSettings settings_;
  std::optional<TimePoint>
      began_;  // the first call or view; no cold runner is used for a second: the last life may have
  std::deque<Unmapped> unmapped_;
  std::shared_ptr<const RoutingView> view_ = std::make_shared<RoutingView>();
  TimePoint warming_up_until_{-1};
  absl::flat_hash_map<CallIndex, Call> calls_;
  std::map<RunnerName, EndpointState> endpoints_;
  std::map<std::pair<PoolName, RegionName>, TimePoint> short_seen_;  // where short calls went lately
  std::map<std::pair<std::int64_t, CallIndex>, CallIndex> queue_;    // by rank, then arrival
  std::map<PoolName, double> resend_tokens_;
  std::vector<RoutedSend> sends_;
  std::vector<StopSend> stops_;
  std::vector<FinalAct> finals_;
  Counts counts_;
};

}  // namespace emberdale
