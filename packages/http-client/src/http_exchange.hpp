// One request and its response over a connection of the pool.
#pragma once
#include <array>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "client_connection.hpp"
#include "emberdale/http_client.hpp"

namespace emberdale {

// All private members are used on the connection's strand, once the exchange has begun.
class ClientExchange final : public HttpExchange, public std::enable_shared_from_this<ClientExchange> {
 public:
  ClientExchange(std::shared_ptr<ConnectionPool> pool, HttpRequest request, const MessageLimits& limits,
                 ResponseHandler handler);
  void start() override;
  void cancel() override;
  bool was_sent() const override { return was_sent_; }
  int times_written() const override { return times_written_; }

 private:
  using Clock = std::chrono::steady_clock;
  using Endpoint = boost::asio::ip::tcp::endpoint;
  using Fault = boost::system::error_code;
  using ResponseParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  void begin();
  void limit_time(std::chrono::milliseconds time);
  void open();
  void resolve();
  void connect(const Endpoint& endpoint);
  void send();
  std::string request_head() const;
  void on_written(std::size_t size);

  void read_more();
  void on_read(const Fault& fault, std::size_t size);
  void on_peer_closed(bool is_orderly);
  bool may_send_again() const;
  void parse();
  void parse_head();
  void on_head_parsed();
  web::http::http_response copy_head() const;
  void parse_body();
  void deliver(const char* bytes, std::size_t size);
  void complete();

  // Requests that may not be sent again take new connections: theirs are not kept.
  bool is_reusable() const;
  std::chrono::milliseconds idle_lifetime() const;
  void end(HttpFault fault, const Fault& cause = {});
  void record_limit(HttpFault fault) const;
  void close_socket();
  void settle();
  void send_again();

  const std::shared_ptr<ConnectionPool> pool_;
  const HttpRequest request_;
  const MessageLimits limits_;
  ResponseHandler handler_;
  std::unique_ptr<ClientConnection> connection_;  // null once the exchange has ended
  const ClientStrand strand_;
  boost::asio::steady_timer timer_;
  boost::asio::ip::basic_resolver<boost::asio::ip::tcp, ClientStrand> resolver_;
  std::string head_;  // of the request
  boost::beast::flat_buffer unparsed_;
  std::optional<ResponseParser> parser_;
  Clock::time_point begun_at_;
  int operations_ = 0;  // reads, writes and connects that have not ended
  bool has_begun_ = false, is_written_ = false, has_response_begun_ = false, is_head_delivered_ = false;
  bool is_delimited_ = false, must_send_again_ = false, has_sent_again_ = false;
  std::optional<ExchangeEnd> end_;  // set once; on_end follows when no operation is left
  std::atomic<bool> is_cancelled_{false}, was_sent_{false};
  std::atomic<int> times_written_{0};
};

}  // namespace emberdale
