// An HTTP/1.1 client for everything that is read from another process. Each response has bounds for its head, its body
// and its whole time; one that goes over a bound ends its connection, is a typed fault, and is counted
// (message_limits.hpp). Nothing is held beyond the bounds, and no request is sent again unless its caller allows it.
#pragma once
#include <cpprest/http_msg.h>

#include <boost/system/error_code.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "emberdale/message_limits.hpp"

namespace emberdale {

// A request. Host and Content-Length are added where they are missing.
struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";  // path and query, as they go on the wire
  web::http::http_headers headers;
  std::shared_ptr<const std::vector<std::uint8_t>> body;  // null: none
  // Goes over a connection that was used before, where there is one. If that closes before a byte of the response has
  // come, and within `resend_time` of the start, the request is sent once more over a new connection.
  bool may_be_sent_again = false;
  std::chrono::milliseconds resend_time{300};
};

enum class HttpFault {
  none,
  not_connected,      // no byte of the request has been sent
  connection_closed,  // before a byte of the response had come
  cut_off,            // within the response
  malformed,          // not a response in the protocol
  head_too_large,
  body_too_large,
  timed_out,
  cancelled,  // by the caller
};

// Example: to_string(HttpFault::cut_off) == "cut_off"
const char* to_string(HttpFault fault);

// How an exchange ended.
struct ExchangeEnd {
  HttpFault fault = HttpFault::none;
  boost::system::error_code cause;  // of `not_connected`
  bool was_sent = false;            // some of the request may have been handed to a connection
  int times_written = 0;            // how often the whole request was handed to a connection
  bool is_delimited = false;        // the response told its own end: it did not just end with the connection
};

// The bounds of what comes after a head.
struct BodyLimits {
  std::size_t max_bytes = 0;
  std::optional<std::chrono::milliseconds> time_left;  // replaces what is left of the total time
};

// What a caller does with a response. Called in this order, one at a time, on the HTTP library's threads.
struct ResponseHandler {
  // Gets status, reason and headers; gives the body's bounds, or nothing if the rest is not wanted.
  std::function<std::optional<BodyLimits>(const web::http::http_response& head)> on_head;
  // A piece of the body. False: no more is wanted.
  std::function<bool(const std::string& bytes)> on_body;
  // The last call, which is always made. What is not wanted ends as cancelled.
  std::function<void(const ExchangeEnd& end)> on_end;
};

class ConnectionPool;

// One request and its response.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  // Begins; to be called once. Calls the handler later, also if the exchange has been cancelled before.
  virtual void start() = 0;
  // Closes the connection, unless the exchange has ended. Safe for use by any thread, and within the handler.
  virtual void cancel() = 0;
  // Some of the request may have been handed to a connection. Safe for use by any thread.
  virtual bool was_sent() const = 0;
  // How often the whole request has been handed to a connection so far. Safe for use by any thread.
  virtual int times_written() const = 0;
};

// The connections to one server, which are used again. Safe for use by several threads. Exchanges may outlive it.
//
// Use: HttpClient client("127.0.0.1:8080", "health");
//      auto exchange = client.make_exchange(request, limits, handler); exchange->start();
class HttpClient {
 public:
  // `address` is HOST:PORT; `reader` names what is read, in the counters of what went over a bound.
  HttpClient(std::string address, std::string reader);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  std::shared_ptr<HttpExchange> make_exchange(HttpRequest request, const MessageLimits& limits,
                                              ResponseHandler handler);

 private:
  std::shared_ptr<ConnectionPool> pool_;
};

}  // namespace emberdale
