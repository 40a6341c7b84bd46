#include "emberdale/http_listener.hpp"

#include <glog/logging.h>
#include <pplx/threadpool.h>

#include <algorithm>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <future>
#include <map>
#include <mutex>
#include <shared_mutex>
#include <stdexcept>
#include <utility>
#include <vector>

#include "emberdale/socket_address.hpp"
#include "server_connection.hpp"

namespace emberdale {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds accept_retry_interval{10};  // while there is no free descriptor
constexpr std::chrono::seconds close_limit{10};
constexpr std::chrono::milliseconds sweep_interval{500};  // how late a bound of time may be noticed
constexpr std::size_t evicted_part = 32;                  // of all connections, at a time
// Its request may be on its way to a connection that has waited for less.
constexpr std::chrono::milliseconds shortest_wait{100};
constexpr std::chrono::milliseconds evict_interval{20};  // while there is no room

boost::asio::io_context& library_context() { return crossplat::threadpool::shared_instance().service(); }

}  // namespace

// Shared by the connections, which may outlive the listener.
struct HttpListener::Server : std::enable_shared_from_this<HttpListener::Server> {
  Server(std::string listen_address, ListenerLimits listener_limits, Handler request_handler)
      : address(std::move(listen_address)),
        limits(std::move(listener_limits)),
        handler(std::move(request_handler)),
        strand(boost::asio::make_strand(library_context())),
        acceptor(strand),
        retry_timer(strand),
        sweep_timer(strand) {
    process_limit_counters().declare(limits.reader);
    times.head_ms = limits.head_time.count();
    times.idle_ms = limits.idle_time.count();
  }

  absl::Status listen();
  void accept();
  void on_accepted(const error_code& fault, ConnectionSocket socket);
  void add_connection(ConnectionSocket socket);
  void accept_when_there_is_room();
  void on_connection_closed(std::uint64_t number);
  // Closes some of those that have been waiting the longest, so that not each new connection looks through all.
  void evict_waiting();
  void evict_later();
  void handle(web::http::http_request request);
  void sweep_later();
  std::map<std::uint64_t, std::weak_ptr<ServerConnection>> open_connections();
  void close_acceptor();
  void close_connections();

  const std::string address;
  const ListenerLimits limits;
  ConnectionTimes times;
  std::shared_mutex handler_mutex;  // held shared while a handler runs
  Handler handler;                  // null once closed
  ConnectionStrand strand;          // of the acceptor and its timer
  boost::asio::basic_socket_acceptor<tcp, ConnectionStrand> acceptor;
  boost::asio::steady_timer retry_timer, sweep_timer;
  std::mutex connections_mutex;  // of all below
  std::condition_variable connection_closed;
  std::map<std::uint64_t, std::weak_ptr<ServerConnection>> connections;
  std::uint64_t last_connection = 0;
  ListenerCounts counts;
  bool is_accept_due = false;  // once there is room
  bool is_closed = false;      // no connection is added any more
};

absl::Status HttpListener::Server::listen() {
  auto parsed = parse_socket_address(address);
  if (!parsed.ok())
    return parsed.status();
  tcp::endpoint endpoint(boost::asio::ip::make_address(parsed->ip), static_cast<std::uint16_t>(parsed->port));
  error_code fault;
  acceptor.open(endpoint.protocol(), fault);
  if (!fault)
    acceptor.set_option(tcp::acceptor::reuse_address(true), fault);
  if (!fault)
    acceptor.bind(endpoint, fault);
  if (!fault)
    acceptor.listen(boost::asio::socket_base::max_listen_connections, fault);
  if (!fault)
    return absl::OkStatus();
  error_code ignored;
  acceptor.close(ignored);
  return absl::UnavailableError("can't listen at " + address + ": " + fault.message());
}

void HttpListener::Server::accept() {
  acceptor.async_accept(boost::asio::make_strand(library_context()),
                        [self = shared_from_this()](const error_code& fault, ConnectionSocket socket) {
                          self->on_accepted(fault, std::move(socket));
                        });
}

void HttpListener::Server::on_accepted(const error_code& fault, ConnectionSocket socket) {
  if (!acceptor.is_open())
    return;
  if (!fault) {
    add_connection(std::move(socket));
    return accept_when_there_is_room();
  }
  LOG_EVERY_N(WARNING, 100) << "accept_failed reason=" << fault.message();
  retry_timer.expires_after(accept_retry_interval);
  retry_timer.async_wait([self = shared_from_this()](const error_code& cancelled) {
    if (!cancelled && self->acceptor.is_open())
      self->accept();
  });
}

void HttpListener::Server::add_connection(ConnectionSocket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  std::shared_ptr<ServerConnection> connection;
  {
    std::lock_guard<std::mutex> guard(connections_mutex);
    if (is_closed)
      return;
    std::uint64_t number = ++last_connection;
    connection = std::make_shared<ServerConnection>(
        std::move(socket), limits, times,
        [self = shared_from_this()](web::http::http_request request) { self->handle(std::move(request)); },
        [self = shared_from_this(), number] { self->on_connection_closed(number); });
    connections[number] = connection;
    ++counts.accepted;
  }
  connection->start();
}

void HttpListener::Server::on_connection_closed(std::uint64_t number) {
  bool is_due = false;
  {
    std::lock_guard<std::mutex> closing(connections_mutex);
    connections.erase(number);
    connection_closed.notify_all();
    is_due = connections.size() < limits.max_connections && std::exchange(is_accept_due, false);
  }
  if (is_due)
    boost::asio::post(strand, [self = shared_from_this()] {
      if (self->acceptor.is_open())
        self->accept();
    });
}

void HttpListener::Server::accept_when_there_is_room() {
  {
    std::lock_guard<std::mutex> guard(connections_mutex);
    is_accept_due = connections.size() >= limits.max_connections;
    if (!is_accept_due)
      return accept();
  }
  evict_waiting();
}

void HttpListener::Server::evict_waiting() {
  using Waiting = std::pair<ServerConnection::Clock::rep, std::shared_ptr<ServerConnection>>;
  std::vector<Waiting> waiting;
  const auto newest = (ServerConnection::Clock::now() - shortest_wait).time_since_epoch().count();
  for (const auto& entry : open_connections())
    if (auto connection = entry.second.lock())
      if (connection->waiting_since() <= newest)
        waiting.push_back({connection->waiting_since(), std::move(connection)});
  const std::size_t count = std::min(waiting.size(), limits.max_connections / evicted_part + 1);
  std::partial_sort(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(count), waiting.end(),
                    [](const Waiting& a, const Waiting& b) { return a.first < b.first; });
  std::int64_t evicted = 0;
  for (std::size_t i = 0; i < count; ++i)
    if (waiting[i].second->evict())
      ++evicted;
  std::lock_guard<std::mutex> guard(connections_mutex);
  counts.evicted += evicted;
  if (is_accept_due)
    evict_later();
}

void HttpListener::Server::evict_later() {
  retry_timer.expires_after(evict_interval);
  retry_timer.async_wait([self = shared_from_this()](const error_code& cancelled) {
    if (cancelled || !self->acceptor.is_open())
      return;
    bool is_due = false;
    {
      std::lock_guard<std::mutex> guard(self->connections_mutex);
      is_due = self->is_accept_due;
    }
    if (is_due)
      self->evict_waiting();
  });
}

void HttpListener::Server::handle(web::http::http_request request) {
  std::shared_lock<std::shared_mutex> guard(handler_mutex);
  if (handler)
    handler(std::move(request));
}

// One timer for all connections: their bounds are seconds, and nearly all requests end within them.
void HttpListener::Server::sweep_later() {
  sweep_timer.expires_after(sweep_interval);
  sweep_timer.async_wait([self = shared_from_this()](const error_code& cancelled) {
    if (cancelled || !self->acceptor.is_open())
      return;
    const auto now = ServerConnection::Clock::now();
    for (const auto& entry : self->open_connections()) {
      auto connection = entry.second.lock();
      if (connection && connection->is_overdue(now))
        connection->end_if_overdue();
    }
    self->sweep_later();
  });
}

std::map<std::uint64_t, std::weak_ptr<ServerConnection>> HttpListener::Server::open_connections() {
  std::lock_guard<std::mutex> guard(connections_mutex);
  return connections;
}

void HttpListener::Server::close_acceptor() {
  std::promise<void> closed;
  boost::asio::dispatch(strand, [this, &closed] {
    error_code ignored;
    acceptor.close(ignored);
    retry_timer.cancel();
    sweep_timer.cancel();
    closed.set_value();
  });
  closed.get_future().wait();
}

void HttpListener::Server::close_connections() {
  std::map<std::uint64_t, std::weak_ptr<ServerConnection>> open;
  {
    std::lock_guard<std::mutex> guard(connections_mutex);
    is_closed = true;
    open = connections;
  }
  for (const auto& entry : open)
    if (auto connection = entry.second.lock())
      connection->close();
  std::unique_lock<std::mutex> guard(connections_mutex);
  if (!connection_closed.wait_for(guard, close_limit, [this] { return connections.empty(); }))
    LOG(ERROR) << "connections_left_open count=" << connections.size();
}

HttpListener::HttpListener(std::string address, ListenerLimits limits, Handler handler)
    : server_(std::make_shared<Server>(std::move(address), std::move(limits), std::move(handler))) {}

HttpListener::~HttpListener() { close(); }

absl::Status HttpListener::open() {
  if (auto listening = server_->listen(); !listening.ok())
    return listening;
  boost::asio::dispatch(server_->strand, [server = server_] {
    server->accept();
    server->sweep_later();
  });
  return absl::OkStatus();
}

void HttpListener::set_times(std::chrono::milliseconds head_time, std::chrono::milliseconds idle_time) {
  server_->times.head_ms = head_time.count();
  server_->times.idle_ms = idle_time.count();
}

ListenerCounts HttpListener::counts() const {
  std::lock_guard<std::mutex> guard(server_->connections_mutex);
  ListenerCounts counts = server_->counts;
  counts.open = static_cast<std::int64_t>(server_->connections.size());
  return counts;
}

void HttpListener::close() {
  {
    std::unique_lock<std::shared_mutex> guard(server_->handler_mutex);
    if (!server_->handler)
      return;
    server_->handler = nullptr;
  }
  server_->close_acceptor();
  server_->close_connections();
}

void reply_to(const web::http::http_request& request, const web::http::http_response& response, ReplyEnd on_end) {
  auto* context = dynamic_cast<RequestContext*>(request._get_impl()->_get_server_context());
  if (context == nullptr)
    return on_end(false);
  context->reply(response, std::move(on_end));
}

// Closing alone is not enough: without a fault the library's reader of the body goes on waiting.
void abandon_body(const web::http::http_request& request) {
  auto fault = std::make_exception_ptr(std::runtime_error("the body is not wanted"));
  request.body().streambuf().close(std::ios_base::in | std::ios_base::out, fault);
  request._get_impl()->_complete(0);
}

}  // namespace emberdale
