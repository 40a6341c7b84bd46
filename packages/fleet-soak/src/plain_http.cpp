#include "plain_http.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <sstream>

#include "emberdale/program_settings.hpp"

namespace emberdale::soak {
namespace {

constexpr std::size_t read_size = 16384;
constexpr int connections_waiting = 256;
constexpr int small_buffer_bytes = 1024;
const std::string head_end = "\r\n\r\n";
const std::string last_chunk = "0\r\n\r\n";

sockaddr_in socket_address(const std::string& address) {
  auto colon = address.find(':');
  sockaddr_in place{};
  place.sin_family = AF_INET;
  place.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
  ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &place.sin_addr);
  return place;
}

// Waits for one of the events; false: the deadline came first.
bool wait_for(int handle, short events, TimePoint deadline) {
  pollfd waiting{handle, events, 0};
  int result = 0;
  do {
    auto left = std::max<std::int64_t>(0, (deadline - steady_now()).value);
    result = ::poll(&waiting, 1, static_cast<int>(left));
  } while (result < 0 && errno == EINTR);
  return result > 0;
}

}  // namespace

std::optional<Connection> Connection::open(const std::string& address, Duration timeout) {
  Connection connection(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  sockaddr_in place = socket_address(address);
  int result = ::connect(connection.handle_, reinterpret_cast<sockaddr*>(&place), sizeof place);
  if (result != 0 && errno != EINPROGRESS)
    return std::nullopt;
  if (!wait_for(connection.handle_, POLLOUT, steady_now() + timeout))
    return std::nullopt;
  int fault = 0;
  socklen_t size = sizeof fault;
  ::getsockopt(connection.handle_, SOL_SOCKET, SO_ERROR, &fault, &size);
  if (fault != 0)
    return std::nullopt;
  return connection;
}

bool Connection::send(const std::string& bytes, TimePoint deadline) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    ssize_t size = ::send(handle_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (size > 0)
      sent += static_cast<std::size_t>(size);
    else if (errno != EAGAIN || !wait_for(handle_, POLLOUT, deadline))
      return false;
  }
  return true;
}

ReadResult Connection::read(std::string& into, TimePoint deadline) {
  if (!wait_for(handle_, POLLIN, deadline))
    return ReadResult::timeout;
  char bytes[read_size];
  ssize_t size = ::recv(handle_, bytes, sizeof bytes, 0);
  if (size <= 0)
    return ReadResult::closed;
  into.append(bytes, static_cast<std::size_t>(size));
  return ReadResult::data;
}

bool Connection::is_closed_before(TimePoint deadline) const { return wait_for(handle_, POLLRDHUP, deadline); }

void Connection::shrink_receive_buffer() const {
  ::setsockopt(handle_, SOL_SOCKET, SO_RCVBUF, &small_buffer_bytes, sizeof small_buffer_bytes);
}

void Connection::close() {
  if (handle_ >= 0)
    ::close(handle_);
  handle_ = -1;
}

void Connection::reset() {
  linger at_once{1, 0};
  ::setsockopt(handle_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close();
}

int listen_at(const std::string& address) {
  int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int yes = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  sockaddr_in place = socket_address(address);
  if (::bind(listener, reinterpret_cast<sockaddr*>(&place), sizeof place) == 0 &&
      ::listen(listener, connections_waiting) == 0)
    return listener;
  ::close(listener);
  return -1;
}

void stop_listening(int listener) { ::shutdown(listener, SHUT_RDWR); }

std::optional<Connection> accept_from(int listener) {
  int handle = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
  if (handle < 0)
    return std::nullopt;
  int yes = 1;
  ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  return Connection(handle);
}

std::string lower_case(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return std::tolower(letter); });
  return text;
}

ReadResult Message::read_from(Connection& connection, TimePoint deadline) {
  ReadResult result = ReadResult::data;
  while (!is_complete() && result == ReadResult::data)
    result = read_once(connection, deadline);
  return result;
}

ReadResult Message::read_once(Connection& connection, TimePoint deadline) {
  ReadResult result = connection.read(bytes_, deadline);
  if (!has_head())
    parse_head();
  return result;
}

bool Message::is_complete() const {
  if (!has_head())
    return false;
  if (field("transfer-encoding") == "chunked")
    return bytes_.size() >= head_size_ + last_chunk.size() &&
           bytes_.compare(bytes_.size() - last_chunk.size(), last_chunk.size(), last_chunk) == 0;
  return bytes_.size() - head_size_ >= static_cast<std::size_t>(std::atoll(field("content-length").c_str()));
}

std::string Message::word(int index) const {
  std::istringstream words(first_line_);
  std::string word;
  for (int i = 0; i <= index; ++i)
    words >> word;
  return word;
}

std::string Message::field(const std::string& lower_case_name) const {
  auto entry = fields_.find(lower_case_name);
  return entry == fields_.end() ? "" : entry->second;
}

void Message::parse_head() {
  auto end = bytes_.find(head_end);
  if (end == std::string::npos)
    return;
  head_size_ = end + head_end.size();
  std::istringstream lines(bytes_.substr(0, end));
  std::getline(lines, first_line_);
  for (std::string line; std::getline(lines, line);) {
    auto colon = line.find(':');
    auto value = line.find_first_not_of(' ', colon + 1);
    if (colon == std::string::npos || value == std::string::npos)
      continue;
    fields_[lower_case(line.substr(0, colon))] = line.substr(value, line.find_last_not_of('\r') + 1 - value);
  }
}

std::optional<Response> exchange(const std::string& address, const std::string& request, Duration timeout) {
  TimePoint deadline = steady_now() + timeout;
  auto connection = Connection::open(address, timeout);
  if (!connection || !connection->send(request, deadline))
    return std::nullopt;
  Message message;
  message.read_from(*connection, deadline);
  if (!message.is_complete())
    return std::nullopt;
  return Response{std::atoi(message.word(1).c_str()), message.body()};
}

std::string request_text(const std::string& method, const std::string& path, const std::string& fields,
                         const std::string& body) {
  return method + " " + path + " HTTP/1.1\r\nHost: localhost\r\n" + fields +
         "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace emberdale::soak
