// Just enough of HTTP/1.1 for stand-ins of callers and runners: heads, chunks, whole messages.
#pragma once
#include <string>

#include "raw_socket.hpp"

namespace emberdale_test {

// Example: header_value("HTTP/1.1 200 OK\r\nA: b\r\n\r\n", "A") == "b"
std::string header_value(const std::string& head, const std::string& name);
bool has_header(const std::string& head, const std::string& name);
// Example: chunk("ab") == "2\r\nab\r\n"
std::string chunk(const std::string& bytes);

struct SeenAnswer {
  int status = 0;  // 0: no whole head came
  std::string head, body;
  bool is_whole = false;  // by its length or its last chunk
  RawSocket::End end = RawSocket::End::none;
};

SeenAnswer read_response(RawSocket& socket, int limit_ms);

}  // namespace emberdale_test
