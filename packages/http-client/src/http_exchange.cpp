#include "http_exchange.hpp"

#include <algorithm>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <limits>
#include <utility>

#include "emberdale/socket_address.hpp"

namespace emberdale {

namespace beast_http = boost::beast::http;
using boost::asio::ip::tcp;
using web::http::http_response;

namespace {

constexpr std::size_t read_size = 8192;
constexpr std::size_t body_piece_size = 8192;
constexpr std::size_t max_chunk_framing = 8192;  // of the line before a chunk, and of the trailers
constexpr std::chrono::milliseconds default_idle_lifetime{20000};
constexpr std::chrono::milliseconds keep_alive_margin{500};  // for the server's close to arrive
constexpr int first_final_status = 200;

bool sends_length_always(const std::string& method) { return method == "POST" || method == "PUT" || method == "PATCH"; }

// No control characters but tabs, which may stand in a header.
bool is_one_line(const std::string& text) {
  return std::none_of(text.begin(), text.end(),
                      [](unsigned char letter) { return (letter < ' ' && letter != '\t') || letter == 0x7f; });
}

bool is_well_formed(const HttpRequest& request) {
  bool is_target = !request.target.empty() && request.target.find_first_of(" \t") == std::string::npos;
  if (!is_target || !is_one_line(request.target))
    return false;
  return std::all_of(request.headers.begin(), request.headers.end(),
                     [](const auto& header) { return is_one_line(header.first) && is_one_line(header.second); });
}

// The whole seconds that a Keep-Alive header states. Example: keep_alive_timeout("timeout=5, max=9") is 5 s
std::optional<std::chrono::seconds> keep_alive_timeout(const std::string& value) {
  constexpr std::size_t max_digits = 6;
  const std::string mark = "timeout=";
  auto found = value.find(mark);
  if (found == std::string::npos)
    return std::nullopt;
  std::string digits = value.substr(found + mark.size(), max_digits);
  digits = digits.substr(0, digits.find_first_not_of("0123456789"));
  if (digits.empty())
    return std::nullopt;
  return std::chrono::seconds(std::stol(digits));
}

}  // namespace

ClientExchange::ClientExchange(std::shared_ptr<ConnectionPool> pool, HttpRequest request, const MessageLimits& limits,
                               ResponseHandler handler)
    : pool_(std::move(pool)),
      request_(std::move(request)),
      limits_(limits),
      handler_(std::move(handler)),
      connection_(request_.may_be_sent_again ? pool_->take() : nullptr),
      strand_((connection_ ? connection_ : connection_ = make_connection())->socket.get_executor()),
      timer_(strand_),
      resolver_(strand_) {}

void ClientExchange::start() {
  boost::asio::post(strand_, [self = shared_from_this()] { self->begin(); });
}

void ClientExchange::cancel() {
  is_cancelled_ = true;
  boost::asio::dispatch(strand_, [self = shared_from_this()] {
    if (!self->has_begun_ || self->end_)
      return;
    self->end(HttpFault::cancelled);
    self->settle();
  });
}

// --- sending ------------------------------------------------------------------------------------------

void ClientExchange::begin() {
  has_begun_ = true;
  begun_at_ = Clock::now();
  head_ = request_head();
  if (is_cancelled_)
    end(HttpFault::cancelled);
  else
    limit_time(limits_.total_time);
  if (!end_ && !is_well_formed(request_))
    end(HttpFault::not_connected, make_error_code(boost::system::errc::invalid_argument));
  if (!end_)
    open();
  settle();
}

void ClientExchange::limit_time(std::chrono::milliseconds time) {
  timer_.expires_after(time);
  timer_.async_wait([self = shared_from_this()](const Fault& replaced) {
    if (replaced || self->end_)
      return;
    self->end(HttpFault::timed_out);
    self->settle();
  });
}

void ClientExchange::open() {
  if (connection_->was_used)
    return send();
  auto address = parse_socket_address(pool_->address());
  if (!address.ok())
    return resolve();
  connect({boost::asio::ip::make_address(address->ip), static_cast<std::uint16_t>(address->port)});
}

// The address has a name in the place of a number, as an operator may write it.
void ClientExchange::resolve() {
  auto colon = pool_->address().rfind(':');
  if (colon == std::string::npos)
    return end(HttpFault::not_connected, make_error_code(boost::system::errc::invalid_argument));
  ++operations_;
  resolver_.async_resolve(tcp::v4(), pool_->address().substr(0, colon), pool_->address().substr(colon + 1),
                          [self = shared_from_this()](const Fault& fault, const tcp::resolver::results_type& found) {
                            --self->operations_;
                            if (!self->end_ && fault)
                              self->end(HttpFault::not_connected, fault);
                            if (!self->end_)
                              self->connect(found.begin()->endpoint());
                            self->settle();
                          });
}

void ClientExchange::connect(const Endpoint& endpoint) {
  connection_->prepare(endpoint.protocol());
  ++operations_;
  connection_->socket.async_connect(endpoint, [self = shared_from_this()](const Fault& fault) {
    --self->operations_;
    if (!self->end_ && fault)
      self->end(HttpFault::not_connected, fault);
    if (!self->end_)
      self->send();
    self->settle();
  });
}

std::string ClientExchange::request_head() const {
  std::string head = request_.method + " " + request_.target + " HTTP/1.1\r\n";
  const std::size_t body_size = request_.body ? request_.body->size() : 0;
  if (!request_.headers.has("Host"))
    head += "Host: " + pool_->address() + "\r\n";
  for (const auto& [name, value] : request_.headers)
    if (name != "Content-Length")
      head += name + ": " + value + "\r\n";
  if (body_size > 0 || sends_length_always(request_.method))
    head += "Content-Length: " + std::to_string(body_size) + "\r\n";
  return head + "\r\n";
}

// Reading begins at once: a server may respond before it has read the whole request.
void ClientExchange::send() {
  parser_.emplace();
  parser_->header_limit(static_cast<std::uint32_t>(limits_.max_head_bytes));
  parser_->body_limit(std::numeric_limits<std::uint64_t>::max());  // until on_head has given it
  parser_->skip(request_.method == "HEAD");
  std::array<boost::asio::const_buffer, 2> buffers{boost::asio::buffer(head_), boost::asio::const_buffer()};
  if (request_.body)
    buffers[1] = boost::asio::buffer(*request_.body);
  was_sent_ = true;
  ++operations_;
  boost::asio::async_write(connection_->socket, buffers,
                           [self = shared_from_this()](const Fault&, std::size_t size) { self->on_written(size); });
  read_more();
}

// A write that failed is not the end: the response may have come before, and the read shows it.
void ClientExchange::on_written(std::size_t size) {
  --operations_;
  const std::size_t whole_size = head_.size() + (request_.body ? request_.body->size() : 0);
  is_written_ = size == whole_size;
  if (is_written_)
    ++times_written_;
  settle();
}

// --- reading ------------------------------------------------------------------------------------------

void ClientExchange::read_more() {
  ++operations_;
  connection_->socket.async_read_some(
      unparsed_.prepare(read_size),
      [self = shared_from_this()](const Fault& fault, std::size_t size) { self->on_read(fault, size); });
}

void ClientExchange::on_read(const Fault& fault, std::size_t size) {
  --operations_;
  if (end_)
    return settle();
  if (fault) {
    on_peer_closed(fault == boost::asio::error::eof);
    return settle();
  }
  has_response_begun_ = true;
  unparsed_.commit(size);
  parse();
  if (!end_)
    read_more();
  settle();
}

void ClientExchange::on_peer_closed(bool is_orderly) {
  if (!has_response_begun_) {
    if (!may_send_again())
      return end(HttpFault::connection_closed);
    must_send_again_ = true;
    return close_socket();
  }
  Fault fault;
  bool may_end_here = is_orderly && is_head_delivered_;
  if (may_end_here)
    parser_->put_eof(fault);
  if (may_end_here && !fault && parser_->is_done())
    return complete();
  end(HttpFault::cut_off);
}

bool ClientExchange::may_send_again() const {
  return connection_->was_used && request_.may_be_sent_again && !has_sent_again_ &&
         Clock::now() - begun_at_ <= request_.resend_time;
}

void ClientExchange::parse() {
  if (!is_head_delivered_)
    parse_head();
  if (!end_ && is_head_delivered_)
    parse_body();
}

void ClientExchange::parse_head() {
  Fault fault;
  unparsed_.consume(parser_->put(unparsed_.data(), fault));
  if (fault == beast_http::error::need_more)
    return;
  if (fault)
    return end(fault == beast_http::error::header_limit ? HttpFault::head_too_large : HttpFault::malformed);
  if (parser_->is_header_done())
    on_head_parsed();
}

http_response ClientExchange::copy_head() const {
  const auto& head = parser_->get();
  http_response response(static_cast<web::http::status_code>(head.result_int()));
  response.set_reason_phrase(std::string(head.reason()));
  for (const auto& field : head)
    response.headers().add(std::string(field.name_string()), std::string(field.value()));
  return response;
}

void ClientExchange::on_head_parsed() {
  is_delimited_ = !parser_->need_eof();
  auto body_limits = handler_.on_head(copy_head());
  is_head_delivered_ = true;
  if (end_)  // cancelled by the handler
    return;
  if (!body_limits)
    return end(HttpFault::cancelled);
  auto announced = parser_->content_length();
  if (announced && *announced > body_limits->max_bytes && !parser_->is_done())
    return end(HttpFault::body_too_large);
  parser_->body_limit(body_limits->max_bytes);
  if (body_limits->time_left)
    limit_time(*body_limits->time_left);
  if (parser_->is_done())
    complete();
}

void ClientExchange::parse_body() {
  std::array<char, body_piece_size> piece;
  while (!end_ && unparsed_.size() > 0) {
    auto& body = parser_->get().body();
    body.data = piece.data();
    body.size = piece.size();
    Fault fault;
    const std::size_t used = parser_->put(unparsed_.data(), fault);
    unparsed_.consume(used);
    const std::size_t size = piece.size() - body.size;
    if (size > 0)
      deliver(piece.data(), size);
    if (end_)
      return;
    const bool wants_more = fault == beast_http::error::need_more || fault == beast_http::error::need_buffer;
    if (fault && !wants_more)
      return end(fault == beast_http::error::body_limit ? HttpFault::body_too_large : HttpFault::malformed);
    if (parser_->is_done())
      return complete();
    if (used == 0 && size == 0)
      break;
  }
  if (unparsed_.size() > max_chunk_framing)  // a line of its chunks has no end
    end(HttpFault::malformed);
}

void ClientExchange::deliver(const char* bytes, std::size_t size) {
  bool is_more_wanted = handler_.on_body(std::string(bytes, size));
  if (!is_more_wanted && !end_)
    end(HttpFault::cancelled);
}

void ClientExchange::complete() { end(HttpFault::none); }

// --- the end ------------------------------------------------------------------------------------------

bool ClientExchange::is_reusable() const {
  bool is_final = parser_->get().result_int() >= first_final_status;
  return request_.may_be_sent_again && end_->fault == HttpFault::none && is_final && is_delimited_ &&
         parser_->keep_alive() && is_written_ && unparsed_.size() == 0;
}

std::chrono::milliseconds ClientExchange::idle_lifetime() const {
  auto stated = keep_alive_timeout(std::string(parser_->get()["Keep-Alive"]));
  if (!stated)
    return default_idle_lifetime;
  return std::min(default_idle_lifetime, std::chrono::milliseconds(*stated) - keep_alive_margin);
}

void ClientExchange::end(HttpFault fault, const Fault& cause) {
  if (end_)
    return;
  end_ = ExchangeEnd{};
  end_->fault = fault;
  end_->cause = cause;
  end_->is_delimited = is_delimited_;
  record_limit(fault);
  timer_.cancel();
  resolver_.cancel();
  if (!parser_ || !is_reusable())
    close_socket();
}

// Only a response that has begun counts as too slow: a server that is gone sends nothing.
void ClientExchange::record_limit(HttpFault fault) const {
  auto& counters = process_limit_counters();
  if (fault == HttpFault::head_too_large)
    counters.record(pool_->reader(), LimitFault::head_too_large);
  if (fault == HttpFault::body_too_large)
    counters.record(pool_->reader(), LimitFault::body_too_large);
  if (fault == HttpFault::timed_out && has_response_begun_)
    counters.record(pool_->reader(), LimitFault::too_slow);
}

void ClientExchange::close_socket() {
  Fault ignored;
  connection_->socket.close(ignored);
}

// Goes on once no operation of the connection is left: with the same request, or with the end.
void ClientExchange::settle() {
  if (operations_ > 0 || !connection_)
    return;
  if (must_send_again_ && !end_)
    return send_again();
  if (!end_)
    return;
  auto connection = std::move(connection_);
  if (parser_ && connection->socket.is_open() && is_reusable()) {
    connection->was_used = true;
    connection->idle_until = Clock::now() + idle_lifetime();
    pool_->put(std::move(connection));
  }
  connection.reset();
  end_->was_sent = was_sent_;
  end_->times_written = times_written_;
  auto handler = std::exchange(handler_, {});
  handler.on_end(*end_);
}

void ClientExchange::send_again() {
  must_send_again_ = false;
  has_sent_again_ = true;
  is_written_ = false;
  unparsed_.clear();
  connection_ = std::make_unique<ClientConnection>(strand_);
  open();
}

}  // namespace emberdale
