#include "emberdale/socket_address.hpp"

#include <boost/asio/ip/address.hpp>

#include "absl/status/status.h"

namespace emberdale {

namespace {

constexpr int max_port = 65535;

}  // namespace

absl::StatusOr<SocketAddress> parse_socket_address(const std::string& text) {
  auto invalid = [&](const std::string& reason) {
    return absl::InvalidArgumentError("'" + text + "' " + reason);
  };
  std::size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    return invalid("is not IP:PORT");
  SocketAddress address;
  address.ip = text.substr(0, colon);
  boost::system::error_code error;
  boost::asio::ip::make_address(address.ip, error);
  if (error)
    return invalid("does not start with an IP number");
  for (char digit : text.substr(colon + 1)) {
    if (digit < '0' || digit > '9')
      return invalid("has no port number");
    address.port = address.port * 10 + (digit - '0');
    if (address.port > max_port)
      return invalid("has a port above 65535");
  }
  if (address.port == 0)
    return invalid("has no port number");
  return address;
}

}  // namespace emberdale
