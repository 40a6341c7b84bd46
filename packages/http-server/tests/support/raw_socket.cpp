#include "raw_socket.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <stdexcept>
#include <utility>

namespace emberdale_test {
namespace {

sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

class TimeLimit {
 public:
  explicit TimeLimit(int limit_ms) : end_(Clock::now() + std::chrono::milliseconds(limit_ms)) {}
  int left_ms() const {
    auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end_ - Clock::now()).count();
    return left > 0 ? static_cast<int>(left) : 0;
  }

 private:
  using Clock = std::chrono::steady_clock;
  Clock::time_point end_;
};

}  // namespace

RawSocket::RawSocket(RawSocket&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)), buffer_(std::move(other.buffer_)), end_(other.end_) {}

RawSocket& RawSocket::operator=(RawSocket&& other) noexcept {
  close();
  descriptor_ = std::exchange(other.descriptor_, -1);
  buffer_ = std::move(other.buffer_);
  end_ = other.end_;
  return *this;
}

RawSocket RawSocket::connect(std::uint16_t port) {
  RawSocket made(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in address = loopback(port);
  if (::connect(made.descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
    throw std::runtime_error("can't connect on loopback");
  int on = 1;
  setsockopt(made.descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return made;
}

RawSocket RawSocket::listen() {
  RawSocket made(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in address = loopback(0);
  if (::bind(made.descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(made.descriptor_, 512) != 0)
    throw std::runtime_error("can't listen on loopback");
  return made;
}

std::uint16_t RawSocket::port() const {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

std::optional<RawSocket> RawSocket::accept() const {
  int accepted = ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
  if (accepted < 0)
    return std::nullopt;
  int on = 1;
  setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return RawSocket(accepted);
}

bool RawSocket::write(const std::string& bytes) const {
  for (std::size_t at = 0; at < bytes.size();) {
    auto sent = ::send(descriptor_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (sent <= 0)
      return false;
    at += static_cast<std::size_t>(sent);
  }
  return true;
}

bool RawSocket::read_some(int limit_ms) {
  pollfd polled{descriptor_, POLLIN, 0};
  if (::poll(&polled, 1, limit_ms) <= 0) {
    end_ = End::silent;
    return false;
  }
  char bytes[4096];
  auto got = ::recv(descriptor_, bytes, sizeof bytes, 0);
  if (got <= 0) {
    end_ = End::closed;
    return false;
  }
  buffer_.append(bytes, static_cast<std::size_t>(got));
  return true;
}

std::string RawSocket::read_to(const std::string& mark, int limit_ms) {
  TimeLimit limit(limit_ms);
  std::size_t found;
  while ((found = buffer_.find(mark)) == std::string::npos)
    if (!read_some(limit.left_ms()))
      return "";
  std::string taken = buffer_.substr(0, found + mark.size());
  buffer_.erase(0, taken.size());
  return taken;
}

std::string RawSocket::read_size(std::size_t size, int limit_ms) {
  TimeLimit limit(limit_ms);
  while (buffer_.size() < size)
    if (!read_some(limit.left_ms()))
      return "";
  std::string taken = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return taken;
}

bool RawSocket::is_closed_within(int limit_ms) {
  TimeLimit limit(limit_ms);
  while (read_some(limit.left_ms()))
    buffer_.clear();
  return end_ == End::closed;
}

std::string RawSocket::pending(int limit_ms) {
  read_some(limit_ms);
  return buffer_;
}

void RawSocket::end_sending() const { ::shutdown(descriptor_, SHUT_WR); }

void RawSocket::shut_down() const { ::shutdown(descriptor_, SHUT_RDWR); }

void RawSocket::reset() {
  linger at_once{1, 0};
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close();
}

void RawSocket::close() {
  if (descriptor_ >= 0)
    ::close(std::exchange(descriptor_, -1));
}

}  // namespace emberdale_test
