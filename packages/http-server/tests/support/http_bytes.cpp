#include "http_bytes.hpp"

#include <cstdio>
#include <cstdlib>

namespace emberdale_test {
namespace {

void read_chunks(RawSocket& socket, int limit_ms, SeenAnswer& answer) {
  for (;;) {
    std::string line = socket.read_to("\r\n", limit_ms);
    if (line.empty())
      return;
    std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
    std::string bytes = socket.read_size(size + 2, limit_ms);
    if (bytes.empty())
      return;
    answer.body += bytes.substr(0, size);
    if (size == 0) {
      answer.is_whole = true;
      return;
    }
  }
}

}  // namespace

std::string header_value(const std::string& head, const std::string& name) {
  auto found = head.find("\r\n" + name + ":");
  if (found == std::string::npos)
    return "";
  auto begin = head.find_first_not_of(' ', found + name.size() + 3);
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

bool has_header(const std::string& head, const std::string& name) {
  return head.find("\r\n" + name + ":") != std::string::npos;
}

std::string chunk(const std::string& bytes) {
  char size[24];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

SeenAnswer read_response(RawSocket& socket, int limit_ms) {
  SeenAnswer answer;
  answer.head = socket.read_to("\r\n\r\n", limit_ms);
  if (answer.head.empty()) {
    answer.end = socket.end();
    return answer;
  }
  answer.status = answer.head.size() > 12 ? std::atoi(answer.head.c_str() + 9) : 0;
  std::string length = header_value(answer.head, "Content-Length");
  if (length.empty()) {
    read_chunks(socket, limit_ms, answer);
  } else {
    std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
    answer.body = socket.read_size(size, limit_ms);
    answer.is_whole = answer.body.size() == size;
  }
  answer.end = answer.is_whole ? RawSocket::End::none : socket.end();
  return answer;
}

}  // namespace emberdale_test
