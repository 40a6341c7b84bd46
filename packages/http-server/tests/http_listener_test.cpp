// The listener against raw clients: requests in order, bodies, responses, and clients that leave.
#define _TURN_OFF_PLATFORM_STRING
#include "emberdale/http_listener.hpp"

#include <cpprest/producerconsumerstream.h>
#include <gtest/gtest.h>
#include <pplx/threadpool.h>

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http_bytes.hpp"
#include "raw_socket.hpp"

using namespace emberdale;
using namespace emberdale_test;
using std::chrono::milliseconds;
using web::http::http_request;
using web::http::http_response;

namespace {

[[maybe_unused]] const bool has_threads = (crossplat::threadpool::initialize_with_threads(4), true);

constexpr int limit_ms = 4000;
constexpr milliseconds departure_bound{500};

// Counts what happens, and lets a test wait for it.
class EventCounter {
 public:
  void add(const std::string& name) {
    std::lock_guard<std::mutex> guard(mutex_);
    ++counts_[name];
    changed_.notify_all();
  }
  bool wait_for(const std::string& name, int count = 1, milliseconds limit = milliseconds(limit_ms)) {
    std::unique_lock<std::mutex> guard(mutex_);
    return changed_.wait_for(guard, limit, [&] { return counts_[name] >= count; });
  }
  int count(const std::string& name) {
    std::lock_guard<std::mutex> guard(mutex_);
    return counts_[name];
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, int> counts_;
};

ListenerLimits wide_limits() {
  ListenerLimits limits;
  limits.reader = "test";
  limits.request = {64 << 10, unlimited_body, milliseconds(30000)};
  return limits;
}

class HttpListenerTest : public testing::Test {
 protected:
  void listen(HttpListener::Handler handler) {
    port_ = RawSocket::listen().port();
    listener_ = std::make_unique<HttpListener>("127.0.0.1:" + std::to_string(port_), limits_, std::move(handler));
    ASSERT_TRUE(listener_->open().ok());
  }
  RawSocket connect() const { return RawSocket::connect(port_); }
  // Reports when the client of this request leaves.
  void watch(const http_request& request) {
    request._cancellation_token().register_callback([this] { events_.add("departed"); });
  }
  ReplyEnd report_end() {
    return [this](bool was_sent) {
      events_.add(was_sent ? "sent" : "not sent");
    };
  }
  void hold(const http_request& request) {
    std::lock_guard<std::mutex> guard(mutex_);
    held_.push_back(request);
    watch(request);
    events_.add("arrived");
  }
  // Takes the request that was held first, so that no more copies of it are held here.
  http_request take_held() {
    std::lock_guard<std::mutex> guard(mutex_);
    http_request request = held_.front();
    held_.erase(held_.begin());
    return request;
  }
  // Reads the request's body and reports whether it came whole.
  void read_body(const http_request& request) {
    request.extract_vector().then([this, request](pplx::task<std::vector<unsigned char>> read) {
      try {
        read.get();
        events_.add("whole");
      } catch (const std::exception&) {
        events_.add("broken");
      }
    });
  }
  // Replies with the request's body.
  static void echo(const http_request& request) {
    request.extract_vector().then([request](pplx::task<std::vector<unsigned char>> read) {
      try {
        http_response response(200);
        response.set_body(read.get());
        reply_to(request, response, [](bool) {});
      } catch (const std::exception&) {  // the client left within its body
      }
    });
  }

  EventCounter events_;
  std::mutex mutex_;
  std::vector<http_request> held_;
  std::uint16_t port_ = 0;
  ListenerLimits limits_ = wide_limits();
  std::unique_ptr<HttpListener> listener_;
};

std::string get(const std::string& path, const std::string& headers = "") {
  return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n";
}

std::string post(const std::string& body) {
  return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

http_response text_response(const std::string& text) {
  http_response response(200);
  response.set_body(text, "text/plain");
  return response;
}

}  // namespace

TEST_F(HttpListenerTest, RequestsThatComeTogetherAreAnsweredInOrder) {
  listen([](const http_request& request) {
    reply_to(request, text_response(request.request_uri().to_string()), [](bool) {});
  });
  auto client = connect();
  client.write(get("/1?a=%20b") + get("/2") + get("/3"));
  EXPECT_EQ(read_response(client, limit_ms).body, "/1?a=%20b");
  EXPECT_EQ(read_response(client, limit_ms).body, "/2");
  EXPECT_EQ(read_response(client, limit_ms).body, "/3");
}

TEST_F(HttpListenerTest, OneRequestOfAConnectionIsHandledAtATime) {
  listen([this](const http_request& request) { hold(request); });
  auto client = connect();
  client.write(get("/1") + get("/2"));
  ASSERT_TRUE(events_.wait_for("arrived"));
  EXPECT_FALSE(events_.wait_for("arrived", 2, milliseconds(100)));
  reply_to(take_held(), text_response("one"), report_end());
  EXPECT_TRUE(events_.wait_for("arrived", 2));
  EXPECT_EQ(read_response(client, limit_ms).body, "one");
  reply_to(take_held(), text_response("two"), report_end());
  EXPECT_EQ(read_response(client, limit_ms).body, "two");
  EXPECT_EQ(events_.count("departed"), 0);
}

// Bytes are read while earlier ones are parsed: neither may disturb the other.
TEST_F(HttpListenerTest, RequestsThatComeWhileAnEarlierOneIsInProgressStayWhole) {
  listen([this](const http_request& request) { hold(request); });
  auto client = connect();
  for (int number = 1; number <= 9; number += 3) {
    auto path = [&](int offset) {
      return "/" + std::to_string(number + offset);
    };
    client.write(get(path(0)));
    ASSERT_TRUE(events_.wait_for("arrived", number));
    client.write(get(path(1)));  // read and kept while the first one is held
    std::this_thread::sleep_for(milliseconds(20));
    for (int offset : {0, 1, 2}) {
      ASSERT_TRUE(events_.wait_for("arrived", number + offset));
      http_request held = take_held();
      EXPECT_EQ(held.request_uri().to_string(), path(offset));
      reply_to(held, text_response(path(offset)), report_end());
      EXPECT_EQ(read_response(client, limit_ms).body, path(offset));
      if (offset == 0)
        client.write(get(path(2)));
    }
  }
}

TEST_F(HttpListenerTest, BodiesComeByLengthAndInChunksHoweverTheyAreCut) {
  listen([](const http_request& request) { echo(request); });
  std::string text(20000, 'a');
  std::string chunked =
      "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(text) + chunk("bc") + "0\r\n\r\n";
  for (std::size_t piece : {std::size_t{1} << 20, std::size_t{701}, std::size_t{97}}) {
    auto client = connect();
    for (const auto& [request, expected] : {std::pair{post(text), text}, std::pair{chunked, text + "bc"}}) {
      for (std::size_t at = 0; at < request.size(); at += piece)
        client.write(request.substr(at, piece));
      EXPECT_EQ(read_response(client, limit_ms).body, expected);
    }
  }
}

// More bodies come at once than there are threads: no thread may wait for another one.
TEST_F(HttpListenerTest, MoreBodiesThanThreadsComeAtOnce) {
  listen([](const http_request& request) { echo(request); });
  constexpr int clients = 64;
  for (int round = 0; round < 5; ++round) {
    std::vector<RawSocket> connections;
    std::string text(3000, 'a');
    for (int number = 0; number < clients; ++number)
      connections.push_back(connect());
    for (const auto& connection : connections)
      connection.write(post(text));
    for (auto& connection : connections)
      ASSERT_EQ(read_response(connection, limit_ms).body, text);
  }
}

TEST_F(HttpListenerTest, AClientThatWaitsForContinueIsTold) {
  listen([](const http_request& request) { echo(request); });
  auto client = connect();
  client.write("POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
  EXPECT_EQ(client.read_to("\r\n\r\n", limit_ms), "HTTP/1.1 100 Continue\r\n\r\n");
  client.write("ab");
  EXPECT_EQ(read_response(client, limit_ms).body, "ab");
}

TEST_F(HttpListenerTest, ADepartureIsReportedWhileTheRequestIsInProgress) {
  listen([this](const http_request& request) { hold(request); });
  int departed = 0;
  for (bool is_reset : {false, true})
    for (const std::string& bytes : {get("/"), post("ab"), get("/") + get("/pipelined")}) {
      auto client = connect();
      client.write(bytes);
      ASSERT_TRUE(events_.wait_for("arrived", ++departed));
      if (is_reset)
        client.reset();
      else
        client.close();
      EXPECT_TRUE(events_.wait_for("departed", departed, departure_bound));
      reply_to(take_held(), text_response("late"), report_end());
      EXPECT_TRUE(events_.wait_for("not sent", departed));
    }
}

TEST_F(HttpListenerTest, AClientThatEndsItsSendingSideHasLeft) {
  listen([this](const http_request& request) { hold(request); });
  auto client = connect();
  client.write(get("/"));
  ASSERT_TRUE(events_.wait_for("arrived"));
  client.end_sending();
  EXPECT_TRUE(events_.wait_for("departed", 1, departure_bound));
  EXPECT_TRUE(client.is_closed_within(limit_ms));
}

TEST_F(HttpListenerTest, ADepartureWithinTheBodyEndsTheBodyWithAFault) {
  listen([this](const http_request& request) {
    watch(request);
    read_body(request);
  });
  auto client = connect();
  client.write("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nab");
  client.close();
  EXPECT_TRUE(events_.wait_for("broken"));
  EXPECT_TRUE(events_.wait_for("departed"));
  EXPECT_EQ(events_.count("whole"), 0);
}

TEST_F(HttpListenerTest, ADepartureWithinAStreamedResponseIsReportedBeforeTheNextPiece) {
  concurrency::streams::producer_consumer_buffer<std::uint8_t> pieces;
  listen([&](const http_request& request) {
    watch(request);
    http_response response(200);
    response.set_body(pieces.create_istream(), "text/event-stream");
    reply_to(request, response, report_end());
  });
  auto client = connect();
  client.write(get("/"));
  pieces.putn_nocopy(reinterpret_cast<const std::uint8_t*>("one"), 3);
  pieces.sync();
  EXPECT_EQ(client.read_to("3\r\none\r\n", limit_ms).empty(), false);
  client.close();
  EXPECT_TRUE(events_.wait_for("departed", 1, departure_bound));
  EXPECT_TRUE(events_.wait_for("not sent"));
}

TEST_F(HttpListenerTest, AStreamedResponseThatBreaksOffDoesNotLookComplete) {
  concurrency::streams::producer_consumer_buffer<std::uint8_t> pieces;
  listen([&](const http_request& request) {
    http_response response(200);
    response.set_body(pieces.create_istream(), "text/event-stream");
    reply_to(request, response, report_end());
  });
  auto client = connect();
  client.write(get("/"));
  pieces.putn_nocopy(reinterpret_cast<const std::uint8_t*>("one"), 3);
  pieces.sync();
  EXPECT_FALSE(client.read_to("3\r\none\r\n", limit_ms).empty());
  pieces.close(std::ios_base::out, std::make_exception_ptr(std::runtime_error("broken")));
  EXPECT_TRUE(events_.wait_for("not sent"));
  EXPECT_EQ(client.read_to("0\r\n", limit_ms), "");
  EXPECT_EQ(client.end(), RawSocket::End::closed);
}

TEST_F(HttpListenerTest, AResponseIsWholeBeforeAnAskedForClose) {
  listen([](const http_request& request) {
    http_response response = text_response(std::string(300000, 'a'));
    response.headers()["Connection"] = "close";
    reply_to(request, response, [](bool) {});
  });
  auto client = connect();
  client.write(post(std::string(3000, 'b')) + get("/unread"));
  EXPECT_TRUE(read_response(client, limit_ms).is_whole);
  EXPECT_TRUE(client.is_closed_within(limit_ms));
}

TEST_F(HttpListenerTest, AResponseBeforeTheBodyReachesAClientThatIsStillSending) {
  listen([](const http_request& request) { reply_to(request, text_response("too large"), [](bool) {}); });
  auto client = connect();
  client.write("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n" + std::string(200000, 'a'));
  auto answer = read_response(client, limit_ms);
  EXPECT_EQ(answer.body, "too large");
  EXPECT_EQ(header_value(answer.head, "Connection"), "close");
}

TEST_F(HttpListenerTest, ARequestThatIsDroppedClosesItsConnection) {
  listen([this](const http_request&) { events_.add("arrived"); });
  auto client = connect();
  client.write(get("/"));
  ASSERT_TRUE(events_.wait_for("arrived"));
  EXPECT_TRUE(client.is_closed_within(limit_ms));
}

TEST_F(HttpListenerTest, AHandlerThatThrowsClosesItsConnection) {
  listen([](const http_request&) { throw std::runtime_error("no"); });
  auto client = connect();
  client.write(get("/"));
  EXPECT_TRUE(client.is_closed_within(limit_ms));
}

TEST_F(HttpListenerTest, BytesThatAreNoRequestAreRefusedAndNothingAfterThemIsRead) {
  listen([this](const http_request&) { events_.add("arrived"); });
  for (const auto& [bytes, status] : std::map<std::string, int>{
           {"no request at all\r\n\r\n", 400},
           {"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
           {"GET / HTTP/1.1\r\nA: " + std::string(70000, 'a') + "\r\n\r\n", 431}}) {
    auto client = connect();
    client.write(bytes + get("/hidden"));
    EXPECT_EQ(read_response(client, limit_ms).status, status);
    EXPECT_TRUE(client.is_closed_within(limit_ms));
  }
  EXPECT_EQ(events_.count("arrived"), 0);
}

TEST_F(HttpListenerTest, ResponsesWithoutABodyLeaveTheConnectionUsable) {
  listen([](const http_request& request) {
    reply_to(request, http_response(request.request_uri().path() == "/204" ? 204 : 304), [](bool) {});
  });
  auto client = connect();
  client.write(get("/204") + get("/304"));
  EXPECT_EQ(client.read_to("\r\n\r\n", limit_ms).substr(0, 12), "HTTP/1.1 204");
  EXPECT_EQ(client.read_to("\r\n\r\n", limit_ms).substr(0, 12), "HTTP/1.1 304");
}

TEST_F(HttpListenerTest, OnlyTheFirstReplyIsSent) {
  listen([this](const http_request& request) {
    reply_to(request, text_response("first"), report_end());
    reply_to(request, text_response("second"), report_end());
  });
  auto client = connect();
  client.write(get("/"));
  EXPECT_EQ(read_response(client, limit_ms).body, "first");
  EXPECT_TRUE(events_.wait_for("sent"));
  EXPECT_TRUE(events_.wait_for("not sent"));
}

TEST_F(HttpListenerTest, ClosingEndsAllConnectionsAndReportsWhatWasInProgress) {
  listen([this](const http_request& request) { hold(request); });
  auto idle = connect();
  auto busy = connect();
  busy.write(get("/"));
  ASSERT_TRUE(events_.wait_for("arrived"));
  listener_->close();
  EXPECT_EQ(events_.count("departed"), 1);
  EXPECT_TRUE(idle.is_closed_within(limit_ms));
  EXPECT_TRUE(busy.is_closed_within(limit_ms));
  reply_to(take_held(), text_response("late"), report_end());
  EXPECT_TRUE(events_.wait_for("not sent"));
}

// More than the listener keeps of later requests: the request in progress is answered all the same.
TEST_F(HttpListenerTest, ManyPipelinedBytesLeaveTheRequestInProgressAlone) {
  listen([this](const http_request& request) { hold(request); });
  auto client = connect();
  client.write(get("/"));
  ASSERT_TRUE(events_.wait_for("arrived"));
  client.write(post(std::string(200000, 'a')));
  EXPECT_FALSE(client.is_closed_within(200));
  EXPECT_EQ(events_.count("departed"), 0);
  reply_to(take_held(), text_response("one"), report_end());
  EXPECT_EQ(read_response(client, limit_ms).body, "one");
}

TEST_F(HttpListenerTest, ADepartureBehindManyPipelinedBytesIsReported) {
  listen([this](const http_request& request) { hold(request); });
  auto client = connect();
  client.write(get("/"));
  ASSERT_TRUE(events_.wait_for("arrived"));
  client.write(post(std::string(200000, 'a')));
  client.close();
  EXPECT_TRUE(events_.wait_for("departed", 1, departure_bound));
}

// Clients that send on without reading: no thread may wait for one of them.
TEST_F(HttpListenerTest, ClientsThatReadNoContinueHoldNoThread) {
  constexpr int silent_clients = 16, requests_at_once = 10;
  listen([](const http_request& request) { reply_to(request, text_response(std::string(3000, 'a')), [](bool) {}); });
  std::string requests;
  for (int number = 0; number < requests_at_once; ++number)
    requests += "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\na";
  std::vector<RawSocket> silent;
  for (int number = 0; number < silent_clients; ++number)
    silent.push_back(connect());
  std::vector<std::thread> senders;
  for (auto& socket : silent)
    senders.emplace_back([&socket, &requests] {
      while (socket.write(requests))
        std::this_thread::sleep_for(milliseconds(1));
    });
  std::this_thread::sleep_for(std::chrono::seconds(6));
  auto client = connect();
  client.write(post("ab"));
  EXPECT_TRUE(read_response(client, limit_ms).is_whole);
  for (auto& socket : silent)
    socket.shut_down();
  for (auto& sender : senders)
    sender.join();
}

// What a body of an unknown encoding holds is not taken for a request.
TEST_F(HttpListenerTest, AnUnknownTransferEncodingIsRefusedAndNothingAfterItIsRead) {
  listen([this](const http_request& request) {
    events_.add("arrived");
    reply_to(request, text_response("served"), [](bool) {});
  });
  for (const char* encoding : {"gzip", "identity", "chunked, gzip", "xchunked"}) {
    auto client = connect();
    client.write(get("/", std::string("Transfer-Encoding: ") + encoding + "\r\n") + get("/hidden"));
    EXPECT_EQ(read_response(client, limit_ms).status, 400) << encoding;
    EXPECT_TRUE(client.is_closed_within(limit_ms)) << encoding;
  }
  EXPECT_EQ(events_.count("arrived"), 0);
}

TEST_F(HttpListenerTest, ARequestThatIsDroppedWithinItsBodyClosesItsConnection) {
  listen([this](const http_request&) { events_.add("arrived"); });
  auto client = connect();
  client.write("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\na");
  ASSERT_TRUE(events_.wait_for("arrived"));
  EXPECT_TRUE(client.is_closed_within(limit_ms));
}

// Nothing within a body may be kept for ever, and what waits for the body ends.
TEST_F(HttpListenerTest, AnEndlessChunkLineEndsTheBodyWithAFault) {
  listen([this](const http_request& request) {
    watch(request);
    read_body(request);
  });
  for (const char* start : {"1;", "0\r\nA: "}) {
    auto client = connect();
    client.write(std::string("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n") + start);
    client.write(std::string(200000, 'a'));
    EXPECT_TRUE(client.is_closed_within(limit_ms));
  }
  EXPECT_TRUE(events_.wait_for("departed", 2));
  EXPECT_TRUE(events_.wait_for("broken", 2));
}

// A reply before the whole body ends the body for whoever still reads it.
TEST_F(HttpListenerTest, AReplyWithinTheBodyEndsItsReading) {
  listen([this](const http_request& request) {
    request.extract_vector().then([this](pplx::task<std::vector<unsigned char>> read) {
      try {
        read.get();
      } catch (const std::exception&) {
      }
      events_.add("read");
    });
    reply_to(request, text_response("early"), report_end());
  });
  auto client = connect();
  client.write("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\na");
  EXPECT_EQ(read_response(client, limit_ms).body, "early");
  EXPECT_TRUE(client.is_closed_within(limit_ms));
  EXPECT_TRUE(events_.wait_for("read"));
}

// What a client sends is bounded: the connection is closed, the fault counted, and others are served meanwhile.
class ListenerLimitsTest : public HttpListenerTest {
 protected:
  void listen_within_limits() {
    limits_.reader = "limits_test";
    limits_.request = {2048, 5000, milliseconds(600)};
    limits_.idle_time = milliseconds(600);
    listen([](const http_request& request) {
      request.extract_vector().then([request](pplx::task<std::vector<unsigned char>> reading) {
        try {
          reading.get();
        } catch (const std::exception&) {  // the connection is closed: there is nobody to reply to
          return;
        }
        reply_to(request, http_response(200));
      });
    });
  }
  std::int64_t count(LimitFault fault) const { return process_limit_counters().count(limits_.reader, fault); }
  void expect_that_others_are_served() {
    auto other = connect();
    other.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_EQ(read_response(other, limit_ms).status, 200);
  }
};

TEST_F(ListenerLimitsTest, AHeadWithoutEndIsRefusedAndItsConnectionClosed) {
  listen_within_limits();
  const auto counted = count(LimitFault::head_too_large);
  auto client = connect();
  client.write("GET / HTTP/1.1\r\nX-Long: " + std::string(3000, 'x'));
  EXPECT_EQ(read_response(client, limit_ms).status, 431);
  EXPECT_TRUE(client.is_closed_within(limit_ms));
  EXPECT_EQ(count(LimitFault::head_too_large), counted + 1);
  expect_that_others_are_served();
}

TEST_F(ListenerLimitsTest, ABodyOverItsBoundEndsItsConnection) {
  listen_within_limits();
  const auto counted = count(LimitFault::body_too_large);
  auto announced = connect();
  announced.write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5001\r\n\r\n");
  EXPECT_EQ(read_response(announced, limit_ms).status, 413);
  auto chunked = connect();
  chunked.write("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 6; ++i)
    chunked.write(chunk(std::string(1000, 'x')));
  EXPECT_TRUE(chunked.is_closed_within(limit_ms));
  EXPECT_EQ(count(LimitFault::body_too_large), counted + 2);
  expect_that_others_are_served();
}

// A byte now and then does not begin the time anew, in the head or in the body.
TEST_F(ListenerLimitsTest, ARequestThatComesSlowlyIsCutOff) {
  listen_within_limits();
  const auto counted = count(LimitFault::too_slow);
  for (const char* begin :
       {"GET / HTTP/1.1\r\nX-Long: ", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4000\r\n\r\n"}) {
    auto client = connect();
    client.write(begin);
    bool is_closed = false;
    for (int i = 0; i < 60 && !is_closed; ++i) {
      client.write("x");
      is_closed = client.is_closed_within(50);
    }
    EXPECT_TRUE(is_closed) << begin;
  }
  EXPECT_EQ(count(LimitFault::too_slow), counted + 2);
  expect_that_others_are_served();
}

TEST_F(ListenerLimitsTest, AnIdleConnectionIsClosedWithoutACount) {
  listen_within_limits();
  const auto counted = count(LimitFault::too_slow);
  auto silent = connect();
  auto used = connect();
  used.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_EQ(read_response(used, limit_ms).status, 200);
  EXPECT_TRUE(silent.is_closed_within(limit_ms));
  EXPECT_TRUE(used.is_closed_within(limit_ms));
  EXPECT_EQ(count(LimitFault::too_slow), counted);
}

// The client that waits for its response is not the one that is slow.
TEST_F(ListenerLimitsTest, ARequestInProgressIsNotIdle) {
  limits_.request.total_time = limits_.idle_time = milliseconds(300);
  listen([this](const http_request& request) { hold(request); });
  auto client = connect();
  client.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(events_.wait_for("arrived"));
  std::this_thread::sleep_for(milliseconds(1500));
  EXPECT_EQ(events_.count("departed"), 0);
  reply_to(take_held(), http_response(200));
  EXPECT_EQ(read_response(client, limit_ms).status, 200);
}

// Guards against issue 33: connections at one port took every descriptor of the process.
class CrowdedListenerTest : public ListenerLimitsTest {
 protected:
  static constexpr std::size_t max_connections = 8;

  void SetUp() override {
    limits_.max_connections = max_connections;
    limits_.head_time = limits_.idle_time = milliseconds(60000);
  }
  std::vector<RawSocket> crowd(std::size_t count, const std::string& bytes) {
    std::vector<RawSocket> clients;
    for (std::size_t i = 0; i < count; ++i) {
      clients.push_back(connect());
      if (!bytes.empty())
        clients.back().write(bytes);
    }
    return clients;
  }
  void expect_bounded() { EXPECT_LE(listener_->counts().open, static_cast<std::int64_t>(max_connections)); }
};

TEST_F(CrowdedListenerTest, SilentConnectionsGiveWayToNewOnes) {
  listen([](const http_request& request) { reply_to(request, http_response(200)); });
  for (const char* begin : {"", "GET / HTTP/1.1\r\nX-Long: "}) {
    auto silent = crowd(5 * max_connections, begin);
    for (int i = 0; i < 20; ++i) {
      expect_that_others_are_served();
      expect_bounded();
    }
    EXPECT_TRUE(silent.front().is_closed_within(limit_ms));
  }
  EXPECT_GT(listener_->counts().evicted, static_cast<std::int64_t>(max_connections));
}

TEST_F(CrowdedListenerTest, ARequestInProgressNeverGivesWay) {
  listen([this](const http_request& request) { hold(request); });
  auto busy = crowd(max_connections, "GET /held HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(events_.wait_for("arrived", static_cast<int>(max_connections)));
  auto waiting = connect();
  waiting.write("GET /held HTTP/1.1\r\nHost: x\r\n\r\n");
  std::this_thread::sleep_for(milliseconds(1200));
  expect_bounded();
  EXPECT_EQ(events_.count("departed"), 0);
  for (std::size_t i = 0; i < max_connections; ++i)
    reply_to(take_held(), http_response(200));
  for (auto& client : busy)
    EXPECT_EQ(read_response(client, limit_ms).status, 200);
  ASSERT_TRUE(events_.wait_for("arrived", static_cast<int>(max_connections) + 1));
  reply_to(take_held(), http_response(200));
  EXPECT_EQ(read_response(waiting, limit_ms).status, 200);
}

// The head's bound of time is shorter than that of the request, and both bounds can be changed.
TEST_F(CrowdedListenerTest, SilentConnectionsEndByTheBoundsThatAreInForce) {
  listen([](const http_request& request) { reply_to(request, http_response(200)); });
  listener_->set_times(milliseconds(400), milliseconds(5000));
  auto slow = connect();
  slow.write("GET / HTTP/1.1\r\nX-Long: ");
  auto kept = connect();
  kept.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_EQ(read_response(kept, limit_ms).status, 200);
  EXPECT_TRUE(slow.is_closed_within(3000));
  EXPECT_FALSE(kept.is_closed_within(2500));  // four fifths of the bound are the client's
  kept.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_EQ(read_response(kept, limit_ms).status, 200);
  listener_->set_times(milliseconds(400), milliseconds(500));
  kept.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_EQ(read_response(kept, limit_ms).status, 200);
  EXPECT_TRUE(kept.is_closed_within(3000));
}

// Guards against a response that is lost because the listener closes right after it was given.
TEST_F(HttpListenerTest, AResponseThatHasBegunIsFinishedWhenTheListenerCloses) {
  for (int round = 0; round < 20; ++round) {
    listen([this](const http_request& request) { hold(request); });
    auto client = connect();
    client.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(events_.wait_for("arrived", round + 1));
    http_response response(200);
    response.set_body(std::string(200000, 'x'));
    reply_to(take_held(), response);
    listener_->close();
    auto seen = read_response(client, limit_ms);
    EXPECT_TRUE(seen.is_whole) << round;
  }
}

TEST_F(HttpListenerTest, AnAddressThatCannotBeUsedIsReported) {
  auto taken = RawSocket::listen();
  std::string address = "127.0.0.1:" + std::to_string(taken.port());
  EXPECT_EQ(HttpListener(address, limits_, [](const http_request&) {}).open().code(), absl::StatusCode::kUnavailable);
  EXPECT_EQ(HttpListener("nowhere", limits_, [](const http_request&) {}).open().code(),
            absl::StatusCode::kInvalidArgument);
}
