#include "client_connection.hpp"

#include <netinet/tcp.h>
#include <pplx/threadpool.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "emberdale/message_limits.hpp"

namespace emberdale {

using boost::asio::ip::tcp;

namespace {

// The system ends a connection whose peer has acknowledged nothing for this long; a connect that hangs, too.
constexpr int unacknowledged_timeout_ms = 3000;
constexpr std::chrono::seconds sweep_interval{5};  // in which connections that the server has closed are dropped

boost::asio::io_context& library_context() { return crossplat::threadpool::shared_instance().service(); }

}  // namespace

void ClientConnection::prepare(const tcp& protocol) {
  boost::system::error_code ignored;  // a socket that can't be opened fails to connect
  socket.open(protocol, ignored);
  if (!socket.is_open())
    return;
  int on = 1, silent_ms = unacknowledged_timeout_ms;
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &silent_ms, sizeof silent_ms);
}

bool ClientConnection::is_idle_and_open() {
  char byte = 0;
  auto size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

ConnectionPool::ConnectionPool(std::string address, std::string reader)
    : address_(std::move(address)), reader_(std::move(reader)), sweep_timer_(library_context()) {
  process_limit_counters().declare(reader_);
}

std::unique_ptr<ClientConnection> ConnectionPool::take() {
  const auto now = std::chrono::steady_clock::now();
  std::lock_guard<std::mutex> guard(mutex_);
  while (!idle_.empty()) {
    auto connection = std::move(idle_.back());
    idle_.pop_back();
    if (now < connection->idle_until && connection->is_idle_and_open())
      return connection;
  }
  return nullptr;
}

void ConnectionPool::put(std::unique_ptr<ClientConnection> connection) {
  std::lock_guard<std::mutex> guard(mutex_);
  idle_.push_back(std::move(connection));
  if (!std::exchange(is_sweeping_, true))
    sweep_later();
}

// The mutex is held.
void ConnectionPool::sweep_later() {
  sweep_timer_.expires_after(sweep_interval);
  sweep_timer_.async_wait([pool = weak_from_this()](const boost::system::error_code& cancelled) {
    auto self = pool.lock();
    if (self && !cancelled)
      self->sweep();
  });
}

void ConnectionPool::sweep() {
  std::lock_guard<std::mutex> guard(mutex_);
  drop_expired(std::chrono::steady_clock::now());
  is_sweeping_ = !idle_.empty();
  if (is_sweeping_)
    sweep_later();
}

void ConnectionPool::drop_expired(std::chrono::steady_clock::time_point now) {
  auto is_expired = [now](const std::unique_ptr<ClientConnection>& idle) {
    return idle->idle_until <= now || !idle->is_idle_and_open();
  };
  idle_.erase(std::remove_if(idle_.begin(), idle_.end(), is_expired), idle_.end());
}

std::unique_ptr<ClientConnection> make_connection() {
  return std::make_unique<ClientConnection>(boost::asio::make_strand(library_context()));
}

}  // namespace emberdale
