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

}  // namespace

void ClientConnection::prepare() {
  boost::system::error_code ignored;  // a socket that can't be opened fails to connect
  socket.open(tcp::v4(), ignored);
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
    : address_(std::move(address)), reader_(std::move(reader)) {
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
  const auto now = std::chrono::steady_clock::now();
  std::lock_guard<std::mutex> guard(mutex_);
  auto is_over = [now](const std::unique_ptr<ClientConnection>& idle) {
    return idle->idle_until <= now;
  };
  idle_.erase(std::remove_if(idle_.begin(), idle_.end(), is_over), idle_.end());
  idle_.push_back(std::move(connection));
}

std::unique_ptr<ClientConnection> make_connection() {
  return std::make_unique<ClientConnection>(
      boost::asio::make_strand(crossplat::threadpool::shared_instance().service()));
}

}  // namespace emberdale
