// What the relay reads from runners is bounded, in bytes and in time, and other calls go on meanwhile.
#define _TURN_OFF_PLATFORM_STRING
#include <gtest/gtest.h>
#include <pplx/threadpool.h>

#include <string>

#include "emberdale/message_limits.hpp"
#include "endless_server.hpp"
#include "http_bytes.hpp"
#include "raw_socket.hpp"
#include "relay_under_test.hpp"

using namespace emberdale;
using namespace emberdale_test;

namespace {

[[maybe_unused]] const bool has_threads = (crossplat::threadpool::initialize_with_threads(2), true);

constexpr int limit_ms = 10000;
constexpr std::size_t piece_size = 65536;
constexpr std::size_t endless_bytes = 200 << 20;
// The largest response that is taken, and what the buffers of the sockets hold besides.
constexpr std::size_t max_taken_bytes = 48 << 20;

std::uint16_t port_of(const EndlessServer& server) {
  const std::string address = server.address();
  return static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
}

EndlessServer::Form endless_form(const std::string& head, const std::string& piece) {
  EndlessServer::Form form{head, piece};
  form.max_bytes = endless_bytes;
  form.echoed_header = "T-Call";
  return form;
}

// The response to a call on the given route, and what became of the runner's own.
struct Outcome {
  SeenAnswer seen;
  std::optional<EndlessServer::Response> runner;
};

Outcome call_once(const EndlessServer::Form& form, const std::string& path) {
  EndlessServer runner(form);
  RelayUnderTest relay(port_of(runner));
  RawSocket client = RawSocket::connect(relay.port());
  client.write("POST " + path + " HTTP/1.1\r\nHost: front.example\r\nT-Call: c-1\r\nContent-Length: 2\r\n\r\nhi");
  Outcome outcome;
  outcome.seen = read_response(client, limit_ms);
  outcome.runner = runner.wait_for_response(limit_ms);
  return outcome;
}

std::int64_t count(LimitFault fault) { return process_limit_counters().count("runner", fault); }

}  // namespace

// Guards against review/2: a response in chunks without end took data processes over their limit of memory.
TEST(RunnerResponseLimits, ABodyInChunksWithoutEndIsCutOff) {
  const auto counted = count(LimitFault::body_too_large);
  const std::string chunk_piece = chunk(std::string(piece_size, 'x'));
  auto outcome = call_once(
      endless_form("HTTP/1.1 200 OK\r\nT-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", chunk_piece), "/once/a");
  EXPECT_EQ(outcome.seen.status, 502);
  ASSERT_TRUE(outcome.runner);
  EXPECT_TRUE(outcome.runner->was_closed);
  EXPECT_LT(outcome.runner->sent_bytes, max_taken_bytes);
  EXPECT_EQ(count(LimitFault::body_too_large), counted + 1);
}

// The same, where the bytes without end come in the place of the head (review/2 with FORM=raw).
TEST(RunnerResponseLimits, AHeadWithoutEndIsCutOff) {
  const auto counted = count(LimitFault::head_too_large);
  auto form = endless_form("HTTP/1.1 200 OK\r\nX-Long: ", std::string(piece_size, 'x'));
  auto outcome = call_once(form, "/once/a");
  EXPECT_EQ(outcome.seen.status, 502);
  ASSERT_TRUE(outcome.runner);
  EXPECT_TRUE(outcome.runner->was_closed);
  EXPECT_LT(outcome.runner->sent_bytes, max_taken_bytes);
  EXPECT_EQ(count(LimitFault::head_too_large), counted + 1);
}

// An event without end is held until it is whole: it has a bound of its own.
TEST(RunnerResponseLimits, AnEventWithoutEndIsCutOff) {
  const std::string chunk_piece = chunk(std::string(piece_size, 'x'));
  auto outcome = call_once(endless_form("HTTP/1.1 200 OK\r\nT-Seal: s\r\nContent-Type: text/event-stream\r\n"
                                        "Transfer-Encoding: chunked\r\n\r\n",
                                        chunk_piece),
                           "/stream/a");
  EXPECT_EQ(outcome.seen.status, 502);
  ASSERT_TRUE(outcome.runner);
  EXPECT_TRUE(outcome.runner->was_closed);
  EXPECT_LT(outcome.runner->sent_bytes, max_taken_bytes);
}

// The body of a refusal is read off so that its connection can be used again: not for ever.
TEST(RunnerResponseLimits, TheBodyOfARefusalThatComesSlowlyIsCutOff) {
  const auto counted = count(LimitFault::too_slow);
  auto form = endless_form("HTTP/1.1 503 Service Unavailable\r\nT-Not-Run: 1\r\nContent-Length: 60000\r\n\r\n", "x");
  form.pause_ms = 50;
  constexpr int max_lasted_ms = 3000;
  auto outcome = call_once(form, "/once/a");
  ASSERT_TRUE(outcome.runner);
  EXPECT_TRUE(outcome.runner->was_closed);
  EXPECT_LT(outcome.runner->lasted_ms, max_lasted_ms);
  EXPECT_GT(count(LimitFault::too_slow), counted);
}

// Many responses at once may not add up to more than the relay holds for all of them.
TEST(RunnerResponseLimits, LargeResponsesAtOnceHaveABoundTogether) {
  const auto counted = count(LimitFault::body_too_large);
  constexpr std::size_t body_size = 15 << 20;  // within the bound of one response
  constexpr int calls = 16;
  EndlessServer::Form form =
      endless_form("HTTP/1.1 200 OK\r\nT-Seal: s\r\nContent-Length: " + std::to_string(body_size) + "\r\n\r\n",
                   std::string(piece_size, 'x'));
  form.max_bytes = body_size / 2;  // the rest does not come: all of them are held
  form.hold_ms = 2000;
  EndlessServer runner(form);
  RelayUnderTest relay(port_of(runner));
  std::vector<RawSocket> clients;
  for (int number = 0; number < calls; ++number) {
    clients.push_back(RawSocket::connect(relay.port()));
    clients.back().write("POST /once/a HTTP/1.1\r\nHost: front.example\r\nT-Call: c-" + std::to_string(number) +
                         "\r\nContent-Length: 2\r\n\r\nhi");
  }
  for (auto& client : clients)
    EXPECT_EQ(read_response(client, limit_ms).status, 502);
  EXPECT_GT(count(LimitFault::body_too_large), counted);
}
