// Tests of reading socket addresses, with the texts that operators see.
#include "emberdale/socket_address.hpp"

#include <gtest/gtest.h>

namespace emberdale {
namespace {

TEST(SocketAddress, ReadsBothVersionsOfIp) {
  auto address = parse_socket_address("127.0.0.1:80");
  ASSERT_TRUE(address.ok());
  EXPECT_EQ(address->ip, "127.0.0.1");
  EXPECT_EQ(address->port, 80);
  EXPECT_EQ(parse_socket_address("::1:65535")->ip, "::1");
}

TEST(SocketAddress, SaysWhatIsWrong) {
  struct Case {
    const char* text;
    const char* reason;
  };
  for (const Case& wrong :
       {Case{"127.0.0.1", "'127.0.0.1' is not IP:PORT"},
        Case{"localhost:80", "'localhost:80' does not start with an IP number"},
        Case{"127.0.0.1:", "'127.0.0.1:' has no port number"}, Case{"127.0.0.1:0", "'127.0.0.1:0' has no port number"},
        Case{"127.0.0.1:8x", "'127.0.0.1:8x' has no port number"},
        Case{"127.0.0.1:65536", "'127.0.0.1:65536' has a port above 65535"}}) {
    absl::Status status = parse_socket_address(wrong.text).status();
    EXPECT_EQ(status.code(), absl::StatusCode::kInvalidArgument) << wrong.text;
    EXPECT_EQ(status.message(), wrong.reason);
  }
}

}  // namespace
}  // namespace emberdale
