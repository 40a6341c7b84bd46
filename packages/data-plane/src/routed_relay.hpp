// The I/O of routed calls: accepting them, sending them to runners, relaying what comes back.
#pragma once
#include <absl/base/thread_annotations.h>
#include <absl/status/status.h>
#include <cpprest/http_msg.h>
#include <cpprest/producerconsumerstream.h>

#include <array>
#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "call_fields.hpp"
#include "call_relay.hpp"
#include "emberdale/bounded_queue.hpp"
#include "emberdale/departed_caller_invariant.hpp"
#include "emberdale/http_client.hpp"
#include "emberdale/http_listener.hpp"
#include "emberdale/route_dispatcher.hpp"
#include "event_stream.hpp"

namespace emberdale {

// The names of headers, as the deployment's protocol has them. A header with an empty name is not used.
struct RelayHeaderNames {
  std::string call_id;                       // of a call and of its response
  std::string deadline;                      // ms left, to this daemon and from it to a runner
  std::string prompt;                        // HEXID:TOKENS,HEXID:TOKENS,..
  std::string tokens;                        // IN,OUT
  std::string expected_incarnation;          // to a runner: only this one runs the call, every other responds 421
  std::string rank;                          // to a runner
  std::string incarnation;                   // of a response: who ran it
  std::string seal;                          // of a response: without it none is accepted
  std::string load;                          // of a response: running,waiting,slots
  std::string not_run, not_run_value = "1";  // of a response: the call surely did not run
  std::string resume = "Last-Event-Id";
};

// The open calls of a relay together; every open call shares it, also beyond the relay's end.
struct OpenCallTotals {
  std::mutex mutex;
  std::condition_variable changed;
  std::size_t calls ABSL_GUARDED_BY(mutex) = 0;
  std::size_t bytes ABSL_GUARDED_BY(mutex) = 0;  // of their bodies
};

// The stages accept -> admission -> endpoint selection -> attempt -> relay of routed calls, joined by bounded queues.
// The dispatcher runs on one thread of the relay's own; the library's threads read and write.
//
// Use: RoutedRelay relay(dispatcher_settings, header_names, snapshot, "127.0.0.1:80"); relay.open(); ...
//      relay.stop(Duration{5000});
class RoutedRelay {
 public:
  RoutedRelay(RouteDispatcherSettings settings, RelayHeaderNames header_names, const ControlSnapshot& snapshot,
              const std::string& http_address, std::size_t max_connections = ListenerLimits{}.max_connections);
  ~RoutedRelay();
  // Listens for clients; Unavailable if the address can't be used.
  absl::Status open();
  // The snapshot has a new value: the dispatch thread takes it at once.
  void notify_snapshot_changed();
  // From here on responses ask clients to leave this connection; calls are still admitted.
  void begin_draining() { is_stopping_ = true; }
  bool ready() const { return is_open_ && !is_stopping_; }
  // Finishes the open calls, or aborts them at the timeout. Of what comes meanwhile, calls are taken whose own deadline
  // lies before that; all others are refused.
  void stop(Duration timeout);
  // False from the begin of stop() on.
  bool takes_calls() const { return is_open_; }
  RouteDispatcher::Counts counts() const;
  struct RelayCounts {
    std::atomic<std::int64_t> unsealed{0}, foreign_responses{0}, streams_broken{0}, connections_broken{0},
        callers_gone{0}, pieces{0}, pieces_dropped{0}, stops{0}, accept_refused{0}, own_responses_kept{0},
        attempts_abandoned{0};
  };
  const RelayCounts& relay_counts() const { return relay_counts_; }
  std::size_t open_calls() const;
  ListenerCounts listener_counts() const { return listener_.counts(); }

 private:
  // The daemon's own response to a call that surely did not run.
  struct Refusal {
    int code = 503;
    std::string reason;
    Duration retry_after{0};
    bool is_connection_closed = false;
  };
  struct Handle;            // one open call
  struct ActiveAttempt;     // one attempt of it
  struct RunnerConnection;  // a client of one runner
  struct OpenCall {
    std::shared_ptr<Handle> handle;
    std::shared_ptr<ActiveAttempt> active;  // the current one
    bool may_have_run = false;              // by an earlier attempt
  };
  // Events for the dispatch thread.
  struct CallArrived {
    std::shared_ptr<Handle> handle;
    RoutedCall call;
  };
  struct ResponseStarted {
    CallIndex index;
    int attempt_number;
  };
  struct StreamProgress {
    CallIndex index;
    int attempt_number;
  };
  struct CallerDisconnected {
    CallIndex index;
  };
  struct SnapshotChanged {};
  using DispatchEvent = std::variant<CallArrived, RoutedAttemptResult, ResponseStarted, StreamProgress,
                                     CallerDisconnected, SnapshotChanged>;
  using Bytes = std::shared_ptr<std::vector<std::uint8_t>>;

  // Admission: routed_relay_admission.cpp
  void handle(web::http::http_request request);
  std::optional<Refusal> refusal_of(const web::http::http_request& request) const;
  bool may_outlast_this_daemon(const web::http::http_request& request) const;
  bool reserve_capacity(std::size_t body_size);
  void watch_departure(const std::shared_ptr<Handle>& handle);
  std::shared_ptr<Handle> register_call(const web::http::http_request& request, std::size_t body_size);
  RoutedCall routed_call_of(const web::http::http_request& request) const;
  void read_body(std::shared_ptr<Handle> handle, RoutedCall call);
  void read_chunked(std::shared_ptr<Handle> handle, RoutedCall call);
  void enqueue_arrival(std::shared_ptr<Handle> handle, RoutedCall call);
  bool append_body(const std::shared_ptr<Handle>& handle, const std::string& bytes);

  // The dispatch thread: routed_relay.cpp
  void run_dispatcher();
  bool wait_until_idle(Duration timeout);
  void close_listener();
  void apply_snapshot(TimePoint now);
  void log_worst_delays();
  TimePoint process_events(std::optional<DispatchEvent> event, TimePoint now, TimePoint timer_at);
  void execute_actions(TimePoint now);
  void on_event(const CallArrived& arrived, TimePoint now);
  void on_event(const RoutedAttemptResult& result, TimePoint now);
  void on_event(const ResponseStarted& started, TimePoint now);
  void on_event(const StreamProgress& progress, TimePoint now);
  void on_event(const CallerDisconnected& disconnected, TimePoint now);
  void on_event(const SnapshotChanged&, TimePoint) {}
  OpenCall* find_attempt(CallIndex index, int attempt_number);
  void close_call(CallIndex index);
  void cancel_attempt(OpenCall& call);
  void close_departed(Handle& handle);
  void refuse_queued_arrivals();
  void abort_open_calls(const std::string& reason);

  // Attempts: routed_relay_attempts.cpp
  void start_attempt(const RoutedAttempt& attempt, TimePoint now);
  HttpRequest request_to_runner(const ActiveAttempt& active, const std::string& resume_after, TimePoint now) const;
  void send_request(const std::shared_ptr<ActiveAttempt>& active, HttpRequest request, TimePoint now);
  std::shared_ptr<RunnerConnection> connection_to(const RoutedAttempt& attempt);
  void drop_connections(const RoutingView& view);
  void abandon_unsent_attempts(const RoutingView& view, TimePoint now);
  RoutedAttemptResult result_of(const ActiveAttempt& active, RoutedAttemptOutcome outcome,
                                const std::string& reason) const;
  void finish_attempt(const std::shared_ptr<ActiveAttempt>& active, RoutedAttemptOutcome outcome,
                      const std::string& reason);
  void on_attempt_failed(const std::shared_ptr<ActiveAttempt>& active, const ExchangeEnd& end);

  // Responses of runners: routed_relay_responses.cpp
  std::optional<BodyLimits> on_response_headers(const std::shared_ptr<ActiveAttempt>& active);
  bool on_response_bytes(const std::shared_ptr<ActiveAttempt>& active, const std::string& bytes);
  void on_response_end(const std::shared_ptr<ActiveAttempt>& active, const ExchangeEnd& end);
  std::optional<std::string> rejection_reason(const std::shared_ptr<ActiveAttempt>& active);
  BodyLimits on_refused(const std::shared_ptr<ActiveAttempt>& active);
  std::optional<BodyLimits> discard(const std::shared_ptr<ActiveAttempt>& active, RoutedAttemptOutcome outcome,
                                    const std::string& reason);
  std::optional<BodyLimits> accept_response(const std::shared_ptr<ActiveAttempt>& active);
  bool hold_bytes(const std::shared_ptr<ActiveAttempt>& active, const std::string& bytes);
  void end_response(const std::shared_ptr<ActiveAttempt>& active, const ExchangeEnd& end);
  void forward_response(const std::shared_ptr<ActiveAttempt>& active);

  // Streams: routed_relay_streams.cpp
  bool forward_events(const std::shared_ptr<ActiveAttempt>& active, const std::string& bytes);
  void end_stream(const std::shared_ptr<ActiveAttempt>& active, bool is_broken);
  void open_stream(const std::shared_ptr<ActiveAttempt>& active);

  // The daemon's own responses: routed_relay_final_responses.cpp
  void refuse(const web::http::http_request& request, const std::string& call_id, const Refusal& refusal,
              std::shared_ptr<Handle> held = nullptr);  // open until the response is written
  void refuse_without_reading(const web::http::http_request& request, Refusal refusal);
  void send_final_response(const FinalResponse& final_response, const std::shared_ptr<Handle>& handle);
  web::http::http_response response_of(const FinalResponse& final_response, const std::string& call_id) const;
  void promise_not_run(web::http::http_response& response) const;
  void reply(const web::http::http_request& request, web::http::http_response response,
             std::function<void(bool)> on_end);
  void copy_response_headers(const web::http::http_headers& from, web::http::http_headers& to) const;

  RouteDispatcherSettings settings_;
  RelayHeaderNames header_names_;
  const ControlSnapshot& snapshot_;
  HttpListener listener_;
  // Of the dispatch thread alone, up to view_.
  RouteDispatcher dispatcher_;
  std::map<CallIndex, OpenCall> calls_;
  DepartedCallerInvariant departed_callers_;
  std::map<std::pair<std::string, RunnerName>, std::shared_ptr<RunnerConnection>> connections_;
  std::shared_ptr<const RoutingView> view_;
  Duration logged_list_age_, logged_drain_delay_;
  BoundedQueue<DispatchEvent> events_{4096};
  std::thread dispatch_thread_;
  std::shared_ptr<OpenCallTotals> open_calls_ = std::make_shared<OpenCallTotals>();
  std::shared_ptr<std::atomic<std::size_t>> held_response_bytes_ = std::make_shared<std::atomic<std::size_t>>(0);
  std::atomic<CallIndex> last_index_{0};
  std::atomic<bool> is_open_{false}, is_listening_{false}, is_stopping_{false}, is_closing_{false},
      is_snapshot_changed_{false};
  std::atomic<std::int64_t> aborts_at_ms_{0};  // of calls that are open then; set before is_open_ ends
  std::atomic<std::int64_t> max_header_bytes_{RequestLimits{}.max_header_bytes},
      max_body_bytes_{RequestLimits{}.max_body_bytes};
  RelayCounts relay_counts_;
  mutable std::mutex counts_mutex_;
  RouteDispatcher::Counts counts_ ABSL_GUARDED_BY(counts_mutex_);
};

}  // namespace emberdale
