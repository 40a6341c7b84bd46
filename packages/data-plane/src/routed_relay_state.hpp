// The state of an open call, shared by the parts of the routed relay; for its own sources only.
#pragma once
#include "emberdale/body_reader.hpp"
#include "http_fields.hpp"
#include "routed_relay.hpp"

namespace emberdale {

constexpr std::size_t max_response_body = 16 << 20;
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
  explicit RunnerConnection(const std::string& http_address, const web::http::client::http_client_config& config)
      : client("http://" + http_address, config) {}
  web::http::client::http_client client;
  std::atomic<bool> is_unusable{false};  // bytes of another call came over it
};

struct RoutedRelay::ActiveAttempt {
  ActiveAttempt(RoutedAttempt started, std::shared_ptr<Handle> call, std::string last_event)
      : attempt(std::move(started)), handle(std::move(call)), filter(std::move(last_event)) {}
  RoutedAttempt attempt;
  std::shared_ptr<Handle> handle;
  std::shared_ptr<RunnerConnection> connection;
  pplx::cancellation_token_source stop;
  TimePoint sent_at;
  std::atomic<bool> is_abandoned{false};  // its runner takes no more work, and the request had not left
  std::shared_ptr<std::atomic<int>> times_written = std::make_shared<std::atomic<int>>(0);
  web::http::http_response response{0};
  EventSplitter splitter;
  ResumeFilter filter;
};

}  // namespace emberdale
