// The stages of a routed call that need no I/O: admission, endpoint selection, queueing, retry, resumption and the end.
// Deterministic, without I/O, clock or threads: the daemon and the tests run the same dispatcher.
#pragma once
#include <absl/container/flat_hash_map.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "emberdale/attempt_invariants.hpp"
#include "emberdale/call_dispatcher.hpp"
#include "emberdale/duration_histogram.hpp"
#include "emberdale/endpoint_selector.hpp"
#include "emberdale/endpoint_state.hpp"
#include "emberdale/retry_budget.hpp"
#include "emberdale/routing_view.hpp"
#include "emberdale/sending_knowledge.hpp"

namespace emberdale {

// A call as the client sent it, as far as routing depends on it.
struct RoutedCall {
  CallId id;
  std::string host, path;  // the path without its query
  Duration deadline{0};    // the client's; 0: as the route says
  std::vector<PromptPart> prompt;
  std::int64_t tokens_in = 0, tokens_out = 0;
  std::string resume_after;  // the client continues a stream after this event; empty: from the start
};

// Send this call to that runner now. An attempt is identified by call and attempt number together.
struct RoutedAttempt {
  CallIndex call = 0;
  int attempt_number = 0;  // 1 is the first attempt of this call
  RunnerName runner;
  std::string http_address;
  bool is_repeatable = false, is_streaming = false;
  std::int64_t rank = 5;
  TimePoint deadline;
  std::string resume_after;  // continue after this event; empty: from the start
};

// Cancel this attempt: close its connection and forward nothing more of it. The dispatcher forgets it at once and
// expects no result.
struct AttemptCancellation {
  CallIndex call = 0;
  int attempt_number = 0;
};

enum class RoutedAttemptOutcome {
  completed,          // a whole valid response went to the client
  refused,            // the runner says that it did not run the call (full, draining, ..)
  wrong_incarnation,  // another runner has that address now: it did not run the call
  not_sent,  // the connection never came up, or was closed before anything was written: nothing left this daemon
  lost,      // sent, and no valid response came; the call may have run
  broken,    // a stream broke after events went to the client
  caller_disconnected,  // the client left; the attempt was cancelled
};

struct RoutedAttemptResult {
  CallIndex call = 0;
  int attempt_number = 0;
  RoutedAttemptOutcome outcome = RoutedAttemptOutcome::lost;
  std::string reason;
  std::string last_event;   // broken: the id of the last event that went to the client
  bool has_report = false;  // the runner reported its load
  std::int64_t running = 0, waiting = 0, slots = 0;
  bool may_have_run = false;            // refused or not sent, yet written before over a connection that then closed
  bool was_connection_refused = false;  // certain: no one listens at the address
  bool was_slow_to_connect = false;     // the connection did not come up in time: the machine is silent
};

struct RouteDispatcherSettings {
  Address self;
  RegionName region;
  ZoneName zone;
  std::size_t queue_bound = 256;              // calls that wait for a free runner, all together
  double resend_share = 0.08;                 // retries earned by each first attempt
  double resend_start = 1, resend_bound = 3;  // retries at the start, and saved up at most
  std::int64_t region_ms = 60;                // round trip to another region
};

// Use:
//   RouteDispatcher dispatcher(settings); dispatcher.update_view(view, now);
//   auto refusal = dispatcher.admit(call, now, index);  // refused at once, or open from here on
//   for (auto& attempt : dispatcher.drain_attempts()) send(attempt);
//   for (auto& cancellation : dispatcher.drain_cancellations()) cancel(cancellation);
//   for (auto& response : dispatcher.drain_final_responses()) respond(response);
//   dispatcher.on_attempt_finished(result, now); dispatcher.on_timer(now); wait_until(dispatcher.next_timer(now));
class RouteDispatcher {
 public:
  explicit RouteDispatcher(RouteDispatcherSettings settings);

  // Takes the newest snapshot of the routing state; queued calls may be sent by it.
  void update_view(std::shared_ptr<const RoutingView> view, TimePoint now);
  // By which reading of the list of runners calls may be sent.
  void update_sending_knowledge(SendingKnowledge sending);
  // The slow-start quotas of warming runners may be used until then.
  void set_warming_up_until(TimePoint until) { warming_up_until_ = until; }

  // Admits a call under an index of the caller's choice, or gives the response that refuses it.
  std::optional<FinalResponse> admit(const RoutedCall& call, TimePoint now, CallIndex index);
  // The head of a response has come.
  void on_response_started(CallIndex index, int attempt_number, TimePoint now);
  // An event of a stream has gone to the client, the first or a later one.
  void on_stream_event(CallIndex index, int attempt_number, TimePoint now);
  // Ignored unless it is the call's current attempt.
  void on_attempt_finished(const RoutedAttemptResult& result, TimePoint now);
  // The client left: a queued call is forgotten, an attempt in flight is cancelled.
  void on_caller_disconnected(CallIndex index, TimePoint now);
  void on_timer(TimePoint now);
  // Nothing is due before.
  TimePoint next_timer(TimePoint now) const;

  std::vector<RoutedAttempt> drain_attempts() { return std::exchange(attempts_, {}); }
  std::vector<AttemptCancellation> drain_cancellations() { return std::exchange(cancellations_, {}); }
  // Their calls are no longer open. One with may_have_run after a first event means: break the client's stream off
  // visibly.
  std::vector<FinalResponse> drain_final_responses() { return std::exchange(final_responses_, {}); }
  std::size_t open_calls() const { return calls_.size() + awaiting_view_.size(); }

  struct Counts {
    std::int64_t arrived = 0, sends = 0, resends = 0, resumed = 0, answered = 0, refused_route = 0, refused_full = 0,
                 refused_no_view = 0, unknown = 0, pended = 0, warmup_sends = 0, resend_denied = 0, stopped = 0,
                 far_sends = 0, kept_tokens = 0, read_tokens = 0, excused_sends = 0;
    // The age of the reading of the list behind each attempt.
    DurationHistogram list_age_at_send;
    // From a runner's mark in the list, or earlier, to the last attempt sent to it; one for each marked runner that was
    // sent calls, and one more for each attempt that goes to it even so.
    DurationHistogram drain_delay;
  };
  const Counts& counts() const { return counts_; }

 private:
  // An open call. At any time it is queued, or has one attempt in flight (is_sent).
  struct Call {
    CallIndex index = 0;
    SelectionCall selection;
    const Route* route = nullptr;                     // in routing_view
    std::shared_ptr<const RoutingView> routing_view;  // by which it was admitted
    std::string resume_after;
    TimePoint deadline, queued_until, last_received_at;
    std::int64_t uncached_tokens = 0;  // of its prompt, at the runner it was sent to
    int attempt_number = 0;            // of the latest attempt
    int unsent_attempts = 0;           // attempts of which nothing left this daemon
    RunnerName runner;                 // of the latest attempt
    bool is_sent = false;
    bool has_event = false;               // an event has gone to the client
    bool has_event_from_attempt = false;  // and one of the current attempt
    bool is_silence_handled = false;      // the silence of its runner has been acted upon
    bool may_have_run = false;

    bool is_retry() const { return attempt_number > unsent_attempts; }
  };
  // A call that arrived before the first view.
  struct CallAwaitingView {
    RoutedCall call;
    CallIndex index = 0;
    TimePoint arrived;
  };
  // The queue's order: by rank, then by arrival.
  struct QueueKey {
    std::int64_t rank = 0;
    CallIndex index = 0;
    bool operator<(const QueueKey& right) const { return rank != right.rank ? rank < right.rank : index < right.index; }
  };

  // Admission and the queue: route_admission.cpp
  std::optional<FinalResponse> admit_with_view(const RoutedCall& call, TimePoint arrived, TimePoint now,
                                               CallIndex index);
  Call open_call(const RoutedCall& arriving, const Route& route, TimePoint arrived, CallIndex index) const;
  void admit_awaiting_view(TimePoint now);
  void enqueue(const Call& call);
  void dequeue(const Call& call);
  void dispatch_queued(TimePoint now);
  void refuse_queued(const Call& call);
  bool has_available_runner(const Call& call) const;
  FinalResponse refusal(CallIndex index, const std::string& reason, Duration retry_after) const;

  // Attempts and their ends: route_dispatcher.cpp
  std::optional<RunnerName> select_endpoint(const Call& call, TimePoint now);
  bool try_send(Call& call, TimePoint now);
  void check_attempt(const Call& call, TimePoint now);
  void record_delays(const RunnerName& runner, TimePoint now);
  void release_endpoint(Call& call);
  Call* find_attempt(CallIndex index, int attempt_number);
  void on_not_sent(Call& call, const RoutedAttemptResult& result, TimePoint now);
  bool may_retry(const Call& call, TimePoint now);
  RetryBudget& retry_budget(const PoolName& pool);
  void count_retry(const Call& call);
  void retry_or_finish(Call& call, bool has_surely_not_run, const std::string& reason, TimePoint now);
  void finish(CallIndex index, FinalResponse response);

  // Timeouts: route_timeouts.cpp
  bool is_silent(const Call& call, TimePoint now);
  void on_deadline_passed(Call& call);
  void on_silence(Call& call, TimePoint now);

  RouteDispatcherSettings settings_;
  // The first call or view. For a second from then on no warming runner is used: the daemon's previous incarnation
  // may have used up the quota.
  std::optional<TimePoint> started_at_;
  std::deque<CallAwaitingView> awaiting_view_;
  std::shared_ptr<const RoutingView> view_ = std::make_shared<RoutingView>();
  TimePoint warming_up_until_{-1};
  SendingKnowledge sending_;
  absl::flat_hash_map<CallIndex, Call> calls_;
  EndpointTable endpoints_;
  EndpointSelector selector_;
  std::map<QueueKey, CallIndex> queue_;
  std::map<PoolName, RetryBudget> retry_budgets_;
  std::vector<RoutedAttempt> attempts_;
  std::vector<AttemptCancellation> cancellations_;
  std::vector<FinalResponse> final_responses_;
  Counts counts_;
  SendsToLeavingRunnerInvariant leaving_runner_invariant_;
  AttemptBudgetInvariant attempt_budget_invariant_;
  ListAgeInvariant list_age_invariant_;
};

}  // namespace emberdale
