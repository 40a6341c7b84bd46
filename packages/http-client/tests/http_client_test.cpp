// The client against servers that misbehave: bounds, connections that are used again, and ends of every kind.
#define _TURN_OFF_PLATFORM_STRING
#include "emberdale/http_client.hpp"

#include <gtest/gtest.h>
#include <pplx/threadpool.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "emberdale/http_fetch.hpp"
#include "endless_server.hpp"
#include "raw_socket.hpp"

using namespace emberdale;
using namespace emberdale_test;
using std::chrono::milliseconds;

namespace {

[[maybe_unused]] const bool has_threads = (crossplat::threadpool::initialize_with_threads(2), true);

constexpr int limit_ms = 4000;
const std::string sound_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// What a server sends for one request.
struct Reply {
  std::string bytes;
  bool is_last = false;  // the connection is closed afterwards
};

// Replies to the heads of requests by a script, which gets their number over all connections, from 1.
class ScriptedServer {
 public:
  using Script = std::function<Reply(int number)>;
  explicit ScriptedServer(Script script)
      : script_(std::move(script)), listener_(RawSocket::listen()), port_(listener_.port()) {
    accepting_ = std::thread([this] {
      while (auto accepted = listener_.accept()) {
        ++connections_;
        serving_.emplace_back(
            [this, taken = std::make_shared<RawSocket>(std::move(*accepted))] { serve(std::move(*taken)); });
      }
    });
  }
  ~ScriptedServer() {
    listener_.shut_down();
    accepting_.join();
    for (auto& serving : serving_)
      serving.join();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  int connections() const { return connections_; }
  int requests() const { return requests_; }

 private:
  void serve(RawSocket connection) {
    for (;;) {
      std::string head = connection.read_to("\r\n\r\n", limit_ms);
      if (head.empty())
        return;
      Reply reply = script_(++requests_);
      if (!connection.write(reply.bytes) || reply.is_last)
        return;
    }
  }

  const Script script_;
  RawSocket listener_;
  const std::uint16_t port_;
  std::atomic<int> connections_{0}, requests_{0};
  std::vector<std::thread> serving_;
  std::thread accepting_;
};

HttpRequest get(const std::string& target, bool may_be_sent_again = false) {
  HttpRequest request;
  request.target = target;
  request.may_be_sent_again = may_be_sent_again;
  return request;
}

MessageLimits small_limits() {
  MessageLimits limits;
  limits.max_head_bytes = 4096;
  limits.max_body_bytes = 10000;
  limits.total_time = milliseconds(1500);
  return limits;
}

// What came of one exchange.
struct Outcome {
  ExchangeEnd end;
  int status = 0;
  std::string body;
};

Outcome exchange_with(HttpClient& client, HttpRequest request, const MessageLimits& limits = small_limits(),
                      bool wants_body = true) {
  auto outcome = std::make_shared<Outcome>();
  auto done = std::make_shared<std::promise<void>>();
  ResponseHandler handler;
  handler.on_head = [=](const web::http::http_response& head) -> std::optional<BodyLimits> {
    outcome->status = head.status_code();
    if (!wants_body)
      return std::nullopt;
    return BodyLimits{limits.max_body_bytes, std::nullopt};
  };
  handler.on_body = [outcome](const std::string& bytes) {
    outcome->body += bytes;
    return true;
  };
  handler.on_end = [outcome, done](const ExchangeEnd& end) {
    outcome->end = end;
    done->set_value();
  };
  client.make_exchange(std::move(request), limits, std::move(handler))->start();
  done->get_future().wait();
  return *outcome;
}

std::string fault_for(const std::string& response, bool is_last = true) {
  ScriptedServer server([&](int) { return Reply{response, is_last}; });
  HttpClient client(server.address(), "test");
  return to_string(exchange_with(client, get("/")).end.fault);
}

}  // namespace

TEST(HttpClient, ARepeatableRequestUsesAConnectionAgain) {
  ScriptedServer server([](int) { return Reply{sound_response}; });
  HttpClient client(server.address(), "test");
  for (int i = 0; i < 5; ++i) {
    auto outcome = exchange_with(client, get("/", true));
    EXPECT_EQ(outcome.status, 200);
    EXPECT_EQ(outcome.body, "ok");
    EXPECT_EQ(outcome.end.times_written, 1);
  }
  EXPECT_EQ(server.connections(), 1);
}

TEST(HttpClient, ARequestThatMayNotBeSentAgainTakesAConnectionOfItsOwn) {
  ScriptedServer server([](int) { return Reply{sound_response}; });
  HttpClient client(server.address(), "test");
  for (int i = 0; i < 3; ++i)
    EXPECT_EQ(exchange_with(client, get("/")).body, "ok");
  EXPECT_EQ(server.connections(), 3);
}

TEST(HttpClient, BodiesInChunksAndUpToTheEndOfTheConnectionAreRead) {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3;x=y\r\ncde\r\n0\r\n\r\n";
  const std::string to_the_end = "HTTP/1.1 200 OK\r\n\r\nabcde";
  ScriptedServer server([&](int number) { return number == 1 ? Reply{chunked} : Reply{to_the_end, true}; });
  HttpClient client(server.address(), "test");
  auto first = exchange_with(client, get("/"));
  EXPECT_EQ(first.body, "abcde");
  EXPECT_TRUE(first.end.is_delimited);
  auto second = exchange_with(client, get("/"));
  EXPECT_EQ(second.body, "abcde");
  EXPECT_EQ(second.end.fault, HttpFault::none);
  EXPECT_FALSE(second.end.is_delimited);
}

// Each form of a body that is larger than its bound, with its count on the metrics.
TEST(HttpClient, ABodyOverItsBoundEndsTheExchange) {
  const std::string piece(4096, 'x');
  const std::string chunk = "1000\r\n" + piece + "\r\n";
  struct Case {
    const char* name;
    std::string head, piece;
  };
  for (const Case& form :
       {Case{"announced", "HTTP/1.1 200 OK\r\nContent-Length: 10001\r\n\r\n", piece},
        Case{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk},
        Case{"one chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n", piece},
        Case{"to the end", "HTTP/1.1 200 OK\r\n\r\n", piece}}) {
    const auto counted = process_limit_counters().count("test", LimitFault::body_too_large);
    EndlessServer server({form.head, form.piece});
    HttpClient client(server.address(), "test");
    auto outcome = exchange_with(client, get("/"));
    EXPECT_EQ(to_string(outcome.end.fault), std::string("body_too_large")) << form.name;
    EXPECT_LE(outcome.body.size(), 10000U) << form.name;
    EXPECT_EQ(process_limit_counters().count("test", LimitFault::body_too_large), counted + 1) << form.name;
    auto sent = server.wait_for_response(limit_ms);
    ASSERT_TRUE(sent) << form.name;
    EXPECT_TRUE(sent->was_closed) << form.name;
  }
}

TEST(HttpClient, FramingWithoutEndEndsTheExchange) {
  const std::string letters(4096, 'a');
  for (const char* head : {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=",
                           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: "}) {
    EndlessServer server({head, letters});
    HttpClient client(server.address(), "test");
    auto outcome = exchange_with(client, get("/"));
    EXPECT_EQ(to_string(outcome.end.fault), std::string("malformed")) << head;
    auto sent = server.wait_for_response(limit_ms);
    ASSERT_TRUE(sent);
    EXPECT_TRUE(sent->was_closed);
  }
}

TEST(HttpClient, AHeadOverItsBoundEndsTheExchange) {
  for (const char* head : {"HTTP/1.1 200 OK\r\nX-Long: ", "HTTP/1.1 200 "}) {
    EndlessServer server({head, std::string(4096, 'x')});
    HttpClient client(server.address(), "test");
    EXPECT_EQ(to_string(exchange_with(client, get("/")).end.fault), std::string("head_too_large")) << head;
  }
  std::string many_headers;
  for (int i = 0; i < 100; ++i)
    many_headers += "X-" + std::to_string(i) + ": y\r\n";
  EndlessServer server({"HTTP/1.1 200 OK\r\n", many_headers});
  HttpClient client(server.address(), "test");
  EXPECT_EQ(to_string(exchange_with(client, get("/")).end.fault), std::string("head_too_large"));
}

// The time does not begin anew with a piece, whatever its size.
TEST(HttpClient, AResponseThatComesSlowlyEndsAtItsTime) {
  const auto counted = process_limit_counters().count("test", LimitFault::too_slow);
  MessageLimits limits = small_limits();
  limits.max_body_bytes = 8 << 20;
  EndlessServer by_byte({"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n", "x", 20});
  EndlessServer by_block({"HTTP/1.1 200 OK\r\n\r\n", std::string(65536, 'x'), 100});
  for (EndlessServer* server : {&by_byte, &by_block}) {
    HttpClient client(server->address(), "test");
    const auto begun = std::chrono::steady_clock::now();
    EXPECT_EQ(to_string(exchange_with(client, get("/"), limits).end.fault), std::string("timed_out"));
    const auto lasted = std::chrono::steady_clock::now() - begun;
    EXPECT_GE(lasted, limits.total_time);
    EXPECT_LT(lasted, limits.total_time + milliseconds(1000));
  }
  EXPECT_EQ(process_limit_counters().count("test", LimitFault::too_slow), counted + 2);
}

TEST(HttpClient, ASilentServerEndsTheExchangeAtItsTime) {
  ScriptedServer server([](int) { return Reply{}; });
  HttpClient client(server.address(), "test");
  EXPECT_EQ(to_string(exchange_with(client, get("/")).end.fault), std::string("timed_out"));
}

TEST(HttpClient, ResponsesThatBreakOffAreFaults) {
  EXPECT_EQ(fault_for(""), "connection_closed");
  EXPECT_EQ(fault_for("HTTP/1.1 20"), "cut_off");
  EXPECT_EQ(fault_for("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort"), "cut_off");
  EXPECT_EQ(fault_for("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n"), "cut_off");
  EXPECT_EQ(fault_for("\xa7\xa7\xa7\xa7 no answer\r\n\r\n"), "malformed");
  EXPECT_EQ(fault_for("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"), "malformed");
}

// What comes after a whole response belongs to no request.
TEST(HttpClient, AConnectionWithSurplusBytesIsNotUsedAgain) {
  ScriptedServer server([](int number) {
    return Reply{number == 1 ? sound_response + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong" : sound_response};
  });
  HttpClient client(server.address(), "test");
  EXPECT_EQ(exchange_with(client, get("/", true)).body, "ok");
  EXPECT_EQ(exchange_with(client, get("/", true)).body, "ok");
  EXPECT_EQ(server.connections(), 2);
}

// The same where the surplus comes once the connection is idle.
TEST(HttpClient, AnIdleConnectionThatWasWrittenToIsNotUsedAgain) {
  std::promise<void> may_go_on;
  RawSocket listener = RawSocket::listen();
  std::thread serving([&] {
    auto first = listener.accept();
    first->read_to("\r\n\r\n", limit_ms);
    first->write(sound_response);
    may_go_on.get_future().wait();
    first->write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
    auto second = listener.accept();
    second->read_to("\r\n\r\n", limit_ms);
    second->write(sound_response);
    second->is_closed_within(limit_ms);
  });
  {
    HttpClient client("127.0.0.1:" + std::to_string(listener.port()), "test");
    EXPECT_EQ(exchange_with(client, get("/", true)).body, "ok");
    may_go_on.set_value();
    std::this_thread::sleep_for(milliseconds(100));  // loopback delivers sooner
    EXPECT_EQ(exchange_with(client, get("/", true)).body, "ok");
  }
  serving.join();
}

TEST(HttpClient, AConnectionThatClosesUnansweredIsTriedOnceMoreIfTheRequestMayBeSentAgain) {
  ScriptedServer server([](int number) { return number == 2 ? Reply{"", true} : Reply{sound_response}; });
  HttpClient client(server.address(), "test");
  EXPECT_EQ(exchange_with(client, get("/", true)).body, "ok");
  auto outcome = exchange_with(client, get("/", true));
  EXPECT_EQ(outcome.body, "ok");
  EXPECT_EQ(outcome.end.times_written, 2);
  EXPECT_EQ(server.requests(), 3);
}

TEST(HttpClient, ARequestIsNotSentAgainLate) {
  ScriptedServer server([](int number) {
    if (number == 2)
      std::this_thread::sleep_for(milliseconds(500));
    return number == 2 ? Reply{"", true} : Reply{sound_response};
  });
  HttpClient client(server.address(), "test");
  EXPECT_EQ(exchange_with(client, get("/", true)).body, "ok");
  auto outcome = exchange_with(client, get("/", true));
  EXPECT_EQ(to_string(outcome.end.fault), std::string("connection_closed"));
  EXPECT_EQ(outcome.end.times_written, 1);
  EXPECT_EQ(server.requests(), 2);
}

TEST(HttpClient, ANewConnectionThatClosesUnansweredIsNotTriedAgain) {
  ScriptedServer server([](int) { return Reply{"", true}; });
  HttpClient client(server.address(), "test");
  EXPECT_EQ(to_string(exchange_with(client, get("/", true)).end.fault), std::string("connection_closed"));
  EXPECT_EQ(server.requests(), 1);
}

TEST(HttpClient, ARefusedConnectionIsTold) {
  std::string address = "127.0.0.1:" + std::to_string(RawSocket::listen().port());
  HttpClient client(address, "test");
  auto outcome = exchange_with(client, get("/"));
  EXPECT_EQ(to_string(outcome.end.fault), std::string("not_connected"));
  EXPECT_EQ(outcome.end.cause, boost::asio::error::connection_refused);
  EXPECT_EQ(outcome.end.times_written, 0);
  HttpClient no_address("%zz:1", "test");
  EXPECT_EQ(to_string(exchange_with(no_address, get("/")).end.fault), std::string("not_connected"));
}

// A target or header with a line break in it would be a second request to the server.
TEST(HttpClient, ARequestThatWouldBreakItsLinesIsNotSent) {
  ScriptedServer server([](int) { return Reply{sound_response}; });
  HttpClient client(server.address(), "test");
  for (const char* target : {"/a b", "/a\r\nX: y", ""})
    EXPECT_EQ(to_string(exchange_with(client, get(target)).end.fault), std::string("not_connected")) << target;
  HttpRequest request = get("/");
  request.headers.add("X-Name", "value\r\nX-Other: value");
  EXPECT_EQ(to_string(exchange_with(client, request).end.fault), std::string("not_connected"));
  EXPECT_EQ(server.requests(), 0);
}

TEST(HttpClient, AResponseThatIsNotWantedEndsAsCancelled) {
  EndlessServer server({"HTTP/1.1 200 OK\r\n\r\n", std::string(4096, 'x')});
  HttpClient client(server.address(), "test");
  auto outcome = exchange_with(client, get("/"), small_limits(), false);
  EXPECT_EQ(to_string(outcome.end.fault), std::string("cancelled"));
  EXPECT_EQ(outcome.body, "");
  auto sent = server.wait_for_response(limit_ms);
  ASSERT_TRUE(sent);
  EXPECT_TRUE(sent->was_closed);
}

TEST(HttpClient, ACancelledExchangeEndsOnce) {
  ScriptedServer server([](int) { return Reply{}; });
  HttpClient client(server.address(), "test");
  for (bool is_cancelled_first : {true, false}) {
    auto ended = std::make_shared<std::promise<std::string>>();
    ResponseHandler handler;
    handler.on_head = [](const web::http::http_response&) -> std::optional<BodyLimits> {
      return std::nullopt;
    };
    handler.on_body = [](const std::string&) {
      return false;
    };
    handler.on_end = [ended](const ExchangeEnd& end) {
      ended->set_value(to_string(end.fault));
    };
    auto exchange = client.make_exchange(get("/"), small_limits(), handler);
    if (is_cancelled_first)
      exchange->cancel();
    exchange->start();
    if (!is_cancelled_first)
      std::this_thread::sleep_for(milliseconds(50));
    exchange->cancel();
    exchange->cancel();
    EXPECT_EQ(ended->get_future().get(), "cancelled");
  }
}

// A server may respond before it has read a long body, and go on reading from the connection.
TEST(HttpClient, AResponseBeforeTheWholeRequestIsTakenAndItsConnectionNotUsedAgain) {
  ScriptedServer server([](int) { return Reply{sound_response}; });
  HttpClient client(server.address(), "test");
  HttpRequest request = get("/", true);
  request.method = "POST";
  request.body = std::make_shared<std::vector<std::uint8_t>>(64 << 20, 'x');
  auto outcome = exchange_with(client, request);
  EXPECT_EQ(outcome.status, 200);
  EXPECT_EQ(outcome.end.times_written, 0);
  EXPECT_EQ(exchange_with(client, get("/", true)).body, "ok");
  EXPECT_EQ(server.connections(), 2);
}

TEST(HttpClient, AHeadRequestHasNoBodyWhateverItsLengthSays) {
  ScriptedServer server([](int) { return Reply{"HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n"}; });
  HttpClient client(server.address(), "test");
  HttpRequest request = get("/", true);
  request.method = "HEAD";
  EXPECT_EQ(exchange_with(client, request).end.fault, HttpFault::none);
  EXPECT_EQ(exchange_with(client, request).end.fault, HttpFault::none);
  EXPECT_EQ(server.connections(), 1);
}

TEST(HttpClient, AWholeResponseIsFetched) {
  ScriptedServer server([](int) { return Reply{sound_response}; });
  HttpClient client(server.address(), "test");
  auto fetched = fetch_and_wait(client, get("/"), small_limits());
  ASSERT_TRUE(fetched.ok()) << fetched.status();
  EXPECT_EQ(fetched->status, 200);
  EXPECT_EQ(fetched->body, "ok");
  EndlessServer endless({"HTTP/1.1 200 OK\r\n\r\n", std::string(4096, 'x')});
  HttpClient other(endless.address(), "test");
  EXPECT_TRUE(absl::IsResourceExhausted(fetch_and_wait(other, get("/"), small_limits()).status()));
}

TEST(HttpClient, AddressesOfBothVersionsAndNamesAreReached) {
  ScriptedServer server([](int) { return Reply{sound_response}; });
  const std::string port = server.address().substr(server.address().find(':'));
  HttpClient by_name("localhost" + port, "test");
  EXPECT_EQ(exchange_with(by_name, get("/")).body, "ok");
  // Nobody listens there, which only a socket of the right version is told.
  HttpClient version_6("::1" + port, "test");
  auto refused = exchange_with(version_6, get("/"));
  EXPECT_EQ(to_string(refused.end.fault), std::string("not_connected"));
  bool has_no_such_network = refused.end.cause == boost::asio::error::network_unreachable ||
                             refused.end.cause == boost::system::errc::address_not_available;
  EXPECT_TRUE(refused.end.cause == boost::asio::error::connection_refused || has_no_such_network)
      << refused.end.cause.message();
}
