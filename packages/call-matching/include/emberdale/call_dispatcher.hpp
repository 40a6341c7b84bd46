// The stages of a call that need no I/O: gate, match, pending, retry, end.
// Deterministic: the daemon and the simulator run the same dispatcher.
#pragma once
#include <absl/container/flat_hash_map.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "emberdale/lease_manager.hpp"
#include "emberdale/pool.hpp"
#include "emberdale/routing_view.hpp"

namespace emberdale {

using CallIndex = std::int64_t;

struct ArrivingCall {
  CallId id;
  std::string method, path;
  std::map<std::string, std::string> headers;  // lower-case names
  std::string prefix;                          // the start of the body, as long as any plan asks
  std::int64_t body_bytes = 0;
  Duration deadline{0};  // 0: as the plan says
};

// Send this call to that runner now.
struct SendAct {
  CallIndex call = 0;
  CallId id;
  RunnerName runner;
  std::string http, path, method, seal_key;
  std::int64_t incarnation = 0;
  bool is_repeatable = false, is_streaming = false;
  TimePoint deadline;
  bool is_retry = false;
  std::int64_t config_revision = 0;  // of the plan it is sent by
};

// The final answer to the caller, when no runner gives it.
struct FinalAct {
  CallIndex call = 0;  // 0: refused at the gate, never taken in
  int code = 503;
  std::string reason;
  bool may_have_run = false;       // false: it surely did not run and never will
  Duration retry_after{0};         // 0: asking again is of no use
  std::vector<std::string> homes;  // 421: where the call belongs
};

enum class SendEndKind {
  answered,     // complete, sealed, handed over
  refused,      // the runner refused it before running it
  unsent,       // the link never came up: nothing left this daemon
  lost,         // sent, and no sound answer came back
  caller_gone,  // the caller left; the send was given up
};

struct SendEnd {
  CallIndex call = 0;
  SendEndKind kind = SendEndKind::lost;
  std::string reason;
  bool has_report = false;  // the runner told its load along
  std::int64_t incarnation = 0, load = 0, capacity = 0;
  bool is_warming_up = false;
};

struct DispatcherSettings {
  Address self;
  RegionName region;
  std::size_t queue_bound = 128;    // per plan
  Duration queue_patience{600};     // no call waits longer for a free runner, or for the grant
  int admission_step = 2;           // of those that waited for the grant, so many are let in...
  Duration admission_interval{25};  // ...in each of these
  Duration grant_hope{1000};        // so long after start or wake the grant is waited for
  double retry_share = 0.12;        // retries earned by each first send
  double retry_start = 2, retry_bound = 5;
};

// Example:
//   CallDispatcher dispatcher(settings); dispatcher.see(view, now); dispatcher.set_grant(grant);
//   auto refusal = dispatcher.arrive(call, now, index);      // refused at once, or taken in
//   for (auto& act : dispatcher.take_sends()) send(act);     // checked against the grant this instant
//   dispatcher.end_send(end, now); dispatcher.on_timer(now); for (auto& act : dispatcher.take_finals()) answer(act);
class CallDispatcher {
 public:
  explicit CallDispatcher(DispatcherSettings settings)
      : settings_(std::move(settings)), retry_tokens_(settings_.retry_start) {}

  void see(std::shared_ptr<const RoutingView> view, TimePoint now);
  void set_grant(const Grant& grant) { grant_ = grant; }
  // Stop taking calls: what is in hand is finished. Example: dispatcher.close();
  void close() { is_closed_ = true; }

  std::optional<FinalAct> admit(const ArrivingCall& call, TimePoint now, CallIndex index);
  void first_piece(CallIndex index);  // from here on no other runner may continue the call
  void on_attempt_finished(const SendEnd& end, TimePoint now);
  void caller_gone(CallIndex index, TimePoint now);
  void on_timer(TimePoint now);

  std::vector<SendAct> take_sends();
  std::vector<FinalAct> take_finals();
  std::size_t in_hand() const { return calls_.size() + ungated_.size(); }
  bool is_granted(TimePoint now) const;
  // How many bytes of the body the gate wants as prefix. Example: dispatcher.widest_prefix()
  std::int64_t widest_prefix() const;

  struct Counts {
    std::int64_t arrived = 0, sends = 0, retries = 0, answered = 0, refused_admission = 0, refused_full = 0,
                 refused_no_grant = 0, refused_other = 0, unknown = 0, spilled = 0, misdirected = 0, pended = 0,
                 warmup_sends = 0, retry_denied = 0, grant_awaited = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Call {
    ListHook hook;  // in the pending list of its plan
    CallIndex index = 0;
    CallId id;
    PlanName plan;
    std::string method, path;
    RegionName home;  // empty: free
    std::string key;  // affinity
    TimePoint deadline, queued_until;
    RunnerName runner;
    std::vector<RunnerName> tried;
    bool is_queued = false, is_spilled = false, is_retry = false, has_piece = false;
  };
  struct EndpointState {  // what this daemon itself knows of one runner
    std::int64_t in_flight = 0;
    std::int64_t reported_load = 0, own_at_report = 0, capacity = 0;
    std::int64_t incarnation = 0;
    bool has_report = false;
    MapVersion shunned_at;     // not used until the map moves past this version...
    TimePoint shunned_until;   // ...or this moment is past
    bool is_reachable = true;  // false: no link came up; else it is the last resort while shunned
  };
  // A call that came while the grant was being asked for.
  struct Ungated {
    ArrivingCall call;
    CallIndex index = 0;
    TimePoint since, until;
  };
  bool may_hope(TimePoint now);
  std::optional<FinalAct> admission(const ArrivingCall& call, TimePoint arrived, TimePoint now, CallIndex index);
  void open_admission(TimePoint now);
  const ServingPlan* plan_of(const Call& call) const;
  std::optional<RunnerName> pick_endpoint(const Call& call, const ServingPlan& plan, TimePoint now,
                                          bool& is_spill) const;
  std::optional<RunnerName> match_in(const Call& call, const ServingPlan& plan, const RegionName& region, TimePoint now,
                                     bool is_last_resort) const;
  std::int64_t load_of(const RunnerRow& row, const EndpointState& endpoint) const;
  std::int64_t bound_of(const RunnerRow& row, TimePoint now) const;
  bool try_send(Call& call, TimePoint now);
  void pend(PoolIndex at);
  void forget(PoolIndex at);
  void finish(CallIndex index, FinalAct act);
  void dispatch_queued(TimePoint now);
  FinalAct refusal(CallIndex index, const std::string& reason, Duration retry_after);

  DispatcherSettings settings_;
  std::shared_ptr<const RoutingView> view_ = std::make_shared<RoutingView>();
  Grant grant_;
  bool is_closed_ = false;
  Pool<Call> pool_;
  absl::flat_hash_map<CallIndex, PoolIndex> calls_;
  std::map<PlanName, IntrusiveList<Call>> queue_;
  std::map<RunnerName, EndpointState> endpoints_;
  std::map<PlanName, std::pair<std::int64_t, std::int64_t>> in_flight_;  // all, spilled
  std::deque<Ungated> ungated_;
  TimePoint admission_next_;
  std::optional<TimePoint> lacking_since_, last_timer_;
  double retry_tokens_;
  std::vector<SendAct> sends_;
  std::vector<FinalAct> finals_;
  Counts counts_;
};

}  // namespace emberdale
