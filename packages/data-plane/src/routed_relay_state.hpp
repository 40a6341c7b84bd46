// The state of an open call, shared by the parts of the routed relay; for its own sources only.
#pragma once
#include "emberdale/body_reader.hpp"
#include "http_fields.hpp"
#include "relay_limits.hpp"
#include "routed_relay.hpp"

namespace emberdale {

constexpr Duration overload_retry_after{250}, stopped_retry_after{250};

struct RoutedRelay::Handle {
  explicit Handle(std::shared_ptr<OpenCallTotals> counted) : open_calls(std::move(counted)) {}
  ~Handle() {
    std::lock_guard<std::mutex> guard(open_calls->mutex);
    --open_calls->calls;
    open_calls->bytes -= bytes;
    open_calls->changed.notify_all();
  }
  std::shared_ptr<OpenCallTotals> open_calls;
  std::size_t bytes = 0;  // of the body, as counted in open_calls
  CallIndex index = 0;
  std::string id, method;
  web::uri target;                  // path and query as they came
  web::http::http_headers headers;  // that are forwarded
  web::http::http_request request;
  Bytes body = std::make_shared<std::vector<std::uint8_t>>();
  std::atomic<bool> has_caller_left{false};  // set before the dispatch thread is notified

  std::mutex mutex;        // of all below
  int attempt_number = 0;  // the attempt whose response may go to the client; 0: none
  bool is_stream_open = false, is_finished = false;
  std::string last_event;        // the last id that went to the client
  TimePoint notified_at{-1000};  // when the dispatcher was last notified of this stream
  std::optional<concurrency::streams::producer_consumer_buffer<std::uint8_t>> pieces;
  std::optional<web::http::http_response> own_response;  // a runner's own error response, forwarded if no other comes
};

struct RoutedRelay::RunnerConnection {
  explicit RunnerConnection(const std::string& http_address) : client(http_address, runner_reader) {}
  HttpClient client;
  std::atomic<bool> is_unusable{false};  // bytes of another call came over it
};

// What is held of one response, counted in the total of all of them.
class HeldBytes {
 public:
  explicit HeldBytes(std::shared_ptr<std::atomic<std::size_t>> total) : total_(std::move(total)) {}
  ~HeldBytes() { *total_ -= size_; }
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;
  // False: there is no room for more.
  bool grow(std::size_t size) {
    size_ += size;
    const std::size_t total = total_->fetch_add(size) + size;
    return total <= max_held_response_bytes;
  }

 private:
  std::shared_ptr<std::atomic<std::size_t>> total_;
  std::size_t size_ = 0;
};

// What is done with the body of a response, as its head decides.
enum class BodyUse { none, dropped, held, streamed };

struct RoutedRelay::ActiveAttempt {
  ActiveAttempt(RoutedAttempt started, std::shared_ptr<Handle> call, std::string last_event)
      : attempt(std::move(started)), handle(std::move(call)), filter(std::move(last_event)) {}
  // Closes the connection, if the request has been sent.
  void cancel() const {
    if (exchange)
      exchange->cancel();
  }
  RoutedAttempt attempt;
  std::shared_ptr<Handle> handle;
  std::shared_ptr<RunnerConnection> connection;
  std::shared_ptr<HttpExchange> exchange;  // set before it starts
  TimePoint sent_at;
  std::atomic<bool> is_abandoned{false};  // its runner takes no more work, and the request had not left
  // Of the exchange's callbacks, one at a time:
  web::http::http_response response{0};  // its head
  BodyUse body_use = BodyUse::none;
  std::vector<std::uint8_t> body;
  std::shared_ptr<HeldBytes> held;
  EventSplitter splitter;
  ResumeFilter filter;
};

}  // namespace emberdale
