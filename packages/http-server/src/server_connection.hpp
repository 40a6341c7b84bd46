// One connection of a client: reading requests, writing their responses, and noticing that the client has left.
#pragma once
#include <cpprest/http_msg.h>
#include <pplx/pplxtasks.h>

#include <array>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>

#include "emberdale/body_reader.hpp"
#include "emberdale/http_listener.hpp"
#include "response_head.hpp"

namespace emberdale {

using ConnectionStrand = boost::asio::strand<boost::asio::io_context::executor_type>;
using ConnectionSocket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, ConnectionStrand>;

class ServerConnection;

// The bounds of time that may change while the listener is open. Safe for use by several threads.
struct ConnectionTimes {
  std::atomic<std::int64_t> head_ms{0}, idle_ms{0};
};

// What the library keeps with a request for its listener: the way back to the connection.
class RequestContext final : public web::http::details::_http_server_context {
 public:
  RequestContext(std::weak_ptr<ServerConnection> connection, std::uint64_t exchange_number)
      : connection_(std::move(connection)), exchange_number_(exchange_number) {}
  // A request that is dropped without a reply ends its connection.
  ~RequestContext() override;
  void reply(const web::http::http_response& response, ReplyEnd on_end);

 private:
  std::weak_ptr<ServerConnection> connection_;
  std::uint64_t exchange_number_;
  std::atomic<bool> is_answered_{false};
};

// Reads without a pause, also while a request is in progress: only so the end of the connection shows at once. All
// members are used on the connection's strand.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  using Clock = std::chrono::steady_clock;
  // `handle` gets each request; `on_closed` is called once, at the end of the connection. Limits and times outlive it.
  ServerConnection(ConnectionSocket socket, const ListenerLimits& limits, const ConnectionTimes& times,
                   HttpListener::Handler handle, std::function<void()> on_closed);
  void start();
  // Closes the connection, after a response that has begun and has a known length; a request in progress is cancelled.
  void close();
  // True if the client has taken longer than its limits allow. Safe for use by any thread.
  bool is_overdue(Clock::time_point now) const { return now.time_since_epoch().count() > deadline_; }
  void end_if_overdue();
  // Since when it has been waiting for the next request or for the rest of its head; `not_waiting` while a
  // request is in progress. Safe for use by any thread.
  Clock::rep waiting_since() const { return waiting_since_; }
  // Closes the connection, if it still waits when its turn comes. False if that was asked for before.
  bool evict();
  void reply(std::uint64_t exchange_number, const web::http::http_response& response, ReplyEnd on_end);
  // The request was dropped without a reply.
  void abandon(std::uint64_t exchange_number);

  static constexpr Clock::rep no_deadline = std::numeric_limits<Clock::rep>::max();
  static constexpr Clock::rep not_waiting = no_deadline;

 private:
  using RequestParser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;
  enum class Phase { head, body, complete };  // how much of the current request has been read
  // A request and its response.
  struct Exchange {
    std::uint64_t number = 0;
    std::string method;
    std::weak_ptr<web::http::details::_http_request> request;  // while its body is being read
    std::uint64_t body_size = 0;                               // read so far
    pplx::cancellation_token_source departure;                 // of the client
  };
  struct Response {
    web::http::http_response message;
    ResponseHead head;
    ReplyEnd on_end;
    std::shared_ptr<BodyReader> body;
    std::size_t unsent_length = 0;  // of a body with a Content-Length
    bool is_complete = false;       // all that is left is in the write under way
  };

  void set_deadline(Clock::time_point deadline) { deadline_ = deadline.time_since_epoch().count(); }
  void set_deadline(std::chrono::milliseconds time) { set_deadline(Clock::now() + time); }
  void clear_deadline() { deadline_ = no_deadline; }
  void expect_request();
  void read_more();
  void on_read(const boost::system::error_code& fault, std::size_t size);
  void on_peer_closed();
  void parse();
  void parse_head();
  void parse_body();
  void begin_request();
  bool write_continue();
  void copy_head(web::http::http_request& request) const;
  void deliver_body(const std::uint8_t* bytes, std::size_t size);
  void finish_body();
  void reject(const boost::system::error_code& fault);
  void stop_parsing();

  void begin_response(const web::http::http_response& message, ReplyEnd on_end);
  void read_response_body();
  void on_response_bytes(const std::string& bytes);
  void on_response_end(bool is_broken);
  void write_out(bool is_complete);
  void finish_response();

  void shut_down_gracefully();
  void disconnect();

  ConnectionSocket socket_;
  const ListenerLimits& limits_;
  const ConnectionTimes& times_;
  std::atomic<Clock::rep> deadline_{no_deadline};  // of what the client is to do next
  std::atomic<Clock::rep> waiting_since_{Clock::now().time_since_epoch().count()};
  std::atomic<bool> is_evicted_{false};
  Clock::time_point request_begun_at_;
  boost::asio::steady_timer linger_timer_;
  HttpListener::Handler handle_;
  std::function<void()> on_closed_;
  std::array<char, 8192> incoming_;  // of the read under way, which goes on while `unparsed_` is parsed
  boost::beast::flat_buffer unparsed_;
  std::optional<RequestParser> parser_;
  Phase phase_ = Phase::head;
  std::uint64_t last_exchange_number_ = 0;
  std::optional<Exchange> exchange_;
  std::optional<Response> response_;
  std::string out_;  // what is being written
  bool is_reading_ = false, is_peer_closed_ = false, is_unparsable_ = false, is_closed_ = false;
  bool has_request_begun_ = false, is_closing_ = false;
};

}  // namespace emberdale
