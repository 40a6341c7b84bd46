// The I/O of routed calls: taking them in, sending them to runners, relaying what comes back.
#pragma once
#include <cpprest/http_client.h>
#include <cpprest/http_listener.h>
#include <cpprest/producerconsumerstream.h>
#include <cpprest/rawptrstream.h>

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
#include "emberdale/route_dispatcher.hpp"
#include "event_stream.hpp"

namespace emberdale {

// The names of headers; a layer that translates fills them in. An empty name: that header is not used.
// Example: words.call_id = "X-Call"; words.seal = "X-Seal";
struct RelayHeaderNames {
  std::string call_id;                       // of a call and of its answer
  std::string deadline;                      // ms left, to this daemon and from it to a runner
  std::string prompt;                        // HEXID:TOKENS,HEXID:TOKENS,..
  std::string tokens;                        // IN,OUT
  std::string expected_incarnation;          // to a runner: only this one runs the call, every other answers 421
  std::string rank;                          // to a runner
  std::string incarnation;                   // of an answer: who ran it
  std::string seal;                          // of an answer: without it none counts as given
  std::string load;                          // of an answer: running,waiting,slots
  std::string not_run, not_run_value = "1";  // of an answer: it surely did not run
  std::string resume = "Last-Event-Id";
};

// Lives as long as something is in hand that uses the relay.
struct InHand {
  std::mutex mutex;
  std::condition_variable changed;
  std::size_t calls = 0, bytes = 0;
};

// The stages accept -> gate -> match -> send -> relay of routed calls, joined by bounded queues.
// Example: RoutedRelay relay(dispatcher_settings, words, word, "127.0.0.1:80"); relay.open(); ...
// relay.stop(Duration{5000});
class RoutedRelay {
 public:
  RoutedRelay(RouteDispatcherSettings settings, RelayHeaderNames words, const ControlSnapshot& snapshot,
              const std::string& http);
  ~RoutedRelay();
  Outcome<bool> open();
  // The control word has changed. Example: word.put(view, grant); relay.wake();
  void wake();
  // From here on answers ask callers to leave this link; calls are still taken. Example: relay.begin_stopping();
  void begin_stopping() { is_stopping_ = true; }
  bool ready() const { return is_open_ && !is_stopping_; }
  // Finishes what is in hand, or breaks it off when patience is over; what comes later is refused.
  // Example: relay.stop(Duration{5000})
  void stop(Duration patience);
  RouteDispatcher::Counts counts() const;
  struct RelayCounts {
    std::atomic<std::int64_t> unsealed{0}, foreign_answers{0}, streams_broken{0}, connections_broken{0},
        callers_gone{0}, pieces{0}, pieces_dropped{0}, stops{0}, accept_refused{0}, own_answers_kept{0};
  };
  const RelayCounts& relay_counts() const { return relay_counts_; }
  std::size_t in_hand() const;

 private:
  // What the daemon itself answers to a call that surely did not run.
  struct Refusal {
    int code = 503;
    std::string reason;
    Duration retry_after{0};
    bool is_connection_closed = false;
  };
  struct Handle;            // one call in hand
  struct Send;              // one send of it
  struct RunnerConnection;  // a client of one runner
  struct Entry {
    std::shared_ptr<Handle> handle;
    std::shared_ptr<Send> send;  // the current one
    bool may_have_run = false;   // by a send before it
  };
  struct Arrived {
    std::shared_ptr<Handle> handle;
    RoutedCall call;
  };
  struct Begun {
    CallIndex index;
    int turn;
  };
  struct Piece {
    CallIndex index;
    int turn;
  };
  struct Gone {
    CallIndex index;
  };
  struct Woken {};
  using RoutedEvent = std::variant<Arrived, RoutedEnd, Begun, Piece, Gone, Woken>;
  using Bytes = std::shared_ptr<std::vector<std::uint8_t>>;

  // Admission: routed_relay_admission.cpp
  void handle(web::http::http_request request);
  std::optional<Refusal> refusal_of(const web::http::http_request& request) const;
  bool reserve(std::size_t body_size);
  std::shared_ptr<Handle> take_up(const web::http::http_request& request, std::size_t body_size);
  RoutedCall call_of(const web::http::http_request& request) const;
  void read_body(std::shared_ptr<Handle> handle, RoutedCall call);
  void read_chunked(std::shared_ptr<Handle> handle, RoutedCall call);
  void take_in(std::shared_ptr<Handle> handle, RoutedCall call);
  bool grow(const std::shared_ptr<Handle>& handle, const std::string& bytes);

  // The traffic thread: routed_relay.cpp
  void run_routed_requests();
  bool wait_none_in_hand(Duration patience);
  void close_listener();
  void take_snapshot(TimePoint now);
  void on_event(RoutedEvent& event, TimePoint now);
  void act(TimePoint now);
  void on_arrived(Arrived& arrived, TimePoint now);
  void on_end(const RoutedEnd& ended, TimePoint now);
  void on_gone(const Gone& gone, TimePoint now);
  void give_up(Entry& entry);
  void refuse_arrived();
  void break_off(const std::string& reason);

  // Sending: routed_relay_sending.cpp
  void send(const RoutedSend& act, TimePoint now);
  web::http::http_request request_to_runner(const Send& send, const std::string& resume_after, TimePoint now) const;
  void begin(const std::shared_ptr<Send>& send, const web::http::http_request& request);
  std::shared_ptr<RunnerConnection> connection_to(const RoutedSend& act);
  void drop_connections(const RoutingView& view);
  RoutedEnd end_of(const Send& send, RoutedEndKind kind, const std::string& reason) const;
  void end(const std::shared_ptr<Send>& send, RoutedEndKind kind, const std::string& reason);
  void take_fault(const std::shared_ptr<Send>& send, const std::exception& fault);

  // Answers of runners: routed_relay_answers.cpp
  void take_head(const std::shared_ptr<Send>& send);
  std::optional<std::string> fault_of(const std::shared_ptr<Send>& send);
  void take_refusal(const std::shared_ptr<Send>& send);
  void discard(const std::shared_ptr<Send>& send, RoutedEndKind kind, const std::string& reason);
  void accept_response(const std::shared_ptr<Send>& send);
  void hand_on(const std::shared_ptr<Send>& send, const Bytes& body);

  // Streams: routed_relay_streams.cpp
  void take_stream(const std::shared_ptr<Send>& send);
  bool pass_events(const std::shared_ptr<Send>& send, const std::string& bytes);
  void end_stream(const std::shared_ptr<Send>& send, bool is_broken);
  void open_stream(const std::shared_ptr<Send>& send);

  // Answers to callers: routed_relay_replies.cpp
  void refuse(const web::http::http_request& request, const std::string& call_id, const Refusal& refusal,
              std::shared_ptr<Handle> held = nullptr);  // in hand until the answer is written
  void refuse_unread(const web::http::http_request& request, Refusal refusal);
  void answer_final(const FinalAct& act, const std::shared_ptr<Handle>& handle);
  web::http::http_response response_of(const FinalAct& act, const std::string& call_id) const;
  void promise_not_run(web::http::http_response& response) const;
  void reply(const web::http::http_request& request, web::http::http_response response,
             std::function<void(bool)> on_end);
  void copy_answer_headers(const web::http::http_headers& from, web::http::http_headers& to) const;

  RouteDispatcherSettings settings_;
  RelayHeaderNames words_;
  const ControlSnapshot& snapshot_;
  web::http::experimental::listener::http_listener listener_;
  RouteDispatcher dispatcher_;  // of the traffic thread, with the next three
  std::map<CallIndex, Entry> calls_;
  std::map<std::pair<std::string, RunnerName>, std::shared_ptr<RunnerConnection>> connections_;
  std::shared_ptr<const RoutingView> view_;
  BoundedQueue<RoutedEvent> events_{4096};
  std::thread traffic_;
  std::shared_ptr<InHand> in_hand_ = std::make_shared<InHand>();
  std::atomic<CallIndex> last_index_{0};
  std::atomic<bool> is_open_{false}, is_listening_{false}, is_stopping_{false}, is_closing_{false}, is_woken_{false};
  std::atomic<std::int64_t> max_header_bytes_{RequestLimits{}.max_header_bytes},
      max_body_bytes_{RequestLimits{}.max_body_bytes};
  RelayCounts relay_counts_;
  mutable std::mutex counts_mutex_;
  RouteDispatcher::Counts counts_;
};

}  // namespace emberdale
