// The I/O of calls: accepting them, sending them to runners, relaying what comes back.
#pragma once
#include <absl/base/thread_annotations.h>
#include <absl/status/status.h>
#include <cpprest/http_msg.h>
#include <cpprest/producerconsumerstream.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <variant>

#include "control_snapshot.hpp"
#include "emberdale/bounded_queue.hpp"
#include "emberdale/call_dispatcher.hpp"
#include "emberdale/departed_caller_invariant.hpp"
#include "emberdale/http_client.hpp"
#include "emberdale/http_listener.hpp"
#include "emberdale/runner_seal.hpp"

namespace emberdale {

// One open call: the client's request and what has been relayed of the response.
struct CallHandle {
  CallIndex index = 0;
  std::string id;         // this system's own, the same for every attempt of the call
  std::string caller_id;  // the client's, returned with the response
  web::http::http_request request;
  std::shared_ptr<const std::vector<std::uint8_t>> body;
  std::string content_type;
  std::atomic<bool> is_response_started{false};
  std::atomic<bool> is_caller_disconnected{false};
  // Of a streamed response; used by one continuation at a time.
  bool is_stream_open = false;
  concurrency::streams::producer_consumer_buffer<std::uint8_t> pieces;
};

// The stages accept -> admission -> endpoint selection -> attempt -> relay, joined by bounded queues. The dispatcher
// runs on one thread of the relay's own; the library's threads read and write.
//
// Use: CallRelay relay(dispatcher_settings, snapshot, "127.0.0.1:80"); relay.open(); ... relay.stop(Duration{5000});
class CallRelay {
 public:
  CallRelay(DispatcherSettings settings, const ControlSnapshot& snapshot, const std::string& http_address,
            std::size_t max_connections = ListenerLimits{}.max_connections);
  ~CallRelay();
  // Listens for clients; Unavailable if the address can't be used.
  absl::Status open();
  // Finishes what is open, or refuses it with certainty, within the timeout.
  void stop(Duration timeout);
  // Takes requests for the daemon itself, below /emberdale.
  std::function<void(web::http::http_request)> on_own_path;
  CallDispatcher::Counts counts() const;
  struct RelayCounts {
    std::atomic<std::int64_t> bad_seals{0}, streams_broken{0}, connections_broken{0}, callers_gone{0}, pieces{0},
        deadlines_passed{0}, accept_refused{0};
  };
  const RelayCounts& relay_counts() const { return relay_counts_; }
  std::size_t open_calls() const { return open_calls_; }

 private:
  // Events for the dispatch thread.
  struct CallArrived {
    std::shared_ptr<CallHandle> handle;
    ArrivingCall call;
  };
  struct AttemptFinished {
    AttemptResult result;
  };
  struct CallerDisconnected {
    CallIndex index;
  };
  struct StreamOpened {
    CallIndex index;
  };
  using DispatchEvent = std::variant<CallArrived, AttemptFinished, CallerDisconnected, StreamOpened>;
  struct ActiveAttempt {
    std::shared_ptr<CallHandle> handle;
    std::shared_ptr<HttpExchange> exchange;
    TimePoint deadline;
    bool is_stopped = false;
  };
  // The daemon's own response to a request that it does not admit.
  struct Refusal {
    int code = 503;
    std::string reason;
    int retry_after_s = 0;  // 0: a retry is of no use
  };
  struct Attempt;      // one attempt and what has come of its response
  struct StreamChunk;  // what one read of a stream brought

  // Accepting calls: call_relay_admission.cpp
  void handle(web::http::http_request request);
  std::optional<Refusal> refusal_of(const web::http::http_request& request) const;
  std::optional<Refusal> read_call_fields(const web::http::http_request& request, CallHandle& handle,
                                          ArrivingCall& call) const;
  void read_body(std::shared_ptr<CallHandle> handle, ArrivingCall call);
  void watch_departure(const std::shared_ptr<CallHandle>& handle);
  void on_caller_left(CallHandle& handle);
  void enqueue_arrival(std::shared_ptr<CallHandle> handle, ArrivingCall call);

  // The dispatch thread: call_relay.cpp
  void run_dispatcher();
  void apply_snapshot(TimePoint now);
  void on_event(CallArrived& arrived, TimePoint now);
  void on_event(const AttemptFinished& finished, TimePoint now);
  void on_event(const CallerDisconnected& disconnected, TimePoint now);
  void on_event(const StreamOpened& opened, TimePoint now);
  void on_timer(TimePoint now);
  void stop_overdue_attempts(TimePoint now);
  void close_call(CallIndex index);
  void publish_counts();
  void execute_actions(TimePoint now);
  void send_final_response(const FinalResponse& final_response, const std::shared_ptr<CallHandle>& handle);

  // Attempts and short responses: call_relay_attempts.cpp
  void start_attempt(const CallAttempt& attempt, TimePoint now);
  HttpRequest request_to_runner(const CallAttempt& attempt, const CallHandle& handle, TimePoint now) const;
  std::shared_ptr<HttpClient> client_for(const std::string& address);
  void on_attempt_failed(const Attempt& attempt, const ExchangeEnd& end);
  std::optional<BodyLimits> on_response_headers(const std::shared_ptr<Attempt>& attempt);
  bool on_response_bytes(const std::shared_ptr<Attempt>& attempt, const std::string& bytes);
  void on_response_end(const std::shared_ptr<Attempt>& attempt, const ExchangeEnd& end);
  void on_body_failed(const Attempt& attempt, const ExchangeEnd& end);
  void forward_response(const Attempt& attempt);
  void finish_attempt(CallIndex index, AttemptOutcome outcome, const std::string& reason,
                      const web::http::http_response* response);

  // Streamed responses: call_relay_streams.cpp
  std::optional<BodyLimits> begin_stream(const std::shared_ptr<Attempt>& attempt);
  bool on_stream_bytes(Attempt& attempt, const std::string& bytes);
  static StreamChunk stream_end(const Attempt& attempt, const ExchangeEnd& end);
  StreamChunk check_events(Attempt& attempt, const std::string& bytes);
  bool relay_chunk(Attempt& attempt, StreamChunk chunk);
  void open_stream(const Attempt& attempt);
  void close_stream(Attempt& attempt, const StreamChunk& chunk);

  DispatcherSettings settings_;
  const ControlSnapshot& snapshot_;
  HttpListener listener_;
  // Of the dispatch thread alone, up to clients_.
  CallDispatcher dispatcher_;
  std::shared_ptr<const RoutingView> view_;
  std::map<CallIndex, std::shared_ptr<CallHandle>> handles_;
  std::map<CallIndex, ActiveAttempt> active_attempts_;
  DepartedCallerInvariant departed_callers_;
  std::map<std::string, std::shared_ptr<HttpClient>> clients_;
  BoundedQueue<DispatchEvent> events_{4096};
  std::thread dispatch_thread_;
  std::atomic<CallIndex> last_index_{0};
  std::atomic<std::size_t> open_calls_{0}, bodies_being_read_{0};
  std::atomic<bool> is_stopping_{false};
  std::atomic<bool> is_aborting_{false};  // the time for open calls is over: their attempts are cancelled
  std::atomic<std::int64_t> widest_prefix_{0}, largest_body_{1 << 20};
  RelayCounts relay_counts_;
  mutable std::mutex counts_mutex_;
  CallDispatcher::Counts counts_ ABSL_GUARDED_BY(counts_mutex_);
};

}  // namespace emberdale
