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

#include "call_relay.hpp"
#include "emberdale/bounded_queue.hpp"
#include "emberdale/route_dispatcher.hpp"

namespace emberdale {

// The names of headers; a layer that translates fills them in. An empty name: that header is not used.
// Example: words.call_id = "X-Call"; words.seal = "X-Seal";
struct RelayWords {
  std::string call_id;                       // of a call and of its answer
  std::string deadline;                      // ms left, to this daemon and from it to a runner
  std::string prompt;                        // HEXID:TOKENS,HEXID:TOKENS,..
  std::string tokens;                        // IN,OUT
  std::string life_expected;                 // to a runner: only this one runs the call, every other answers 421
  std::string rank;                          // to a runner
  std::string life;                          // of an answer: who ran it
  std::string seal;                          // of an answer: without it none counts as given
  std::string load;                          // of an answer: running,waiting,slots
  std::string not_run, not_run_value = "1";  // of an answer: it surely did not run
  std::string resume = "Last-Event-Id";
};

// The parts of a prompt, up to the first that can't be read. Example: read_prompt("9c41:120,7:3")[1].tokens == 3
std::vector<PromptPart> read_prompt(const std::string& text);
// Numbers with commas between; what can't be read is 0. Example: read_numbers<2>("120,16")[1] == 16
template <std::size_t Count>
std::array<Integer, Count> read_numbers(const std::string& text);
// Milliseconds; none if it is no positive number. Example: read_deadline("250")->value == 250
std::optional<Span> read_deadline(const std::string& text);
// Seconds with a fraction. Example: retry_after_text(Span{250}) == "0.250"
std::string retry_after_text(Span span);

// One event of a stream, byte for byte.
struct RawEvent {
  std::string bytes;  // with the blank line that ends it
  std::string id;
  bool has_data = false;
};

// Cuts a byte stream into whole events; what has not ended yet waits.
// Example: RawCutter cutter; cutter.feed("id: 1\ndata: a\n\nid: 2")[0].id == "1"; cutter.rest() == "id: 2"
class RawCutter {
 public:
  std::vector<RawEvent> feed(const std::string& bytes);
  const std::string& rest() const { return rest_; }

 private:
  std::string rest_;
  std::size_t line_begin_ = 0;  // what lies before was looked at
};

// What of one runner's stream may go to the caller: on a resumed one nothing that went there before.
// Example: EventSieve sieve("7"); sieve.pass({"id: 7\n\n", "7", true}) == ""; sieve.pass({"id: 8\n\n", "8", true}) ==
// "id: 8\n\n"
class EventSieve {
 public:
  explicit EventSieve(std::string last) : last_(std::move(last)), is_resumed_(!last_.empty()) {}
  // The bytes that go out now. An event without data or, on a resumed stream, without an id waits for the next one.
  std::string pass(const RawEvent& event);
  // At a clean end: what still waits. Example: sieve.finish() == ""
  std::string finish() { return std::exchange(held_, {}); }
  const std::string& last() const { return last_; }
  std::size_t waiting() const { return held_.size(); }

 private:
  std::string last_, held_;
  bool is_resumed_, has_passed_ = false;
};

// Lives as long as something is in hand that uses the relay.
struct InHand {
  std::mutex mutex;
  std::condition_variable changed;
  std::size_t calls = 0, bytes = 0;
};

// The stages accept -> gate -> match -> send -> relay of routed calls, joined by bounded queues.
// Example: RoutedRelay relay(dispatcher_settings, words, word, "127.0.0.1:80"); relay.open(); ...
// relay.stop(Span{5000});
class RoutedRelay {
 public:
  RoutedRelay(RouteDispatcherSettings settings, RelayWords words, const ControlSnapshot& snapshot,
              const std::string& http);
  ~RoutedRelay();
  Outcome<bool> open();
  // The control word has changed. Example: word.put(view, grant); relay.wake();
  void wake();
  // From here on answers ask callers to leave this link; calls are still taken. Example: relay.begin_stopping();
  void begin_stopping() { is_stopping_ = true; }
  bool ready() const { return is_open_ && !is_stopping_; }
  // Finishes what is in hand, or breaks it off when patience is over. Example: relay.stop(Span{5000})
  void stop(Span patience);
  RouteDispatcher::Counts counts() const;
  struct RelayCounts {
    std::atomic<std::int64_t> unsealed{0}, foreign_answers{0}, streams_broken{0}, links_broken{0}, callers_gone{0},
        pieces{0}, pieces_dropped{0}, stops{0}, accept_refused{0}, own_answers_kept{0};
  };
  const RelayCounts& relay_counts() const { return relay_counts_; }
  std::size_t in_hand() const;

 private:
  struct Handle;      // one call in hand
  struct Send;        // one send of it
  struct RunnerLink;  // a client of one runner
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
  using TrafficEvent = std::variant<Arrived, RoutedEnd, Begun, Piece, Gone, Woken>;
  using Bytes = std::shared_ptr<std::vector<std::uint8_t>>;

  void handle(web::http::http_request request);
  void read_chunked(std::shared_ptr<Handle> handle, RoutedCall call);
  void take_in(std::shared_ptr<Handle> handle, RoutedCall call);
  void run_traffic();
  void on_event(TrafficEvent& event, Moment now);
  void act(Moment now);
  void send(const RoutedSend& act, Moment now);
  void give_up(Entry& entry);
  void answer_final(const FinalAct& act, const std::shared_ptr<Handle>& handle);
  void refuse_arrived();
  void break_off(const std::string& reason);
  std::shared_ptr<RunnerLink> link_to(const RoutedSend& act);
  void drop_links(const TrafficView& view);
  RoutedEnd end_of(const Send& send, RoutedEndKind kind, const std::string& reason) const;
  void end(const std::shared_ptr<Send>& send, RoutedEndKind kind, const std::string& reason);
  void take_fault(const std::shared_ptr<Send>& send, const std::exception& fault);
  void take_head(const std::shared_ptr<Send>& send);
  void take_answer(const std::shared_ptr<Send>& send);
  void hand_on(const std::shared_ptr<Send>& send, const Bytes& body);
  void take_stream(const std::shared_ptr<Send>& send);
  bool pass_events(const std::shared_ptr<Send>& send, const std::string& bytes);
  void end_stream(const std::shared_ptr<Send>& send, bool is_broken);
  void open_stream(const std::shared_ptr<Send>& send);
  void refuse(const web::http::http_request& request, int code, const std::string& reason,
              const std::string& call_id = "", Span retry_after = Span{0}, bool is_link_closed = false,
              std::shared_ptr<Handle> held = nullptr);  // in hand until the answer is written
  void reply(const web::http::http_request& request, web::http::http_response response,
             std::function<void(bool)> on_end);
  void copy_answer_headers(const web::http::http_headers& from, web::http::http_headers& to) const;

  RouteDispatcherSettings settings_;
  RelayWords words_;
  const ControlSnapshot& snapshot_;
  web::http::experimental::listener::http_listener listener_;
  RouteDispatcher dispatcher_;  // of the traffic thread, with the next three
  std::map<CallIndex, Entry> calls_;
  std::map<std::pair<std::string, RunnerName>, std::shared_ptr<RunnerLink>> links_;
  std::shared_ptr<const TrafficView> view_;
  BoundedQueue<TrafficEvent> events_{4096};
  std::thread traffic_;
  std::shared_ptr<InHand> in_hand_ = std::make_shared<InHand>();
  std::atomic<CallIndex> last_index_{0};
  std::atomic<bool> is_open_{false}, is_stopping_{false}, is_closing_{false}, is_woken_{false};
  std::atomic<std::int64_t> max_header_bytes_{TrafficLimits{}.max_header_bytes},
      max_body_bytes_{TrafficLimits{}.max_body_bytes};
  RelayCounts relay_counts_;
  mutable std::mutex counts_mutex_;
  RouteDispatcher::Counts counts_;
};

}  // namespace emberdale
