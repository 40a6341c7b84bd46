// What the HTTP library's client does by itself, proved against a server that counts executions.
// The relay rests on these findings (docs/design.md, "Sending a call once").
#define _TURN_OFF_PLATFORM_STRING  // the library's macro U() clashes with GoogleTest
#include <cpprest/http_client.h>
#include <gtest/gtest.h>
#include <pplx/threadpool.h>

#include "counting_server.hpp"

using namespace emberdale_test;

namespace {

using web::http::client::http_client;

// Two threads for all of the library: fifty slow calls are far beyond them.
[[maybe_unused]] const bool has_two_threads = (crossplat::threadpool::initialize_with_threads(2), true);

const std::string good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Type: text/plain\r\n\r\nok";

bool ask(http_client& client, const std::string& path, const std::string& method = "POST") {
  try {
    web::http::http_request request(method);
    request.set_request_uri(path);
    if (method == "POST")
      request.set_body(std::string("{}"), "application/json");
    client.request(request).get().extract_string(true).get();
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

}  // namespace

TEST(HttpClientBehaviour, AReusedLinkThatClosesAfterReadingRunsTheCallAgain) {
  CountingServer server([](const ReceivedRequest& received) {
    return received.number_on_connection == 1 ? std::make_pair(good, false) : std::make_pair(std::string(), true);
  });
  http_client client(server.url());
  ASSERT_TRUE(ask(client, "/first"));
  ask(client, "/second");
  // This is the finding, not what is wanted: the library sends it a second time by itself.
  EXPECT_EQ(server.executions("/second"), 2);
}

TEST(HttpClientBehaviour, AFreshLinkSendsACallOnce) {
  CountingServer server([](const ReceivedRequest& received) {
    return received.path == "/first" && received.number_on_connection == 1 ? std::make_pair(good, false)
                                                                           : std::make_pair(std::string(), true);
  });
  for (int i = 0; i < 20; ++i) {
    std::string path = "/call-" + std::to_string(i);
    http_client client(server.url());
    EXPECT_FALSE(ask(client, path));
    EXPECT_EQ(server.executions(path), 1) << path;
  }
}

TEST(HttpClientBehaviour, ABodyCutShortOfItsContentLengthIsAnError) {
  CountingServer server([](const ReceivedRequest&) {
    return std::make_pair(
        std::string("HTTP/1.1 200 OK\r\nContent-Length: 100\r\nContent-Type: text/plain\r\n\r\nonly this"), true);
  });
  http_client client(server.url());
  EXPECT_FALSE(ask(client, "/cut"));
}

TEST(HttpClientBehaviour, AChunkedBodyWithoutItsLastChunkIsAnError) {
  CountingServer server([](const ReceivedRequest&) {
    return std::make_pair(
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/plain\r\n\r\n4\r\nonly\r\n"),
        true);
  });
  http_client client(server.url());
  EXPECT_FALSE(ask(client, "/cut"));
}

TEST(HttpClientBehaviour, SlowCallsBeyondTheThreadsDoNotHoldUpOthers) {
  CountingServer slow([](const ReceivedRequest&) { return std::make_pair(std::string(), false); });  // never answers
  CountingServer quick([](const ReceivedRequest&) { return std::make_pair(good, false); });
  std::vector<std::unique_ptr<http_client>> clients;
  std::vector<pplx::task<web::http::http_response>> waiting;
  pplx::cancellation_token_source stop;
  for (int i = 0; i < 50; ++i) {
    clients.push_back(std::make_unique<http_client>(slow.url()));
    waiting.push_back(clients.back()->request("GET", "/slow", stop.get_token()));
  }
  http_client client(quick.url());
  EXPECT_TRUE(ask(client, "/quick"));
  stop.cancel();
  for (auto& task : waiting) {
    try {
      task.get();
    } catch (const std::exception&) {
    }
  }
}
