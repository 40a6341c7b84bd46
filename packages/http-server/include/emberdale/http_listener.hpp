// An HTTP/1.1 listener that reads from a client's connection while a request on it is in progress, and so notices at
// once when the client leaves. The HTTP library's own listener does not: it reads again only after the response.
#pragma once
#include <absl/status/status.h>
#include <cpprest/http_msg.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "emberdale/message_limits.hpp"

namespace emberdale {

// What a client may send, and how long it may take. A connection over a bound is closed, and counted where it was
// within a request (message_limits.hpp).
struct ListenerLimits {
  std::string reader = "clients";                 // in the counters
  MessageLimits request;                          // the time runs from the first byte of a request to its last
  std::chrono::milliseconds head_time{60000};     // from the first byte of a request to the last of its head
  std::chrono::milliseconds idle_time{60000};     // between two requests, and before the first
  std::chrono::milliseconds writing_time{60000};  // for one piece of a response, which the client must read
  std::size_t max_connections = 4096;             // at the same time; those that wait the longest give way
};

// How many connections a listener has, and what became of others. Totals are since the start.
struct ListenerCounts {
  std::int64_t open = 0;      // now
  std::int64_t accepted = 0;  // total
  std::int64_t evicted = 0;   // total of those that gave way to newer ones
};

// Called once for each reply: true if all of it was written, false if the client left before or the body broke off.
using ReplyEnd = std::function<void(bool was_sent)>;

// Accepts connections and hands over their requests, one at a time on each connection, on the HTTP library's threads.
//
// The handler gets a request as soon as its headers are there; the body follows through the request's own stream.
// request._cancellation_token() is cancelled when the client closes or resets the connection, or ends its sending side,
// before the response is written; a callback registered there must not block. Each request is answered by `reply_to`.
// With as many connections as the limits allow, one that waits for a request, or for the rest of a request's head, is
// closed for a newer one; where none waits, new ones are accepted once another has ended.
// One that is dropped without a reply closes its connection. Bytes that come after the request wait for the next one.
//
// Use: HttpListener listener("127.0.0.1:8080", limits, [](web::http::http_request request) { ... }); listener.open();
// ...
//      listener.close();
class HttpListener {
 public:
  using Handler = std::function<void(web::http::http_request)>;
  // `address` is IP:PORT.
  HttpListener(std::string address, ListenerLimits limits, Handler handler);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  // Listens; Unavailable if the address can't be used, InvalidArgument if it is none.
  absl::Status open();
  // Replaces the bounds of time for heads and idle connections, for what begins from now on. Safe for use by any
  // thread.
  void set_times(std::chrono::milliseconds head_time, std::chrono::milliseconds idle_time);
  ListenerCounts counts() const;
  // Accepts no more, waits for handlers that are running, closes all connections, and waits until that is done, up to
  // 10 s. Responses of a known length that have begun are finished first, within 0.5 s. Not to be called by a handler.
  void close();

 private:
  struct Server;
  std::shared_ptr<Server> server_;
};

// Replies to a request of an HttpListener; `on_end` is called once, possibly before this returns. A second reply to one
// request is not sent, and ends with false.
void reply_to(
    const web::http::http_request& request, const web::http::http_response& response, ReplyEnd on_end = [](bool) {});

// Whatever is still coming of the request's body is not read. Its connection ends with the response.
void abandon_body(const web::http::http_request& request);

// True for a response without a body, whatever its headers say: to HEAD, and of status 204 or 304.
bool has_no_body(const std::string& method, int status);

}  // namespace emberdale
