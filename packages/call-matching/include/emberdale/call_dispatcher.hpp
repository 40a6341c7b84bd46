// The stages of a call that need no I/O: admission, endpoint selection, queueing, retry and the end.
// Deterministic, without I/O, clock or threads: the daemon and the simulator run the same dispatcher.
#pragma once
#include <absl/container/flat_hash_map.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "emberdale/attempt_invariants.hpp"
#include "emberdale/lease_manager.hpp"
#include "emberdale/pool.hpp"
#include "emberdale/retry_budget.hpp"
#include "emberdale/routing_view.hpp"

namespace emberdale {

using CallIndex = std::int64_t;

// A call as the client sent it, as far as serving plans depend on it.
struct ArrivingCall {
  CallId id;
  std::string method, path;
  std::map<std::string, std::string> headers;  // lower-case names
  std::string prefix;                          // the start of the body, as long as any plan needs it
  std::int64_t body_bytes = 0;
  Duration deadline{0};  // 0: as the plan says
};

// Send this call to that runner now.
struct CallAttempt {
  CallIndex call = 0;
  CallId id;
  RunnerName runner;
  std::string http_address, path, method, seal_key;
  std::int64_t incarnation = 0;
  bool is_repeatable = false, is_streaming = false;
  TimePoint deadline;
  bool is_retry = false;
  std::int64_t config_revision = 0;  // of the plan it is sent by
};

// The response that the daemon itself gives to the client, when no runner does.
struct FinalResponse {
  CallIndex call = 0;  // 0: refused by admission, never opened
  int code = 503;
  std::string reason;
  bool may_have_run = false;       // false: it surely did not run and never will
  Duration retry_after{0};         // 0: a retry is of no use
  std::vector<std::string> homes;  // 421: addresses in the call's home region
};

enum class AttemptOutcome {
  completed,            // whole, sealed, forwarded to the client
  refused,              // the runner refused it before running it
  not_sent,             // the connection never came up: nothing left this daemon
  lost,                 // sent, and no valid response came back
  caller_disconnected,  // the client left; the attempt was cancelled
};

struct AttemptResult {
  CallIndex call = 0;
  AttemptOutcome outcome = AttemptOutcome::lost;
  std::string reason;
  bool has_report = false;  // the runner reported its load
  std::int64_t incarnation = 0, load = 0, capacity = 0;
  bool is_warming_up = false;
};

struct DispatcherSettings {
  Address self;
  RegionName region;
  std::size_t queue_bound = 128;            // per plan
  Duration queue_timeout{600};              // no call waits longer for a free runner, or for the grant
  int admission_step = 2;                   // of the calls that waited for the grant, so many are admitted...
  Duration admission_interval{25};          // ...in each of these
  Duration grant_wait_timeout{1000};        // so long after start or resumption calls wait for the grant
  double retry_share = 0.12;                // retries earned by each first attempt
  double retry_start = 2, retry_bound = 5;  // retries at the start, and saved up at most
};

// Use:
//   CallDispatcher dispatcher(settings); dispatcher.update_view(view, now); dispatcher.set_grant(grant);
//   auto refusal = dispatcher.admit(call, now, index);  // refused at once, or open from here on
//   for (auto& attempt : dispatcher.drain_attempts()) send(attempt);  // checked against the grant this instant
//   for (auto& response : dispatcher.drain_final_responses()) respond(response);
//   dispatcher.on_attempt_finished(result, now); dispatcher.on_timer(now);
class CallDispatcher {
 public:
  explicit CallDispatcher(DispatcherSettings settings)
      : settings_(std::move(settings)),
        retry_budget_({settings_.retry_share, settings_.retry_start, settings_.retry_bound}) {}

  // Takes the newest snapshot of the routing state; queued calls may be sent by it.
  void update_view(std::shared_ptr<const RoutingView> view, TimePoint now);
  void set_grant(const Grant& grant) { grant_ = grant; }
  // Admits no more calls; the open ones are finished.
  void close() { is_closed_ = true; }

  // Admits a call under an index of the caller's choice, or gives the response that refuses it.
  std::optional<FinalResponse> admit(const ArrivingCall& call, TimePoint now, CallIndex index);
  // The first event of a stream has gone to the client: from here on no other runner may continue the call.
  void on_stream_event(CallIndex index);
  void on_attempt_finished(const AttemptResult& result, TimePoint now);
  // The client left: a queued call is forgotten; an attempt in flight ends on its own.
  void on_caller_disconnected(CallIndex index, TimePoint now);
  void on_timer(TimePoint now);

  std::vector<CallAttempt> drain_attempts();
  // Their calls are no longer open.
  std::vector<FinalResponse> drain_final_responses();
  std::size_t open_calls() const { return calls_.size() + awaiting_grant_.size(); }
  // True while the grant covers the view; nothing is sent without it.
  bool is_granted(TimePoint now) const;
  // How many bytes of the body admission wants as prefix.
  std::int64_t widest_prefix() const;

  struct Counts {
    std::int64_t arrived = 0, sends = 0, retries = 0, answered = 0, refused_admission = 0, refused_full = 0,
                 refused_no_grant = 0, refused_other = 0, unknown = 0, spilled = 0, misdirected = 0, pended = 0,
                 warmup_sends = 0, retry_denied = 0, grant_awaited = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  // An open call: queued, or with one attempt in flight.
  struct Call {
    ListHook hook;  // in the queue of its plan
    CallIndex index = 0;
    CallId id;
    PlanName plan;
    std::string method, path;
    RegionName home;           // empty: free
    std::string affinity_key;  // calls with equal keys prefer the same runner
    TimePoint deadline, queued_until;
    RunnerName runner;
    std::vector<RunnerName> tried;
    bool is_queued = false, is_spilled = false, is_retry = false, has_event = false;
  };
  // What this daemon itself knows of one runner.
  struct EndpointState {
    std::int64_t in_flight = 0;
    std::int64_t reported_load = 0, in_flight_at_report = 0, capacity = 0;
    std::int64_t incarnation = 0;
    bool has_report = false;
    MapVersion ejected_at_version;  // not used until the map moves past this version...
    TimePoint ejected_until;        // ...or this moment is past
    bool is_reachable = true;       // false: no connection came up; else it is the last resort while ejected
  };
  // A call that arrived while the grant was being requested.
  struct CallAwaitingGrant {
    ArrivingCall call;
    CallIndex index = 0;
    TimePoint since, until;
  };
  // Attempts of one plan.
  struct PlanLoad {
    std::int64_t in_flight = 0;
    std::int64_t spilled = 0;  // of them, in other regions
  };
  // A runner that may take a call now.
  struct Candidate {
    const RunnerRow* row;
    std::int64_t load, limit;
  };

  // Admission and the queues: call_admission.cpp
  bool may_await_grant(TimePoint now);
  void admit_awaiting_grant(TimePoint now);
  std::optional<FinalResponse> admit_granted(const ArrivingCall& call, TimePoint arrived, TimePoint now,
                                             CallIndex index);
  std::optional<FinalResponse> find_home(const ArrivingCall& call, const ServingPlan& plan, RegionName& home);
  std::optional<FinalResponse> send_or_enqueue(PoolIndex at, TimePoint now);
  FinalResponse misdirected(const RegionName& home);
  void enqueue(PoolIndex at);
  void dispatch_queued(TimePoint now);
  std::optional<FinalResponse> end_of_queueing(const Call& call, TimePoint now);
  void refuse_expired(TimePoint now);

  // Endpoint selection: call_endpoint_selection.cpp
  std::optional<RunnerName> select_endpoint(const Call& call, const ServingPlan& plan, TimePoint now,
                                            bool& is_spill) const;
  std::optional<RunnerName> select_in_region(const Call& call, const ServingPlan& plan, const RegionName& region,
                                             TimePoint now, bool is_last_resort) const;
  std::optional<Candidate> candidate_of(const Call& call, const RunnerRow& row, TimePoint now,
                                        bool is_last_resort) const;
  bool may_spill_now(const ServingPlan& plan) const;
  std::int64_t load_of(const RunnerRow& row, const EndpointState& endpoint) const;
  std::int64_t load_limit(const RunnerRow& row, TimePoint now) const;

  // Attempts and their ends: call_dispatcher.cpp
  const ServingPlan* plan_of(const Call& call) const;
  bool try_send(Call& call, TimePoint now);
  void release_endpoint(const Call& call, const AttemptResult& result);
  void eject_if_failed(const Call& call, const AttemptResult& result, TimePoint now);
  void eject(EndpointState& endpoint, TimePoint now);
  void retry_or_finish(PoolIndex at, const AttemptResult& result, TimePoint now);
  bool retry(PoolIndex at, TimePoint now);
  void forget(PoolIndex at);
  void finish(CallIndex index, FinalResponse response);
  FinalResponse refusal(CallIndex index, const std::string& reason, Duration retry_after) const;

  DispatcherSettings settings_;
  std::shared_ptr<const RoutingView> view_ = std::make_shared<RoutingView>();
  Grant grant_;
  bool is_closed_ = false;
  Pool<Call> pool_;
  absl::flat_hash_map<CallIndex, PoolIndex> calls_;
  std::map<PlanName, IntrusiveList<Call>> queues_;
  std::map<RunnerName, EndpointState> endpoints_;
  std::map<PlanName, PlanLoad> plan_loads_;
  std::deque<CallAwaitingGrant> awaiting_grant_;
  TimePoint admission_next_;
  std::optional<TimePoint> without_grant_since_, last_timer_at_;
  RetryBudget retry_budget_;
  std::vector<CallAttempt> attempts_;
  std::vector<FinalResponse> final_responses_;
  Counts counts_;
  SendsToLeavingRunnerInvariant leaving_runner_invariant_;
  AttemptBudgetInvariant attempt_budget_invariant_;
};

}  // namespace emberdale
