// The relay against back ends that fail at every point of an answer, over real links.
#define _TURN_OFF_PLATFORM_STRING
#include <cpprest/http_client.h>
#include <gtest/gtest.h>
#include <pplx/threadpool.h>

#include <chrono>
#include <future>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

#include "call_relay.hpp"
#include "counting_server.hpp"
#include "emberdale/program_settings.hpp"

using namespace emberdale;
using namespace emberdale_test;
using Json = nlohmann::json;

namespace {

[[maybe_unused]] const bool has_threads = (crossplat::threadpool::initialize_with_threads(4), true);

std::string free_place() {
  asio::io_context context;
  tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

struct Told {
  int code = 0;
  std::string body;
  web::http::http_headers headers;
};

// One relay with one plan of each sort and the given runners, granted for a minute.
class Bench {
 public:
  explicit Bench(const std::vector<std::string>& runner_places, std::int64_t capacity = 8) : place_(free_place()) {
    auto view = std::make_shared<RoutingView>();
    view->version = {1, 1};
    std::vector<Finding> findings;
    for (const auto& [name, body] : std::map<std::string, std::string>{
             {"once", R"({"service":"s","match":{"path":"/once"},"pool":"p","horizon_ms":700})"},
             {"again", R"({"service":"s","match":{"path":"/again"},"pool":"p","repeatable":true,"horizon_ms":700})"},
             {"homed", R"({"service":"s","match":{"path":"/homed"},"pool":"p","home":{"region":"away"}})"},
             {"stream", R"({"service":"s","match":{"path":"/stream"},"pool":"p","streaming":true,"horizon_ms":700})"}})
      view->plans.push_back(*read_plan(name, body, findings));
    int number = 0;
    for (const auto& runner_place : runner_places) {
      RunnerRow row;
      row.name.text = "r" + std::to_string(++number);
      row.http_address = runner_place;
      row.pool.text = "p";
      row.region.text = "here";
      row.state = RunnerState::warm;
      row.capacity = capacity;
      row.incarnation = 7;
      row.seal_key = "key";
      view->runners[row.name] = row;
      view->pools[row.pool].push_back(row.name);
    }
    view->regions[{PoolName{"p"}, RegionName{"here"}}] = {PoolName{"p"}, RegionName{"here"}, capacity, 0, false};
    view->gateways.push_back({Address{"g"}, "127.0.0.9:80", ZoneName{"z"}, RegionName{"away"}});
    snapshot_.put(view, Grant{steady_now() + Duration{60000}, {1, 1}});
    DispatcherSettings settings;
    settings.self.text = "d";
    settings.region.text = "here";
    settings.queue_bound = 2;
    relay_ = std::make_unique<CallRelay>(settings, snapshot_, place_);
    auto opened = relay_->open();
    EXPECT_TRUE(opened.ok()) << opened;
  }
  ~Bench() { relay_->stop(Duration{3000}); }

  pplx::task<Told> ask_later(const std::string& path, const std::string& body = "{}",
                             const std::string& method = "POST", const std::string& type = "application/json",
                             const std::map<std::string, std::string>& headers = {}) {
    auto client = std::make_shared<web::http::client::http_client>("http://" + place_);
    web::http::http_request request(method);
    request.set_request_uri(path);
    for (const auto& [name, value] : headers)
      request.headers().add(name, value);
    if (method != "GET")
      request.set_body(body, type);
    return client->request(request).then([client](web::http::http_response response) {
      return response.extract_string(true).then([response, client](std::string text) {
        return Told{response.status_code(), text, response.headers()};
      });
    });
  }
  Told ask(const std::string& path, const std::string& body = "{}", const std::string& method = "POST",
           const std::string& type = "application/json") {
    return ask_later(path, body, method, type).get();
  }
  Told ask_with_headers(const std::string& path, const std::map<std::string, std::string>& headers) {
    return ask_later(path, "{}", "POST", "application/json", headers).get();
  }
  void take_grant() { snapshot_.put(snapshot_.get().view, Grant{TimePoint{0}, {1, 1}}); }
  CallRelay& relay() { return *relay_; }

 private:
  std::string place_;
  ControlSnapshot snapshot_;
  std::unique_ptr<CallRelay> relay_;
};

std::string response_bytes(const ReceivedRequest& received, const std::string& runner, const std::string& body,
                           const std::string& seal_body, const std::string& key = "key") {
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Runner: " + runner +
         "\r\nX-Runner-Incarnation: 7\r\nX-Runner-Seal: " +
         seal_of(key, received.header("X-Emberdale-Call"), runner, 7, "200\n" + seal_body) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string refusal_bytes(const std::string& runner, const std::string& why) {
  return "HTTP/1.1 503 Full\r\nX-Runner: " + runner + "\r\nX-Runner-Refused: " + why + "\r\nContent-Length: 0\r\n\r\n";
}

std::string stream_bytes(const ReceivedRequest& received, const std::string& runner) {
  std::string call = received.header("X-Emberdale-Call"), body;
  body += event_text({"", "1", "one"}) + event_text({"", "2", "two"});
  body += event_text({"sealed", "3", seal_of("key", call, runner, 7, "one\ntwo\n")});
  char size[16];
  std::string chunks;
  for (std::size_t at = 0; at < body.size(); at += 25) {
    std::string part = body.substr(at, 25);
    std::snprintf(size, sizeof size, "%zx\r\n", part.size());
    chunks += size + part + "\r\n";
  }
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Runner: " + runner +
         "\r\nX-Runner-Incarnation: 7\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n";
}

std::string outcome_of(const Told& told) { return Json::parse(told.body).value("outcome", ""); }

}  // namespace

TEST(CallRelay, AnAnswerCutAtAnyPointIsWholeOrUnknownAndNeverRunAgain) {
  std::size_t length = 0;
  std::atomic<std::size_t> cut{0};
  CountingServer runner([&](const ReceivedRequest& received) {
    std::string bytes = response_bytes(received, "r1", R"({"v":"accept"})", R"({"v":"accept"})");
    length = bytes.size();
    return std::make_pair(bytes.substr(0, cut), true);
  });
  int whole = 0, unknown = 0;
  for (cut = 0; cut <= std::max<std::size_t>(length, 1); cut += 7) {
    Bench bench({runner.place()});
    int before = runner.executions("/once");
    Told told = bench.ask("/once");
    EXPECT_EQ(runner.executions("/once"), before + 1) << "cut at " << cut;
    if (told.code == 200) {
      ++whole;
      EXPECT_EQ(told.body, R"({"v":"accept"})");
    } else {
      ++unknown;
      EXPECT_EQ(told.code, 502);
      EXPECT_EQ(outcome_of(told), "unknown") << told.body;
    }
  }
  EXPECT_GT(unknown, 20);
  cut = 100000;
  Bench bench({runner.place()});
  Told last = bench.ask("/once");
  EXPECT_EQ(last.code, 200) << last.body;
}

TEST(CallRelay, AStreamCutAtAnyPointEndsWithAnErrorAndNeverWithASeal) {
  std::size_t length = 0;
  std::atomic<std::size_t> cut{0};
  CountingServer runner([&](const ReceivedRequest& received) {
    std::string bytes = stream_bytes(received, "r1");
    length = bytes.size();
    return std::make_pair(bytes.substr(0, cut), true);
  });
  int sealed = 0, errors = 0, unknown = 0;
  for (cut = 0; cut < std::max<std::size_t>(length, 1); cut += 9) {
    Bench bench({runner.place()});
    Told told = bench.ask("/stream");
    if (told.code != 200) {
      EXPECT_EQ(outcome_of(told), "unknown");
      ++unknown;
      continue;
    }
    EventCutter cutter;
    auto events = cutter.feed(told.body);
    ASSERT_FALSE(events.empty());
    std::vector<std::string> pieces;
    for (const auto& event : events)
      if (event.event.empty())
        pieces.push_back(event.data);
    EXPECT_LE(pieces.size(), 2u);
    if (!pieces.empty()) {
      EXPECT_EQ(pieces[0], "one");
    }
    if (events.back().event == "sealed") {
      ++sealed;
      EXPECT_EQ(pieces, (std::vector<std::string>{"one", "two"}));
    } else {
      ++errors;
      EXPECT_EQ(events.back().event, "error") << told.body;
    }
  }
  EXPECT_GT(errors, 3);
  EXPECT_GT(unknown, 3);
  EXPECT_EQ(sealed, 0);  // the cut is always before the end
  cut = 100000;
  Bench bench({runner.place()});
  EXPECT_NE(bench.ask("/stream").body.find("event: sealed\nid: 3\n"), std::string::npos);
  ++sealed;
  EXPECT_EQ(runner.executions("/stream"), sealed + errors + unknown);  // none was run again
}

TEST(CallRelay, NoForeignOrUnsealedAnswerReachesTheCaller) {
  std::atomic<int> kind{0};
  CountingServer runner([&](const ReceivedRequest& received) {
    std::string body = R"({"v":1})";
    if (kind == 0)
      return std::make_pair(response_bytes(received, "r1", body, R"({"v":2})"), true);  // seal of another body
    if (kind == 1)
      return std::make_pair(response_bytes(received, "r1", body, body, "other key"), true);  // not the runner's
    if (kind == 2)
      return std::make_pair(response_bytes(received, "r9", body, body), true);  // another runner
    ReceivedRequest other = received;
    other.head = "\r\nX-Emberdale-Call: some-other-call\r\n";
    if (kind == 3)
      return std::make_pair(response_bytes(other, "r1", body, body), true);  // another call's answer
    return std::make_pair(std::string("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{\"v\":1}"), true);  // no seal
  });
  for (kind = 0; kind < 5; ++kind) {
    Bench bench({runner.place()});
    Told told = bench.ask("/once");
    EXPECT_EQ(told.code, 502) << kind;
    EXPECT_EQ(outcome_of(told), "unknown");
    EXPECT_EQ(bench.relay().relay_counts().bad_seals, 1);
  }
  EXPECT_EQ(runner.executions("/once"), 5);
}

TEST(CallRelay, OnlyWhatSurelyDidNotRunOrMayRunAgainIsSentAgain) {
  CountingServer broken([](const ReceivedRequest&) { return std::make_pair(std::string(), true); });
  CountingServer full([](const ReceivedRequest&) { return std::make_pair(refusal_bytes("r1", "full"), false); });
  std::string nobody = free_place();
  auto good_script = [](const ReceivedRequest& received) {
    return std::make_pair(response_bytes(received, "r2", "{}", "{}"), true);
  };
  for (int i = 0; i < 6; ++i) {  // which runner comes first is the ranking's to say: try several calls
    CountingServer good(good_script);
    Bench refused({full.place(), good.place()});
    EXPECT_EQ(refused.ask("/once").code, 200);  // refused before it ran: the next runner takes it
    Bench unsent({nobody, good.place()});
    EXPECT_EQ(unsent.ask("/once").code, 200);  // never left this daemon
    Bench lost({broken.place(), good.place()});
    int before = broken.executions("/once") + good.executions("/once");
    Told told = lost.ask("/once");
    EXPECT_EQ(broken.executions("/once") + good.executions("/once"), before + 1);  // may have run: once only
    EXPECT_TRUE(told.code == 200 || outcome_of(told) == "unknown");
    EXPECT_EQ(lost.ask("/again").code, 200);  // may be repeated
  }
}

// The result of the last attempt comes when the relay is stopping already.
TEST(CallRelay, StoppingEndsThoughARunnerNeverResponds) {
  CountingServer hung([](const ReceivedRequest&) { return std::make_pair(std::string(), false); });
  Bench bench({hung.place()});
  auto call = bench.ask_later("/once");
  while (hung.executions("/once") == 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  auto stopping = std::async(std::launch::async, [&] { bench.relay().stop(Duration{50}); });
  EXPECT_EQ(stopping.wait_for(std::chrono::seconds(10)), std::future_status::ready);
  try {
    call.get();
  } catch (const std::exception&) {  // the connection was closed with the relay
  }
}

TEST(CallRelay, AHungRunnerEndsAtTheDeadlineAndAFullOneAtOnceWithRetryAfter) {
  CountingServer hung([](const ReceivedRequest&) { return std::make_pair(std::string(), false); });
  {
    Bench bench({hung.place()});
    Told told = bench.ask("/once");
    EXPECT_EQ(told.code, 502);
    EXPECT_EQ(outcome_of(told), "unknown");
    EXPECT_EQ(bench.relay().relay_counts().deadlines_passed, 1);
  }
  Bench bench({hung.place()}, 1);
  std::vector<pplx::task<Told>> calls;
  for (int i = 0; i < 6; ++i)
    calls.push_back(bench.ask_later("/once"));
  int refused = 0, unknown = 0;
  for (auto& call : calls) {
    Told told = call.get();
    if (told.code == 503) {
      ++refused;
      EXPECT_EQ(outcome_of(told), "refused");
      EXPECT_FALSE(told.headers.find("Retry-After") == told.headers.end());
    } else {
      ++unknown;
    }
  }
  EXPECT_GE(refused, 3);  // one runs, two pend, the rest is refused at once
  EXPECT_EQ(refused + unknown, 6);
  EXPECT_EQ(hung.executions("/once"), 1 + unknown);
}

TEST(CallRelay, RefusesWhatIsNotACallWithAReason) {
  CountingServer good(
      [](const ReceivedRequest& received) { return std::make_pair(response_bytes(received, "r1", "{}", "{}"), true); });
  Bench bench({good.place()});
  EXPECT_EQ(bench.ask("/nowhere").code, 404);
  EXPECT_EQ(bench.ask("/once", "", "GET").code, 405);
  EXPECT_EQ(bench.ask("/once", "text", "POST", "text/plain").code, 415);
  EXPECT_EQ(bench.ask("/once", std::string((1 << 20) + 1, 'x')).code, 413);
  Told homed = bench.ask("/homed");
  EXPECT_EQ(homed.code, 421);
  EXPECT_EQ(Json::parse(homed.body)["homes"][0], "127.0.0.9:80");
  EXPECT_EQ(good.executions("/homed"), 0);
  bench.take_grant();
  Told ungranted = bench.ask("/once");
  EXPECT_EQ(ungranted.code, 503);
  EXPECT_EQ(outcome_of(ungranted), "refused");
  EXPECT_EQ(good.executions("/once"), 0);
}

// The header was called X-Horizon-Ms before; clients that still send it are served as they were.
TEST(CallRelay, TheDeadlineIsReadFromItsHeaderUnderThePresentAndTheFormerName) {
  std::atomic<int> deadline_ms{0};
  CountingServer runner([&](const ReceivedRequest& received) {
    deadline_ms = std::stoi(received.header("X-Emberdale-Horizon-Ms"));
    return std::make_pair(response_bytes(received, "r1", "{}", "{}"), false);
  });
  Bench bench({runner.place()});
  EXPECT_EQ(bench.ask("/again").code, 200);
  EXPECT_GT(deadline_ms, 400);  // the plan's own: 700 ms
  for (const char* name : {"X-Deadline-Ms", "X-Horizon-Ms"}) {
    EXPECT_EQ(bench.ask_with_headers("/again", {{name, "400"}}).code, 200) << name;
    EXPECT_GT(deadline_ms, 0) << name;
    EXPECT_LE(deadline_ms, 400) << name;
    for (const char* value : {"0", "-5", "soon"}) {
      Told refused = bench.ask_with_headers("/again", {{name, value}});
      EXPECT_EQ(refused.code, 400) << name << " " << value;
      EXPECT_EQ(Json::parse(refused.body).value("reason", ""), std::string(name) + " must be a number of milliseconds");
    }
  }
  EXPECT_EQ(bench.ask_with_headers("/again", {{"X-Deadline-Ms", "300"}, {"X-Horizon-Ms", "600"}}).code, 200);
  EXPECT_LE(deadline_ms, 300);  // the present name counts
}

TEST(CallRelay, ALinkThatClosesAfterReadingNeverRunsACallTwice) {
  // Answers the first call of a link and keeps it; reads the second and closes. Over a reused link the
  // library sends such a call again by itself.
  CountingServer runner([](const ReceivedRequest& received) {
    return received.number_on_connection == 1 && received.body == "{}"
               ? std::make_pair(response_bytes(received, "r1", "{}", "{}"), false)
               : std::make_pair(std::string(), true);
  });
  Bench bench({runner.place()});
  EXPECT_EQ(bench.ask("/once").code, 200);
  for (int i = 0; i < 5; ++i) {
    Told told = bench.ask("/once", R"({"n":1})");
    EXPECT_EQ(outcome_of(told), "unknown");
    EXPECT_EQ(runner.executions("/once"), 2 + 2 * i);
    EXPECT_EQ(bench.ask("/once").code, 200);  // it is not shunned for good
  }
}

TEST(CallRelay, ManyStreamsThatEndAtOnceDoNotHoldEachOtherUp) {
  // Four threads serve all links here. A relay that waits for its own close on one of them needs
  // another to be free: a daemon that woke from a freeze hung for good, with all threads waiting so.
  std::atomic<int> request_count{0};
  CountingServer runner([&](const ReceivedRequest& received) {
    ++request_count;
    return std::make_pair(stream_bytes(received, "r1"), true);
  });
  Bench bench({runner.place()}, 64);
  for (int round = 0; round < 8; ++round) {
    std::vector<pplx::task<Told>> calls;
    for (int i = 0; i < 40; ++i)
      calls.push_back(bench.ask_later("/stream"));
    for (auto& call : calls)
      EXPECT_NE(call.get().body.find("event: sealed"), std::string::npos);
  }
  EXPECT_EQ(request_count, 320);
}
