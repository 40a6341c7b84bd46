// Addresses of sockets as text: "IP:PORT".
#pragma once
#include <string>

#include "absl/status/statusor.h"

namespace emberdale {

// An IP address and a port between 1 and 65535.
struct SocketAddress {
  std::string ip;
  int port = 0;
};

// Reads "IP:PORT". The IP may be of version 4 or 6; host names are refused. InvalidArgument says what is wrong.
// Example: parse_socket_address("127.0.0.1:80")->port == 80
absl::StatusOr<SocketAddress> parse_socket_address(const std::string& text);

}  // namespace emberdale
