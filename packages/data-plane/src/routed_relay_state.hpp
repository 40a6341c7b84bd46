// What the parts of the routed relay share of a call in hand; for its own sources only.
#pragma once
#include "http_fields.hpp"
#include "piece_reader.hpp"
#include "routed_relay.hpp"

namespace emberdale {

constexpr std::size_t max_answer = 16 << 20;
constexpr std::size_t max_bytes_in_hand = 16 << 20;  // of bodies of calls
constexpr Duration overload_retry_after{250}, stopped_retry_after{250};

struct RoutedRelay::Handle {
  explicit Handle(std::shared_ptr<InHand> counted) : in_hand(std::move(counted)) {}
  ~Handle() {
    std::lock_guard<std::mutex> guard(in_hand->mutex);
    --in_hand->calls;
    in_hand->bytes -= bytes;
    in_hand->changed.notify_all();
  }
  std::shared_ptr<InHand> in_hand;
  std::size_t bytes = 0;  // of the body, as counted in in_hand
  CallIndex index = 0;
  std::string id, method;
  web::uri target;                  // path and query as they came
  web::http::http_headers headers;  // that are passed on
  web::http::http_request request;
  Bytes body = std::make_shared<std::vector<std::uint8_t>>();

  std::mutex mutex;  // of all below
  int turn = 0;      // the send whose answer may go to the caller; 0: none
  bool is_stream_open = false, is_over = false;
  std::string last_event;        // the last id that went to the caller
  TimePoint notified_at{-1000};  // when the dispatcher last heard of this stream
  std::optional<concurrency::streams::producer_consumer_buffer<std::uint8_t>> pieces;
  std::optional<web::http::http_response> kept;  // a runner's own answer, given if no other comes
};

struct RoutedRelay::RunnerConnection {
  explicit RunnerConnection(const std::string& http, const web::http::client::http_client_config& config)
      : client("http://" + http, config) {}
  web::http::client::http_client client;
  std::atomic<bool> is_spoilt{false};  // bytes of another call came over it
};

struct RoutedRelay::Send {
  Send(RoutedSend a, std::shared_ptr<Handle> h, std::string last)
      : act(std::move(a)), handle(std::move(h)), sieve(std::move(last)) {}
  RoutedSend act;
  std::shared_ptr<Handle> handle;
  std::shared_ptr<RunnerConnection> connection;
  pplx::cancellation_token_source stop;
  TimePoint begun;
  std::shared_ptr<std::atomic<int>> times_written = std::make_shared<std::atomic<int>>(0);
  web::http::http_response response{0};
  RawCutter cutter;
  EventSieve sieve;
};

}  // namespace emberdale
