// A caller that leaves takes its call along, in each state of the call and at both faces of the data plane.
#define _TURN_OFF_PLATFORM_STRING
#include <gtest/gtest.h>
#include <pplx/threadpool.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "call_relay.hpp"
#include "emberdale/program_settings.hpp"
#include "holding_runner.hpp"
#include "http_bytes.hpp"
#include "raw_socket.hpp"
#include "relay_under_test.hpp"
#include "routed_relay.hpp"

using namespace emberdale;
using namespace emberdale_test;
using std::chrono::milliseconds;

namespace {

[[maybe_unused]] const bool has_threads = (crossplat::threadpool::initialize_with_threads(4), true);

constexpr milliseconds departure_bound{500};  // the rule's: after it no runner may still be at work
constexpr milliseconds arrival_limit{4000};
constexpr std::int64_t deadline_ms = 15000;  // longer than anything waited for here

std::uint16_t free_port() { return RawSocket::listen().port(); }
std::string at(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

constexpr std::int64_t capacity = 8;

RunnerRow runner_row(const std::string& name, const std::string& address, RunnerState state) {
  RunnerRow row;
  row.name.text = name;
  row.http_address = address;
  row.pool.text = "p";
  row.region.text = "here";
  row.zone.text = "z";
  row.state = state;
  row.capacity = capacity;
  row.incarnation = 7;
  row.seal_key = "key";
  return row;
}

// A runner that warms up without a quota of its own takes no call: calls wait for it.
std::shared_ptr<RoutingView> view_with_runners(const std::string& address, int count, RunnerState state) {
  auto view = std::make_shared<RoutingView>();
  view->version = {1, 1};
  for (int number = 1; number <= count; ++number) {
    RunnerRow row = runner_row("r" + std::to_string(number), address, state);
    view->runners[row.name] = row;
    view->pools[row.pool].push_back(row.name);
  }
  view->regions[{PoolName{"p"}, RegionName{"here"}}] = {PoolName{"p"}, RegionName{"here"}, capacity * count, 0, false};
  return view;
}

// The face of the data plane towards the users' platform.
class RoutedFace {
 public:
  RoutedFace(const std::string& runner, int runner_count, RunnerState state = RunnerState::warm)
      : runner_(runner), runner_count_(runner_count) {
    put_view(state);
    RouteDispatcherSettings settings;
    settings.self.text = "d";
    settings.region.text = "here";
    settings.zone.text = "z";
    settings.resend_start = settings.resend_bound = 100;
    relay_ = std::make_unique<RoutedRelay>(settings, relay_header_names(), snapshot_, at(port_));
    EXPECT_TRUE(relay_->open().ok());
  }
  ~RoutedFace() { relay_->stop(Duration{3000}); }
  std::uint16_t port() const { return port_; }
  static std::string path(const std::string& route) { return "/" + route + "/x"; }
  std::int64_t departures() const { return relay_->relay_counts().callers_gone; }
  std::size_t open_calls() const { return relay_->open_calls(); }
  void put_view(RunnerState state) {
    auto view = view_with_runners(runner_, runner_count_, state);
    view->has_routing_table = true;
    add_route(*view, "once", false, false);
    add_route(*view, "again", true, false);
    add_route(*view, "stream", false, true);
    add_route(*view, "resume", true, true);
    snapshot_.put(view, Grant{});
  }

 private:
  static void add_route(RoutingView& view, const std::string& name, bool is_repeatable, bool is_streaming) {
    Route route = route_of(name, is_repeatable, is_streaming);
    route.deadline_ms = route.target_ms = route.gap_ms = deadline_ms;  // nothing is given up before the test ends
    view.routes.push_back(route);
  }

  std::string runner_;
  int runner_count_;
  std::uint16_t port_ = free_port();
  ControlSnapshot snapshot_;
  std::unique_ptr<RoutedRelay> relay_;
};

// The product's own face.
class OwnFace {
 public:
  OwnFace(const std::string& runner, int runner_count, RunnerState state = RunnerState::warm)
      : runner_(runner), runner_count_(runner_count) {
    put_view(state);
    DispatcherSettings settings;
    settings.self.text = "d";
    settings.region.text = "here";
    settings.queue_bound = 8;
    relay_ = std::make_unique<CallRelay>(settings, snapshot_, at(port_));
    EXPECT_TRUE(relay_->open().ok());
  }
  ~OwnFace() { relay_->stop(Duration{3000}); }
  std::uint16_t port() const { return port_; }
  static std::string path(const std::string& route) { return "/" + route; }
  std::int64_t departures() const { return relay_->relay_counts().callers_gone; }
  std::size_t open_calls() const { return relay_->open_calls(); }
  void put_view(RunnerState state) {
    auto view = view_with_runners(runner_, runner_count_, state);
    add_plan(*view, "once", "");
    add_plan(*view, "again", R"("repeatable":true,)");
    add_plan(*view, "stream", R"("streaming":true,)");
    snapshot_.put(view, Grant{steady_now() + Duration{60000}, {1, 1}});
  }

 private:
  static void add_plan(RoutingView& view, const std::string& name, const std::string& fields) {
    std::vector<Finding> findings;
    auto plan = read_plan(name,
                          R"({"service":"s","match":{"path":"/)" + name + R"("},"pool":"p",)" + fields +
                              R"("horizon_ms":)" + std::to_string(deadline_ms) + "}",
                          findings);
    ASSERT_TRUE(plan) << name;
    view.plans.push_back(*plan);
  }

  std::string runner_;
  int runner_count_;
  std::uint16_t port_ = free_port();
  ControlSnapshot snapshot_;
  std::unique_ptr<CallRelay> relay_;
};

template <class Face>
std::string request_of(const std::string& route, const std::string& call_id, const std::string& body = "{}") {
  return "POST " + Face::path(route) + " HTTP/1.1\r\nHost: front.example\r\nT-Call: " + call_id +
         "\r\nX-Call-Id: " + call_id +
         "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool wait_until(const std::function<bool()>& holds, milliseconds limit = arrival_limit) {
  auto end = std::chrono::steady_clock::now() + limit;
  while (!holds() && std::chrono::steady_clock::now() < end)
    std::this_thread::sleep_for(milliseconds(5));
  return holds();
}

enum class Departure { close, reset };

void leave(RawSocket& client, Departure departure) {
  if (departure == Departure::reset)
    client.reset();
  else
    client.close();
}

template <class Face>
class DepartedCaller : public testing::Test {
 protected:
  // A caller leaves once the runner holds its request: the runner's connection has to be closed within the bound.
  static void expect_released(const std::string& route, HeldAt held_at, Departure departure) {
    SCOPED_TRACE(route + " held at " + std::to_string(static_cast<int>(held_at)) +
                 (departure == Departure::reset ? ", reset" : ", closed"));
    HoldingRunner runner(held_at);
    int runner_count = held_at == HeldAt::reset_first ? 3 : 1;  // streams are held by the one that names itself r1
    Face face(runner.address(), runner_count);
    auto client = RawSocket::connect(face.port());
    client.write(request_of<Face>(route, "call-1"));
    ASSERT_TRUE(runner.wait_for_arrival("call-1", arrival_limit));
    bool has_event = held_at == HeldAt::after_one_event;
    std::string event = has_event ? client.read_to("data: one", static_cast<int>(arrival_limit.count())) : "none";
    ASSERT_NE(event, "");
    leave(client, departure);
    EXPECT_TRUE(runner.wait_for_close("call-1", departure_bound));
    EXPECT_EQ(runner.arrivals("call-1"), 1u);
    EXPECT_EQ(face.departures(), 1);
  }
};

using Faces = testing::Types<RoutedFace, OwnFace>;
TYPED_TEST_SUITE(DepartedCaller, Faces);

}  // namespace

TYPED_TEST(DepartedCaller, BeforeTheHeadFreesTheRunner) {
  for (Departure departure : {Departure::close, Departure::reset})
    for (const char* route : {"once", "again", "stream"})
      TestFixture::expect_released(route, HeldAt::before_head, departure);
}

TYPED_TEST(DepartedCaller, BetweenTheHeadAndTheFirstEventFreesTheRunner) {
  for (Departure departure : {Departure::close, Departure::reset})
    TestFixture::expect_released("stream", HeldAt::after_head, departure);
}

TYPED_TEST(DepartedCaller, WithinAStreamThatIsSilentFreesTheRunner) {
  for (Departure departure : {Departure::close, Departure::reset})
    TestFixture::expect_released("stream", HeldAt::after_one_event, departure);
}

TYPED_TEST(DepartedCaller, DuringTheSecondAttemptFreesTheSecondRunner) {
  TestFixture::expect_released("again", HeldAt::reset_first, Departure::close);
}

// A call that waits for a runner goes with its caller: it never reaches one.
TYPED_TEST(DepartedCaller, WhileQueuedIsNeverSent) {
  HoldingRunner runner(HeldAt::before_head);
  TypeParam face(runner.address(), 1, RunnerState::warming_up);
  auto departing = RawSocket::connect(face.port());
  auto staying = RawSocket::connect(face.port());
  departing.write(request_of<TypeParam>("again", "departing"));
  staying.write(request_of<TypeParam>("again", "staying"));
  ASSERT_TRUE(wait_until([&] { return face.open_calls() == 2; }));
  departing.close();
  EXPECT_TRUE(wait_until([&] { return face.open_calls() == 1; }, departure_bound));
  face.put_view(RunnerState::warm);
  EXPECT_TRUE(runner.wait_for_arrival("staying", arrival_limit));
  EXPECT_EQ(runner.arrivals("departing"), 0u);
}

// The second request comes along with the first one and is never begun.
TYPED_TEST(DepartedCaller, WithAPipelinedRequestLeavesNeitherAtARunner) {
  HoldingRunner runner(HeldAt::before_head);
  TypeParam face(runner.address(), 3);
  auto client = RawSocket::connect(face.port());
  client.write(request_of<TypeParam>("again", "first") + request_of<TypeParam>("again", "second"));
  ASSERT_TRUE(runner.wait_for_arrival("first", arrival_limit));
  client.close();
  EXPECT_TRUE(runner.wait_for_close("first", departure_bound));
  EXPECT_EQ(runner.arrivals("second"), 0u);
}

// What a departed caller held is given back, however its call ended.
TYPED_TEST(DepartedCaller, LeavesNoOpenCallBehind) {
  HoldingRunner runner(HeldAt::before_head);
  TypeParam face(runner.address(), 3);
  for (int number = 0; number < 8; ++number) {
    std::string id = "call-" + std::to_string(number);
    auto client = RawSocket::connect(face.port());
    client.write(request_of<TypeParam>(number % 2 == 0 ? "again" : "stream", id));
    ASSERT_TRUE(runner.wait_for_arrival(id, arrival_limit));
    client.close();
  }
  EXPECT_TRUE(wait_until([&] { return face.open_calls() == 0; }));
}

// The connection of a caller that stays serves on: a departure is never seen where there is none.
TYPED_TEST(DepartedCaller, IsNotToldFromOneThatOnlyWaits) {
  HoldingRunner runner(HeldAt::before_head);
  TypeParam face(runner.address(), 3);
  auto client = RawSocket::connect(face.port());
  client.write(request_of<TypeParam>("again", "call-1"));
  ASSERT_TRUE(runner.wait_for_arrival("call-1", arrival_limit));
  EXPECT_FALSE(runner.wait_for_close("call-1", departure_bound));
  EXPECT_EQ(face.departures(), 0);
}

// Callers that leave in the very moment in which runners become free: each call is counted down once.
TYPED_TEST(DepartedCaller, WhileItsAttemptBeginsIsCountedOnce) {
  constexpr int rounds = 300, callers = 8;
  HoldingRunner runner(HeldAt::before_head);
  TypeParam face(runner.address(), 3, RunnerState::warming_up);
  for (int round = 0; round < rounds; ++round) {
    std::vector<RawSocket> clients;
    for (int number = 0; number < callers; ++number) {
      clients.push_back(RawSocket::connect(face.port()));
      clients.back().write(request_of<TypeParam>("again", std::to_string(round) + "-" + std::to_string(number)));
    }
    ASSERT_TRUE(wait_until([&] { return face.open_calls() == callers; })) << round << ": " << face.open_calls();
    std::thread opening([&] { face.put_view(RunnerState::warm); });
    for (auto& client : clients)
      client.close();
    opening.join();
    ASSERT_TRUE(wait_until([&] { return face.open_calls() == 0; })) << round << ": " << face.open_calls();
    face.put_view(RunnerState::warming_up);
    std::this_thread::sleep_for(milliseconds(20));
  }
}
