#include "server_connection.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <limits>
#include <stdexcept>

namespace emberdale {

namespace beast_http = boost::beast::http;
using boost::system::error_code;
using web::http::http_request;
using web::http::http_response;

namespace {

constexpr std::size_t max_unparsed_bytes = 64 << 10;  // of requests behind the one in progress
constexpr std::size_t body_piece_size = 8192;
constexpr std::chrono::milliseconds linger_limit{1000};        // for the client to read the last response
constexpr std::chrono::milliseconds last_response_limit{500};  // for one that has begun when the listener closes
constexpr const char* continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr int bad_request = 400, body_too_large = 413, head_too_large = 431;

// The library ends the process for a fault that no one has looked at.
template <class Result>
void observe(pplx::task<Result> task) {
  task.then([](pplx::task<Result> done) {
    try {
      done.get();
    } catch (const std::exception&) {  // the stream was closed: nobody reads it
    }
  });
}

std::exception_ptr broken_body() { return std::make_exception_ptr(std::runtime_error("the client left")); }

}  // namespace

RequestContext::~RequestContext() {
  if (is_answered_)
    return;
  if (auto connection = connection_.lock())
    connection->abandon(exchange_number_);
}

void RequestContext::reply(const http_response& response, ReplyEnd on_end) {
  auto connection = connection_.lock();
  if (is_answered_.exchange(true) || !connection)
    return on_end(false);
  connection->reply(exchange_number_, response, std::move(on_end));
}

ServerConnection::ServerConnection(ConnectionSocket socket, const ListenerLimits& limits, const ConnectionTimes& times,
                                   HttpListener::Handler handle, std::function<void()> on_closed)
    : socket_(std::move(socket)),
      limits_(limits),
      times_(times),
      linger_timer_(socket_.get_executor()),
      handle_(std::move(handle)),
      on_closed_(std::move(on_closed)) {}

void ServerConnection::start() {
  boost::asio::dispatch(socket_.get_executor(), [self = shared_from_this()] {
    error_code ignored;
    self->socket_.non_blocking(true, ignored);  // the interim response must not wait for the client
    self->expect_request();
    self->read_more();
  });
}

void ServerConnection::close() {
  boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
    bool is_response_finite = self->response_ && self->response_->head.framing != BodyFraming::chunked;
    if (!is_response_finite)
      return self->disconnect();
    self->is_closing_ = true;
    self->linger_timer_.expires_after(last_response_limit);
    self->linger_timer_.async_wait([self](const error_code& fault) {
      if (!fault)
        self->disconnect();
    });
  });
}

// A request whose head is there is never given up: it may have been passed on.
bool ServerConnection::evict() {
  if (is_evicted_.exchange(true))
    return false;
  boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->waiting_since_ != not_waiting)
      self->disconnect();
    else
      self->is_evicted_ = false;
  });
  return true;
}

void ServerConnection::end_if_overdue() {
  boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->is_closed_ || !self->is_overdue(Clock::now()))
      return;
    bool is_within_request = self->has_request_begun_ && self->phase_ != Phase::complete;
    if (is_within_request)
      process_limit_counters().record(self->limits_.reader, LimitFault::too_slow);
    self->disconnect();
  });
}

void ServerConnection::reply(std::uint64_t exchange_number, const http_response& response, ReplyEnd on_end) {
  auto begin = [self = shared_from_this(), exchange_number, response, on_end = std::move(on_end)]() mutable {
    if (!self->exchange_ || self->exchange_->number != exchange_number)
      return on_end(false);
    self->begin_response(response, std::move(on_end));
  };
  boost::asio::post(socket_.get_executor(), std::move(begin));
}

void ServerConnection::abandon(std::uint64_t exchange_number) {
  boost::asio::post(socket_.get_executor(), [self = shared_from_this(), exchange_number] {
    if (self->exchange_ && self->exchange_->number == exchange_number)
      self->disconnect();
  });
}

// --- reading ------------------------------------------------------------------------------------------

void ServerConnection::expect_request() {
  parser_.emplace();
  parser_->header_limit(static_cast<std::uint32_t>(limits_.request.max_head_bytes));
  parser_->body_limit(limits_.request.max_body_bytes);
  phase_ = Phase::head;
  has_request_begun_ = false;
  waiting_since_ = Clock::now().time_since_epoch().count();
  set_deadline(std::chrono::milliseconds(times_.idle_ms));
}

void ServerConnection::read_more() {
  if (is_reading_ || is_closed_ || is_peer_closed_)
    return;
  if (phase_ != Phase::head && unparsed_.size() >= max_unparsed_bytes) {
    bool is_body_unparsable = phase_ == Phase::body && !response_;
    if (is_body_unparsable)  // a line of its chunks has no end
      return disconnect();
    stop_parsing();  // reading goes on, for the end of the connection must still show
  }
  is_reading_ = true;
  socket_.async_read_some(
      boost::asio::buffer(incoming_),
      [self = shared_from_this()](const error_code& fault, std::size_t size) { self->on_read(fault, size); });
}

void ServerConnection::on_read(const error_code& fault, std::size_t size) {
  is_reading_ = false;
  if (is_closed_)
    return;
  if (fault)
    return on_peer_closed();
  unparsed_.commit(boost::asio::buffer_copy(unparsed_.prepare(size), boost::asio::buffer(incoming_, size)));
  parse();
  read_more();
}

// A client that has ended its sending side alone can't be told from one that has closed the connection. A response that
// is complete is written all the same.
void ServerConnection::on_peer_closed() {
  is_peer_closed_ = true;
  if (response_ && response_->is_complete)
    return;
  disconnect();
}

void ServerConnection::parse() {
  if (is_unparsable_)
    return unparsed_.consume(unparsed_.size());
  if (phase_ == Phase::head)
    parse_head();
  if (phase_ == Phase::body && !is_closed_)
    parse_body();
}

void ServerConnection::parse_head() {
  if (unparsed_.size() == 0)
    return;
  if (!std::exchange(has_request_begun_, true)) {
    request_begun_at_ = Clock::now();
    waiting_since_ = request_begun_at_.time_since_epoch().count();
    set_deadline(request_begun_at_ + std::min(limits_.request.total_time, std::chrono::milliseconds(times_.head_ms)));
  }
  error_code fault;
  unparsed_.consume(parser_->put(unparsed_.data(), fault));
  if (fault == beast_http::error::need_more)
    return;
  if (fault)
    return reject(fault);
  if (!parser_->is_header_done())
    return;
  bool has_unknown_encoding = parser_->get().count(beast_http::field::transfer_encoding) > 0 && !parser_->chunked();
  if (has_unknown_encoding)  // where the request ends is not known
    return reject(beast_http::error::bad_value);
  begin_request();
}

void ServerConnection::copy_head(http_request& request) const {
  const auto& head = parser_->get();
  request.set_method(std::string(head.method_string()));
  request.set_request_uri(std::string(head.target()));
  for (const auto& field : head)
    request.headers().add(std::string(field.name_string()), std::string(field.value()));
}

void ServerConnection::begin_request() {
  waiting_since_ = not_waiting;
  set_deadline(request_begun_at_ + limits_.request.total_time);
  http_request request =
      http_request::_create_request(std::make_unique<RequestContext>(weak_from_this(), ++last_exchange_number_));
  exchange_ = Exchange{};
  exchange_->number = last_exchange_number_;
  try {
    copy_head(request);
  } catch (const std::exception&) {  // the target is no URI
    return reject(beast_http::error::bad_value);
  }
  exchange_->method = request.method();
  exchange_->request = request._get_impl();
  request._get_impl()->_prepare_to_receive_data();
  request._set_cancellation_token(exchange_->departure.get_token());
  phase_ = Phase::body;
  bool awaits_continue = !parser_->is_done() && beast_http::token_list(parser_->get()["Expect"]).exists("100-continue");
  if (parser_->is_done())
    finish_body();
  if (awaits_continue && !write_continue())
    return disconnect();
  try {
    handle_(std::move(request));
  } catch (const std::exception& fault) {  // the request is dropped, which closes the connection
    LOG(ERROR) << "request_handler_failed reason=" << fault.what();
  }
}

// Nothing else is being written. False: the client has not read what came before, and does not wait for this.
bool ServerConnection::write_continue() {
  const std::size_t size = std::char_traits<char>::length(continue_response);
  error_code fault;
  return socket_.write_some(boost::asio::buffer(continue_response, size), fault) == size;
}

void ServerConnection::parse_body() {
  std::array<std::uint8_t, body_piece_size> piece;
  while (phase_ == Phase::body && unparsed_.size() > 0) {
    auto& body = parser_->get().body();
    body.data = piece.data();
    body.size = piece.size();
    error_code fault;
    std::size_t used = parser_->put(unparsed_.data(), fault);
    unparsed_.consume(used);
    std::size_t size = piece.size() - body.size;
    if (size > 0)
      deliver_body(piece.data(), size);
    bool wants_more = fault == beast_http::error::need_more || fault == beast_http::error::need_buffer;
    if (fault == beast_http::error::body_limit)
      process_limit_counters().record(limits_.reader, LimitFault::body_too_large);
    if (fault && !wants_more)
      return response_ ? stop_parsing() : disconnect();  // a response that is on its way goes out
    if (parser_->is_done())
      return finish_body();
    if (used == 0 && size == 0)
      return;
  }
}

// The stream takes a copy at once. Nothing is waited for: this is one of the few threads that serve all connections,
// and a task that is waited for here may need another of them.
void ServerConnection::deliver_body(const std::uint8_t* bytes, std::size_t size) {
  auto request = exchange_->request.lock();
  if (!request)
    return;  // the handler wants no more of it
  exchange_->body_size += size;
  auto stream = request->outstream().streambuf();
  if (!stream.can_write())
    return exchange_->request.reset();
  try {
    observe(stream.putn_nocopy(bytes, size));
    observe(stream.sync());
  } catch (const std::exception&) {  // the handler has closed the stream meanwhile
    exchange_->request.reset();
  }
}

void ServerConnection::finish_body() {
  phase_ = Phase::complete;
  clear_deadline();
  if (auto request = std::exchange(exchange_->request, {}).lock())
    request->_complete(exchange_->body_size);
}

// Answers bytes that are no request, or one over its bounds.
void ServerConnection::reject(const error_code& fault) {
  waiting_since_ = not_waiting;
  int status = bad_request;
  if (fault == beast_http::error::header_limit) {
    process_limit_counters().record(limits_.reader, LimitFault::head_too_large);
    status = head_too_large;
  }
  if (fault == beast_http::error::body_limit) {
    process_limit_counters().record(limits_.reader, LimitFault::body_too_large);
    status = body_too_large;
  }
  exchange_ = Exchange{};
  exchange_->number = ++last_exchange_number_;
  phase_ = Phase::body;  // its end is not known
  stop_parsing();
  begin_response(http_response(static_cast<web::http::status_code>(status)), [](bool) {});
}

// What still comes is dropped, and the connection ends with the response.
void ServerConnection::stop_parsing() {
  is_unparsable_ = true;
  unparsed_.consume(unparsed_.size());
}

// --- writing ------------------------------------------------------------------------------------------

void ServerConnection::begin_response(const http_response& message, ReplyEnd on_end) {
  response_ = Response{};
  response_->message = message;
  response_->on_end = std::move(on_end);
  bool must_close = is_unparsable_ || phase_ != Phase::complete || !parser_->keep_alive();
  response_->head = make_response_head(response_->message, exchange_->method, must_close);
  response_->unsent_length = response_->head.content_length;
  out_ = response_->head.bytes;
  if (response_->head.framing == BodyFraming::none)
    return write_out(true);
  response_->body = std::make_shared<BodyReader>();
  response_->body->source = response_->message.body().streambuf();
  response_->body->on_bytes = [self = shared_from_this()](const std::string& bytes) {
    boost::asio::dispatch(self->socket_.get_executor(), [self, bytes] { self->on_response_bytes(bytes); });
    return false;  // the next piece is read once this one is written
  };
  response_->body->on_end = [self = shared_from_this()](bool is_broken) {
    boost::asio::dispatch(self->socket_.get_executor(), [self, is_broken] { self->on_response_end(is_broken); });
  };
  bool is_body_there = response_->head.framing == BodyFraming::content_length || response_->body->source.in_avail() > 0;
  if (is_body_there)
    response_->body->next();  // goes out in one write with the head
  else
    write_out(false);
}

void ServerConnection::on_response_bytes(const std::string& bytes) {
  if (!response_)
    return;
  if (response_->head.framing == BodyFraming::chunked) {
    out_ += chunk_of(bytes);
    return write_out(false);
  }
  if (bytes.size() > response_->unsent_length)
    return disconnect();
  response_->unsent_length -= bytes.size();
  out_ += bytes;
  write_out(response_->unsent_length == 0);
}

// A body that broke off must not look complete: the connection is cut.
void ServerConnection::on_response_end(bool is_broken) {
  if (!response_)
    return;
  if (is_broken || response_->head.framing == BodyFraming::content_length)
    return disconnect();
  out_ += last_chunk;
  write_out(true);
}

void ServerConnection::write_out(bool is_complete) {
  response_->is_complete = is_complete;
  if (phase_ == Phase::complete)
    set_deadline(limits_.writing_time);
  auto on_written = [self = shared_from_this()](const error_code& fault, std::size_t) {
    if (self->is_closed_)
      return;
    self->out_.clear();
    if (fault)
      return self->disconnect();
    if (self->response_->is_complete)
      return self->finish_response();
    if (self->phase_ == Phase::complete)
      self->clear_deadline();
    self->response_->body->next();
  };
  boost::asio::async_write(socket_, boost::asio::buffer(out_), std::move(on_written));
}

void ServerConnection::finish_response() {
  bool is_last = response_->head.is_last_on_connection || is_peer_closed_ || is_unparsable_ || is_closing_;
  ReplyEnd on_end = std::move(response_->on_end);
  response_.reset();
  if (auto request = exchange_->request.lock())
    request->_complete(0, broken_body());  // whoever still reads the body ends
  exchange_.reset();
  on_end(true);
  if (is_last)
    return shut_down_gracefully();
  expect_request();
  parse();
  read_more();
}

// --- the end ------------------------------------------------------------------------------------------

// A socket that is closed with unread bytes resets the connection, and what the client has not read yet is lost. So the
// sending side is ended first, and what still comes is dropped until the client closes.
void ServerConnection::shut_down_gracefully() {
  if (is_peer_closed_ || is_closing_)
    return disconnect();
  error_code ignored;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  stop_parsing();
  linger_timer_.expires_after(linger_limit);
  linger_timer_.async_wait([self = shared_from_this()](const error_code& fault) {
    if (!fault)
      self->disconnect();
  });
  read_more();
}

void ServerConnection::disconnect() {
  if (std::exchange(is_closed_, true))
    return;
  auto exchange = std::exchange(exchange_, std::nullopt);
  auto response = std::exchange(response_, std::nullopt);
  error_code ignored;
  linger_timer_.cancel();
  socket_.close(ignored);
  if (exchange) {
    exchange->departure.cancel();
    if (auto request = exchange->request.lock())
      request->_complete(0, broken_body());
  }
  if (response) {
    if (response->body)
      response->body->source.close(std::ios_base::in);  // a read that waits there ends
    response->on_end(false);
  }
  on_closed_();
}

}  // namespace emberdale
