// Tests of connections between processes, on loopback with ports that the system chooses.
#include "emberdale/peer_connections.hpp"

#include <gtest/gtest.h>
#include <sys/resource.h>

namespace emberdale {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

std::string text_of(const tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

// An address where nothing listens now.
Address free_address(asio::io_context& context) {
  tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  return {text_of(acceptor.local_endpoint())};
}

// Runs until the condition holds, or far too much time has passed.
bool run_until(asio::io_context& context, const std::function<bool()>& condition) {
  auto end = std::chrono::steady_clock::now() + std::chrono::seconds(60);
  while (!condition() && std::chrono::steady_clock::now() < end) {
    context.restart();
    context.run_one_for(std::chrono::milliseconds(100));
  }
  return condition();
}

TEST(PeerConnections, CarryMessagesWithTheirSender) {
  asio::io_context context;
  Address here = free_address(context), there = free_address(context);
  std::vector<Address> heard, refused;
  PeerConnections mine(context, here, [](const Address&, Message) {});
  mine.on_refused = [&](const Address& peer) {
    refused.push_back(peer);
  };
  ASSERT_TRUE(mine.listen().ok());
  auto theirs =
      std::make_unique<PeerConnections>(context, there, [&](const Address& from, Message) { heard.push_back(from); });
  ASSERT_TRUE(theirs->listen().ok());
  mine.send(there, Message{LeaveNotice{}});
  ASSERT_TRUE(run_until(context, [&] { return heard.size() == 1; }));
  EXPECT_EQ(heard.front(), here);
  EXPECT_TRUE(refused.empty());
}

// The same cause as review/1 among peers: what a stranger announces was made room for, and waited for without a bound.
TEST(PeerConnections, AHandshakeThatIsTooLargeOrNeverComesEndsItsConnection) {
  asio::io_context context;
  Address here = free_address(context);
  PeerConnections connections(context, here, [](const Address&, Message) {});
  ASSERT_TRUE(connections.listen().ok());
  const auto colon = here.text.find(':');
  const tcp::endpoint endpoint(asio::ip::make_address(here.text.substr(0, colon)),
                               static_cast<unsigned short>(std::stoi(here.text.substr(colon + 1))));
  int closed = 0;
  auto connect = [&](const std::string& bytes) {
    auto socket = std::make_shared<tcp::socket>(context);
    auto byte = std::make_shared<char>();
    socket->connect(endpoint);
    asio::write(*socket, asio::buffer(bytes));
    asio::async_read(*socket, asio::buffer(byte.get(), 1),
                     [&closed, socket, byte](boost::system::error_code, std::size_t) { ++closed; });
  };
  connect(std::string("\x00\x00\x7f\x00", 4));  // announces 8 MB
  ASSERT_TRUE(run_until(context, [&] { return closed == 1; }));
  EXPECT_EQ(connections.counts().refused_frames, 1);
  const auto counted = process_limit_counters().count("peers", LimitFault::too_slow);
  connect("");                                      // sends nothing
  connect(std::string("\x10\x00\x00\x00half", 8));  // announces 16 bytes, and sends four
  ASSERT_TRUE(run_until(context, [&] { return closed == 3; }));
  EXPECT_EQ(process_limit_counters().count("peers", LimitFault::too_slow), counted + 2);
}

tcp::endpoint endpoint_of(const Address& address) {
  const auto colon = address.text.find(':');
  return {asio::ip::make_address(address.text.substr(0, colon)),
          static_cast<unsigned short>(std::stoi(address.text.substr(colon + 1)))};
}

// Guards against issue 33: strangers at the port for peers took the descriptors of the process.
TEST(PeerConnections, StrangersGiveWayAndPeersAreStillHeard) {
  constexpr std::size_t max_inbound = 4;
  asio::io_context context;
  Address here = free_address(context), there = free_address(context);
  int heard = 0;
  PeerConnections mine(
      context, here, [&](const Address&, Message) { ++heard; }, max_inbound);
  ASSERT_TRUE(mine.listen().ok());
  PeerConnections theirs(context, there, [](const Address&, Message) {});
  theirs.send(here, Message{LeaveNotice{}});
  ASSERT_TRUE(run_until(context, [&] { return heard == 1; }));
  std::vector<std::unique_ptr<tcp::socket>> strangers;
  int closed = 0;
  char byte = 0;
  for (int i = 0; i < 20; ++i) {
    strangers.push_back(std::make_unique<tcp::socket>(context));
    strangers.back()->connect(endpoint_of(here));
    strangers.back()->async_read_some(asio::buffer(&byte, 1),
                                      [&closed](boost::system::error_code, std::size_t) { ++closed; });
  }
  ASSERT_TRUE(run_until(context, [&] { return closed >= 17; }));
  EXPECT_GE(mine.counts().inbound_evicted, 17);
  theirs.send(here, Message{LeaveNotice{}});
  ASSERT_TRUE(run_until(context, [&] { return heard == 2; }));
}

// Without a descriptor the accept was tried again at once, for ever: the thread of the state machine did nothing else.
TEST(PeerConnections, AnAcceptWithoutAFreeDescriptorIsTriedAgainAfterAPause) {
  asio::io_context context;
  Address here = free_address(context);
  PeerConnections connections(context, here, [](const Address&, Message) {});
  ASSERT_TRUE(connections.listen().ok());
  tcp::socket stranger(context);
  stranger.open(tcp::v4());
  rlimit limit{};
  ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &limit), 0);
  rlimit low = limit;
  low.rlim_cur = static_cast<rlim_t>(stranger.native_handle()) + 1;
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &low), 0);
  stranger.connect(endpoint_of(here));
  context.run_for(std::chrono::milliseconds(500));
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &limit), 0);
  EXPECT_GE(connections.counts().accept_failed, 2);
  EXPECT_LE(connections.counts().accept_failed, 60);
}

// A former process may hold the port for a while yet.
TEST(PeerConnections, AnAddressThatIsTakenCanBeHadLater) {
  asio::io_context context;
  auto former = std::make_unique<tcp::acceptor>(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  PeerConnections connections(context, {text_of(former->local_endpoint())}, [](const Address&, Message) {});
  EXPECT_EQ(connections.listen().code(), absl::StatusCode::kUnavailable);
  former.reset();
  EXPECT_TRUE(connections.listen().ok());
}

TEST(PeerConnections, AnAddressWhereNoProcessListensIsReportedAtOnce) {
  asio::io_context context;
  Address here = free_address(context), nobody = free_address(context);
  std::vector<Address> refused;
  PeerConnections connections(context, here, [](const Address&, Message) {});
  connections.on_refused = [&](const Address& peer) {
    refused.push_back(peer);
  };
  connections.send(nobody, Message{LeaveNotice{}});
  ASSERT_TRUE(run_until(context, [&] { return !refused.empty(); }));
  EXPECT_EQ(refused.front(), nobody);
  // An injected cut is silence and no refusal.
  refused.clear();
  connections.set_fault(nobody, {true, false, Duration{0}});
  connections.send(nobody, Message{LeaveNotice{}});
  connections.clear_faults();
  connections.send(here, Message{LeaveNotice{}});  // no process listens here either: the next refusal is this one
  ASSERT_TRUE(run_until(context, [&] { return !refused.empty(); }));
  EXPECT_EQ(refused.front(), here);
}

TEST(PeerConnections, AConnectThatGetsNoResponseIsGivenUp) {
  asio::io_context context;
  // A listener whose backlog is full leaves further connects unanswered, as a machine does that can't be reached.
  tcp::acceptor full(context);
  full.open(tcp::v4());
  full.bind(tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  full.listen(0);
  std::vector<std::unique_ptr<tcp::socket>> fillers;
  for (int i = 0; i < 4; ++i) {
    fillers.push_back(std::make_unique<tcp::socket>(context));
    fillers.back()->async_connect(full.local_endpoint(), [](boost::system::error_code) {});
  }
  PeerConnections connections(context, free_address(context), [](const Address&, Message) {});
  bool is_refused = false;
  connections.on_refused = [&](const Address&) {
    is_refused = true;
  };
  Address silent{text_of(full.local_endpoint())};
  connections.send(silent, Message{LeaveNotice{}});
  ASSERT_TRUE(run_until(
      context, [&] { return connections.counts().frames_dropped == 1; }));  // given up: the next message connects anew
  EXPECT_FALSE(is_refused);
}

// A whole routing table in one message: without compression it would take longer than a round of the register lasts
// where bandwidth is low.
TEST(PeerConnections, ALargeMessageArrivesWholeAndIsCompressed) {
  asio::io_context context;
  Address here = free_address(context), there = free_address(context);
  std::vector<EditRequest> heard;
  PeerConnections mine(context, here, [](const Address&, Message) {});
  ASSERT_TRUE(mine.listen().ok());
  PeerConnections theirs(context, there,
                         [&](const Address&, Message message) { heard.push_back(std::get<EditRequest>(message)); });
  ASSERT_TRUE(theirs.listen().ok());
  EditRequest request;
  for (int i = 0; i < 5000; ++i)
    request.body += "{\"name\":\"route-" + std::to_string(i) + "\",\"host\":\"a.example\",\"kind\":\"streaming\"},";
  mine.send(there, Message{request});
  EditRequest small;
  small.body = "{}";
  mine.send(there, Message{small});
  ASSERT_TRUE(run_until(context, [&] { return heard.size() == 2; }));
  EXPECT_EQ(heard[0].body, request.body);
  EXPECT_EQ(heard[1].body, "{}");
  EXPECT_LT(mine.counts().bytes_out * 4, static_cast<std::int64_t>(request.body.size()));
}

TEST(PeerConnections, AMalformedCompressedFrameEndsItsConnectionAlone) {
  asio::io_context context;
  Address there = free_address(context);
  int heard = 0;
  PeerConnections theirs(context, there, [&](const Address&, Message) { ++heard; });
  ASSERT_TRUE(theirs.listen().ok());
  auto address = parse_socket_address(there.text);
  for (const std::string& malformed : {std::string("\x05\0\0\x80\xff\xff\xff\x7fz", 9),
                                       std::string("\x06\0\0\x80\x10\0\0\0zz", 10), std::string("\x01\0\0\x80z", 5)}) {
    tcp::socket socket(context);
    socket.connect(tcp::endpoint(asio::ip::make_address(address->ip), static_cast<unsigned short>(address->port)));
    std::int64_t before = theirs.counts().refused_frames;
    asio::write(socket, asio::buffer(malformed));
    ASSERT_TRUE(run_until(context, [&] { return theirs.counts().refused_frames > before; }));
  }
  EXPECT_EQ(heard, 0);
}

}  // namespace
}  // namespace emberdale
