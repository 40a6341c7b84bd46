// The I/O of calls: taking them in, sending them to runners, relaying what comes back.
#pragma once
#include <cpprest/http_client.h>
#include <cpprest/http_listener.h>
#include <cpprest/producerconsumerstream.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <variant>

#include "emberdale/bounded_queue.hpp"
#include "emberdale/call_dispatcher.hpp"
#include "emberdale/runner_seal.hpp"

namespace emberdale {

// What the control thread hands to the traffic thread: the newest view and grant, swapped whole.
class ControlSnapshot {
 public:
  // Example: word.put(daemon.view(), daemon.grant());
  void put(std::shared_ptr<const RoutingView> view, const Grant& grant) {
    std::lock_guard<std::mutex> guard(mutex_);
    view_ = std::move(view);
    grant_ = grant;
  }
  // Example: auto [view, grant] = word.get();
  std::pair<std::shared_ptr<const RoutingView>, Grant> get() const {
    std::lock_guard<std::mutex> guard(mutex_);
    return {view_, grant_};
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const RoutingView> view_ = std::make_shared<RoutingView>();
  Grant grant_;
};

// One call in hand: the caller's request and what has been relayed of the answer.
struct CallHandle {
  CallIndex index = 0;
  std::string id;         // this system's own, the same for every send of the call
  std::string caller_id;  // the caller's, acknowledged
  web::http::http_request request;
  std::vector<unsigned char> body;
  std::string content_type;
  std::atomic<bool> is_answered{false};
  std::atomic<bool> is_caller_gone{false};
  // Of a streamed reply.
  std::mutex stream_mutex;
  bool is_stream_open = false;
  concurrency::streams::producer_consumer_buffer<std::uint8_t> pieces;
};

// The stages accept -> gate -> match -> send -> relay, joined by bounded queues.
// Example: CallRelay relay(dispatcher_settings, word, "127.0.0.1:80"); relay.open(); ... relay.stop();
class CallRelay {
 public:
  CallRelay(DispatcherSettings settings, const ControlSnapshot& snapshot, const std::string& http);
  ~CallRelay();
  Outcome<bool> open();
  // Finishes or definitely refuses what is in hand. Example: relay.stop(Duration{5000});
  void stop(Duration patience);
  std::function<void(web::http::http_request)> on_own_path;  // /emberdale/... requests
  CallDispatcher::Counts counts() const;
  struct RelayCounts {
    std::atomic<std::int64_t> bad_seals{0}, streams_broken{0}, connections_broken{0}, callers_gone{0}, pieces{0},
        deadlines_passed{0}, accept_refused{0};
  };
  const RelayCounts& relay_counts() const { return relay_counts_; }
  std::size_t in_hand() const { return in_hand_; }

 private:
  struct Arrived {
    std::shared_ptr<CallHandle> handle;
    ArrivingCall call;
  };
  struct Ended {
    SendEnd end;
  };
  struct Gone {
    CallIndex index;
  };
  struct Piece {
    CallIndex index;
  };
  using RoutedEvent = std::variant<Arrived, Ended, Gone, Piece>;
  struct Sent {
    std::shared_ptr<CallHandle> handle;
    pplx::cancellation_token_source stop;
    TimePoint deadline;
    bool is_stopped = false;
  };
  struct Relay;  // one streamed reply on its way

  void handle(web::http::http_request request);
  void run_routed_requests();
  void act(TimePoint now);
  void send(const SendAct& act, TimePoint now);
  void end(CallIndex index, SendEndKind kind, const std::string& reason, const web::http::http_response* response);
  void accept_response(const SendAct& act, std::shared_ptr<CallHandle> handle, web::http::http_response response,
                       pplx::cancellation_token stop);
  void take_stream(const SendAct& act, std::shared_ptr<CallHandle> handle, web::http::http_response response,
                   pplx::cancellation_token_source stop);
  void relay_next(std::shared_ptr<Relay> relay);
  void answer_final(const FinalAct& act, const std::shared_ptr<CallHandle>& handle);
  std::shared_ptr<web::http::client::http_client> client_for(const SendAct& act);

  DispatcherSettings settings_;
  const ControlSnapshot& snapshot_;
  web::http::experimental::listener::http_listener listener_;
  CallDispatcher dispatcher_;
  BoundedQueue<RoutedEvent> events_{4096};
  std::thread traffic_;
  std::map<CallIndex, std::shared_ptr<CallHandle>> handles_;  // of the traffic thread
  std::map<CallIndex, Sent> sent_;                            // of the traffic thread
  std::map<std::string, std::shared_ptr<web::http::client::http_client>> clients_;
  std::atomic<CallIndex> last_index_{0};
  std::atomic<std::size_t> in_hand_{0}, being_read_{0};
  std::atomic<bool> is_stopping_{false};
  std::atomic<std::int64_t> widest_prefix_{0}, largest_body_{1 << 20};
  RelayCounts relay_counts_;
  mutable std::mutex counts_mutex_;
  CallDispatcher::Counts counts_;
};

}  // namespace emberdale
