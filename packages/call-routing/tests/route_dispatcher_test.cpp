// The route dispatcher with views built by hand, in virtual time: single behaviours, then properties over random days.
#include "emberdale/route_dispatcher.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <functional>

#include "emberdale/warmup_allocator.hpp"

using namespace emberdale;

namespace {

const PoolName pool{"p"};

Route route_of(const std::string& name, bool is_repeatable) {
  Route route;
  route.name = name;
  route.host = "a.example";
  route.path_prefix = "/" + name + "/";
  route.is_repeatable = is_repeatable;
  route.deadline_ms = 10000;
  route.target_ms = 1000;
  route.max_sends = 3;
  route.pools = {{pool, 1}};
  return route;
}

RunnerRow runner_of(const std::string& name, const std::string& region, RunnerState state = RunnerState::warm,
                    std::int64_t capacity = 8) {
  RunnerRow row;
  row.name.text = name;
  row.http_address = name + ":80";
  row.pool = pool;
  row.region.text = region;
  row.zone.text = region + "-1";
  row.state = state;
  row.capacity = capacity;
  return row;
}

RoutingView view_of(const std::vector<RunnerRow>& runners, const std::vector<Route>& routes) {
  RoutingView view;
  view.has_routing_table = true;
  view.routes = routes;
  RoutePool known;
  known.name = pool;
  view.route_pools[pool] = known;
  for (const auto& row : runners) {
    view.runners[row.name] = row;
    view.pools[row.pool].push_back(row.name);
    auto& region = view.regions[{row.pool, row.region}];
    region.pool = row.pool;
    region.region = row.region;
    region.capacity += row.capacity;
  }
  return view;
}

RouteDispatcherSettings settings_of(const std::string& self, const std::string& region) {
  RouteDispatcherSettings settings;
  settings.self.text = self;
  settings.region.text = region;
  settings.zone.text = region + "-1";
  return settings;
}

std::vector<Route> usual_routes() {
  auto homed = route_of("homed", true);
  homed.homes = {RegionName{"south"}};
  auto first = route_of("first", true), last = route_of("last", true);
  first.rank = 0;
  last.rank = 9;
  auto chat = route_of("chat", true);
  chat.is_streaming = chat.is_resumable = true;
  chat.gap_ms = 400;
  return {route_of("free", true), route_of("once", false), homed, first, last, chat};
}

// One dispatcher of region "north", on a clock that the test sets.
struct Bench {
  explicit Bench(const RouteDispatcherSettings& settings = settings_of("d1", "north")) : dispatcher(settings) {
    dispatcher.set_warming_up_until(TimePoint{INT64_MAX});
  }
  void update_view(const std::vector<RunnerRow>& runners, std::vector<Route> routes = usual_routes()) {
    dispatcher.update_view(std::make_shared<RoutingView>(view_of(runners, routes)), now);
  }
  std::optional<FinalResponse> arrive(const std::string& route, CallIndex index,
                                      const std::vector<PromptPart>& prompt = {}) {
    RoutedCall call;
    call.id.text = "call-" + std::to_string(index);
    call.host = "a.example";
    call.path = "/" + route + "/x";
    call.prompt = prompt;
    return dispatcher.admit(call, now, index);
  }
  // Runs the timers until then.
  void run_to(TimePoint end) {
    while (now < end) {
      now = std::min(end, std::max(now + Duration{1}, dispatcher.next_timer(now)));
      dispatcher.on_timer(now);
    }
  }
  RoutedAttemptResult end_of(const RoutedAttempt& send, RoutedAttemptOutcome kind) {
    RoutedAttemptResult end;
    end.call = send.call;
    end.attempt_number = send.attempt_number;
    end.outcome = kind;
    end.reason = "test";
    return end;
  }
  void end(const RoutedAttempt& send, RoutedAttemptOutcome kind) {
    dispatcher.on_attempt_finished(end_of(send, kind), now);
  }
  std::optional<RoutedAttempt> sent() {
    auto sends = dispatcher.drain_attempts();
    EXPECT_LE(sends.size(), 1u);
    if (sends.empty())
      return std::nullopt;
    return sends.front();
  }
  RouteDispatcher dispatcher;
  TimePoint now{100000};
};

const std::vector<RunnerRow> two_north{runner_of("n1", "north"), runner_of("n2", "north")};

}  // namespace

// --- gate --------------------------------------------------------------------------------------------

TEST(RouteDispatcher, WithoutARouteACallGets404) {
  Bench bench;
  bench.update_view(two_north);
  auto refusal = bench.arrive("nowhere", 1);
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->code, 404);
  EXPECT_FALSE(refusal->may_have_run);
  EXPECT_EQ(bench.dispatcher.open_calls(), 0u);
}

// The earlier test wanted the refusal at once. A daemon that has just started knows its map within a moment, and a call
// told to come back has one further try only: so it waits, for less than a quarter of any target, and is then refused.
TEST(RouteDispatcher, BeforeAnyViewACallWaitsAMomentAndThenGets503AndATimeToComeBack) {
  Bench bench;
  ASSERT_FALSE(bench.arrive("free", 1));
  TimePoint begun = bench.now;
  bench.run_to(begun + Duration{149});
  EXPECT_TRUE(bench.dispatcher.drain_final_responses().empty());
  EXPECT_EQ(bench.dispatcher.open_calls(), 1u);
  bench.run_to(begun + Duration{170});
  auto finals = bench.dispatcher.drain_final_responses();
  ASSERT_EQ(finals.size(), 1u);
  EXPECT_EQ(finals.front().call, 1);
  EXPECT_EQ(finals.front().code, 503);
  EXPECT_GT(finals.front().retry_after, Duration{0});
  EXPECT_FALSE(finals.front().may_have_run);
  EXPECT_EQ(bench.dispatcher.open_calls(), 0u);
  // Later there is no such hope: at once, and to come back after longer.
  bench.run_to(begun + Duration{400});
  auto refusal = bench.arrive("free", 2);
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->code, 503);
  EXPECT_GT(refusal->retry_after, finals.front().retry_after);
  EXPECT_FALSE(refusal->may_have_run);
  EXPECT_EQ(bench.dispatcher.open_calls(), 0u);
}

TEST(RouteDispatcher, ACallThatWaitsForTheFirstMapIsSentWithIt) {
  Bench bench;
  ASSERT_FALSE(bench.arrive("free", 1));
  bench.run_to(bench.now + Duration{100});
  bench.update_view(two_north);
  auto send = bench.sent();
  ASSERT_TRUE(send);
  EXPECT_EQ(send->call, 1);
  // A caller that left meanwhile is forgotten.
  Bench other;
  ASSERT_FALSE(other.arrive("free", 1));
  other.dispatcher.on_caller_disconnected(1, other.now);
  EXPECT_EQ(other.dispatcher.open_calls(), 0u);
  other.update_view(two_north);
  EXPECT_FALSE(other.sent());
}

// --- match -------------------------------------------------------------------------------------------

// That none of them was violated, the test program itself checks after each test.
TEST(RouteDispatcher, ACallWhoseDeadlinePassesBeforeTheFirstMapIsNeverSent) {
  Bench bench;
  RoutedCall call;
  call.id.text = "short";
  call.host = "a.example";
  call.path = "/free/x";
  call.deadline = Duration{50};
  ASSERT_FALSE(bench.dispatcher.admit(call, bench.now, 1));
  bench.run_to(bench.now + Duration{50});
  bench.update_view(two_north);
  EXPECT_TRUE(bench.dispatcher.drain_attempts().empty());
  auto finals = bench.dispatcher.drain_final_responses();
  ASSERT_EQ(finals.size(), 1u);
  EXPECT_EQ(finals.front().call, 1);
  EXPECT_EQ(finals.front().code, 503);
  EXPECT_FALSE(finals.front().may_have_run);
  EXPECT_EQ(bench.dispatcher.open_calls(), 0u);
}

TEST(RouteDispatcher, ChecksItsInvariantsAtEachAttempt) {
  constexpr Invariant checked[] = {Invariant::no_attempt_to_unavailable_runner, Invariant::attempts_within_limit,
                                   Invariant::no_attempt_after_deadline};
  std::map<Invariant, std::int64_t> before;
  for (Invariant invariant : checked)
    before[invariant] = process_invariants().checks(invariant);
  Bench bench;
  bench.update_view(two_north);
  ASSERT_FALSE(bench.arrive("free", 1));
  auto first = bench.sent();
  ASSERT_TRUE(first);
  bench.end(*first, RoutedAttemptOutcome::lost);
  ASSERT_TRUE(bench.sent());  // the retry
  for (Invariant invariant : checked)
    EXPECT_EQ(process_invariants().checks(invariant) - before[invariant], 2) << to_string(invariant);
}

TEST(RouteDispatcher, HomesAreNeverLeft) {
  Bench bench;
  bench.update_view({runner_of("n1", "north"), runner_of("n2", "north"), runner_of("s1", "south")});
  for (CallIndex index = 1; index <= 40; ++index) {
    bench.arrive("homed", index);
    for (const auto& send : bench.dispatcher.drain_attempts())
      EXPECT_EQ(send.runner.text, "s1");
  }
  bench.run_to(bench.now + Duration{2000});
  for (const auto& send : bench.dispatcher.drain_attempts())
    EXPECT_EQ(send.runner.text, "s1");
}

TEST(RouteDispatcher, HomesAreNotLeftWhenTheHomeHasNoRunner) {
  Bench bench;
  bench.update_view({runner_of("n1", "north"), runner_of("n2", "north"), runner_of("s1", "south", RunnerState::down)});
  EXPECT_FALSE(bench.arrive("homed", 1));
  bench.run_to(bench.now + Duration{250});
  EXPECT_TRUE(bench.dispatcher.drain_attempts().empty());
  auto finals = bench.dispatcher.drain_final_responses();
  ASSERT_EQ(finals.size(), 1u);
  EXPECT_EQ(finals[0].code, 503);
  EXPECT_FALSE(finals[0].may_have_run);
}

TEST(RouteDispatcher, HomesAreNotLeftAfterTheHomesRunnerFails) {
  Bench bench;
  bench.update_view({runner_of("n1", "north"), runner_of("s1", "south")});
  bench.arrive("homed", 1);
  auto send = bench.sent();
  ASSERT_TRUE(send);
  bench.end(*send, RoutedAttemptOutcome::lost);
  bench.run_to(bench.now + Duration{1000});
  for (const auto& again : bench.dispatcher.drain_attempts())
    EXPECT_EQ(again.runner.text, "s1");
}

TEST(RouteDispatcher, RunnersThatTheViewTakesOutGetNothingFromThatMomentOn) {
  for (RunnerState state : {RunnerState::draining, RunnerState::evacuated, RunnerState::down}) {
    Bench bench;
    bench.update_view(two_north);
    bench.update_view({runner_of("n1", "north", state), runner_of("n2", "north")});
    for (CallIndex index = 1; index <= 30; ++index)
      bench.arrive(index % 2 == 0 ? "free" : "once", index);
    auto sends = bench.dispatcher.drain_attempts();
    EXPECT_FALSE(sends.empty());
    for (const auto& send : sends)
      EXPECT_EQ(send.runner.text, "n2") << to_string(state);
    bench.update_view({runner_of("n1", "north", state), runner_of("n2", "north", state)});
    for (const auto& send : sends)
      bench.end(send, RoutedAttemptOutcome::refused);
    bench.run_to(bench.now + Duration{1000});
    EXPECT_TRUE(bench.dispatcher.drain_attempts().empty()) << to_string(state);
    EXPECT_EQ(bench.dispatcher.open_calls(), 0u);
  }
}

TEST(RouteDispatcher, ManyCallsOfOneOpeningGoToOneRunnerFromTwoRegions) {
  std::vector<RunnerRow> runners;
  for (int i = 1; i <= 4; ++i) {
    runners.push_back(runner_of("n" + std::to_string(i), "north", RunnerState::warm, 64));
    runners.push_back(runner_of("s" + std::to_string(i), "south", RunnerState::warm, 64));
  }
  Bench north, south(settings_of("d2", "south"));
  for (std::uint64_t opening = 1; opening <= 10; ++opening) {
    std::set<std::string> used;
    for (auto* bench : {&north, &south}) {
      bench->update_view(runners);
      for (std::uint64_t i = 0; i < 15; ++i) {
        CallIndex index = static_cast<CallIndex>(opening * 100 + i);
        bench->arrive("chat", index, {{opening * 7919, 20000}, {1000000 + opening * 100 + i, 50}});
        auto send = bench->sent();
        ASSERT_TRUE(send);
        used.insert(send->runner.text);
        bench->dispatcher.on_stream_event(index, send->attempt_number, bench->now);
        bench->end(*send, RoutedAttemptOutcome::completed);
        bench->now = bench->now + Duration{40};
      }
    }
    EXPECT_EQ(used.size(), 1u) << "opening " << opening;
  }
}

TEST(RouteDispatcher, LongPromptsKeepOffTheRunnersOfShortCalls) {
  std::vector<RunnerRow> runners;
  for (int i = 1; i <= 5; ++i)
    for (const char* region : {"north", "south"})
      runners.push_back(runner_of(std::string(1, *region) + std::to_string(i), region, RunnerState::warm, 64));
  Bench bench;
  bench.update_view(runners);
  std::set<std::string> for_short, for_long;
  std::vector<RoutedAttempt> open_calls;
  for (CallIndex index = 1; index <= 300; ++index) {
    bool is_long = index > 20 && index % 5 == 0;
    auto own = static_cast<std::uint64_t>(index);
    bench.arrive("chat", index, is_long ? std::vector<PromptPart>{{own, 8000}} : std::vector<PromptPart>{{own, 120}});
    auto send = bench.sent();
    ASSERT_TRUE(send);
    (is_long ? for_long : for_short).insert(send->runner.text);
    bench.dispatcher.on_stream_event(index, send->attempt_number, bench.now);
    open_calls.push_back(*send);
    if (open_calls.size() > 6) {
      bench.end(open_calls.front(), RoutedAttemptOutcome::completed);
      open_calls.erase(open_calls.begin());
    }
    bench.now = bench.now + Duration{20};
  }
  EXPECT_FALSE(for_long.empty());
  for (const auto& runner : for_long)
    EXPECT_EQ(for_short.count(runner), 0u) << runner;
}

TEST(RouteDispatcher, AColdRunnerGetsNoMoreThanItsShareInAnySecondAndNothingWithoutTheMastersWord) {
  Bench bench;
  auto cold = runner_of("n1", "north", RunnerState::warming_up);
  cold.warmup_grants = {{Address{"d1"}, 3}, {Address{"d2"}, 9}};
  bench.update_view({cold});
  bench.run_to(bench.now + Duration{2000});
  std::vector<TimePoint> sent;
  for (CallIndex index = 1; index <= 300; ++index) {
    bench.arrive("free", index);
    for (const auto& send : bench.dispatcher.drain_attempts()) {
      sent.push_back(bench.now);
      bench.end(send, RoutedAttemptOutcome::completed);
    }
    bench.run_to(bench.now + Duration{17});
    for (const auto& send : bench.dispatcher.drain_attempts()) {
      sent.push_back(bench.now);
      bench.end(send, RoutedAttemptOutcome::completed);
    }
  }
  EXPECT_GT(sent.size(), 9u);
  for (std::size_t i = 3; i < sent.size(); ++i)
    EXPECT_GE(sent[i] - sent[i - 3], Duration{1000});
  bench.run_to(bench.now + Duration{1500});
  bench.dispatcher.set_warming_up_until(bench.now);
  bench.arrive("free", 1000);
  bench.run_to(bench.now + Duration{1500});
  EXPECT_TRUE(bench.dispatcher.drain_attempts().empty());
}

// A dispatcher that starts anew knows nothing of what the same daemon sent a moment ago.
TEST(RouteDispatcher, AfterARestartAColdRunnersShareIsNotUsedTwiceInOneSecond) {
  auto cold = runner_of("n1", "north", RunnerState::warming_up);
  cold.warmup_grants = {{Address{"d1"}, 3}};
  Bench before;
  before.update_view({cold});
  before.run_to(before.now + Duration{1500});
  std::size_t sent = 0;
  for (CallIndex index = 1; index <= 6; ++index)
    before.arrive("free", index);
  sent += before.dispatcher.drain_attempts().size();
  Bench after;
  after.now = before.now + Duration{200};
  after.update_view({cold});
  for (CallIndex index = 1; index <= 6; ++index)
    after.arrive("free", index);
  after.run_to(before.now + Duration{999});
  sent += after.dispatcher.drain_attempts().size();
  EXPECT_LE(sent, 3u);
}

TEST(RouteDispatcher, AColdRunnerThatLeavesTheViewForAMomentGetsItsShareOnce) {
  auto cold = runner_of("n1", "north", RunnerState::warming_up);
  cold.warmup_grants = {{Address{"d1"}, 3}};
  Bench bench;
  bench.update_view({cold});
  bench.run_to(bench.now + Duration{1500});
  std::size_t sent = 0;
  for (CallIndex index = 1; index <= 8; ++index) {
    if (index == 4) {
      bench.update_view({});
      bench.update_view({cold});
    }
    bench.arrive("free", index);
    for (const auto& send : bench.dispatcher.drain_attempts()) {
      ++sent;
      bench.end(send, RoutedAttemptOutcome::completed);
    }
  }
  EXPECT_EQ(sent, 3u);
}

// --- pending -----------------------------------------------------------------------------------------

TEST(RouteDispatcher, WhenNobodyIsFreeACallIsRefusedWithinAQuarterOfItsTarget) {
  Bench bench;
  bench.update_view({runner_of("n1", "north", RunnerState::warm, 1)});
  TimePoint begun = bench.now;
  std::size_t sent = 0, refused = 0;
  for (CallIndex index = 1; index <= 20; ++index)
    bench.arrive("free", index);
  sent = bench.dispatcher.drain_attempts().size();
  bench.run_to(begun + Duration{250});
  for (const auto& act : bench.dispatcher.drain_final_responses()) {
    ++refused;
    EXPECT_EQ(act.code, 503);
    EXPECT_FALSE(act.may_have_run);
    EXPECT_GT(act.retry_after, Duration{0});
  }
  EXPECT_EQ(sent + refused, 20u);
  EXPECT_EQ(bench.dispatcher.open_calls(), sent);
}

TEST(RouteDispatcher, NothingIsRefusedWhileARunnerThatMayTakeItIsFree) {
  Bench bench;
  std::vector<RunnerRow> runners{runner_of("n1", "north", RunnerState::warm, 4),
                                 runner_of("s1", "south", RunnerState::warm, 4),
                                 runner_of("w1", "west", RunnerState::warm, 4)};
  bench.update_view(runners);
  for (CallIndex index = 1; index <= 12; ++index) {  // as many as all have slots, whatever is nearer
    EXPECT_FALSE(bench.arrive("free", index));
    EXPECT_EQ(bench.dispatcher.drain_attempts().size(), 1u);
  }
  EXPECT_EQ(bench.dispatcher.counts().pended, 0);
}

TEST(RouteDispatcher, WhatIsPendingIsSentTheMomentARunnerComesFree) {
  Bench bench;
  bench.update_view({runner_of("n1", "north", RunnerState::warm, 1)});
  CallIndex index = 0;
  std::vector<RoutedAttempt> sends;
  while (bench.dispatcher.counts().pended == 0) {
    bench.arrive("free", ++index);
    for (const auto& send : bench.dispatcher.drain_attempts())
      sends.push_back(send);
  }
  bench.now = bench.now + Duration{100};
  bench.end(sends.front(), RoutedAttemptOutcome::completed);
  auto next = bench.sent();
  ASSERT_TRUE(next);
  EXPECT_EQ(next->call, index);
}

TEST(RouteDispatcher, ANewRunnerInTheViewTakesWhatIsQueued) {
  Bench bench;
  bench.update_view({});
  EXPECT_FALSE(bench.arrive("free", 1));
  bench.now = bench.now + Duration{50};
  bench.update_view(two_north);
  EXPECT_TRUE(bench.sent());
}

TEST(RouteDispatcher, FirstRankComesFirstOutOfTheQueue) {
  Bench bench;
  bench.update_view({});
  int at = 0;
  for (const char* name : {"last", "free", "first", "last", "free", "first"})
    EXPECT_FALSE(bench.arrive(name, ++at));
  bench.update_view({runner_of("n1", "north", RunnerState::warm, 64)});
  std::vector<CallIndex> order;
  for (const auto& send : bench.dispatcher.drain_attempts())
    order.push_back(send.call);
  EXPECT_EQ(order, (std::vector<CallIndex>{3, 6, 2, 5, 1, 4}));
}

TEST(RouteDispatcher, MoreThanTheBoundOfPendingIsRefusedAtOnce) {
  auto settings = settings_of("d1", "north");
  settings.queue_bound = 5;
  Bench bench(settings);
  bench.update_view({});
  for (CallIndex index = 1; index <= 5; ++index)
    EXPECT_FALSE(bench.arrive("free", index));
  auto refusal = bench.arrive("free", 6);
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->code, 503);
  EXPECT_GT(refusal->retry_after, Duration{0});
  EXPECT_EQ(bench.dispatcher.open_calls(), 5u);
}

// --- resend ------------------------------------------------------------------------------------------

TEST(RouteDispatcher, WhatMayNotBeRepeatedIsNeverSentAgainAfterItMayHaveRun) {
  for (auto kind : {RoutedAttemptOutcome::lost, RoutedAttemptOutcome::broken}) {
    Bench bench;
    bench.update_view(two_north);
    bench.arrive("once", 1);
    auto send = bench.sent();
    ASSERT_TRUE(send);
    EXPECT_FALSE(send->is_repeatable);
    bench.end(*send, kind);
    bench.run_to(bench.now + Duration{12000});
    EXPECT_TRUE(bench.dispatcher.drain_attempts().empty());
    auto finals = bench.dispatcher.drain_final_responses();
    ASSERT_EQ(finals.size(), 1u);
    EXPECT_TRUE(finals[0].may_have_run);
    EXPECT_EQ(bench.dispatcher.open_calls(), 0u);
  }
}

// A copy of it was written before, over a link that then closed: the refusal of the second copy says nothing of it.
TEST(RouteDispatcher, ARefusalPromisesNothingOfACopyThatMayHaveRun) {
  for (RoutedAttemptOutcome kind :
       {RoutedAttemptOutcome::refused, RoutedAttemptOutcome::wrong_incarnation, RoutedAttemptOutcome::not_sent}) {
    Bench bench;
    bench.update_view({runner_of("r1", "north")});
    EXPECT_FALSE(bench.arrive("free", 1));
    auto sends = bench.dispatcher.drain_attempts();
    ASSERT_EQ(sends.size(), 1u);
    RoutedAttemptResult end = bench.end_of(sends[0], kind);
    end.may_have_run = true;
    bench.dispatcher.on_attempt_finished(end, bench.now);
    bench.run_to(bench.now + Duration{3000});
    auto finals = bench.dispatcher.drain_final_responses();
    ASSERT_EQ(finals.size(), 1u);
    EXPECT_EQ(finals[0].code, 502);
    EXPECT_TRUE(finals[0].may_have_run);
  }
}

TEST(RouteDispatcher, ASecondSendAfterARefusalMayBeLostAndThenNoThirdFollows) {
  Bench bench;
  bench.update_view({runner_of("n1", "north"), runner_of("n2", "north"), runner_of("n3", "north")});
  bench.arrive("once", 1);
  auto first = bench.sent();
  ASSERT_TRUE(first);
  bench.end(*first, RoutedAttemptOutcome::refused);
  auto second = bench.sent();
  ASSERT_TRUE(second);
  EXPECT_NE(second->runner, first->runner);
  bench.end(*second, RoutedAttemptOutcome::lost);
  bench.run_to(bench.now + Duration{12000});
  EXPECT_TRUE(bench.dispatcher.drain_attempts().empty());
  auto finals = bench.dispatcher.drain_final_responses();
  ASSERT_EQ(finals.size(), 1u);
  EXPECT_TRUE(finals[0].may_have_run);
}

TEST(RouteDispatcher, AfterDefiniteRefusalsACallIsSentOnOnlyWithinItsSends) {
  for (std::int64_t max_sends : {1, 2, 3}) {
    auto settings = settings_of("d1", "north");
    settings.resend_start = settings.resend_bound = 100;
    Bench bench(settings);
    auto once = route_of("once", false);
    once.max_sends = max_sends;
    std::vector<RunnerRow> runners;
    for (int i = 1; i <= 6; ++i)
      runners.push_back(runner_of("n" + std::to_string(i), "north"));
    bench.update_view(runners, {once});
    bench.arrive("once", 1);
    std::int64_t sends = 0;
    std::set<std::string> used;
    while (auto send = bench.sent()) {
      ++sends;
      EXPECT_TRUE(used.insert(send->runner.text).second);
      bench.end(*send, sends % 2 == 1 ? RoutedAttemptOutcome::refused : RoutedAttemptOutcome::wrong_incarnation);
    }
    EXPECT_EQ(sends, max_sends);
    auto finals = bench.dispatcher.drain_final_responses();
    ASSERT_EQ(finals.size(), 1u);
    EXPECT_FALSE(finals[0].may_have_run);
    EXPECT_EQ(finals[0].code, 503);
    EXPECT_GT(finals[0].retry_after, Duration{0});
  }
}

TEST(RouteDispatcher, AnUnsentCallIsSentOnAndCostsNoSend) {
  Bench bench;
  auto once = route_of("once", false);
  once.max_sends = 1;
  bench.update_view(two_north, {once});
  bench.arrive("once", 1);
  auto first = bench.sent();
  ASSERT_TRUE(first);
  bench.end(*first, RoutedAttemptOutcome::not_sent);
  auto second = bench.sent();
  ASSERT_TRUE(second);
  EXPECT_NE(second->runner, first->runner);
  EXPECT_EQ(bench.dispatcher.counts().resends, 0);
  bench.end(*second, RoutedAttemptOutcome::refused);
  EXPECT_FALSE(bench.sent());
  EXPECT_EQ(bench.dispatcher.drain_final_responses().size(), 1u);
}

TEST(RouteDispatcher, WithoutResendsEarnedNothingIsSentTwice) {
  auto settings = settings_of("d1", "north");
  settings.resend_start = settings.resend_share = 0;
  Bench bench(settings);
  bench.update_view(two_north);
  for (CallIndex index = 1; index <= 10; ++index) {
    bench.arrive("free", index);
    auto send = bench.sent();
    ASSERT_TRUE(send);
    bench.end(*send, RoutedAttemptOutcome::lost);
    EXPECT_FALSE(bench.sent());
    EXPECT_EQ(bench.dispatcher.drain_final_responses().size(), 1u);
    bench.run_to(bench.now + Duration{3000});
  }
}

TEST(RouteDispatcher, ABrokenStreamGoesOnElsewhereAfterItsLastEvent) {
  Bench bench;
  bench.update_view(two_north);
  bench.arrive("chat", 1);
  auto first = bench.sent();
  ASSERT_TRUE(first);
  EXPECT_EQ(first->resume_after, "");
  bench.dispatcher.on_stream_event(1, first->attempt_number, bench.now);
  auto end = bench.end_of(*first, RoutedAttemptOutcome::broken);
  end.last_event = "17";
  bench.dispatcher.on_attempt_finished(end, bench.now);
  auto second = bench.sent();
  ASSERT_TRUE(second);
  EXPECT_NE(second->runner, first->runner);
  EXPECT_EQ(second->resume_after, "17");
  EXPECT_EQ(second->attempt_number, first->attempt_number + 1);
  bench.end(*second, RoutedAttemptOutcome::completed);
  EXPECT_EQ(bench.dispatcher.open_calls(), 0u);
  EXPECT_TRUE(bench.dispatcher.drain_final_responses().empty());
}

TEST(RouteDispatcher, ABrokenStreamThatMayNotBeResumedEndsVisibly) {
  Bench bench;
  bench.update_view(two_north);
  bench.arrive("once", 1);
  auto send = bench.sent();
  ASSERT_TRUE(send);
  bench.dispatcher.on_stream_event(1, send->attempt_number, bench.now);
  bench.end(*send, RoutedAttemptOutcome::broken);
  EXPECT_FALSE(bench.sent());
  auto finals = bench.dispatcher.drain_final_responses();
  ASSERT_EQ(finals.size(), 1u);
  EXPECT_TRUE(finals[0].may_have_run);
}

TEST(RouteDispatcher, AnotherLifeAtTheAddressIsLeftAlone) {
  Bench bench;
  bench.update_view(two_north);
  bench.arrive("once", 1);
  auto first = bench.sent();
  ASSERT_TRUE(first);
  bench.end(*first, RoutedAttemptOutcome::wrong_incarnation);
  auto second = bench.sent();
  ASSERT_TRUE(second);
  EXPECT_NE(second->runner, first->runner);
  for (CallIndex index = 2; index <= 9; ++index) {
    bench.arrive("free", index);
    for (const auto& send : bench.dispatcher.drain_attempts())
      EXPECT_NE(send.runner, first->runner);
    bench.now = bench.now + Duration{100};
  }
}

// --- silence -----------------------------------------------------------------------------------------

TEST(RouteDispatcher, WhatASilentRunnerHoldsIsStoppedAndSentElsewhereIfItMayBeRepeated) {
  Bench bench;
  bench.update_view(two_north);
  bench.arrive("free", 1);
  auto first = bench.sent();
  ASSERT_TRUE(first);
  TimePoint begun = bench.now;
  std::optional<RoutedAttempt> second;
  while (!second && bench.now < begun + Duration{1000}) {
    bench.run_to(bench.now + Duration{10});
    second = bench.sent();
  }
  ASSERT_TRUE(second);
  EXPECT_NE(second->runner, first->runner);
  auto stops = bench.dispatcher.drain_cancellations();
  ASSERT_EQ(stops.size(), 1u);
  EXPECT_EQ(stops[0].call, 1);
  EXPECT_EQ(stops[0].attempt_number, first->attempt_number);
}

TEST(RouteDispatcher, WhatMayNotBeRepeatedWaitsForASilentRunnerUntilItsDeadline) {
  Bench bench;
  bench.update_view(two_north);
  bench.arrive("once", 1);
  auto send = bench.sent();
  ASSERT_TRUE(send);
  TimePoint begun = bench.now;
  bench.run_to(begun + Duration{9900});
  EXPECT_TRUE(bench.dispatcher.drain_attempts().empty());
  EXPECT_TRUE(bench.dispatcher.drain_cancellations().empty());
  EXPECT_TRUE(bench.dispatcher.drain_final_responses().empty());
  bench.run_to(begun + Duration{10200});
  EXPECT_EQ(bench.dispatcher.drain_cancellations().size(), 1u);
  auto finals = bench.dispatcher.drain_final_responses();
  ASSERT_EQ(finals.size(), 1u);
  EXPECT_EQ(finals[0].code, 504);
  EXPECT_TRUE(finals[0].may_have_run);
}

TEST(RouteDispatcher, ASilentRunnerWithNoOtherIsWaitedFor) {
  Bench bench;
  bench.update_view({runner_of("n1", "north")});
  bench.arrive("free", 1);
  auto send = bench.sent();
  ASSERT_TRUE(send);
  bench.run_to(bench.now + Duration{5000});
  EXPECT_TRUE(bench.dispatcher.drain_cancellations().empty());
  bench.end(*send, RoutedAttemptOutcome::completed);
  EXPECT_EQ(bench.dispatcher.open_calls(), 0u);
}

// --- end ---------------------------------------------------------------------------------------------

TEST(RouteDispatcher, ACallerThatLeavesStopsItsSend) {
  Bench bench;
  bench.update_view(two_north);
  bench.arrive("once", 1);
  auto send = bench.sent();
  ASSERT_TRUE(send);
  bench.dispatcher.on_caller_disconnected(1, bench.now);
  auto stops = bench.dispatcher.drain_cancellations();
  ASSERT_EQ(stops.size(), 1u);
  EXPECT_EQ(stops[0].attempt_number, send->attempt_number);
  EXPECT_EQ(bench.dispatcher.open_calls(), 0u);
  bench.end(*send, RoutedAttemptOutcome::completed);  // too late
  bench.dispatcher.on_caller_disconnected(1, bench.now);
  EXPECT_TRUE(bench.dispatcher.drain_final_responses().empty());
  EXPECT_TRUE(bench.dispatcher.drain_cancellations().empty());
}

TEST(RouteDispatcher, ACallerThatLeavesWhilePendingIsForgotten) {
  Bench bench;
  bench.update_view({});
  bench.arrive("free", 1);
  bench.dispatcher.on_caller_disconnected(1, bench.now);
  bench.update_view(two_north);
  EXPECT_FALSE(bench.sent());
  EXPECT_TRUE(bench.dispatcher.drain_cancellations().empty());
  EXPECT_EQ(bench.dispatcher.open_calls(), 0u);
}

TEST(RouteDispatcher, LateEndsOfAnOldTurnAreIgnored) {
  Bench bench;
  bench.update_view(two_north);
  bench.arrive("free", 1);
  auto first = bench.sent();
  ASSERT_TRUE(first);
  bench.end(*first, RoutedAttemptOutcome::refused);
  auto second = bench.sent();
  ASSERT_TRUE(second);
  for (auto kind : {RoutedAttemptOutcome::completed, RoutedAttemptOutcome::lost, RoutedAttemptOutcome::not_sent,
                    RoutedAttemptOutcome::caller_disconnected})
    bench.end(*first, kind);
  EXPECT_EQ(bench.dispatcher.open_calls(), 1u);
  EXPECT_FALSE(bench.sent());
  EXPECT_TRUE(bench.dispatcher.drain_final_responses().empty());
  bench.end(*second, RoutedAttemptOutcome::completed);
  bench.end(*second, RoutedAttemptOutcome::lost);
  EXPECT_EQ(bench.dispatcher.open_calls(), 0u);
  EXPECT_TRUE(bench.dispatcher.drain_final_responses().empty());
}

TEST(RouteDispatcher, AnEndToldTwiceCountsOnceWhileTheCallIsPendingAgain) {
  Bench bench;
  bench.update_view({runner_of("n1", "north")});
  bench.arrive("once", 1);
  auto first = bench.sent();
  ASSERT_TRUE(first);
  bench.end(*first, RoutedAttemptOutcome::refused);
  bench.end(*first, RoutedAttemptOutcome::lost);
  bench.end(*first, RoutedAttemptOutcome::completed);
  EXPECT_EQ(bench.dispatcher.open_calls(), 1u);
  EXPECT_TRUE(bench.dispatcher.drain_final_responses().empty());
  bench.update_view(two_north);
  EXPECT_TRUE(bench.sent());
}

TEST(RouteDispatcher, APieceOfASendThatEndedSaysNothingOfTheNext) {
  Bench bench;
  bench.update_view({runner_of("n1", "north")});
  bench.arrive("once", 1);
  auto first = bench.sent();
  ASSERT_TRUE(first);
  bench.end(*first, RoutedAttemptOutcome::refused);  // pending again: there is no other
  bench.dispatcher.on_stream_event(1, first->attempt_number, bench.now);
  bench.update_view({runner_of("n1", "north"), runner_of("n2", "north")});
  auto second = bench.sent();
  ASSERT_TRUE(second);
  bench.end(*second, RoutedAttemptOutcome::refused);
  auto finals = bench.dispatcher.drain_final_responses();
  for (const auto& act : finals)
    EXPECT_FALSE(act.may_have_run);
}

// --- properties over random days ---------------------------------------------------------------------

namespace {

struct Sent {  // what the world knows of one send
  TimePoint at;
  int dispatcher = 0;
  bool is_first = false;  // of its call
  bool reaches = false;   // it does not end unsent
  PoolName of;
};

// Several dispatchers, one master that shares cold runners out, runners that end sends at random.
struct Day {
  static constexpr std::int64_t length = 24000;
  explicit Day(std::uint64_t seed) : random(seed) {
    for (int i = 0; i < 12; ++i) {
      daemons.emplace_back();
      daemons.back().address = "d" + std::to_string(i);
      daemons.back().region = i % 3 == 0 ? "north" : i % 3 == 1 ? "south" : "west";
      start(daemons.back());
    }
    auto count = 3 + random.below(16);
    for (int i = 0; i < count; ++i)
      add_runner();
    calls_a_tick = 1 + random.below(4);
    trouble = random.below(4) == 0 ? 0.6 : 0.03 + 0.1 * static_cast<double>(random.below(3));
    is_refusing = random.below(3) == 0;
  }

  struct OpenCallTotals {
    bool is_repeatable = false, is_sent = false, all_sure = true;
    int attempt_number = 0, arrivals = 0;
    RunnerName runner;
    PoolName of;
  };
  struct InFlightMessage {
    TimePoint at;
    std::shared_ptr<const RoutingView> view;
    TimePoint said;
  };
  struct Daemon {
    std::string address, region;
    int incarnation = 0;
    std::unique_ptr<RouteDispatcher> dispatcher;
    std::shared_ptr<const RoutingView> view;
    std::map<CallIndex, OpenCallTotals> calls;
    std::deque<InFlightMessage> mail;
    TimePoint cut_until{-1}, down_until{-1}, warming_up_until{-1};
    std::map<RunnerName, std::deque<std::pair<TimePoint, std::int64_t>>> shares;  // since when it held which
  };
  struct Event {
    int daemon = 0, incarnation = 0;
    std::function<void(Daemon&)> act;
  };

  void start(Daemon& daemon) {
    ++daemon.incarnation;
    daemon.dispatcher = std::make_unique<RouteDispatcher>(settings_of(daemon.address, daemon.region));
    daemon.view = nullptr;
    daemon.calls.clear();
    daemon.mail.clear();
  }

  void add_runner() {
    const char* regions[] = {"north", "south", "west"};
    auto row = runner_of("r" + std::to_string(++last_runner), regions[random.below(3)],
                         random.chance(0.5) ? RunnerState::warm : RunnerState::warming_up, 2 + random.below(12));
    row.pool.text = random.chance(0.8) ? "p" : "q";
    row.allowance = 1 + random.below(30);
    runners[row.name] = row;
  }

  void change_runners() {
    for (auto entry = runners.begin(); entry != runners.end();) {
      RunnerRow& row = entry->second;
      auto drawn = random.below(120);
      if (drawn == 0) {
        entry = runners.erase(entry);  // its life is over
        continue;
      }
      // Cold again only after every old share has run out; else another life comes.
      if (drawn == 1 && now - warm_since[row.name] > Duration{4000})
        row.state = RunnerState::warming_up;
      if (drawn <= 4 && drawn >= 2 && row.state == RunnerState::warming_up) {
        row.state = RunnerState::warm;
        warm_since[row.name] = now;
      }
      if (drawn == 5)
        row.state = RunnerState::draining;
      if (drawn == 6)
        row.state = RunnerState::evacuated;
      if (drawn == 7)
        row.state = RunnerState::down;
      ++entry;
    }
    if (runners.size() < 3 || (runners.size() < 20 && random.chance(0.1)))
      add_runner();
  }

  void publish() {
    change_runners();
    std::vector<std::string> all;
    for (const auto& daemon : daemons)
      if (daemon.down_until <= now && now >= daemon.cut_until)
        all.push_back(daemon.address);
    RoutingView view;
    {
      std::vector<RunnerRow> rows;
      for (auto& [name, row] : runners) {
        row.warmup_grants.clear();
        if (row.state == RunnerState::warming_up)
          row.warmup_grants = shares.share(row, all, all, now);
        else if (row.state == RunnerState::warm)
          shares.forget(name);
        rows.push_back(row);
      }
      auto routes = usual_routes();
      for (auto& route : routes)
        route.pools = {{PoolName{"p"}, 3}, {PoolName{"q"}, 1}};
      view = view_of(rows, routes);
    }
    auto shared = std::make_shared<const RoutingView>(std::move(view));
    for (auto& daemon : daemons) {
      if (now < daemon.cut_until || now < daemon.down_until)
        continue;
      TimePoint at = now + Duration{1 + random.below(120)};
      if (!daemon.mail.empty())
        at = std::max(at, daemon.mail.back().at);
      daemon.mail.push_back({at, shared, now});
    }
  }

  void plan(Daemon& daemon, Duration later, std::function<void(Daemon&)> act) {
    events.emplace(now + later, Event{static_cast<int>(&daemon - daemons.data()), daemon.incarnation, std::move(act)});
  }

  void take_send(Daemon& daemon, const RoutedAttempt& send) {
    auto entry = daemon.calls.find(send.call);
    RC_ASSERT(entry != daemon.calls.end());
    OpenCallTotals& call = entry->second;
    RC_ASSERT(!call.is_sent);  // (d)
    RC_ASSERT(send.attempt_number == call.attempt_number + 1);
    RC_ASSERT(call.is_repeatable || call.all_sure);  // (c)
    const auto& row = daemon.view->runners.at(send.runner);
    RC_ASSERT(row.state == RunnerState::warm ||
              (row.state == RunnerState::warming_up && now < daemon.warming_up_until));
    call.is_sent = true;
    call.attempt_number = send.attempt_number;
    call.runner = send.runner;
    call.of = row.pool;
    auto kind = RoutedAttemptOutcome::completed;
    bool is_silent = false;
    if (random.chance(trouble)) {
      auto drawn = is_refusing ? 0 : random.below(7);
      is_silent = drawn == 6;
      const RoutedAttemptOutcome kinds[] = {RoutedAttemptOutcome::refused,  RoutedAttemptOutcome::wrong_incarnation,
                                            RoutedAttemptOutcome::not_sent, RoutedAttemptOutcome::lost,
                                            RoutedAttemptOutcome::broken,   RoutedAttemptOutcome::lost,
                                            RoutedAttemptOutcome::lost};
      kind = kinds[drawn];
    }
    bool reaches = kind != RoutedAttemptOutcome::not_sent;
    if (reaches)
      ++call.arrivals;
    all_sends.push_back({now, static_cast<int>(&daemon - daemons.data()), call.arrivals <= 1, reaches, row.pool});
    if (row.state == RunnerState::warming_up)
      warmup_sends[send.runner].push_back(all_sends.back());
    if (is_silent)
      return;
    bool has_pieces = kind == RoutedAttemptOutcome::completed || kind == RoutedAttemptOutcome::broken;
    Duration takes{1 + random.below(kind == RoutedAttemptOutcome::completed ? 400 : 60)};
    CallIndex index = send.call;
    int attempt_number = send.attempt_number;
    if (has_pieces)
      plan(daemon, Duration{takes.value / 2},
           [this, index, attempt_number](Daemon& at) { at.dispatcher->on_stream_event(index, attempt_number, now); });
    int ends = random.chance(0.05) ? 2 : 1;  // told twice, now and then
    for (int i = 0; i < ends; ++i)
      plan(daemon, takes, [this, index, attempt_number, kind](Daemon& at) {
        auto found = at.calls.find(index);
        bool is_current =
            found != at.calls.end() && found->second.is_sent && found->second.attempt_number == attempt_number;
        RoutedAttemptResult end;
        end.call = index;
        end.attempt_number = attempt_number;
        end.outcome = kind;
        end.last_event = kind == RoutedAttemptOutcome::broken ? "5" : "";
        end.has_report = random.chance(0.3);
        end.running = random.below(10);
        if (is_current) {
          found->second.is_sent = false;
          bool is_sure = kind == RoutedAttemptOutcome::refused || kind == RoutedAttemptOutcome::wrong_incarnation ||
                         kind == RoutedAttemptOutcome::not_sent;
          found->second.all_sure = found->second.all_sure && is_sure;
          if (kind == RoutedAttemptOutcome::completed)
            at.calls.erase(found);
        }
        at.dispatcher->on_attempt_finished(end, now);
      });
    if (random.chance(0.02))
      plan(daemon, Duration{random.below(300)}, [this, index](Daemon& at) {
        at.dispatcher->on_caller_disconnected(index, now);
        auto found = at.calls.find(index);
        if (found == at.calls.end())
          return;
        auto stops = at.dispatcher->drain_cancellations();
        RC_ASSERT(stops.size() == (found->second.is_sent ? 1u : 0u));
        at.calls.erase(found);
      });
  }

  void collect(Daemon& daemon) {
    for (const auto& stop : daemon.dispatcher->drain_cancellations()) {
      auto entry = daemon.calls.find(stop.call);
      RC_ASSERT(entry != daemon.calls.end() && entry->second.is_sent &&
                entry->second.attempt_number == stop.attempt_number);
      entry->second.is_sent = entry->second.all_sure = false;
    }
    for (const auto& send : daemon.dispatcher->drain_attempts())
      take_send(daemon, send);
    for (const auto& act : daemon.dispatcher->drain_final_responses()) {
      auto entry = daemon.calls.find(act.call);
      RC_ASSERT(entry != daemon.calls.end());  // ends once
      RC_ASSERT(!entry->second.is_sent);
      RC_ASSERT(act.may_have_run || entry->second.all_sure);  // "surely not run" is true
      daemon.calls.erase(entry);
    }
    RC_ASSERT(daemon.dispatcher->open_calls() == daemon.calls.size());
  }

  void arrive(Daemon& daemon) {
    static const char* names[] = {"free", "once", "homed", "first", "last", "chat"};
    RoutedCall call;
    std::string name = names[random.below(6)];
    CallIndex index = ++last_call;
    call.id.text = "c" + std::to_string(index);
    call.host = "a.example";
    call.path = "/" + name + "/";
    if (random.chance(0.3))
      call.prompt = {{static_cast<std::uint64_t>(random.below(5)), 500 + random.below(4000)},
                     {static_cast<std::uint64_t>(index) + 1000, 100}};
    OpenCallTotals known;
    known.is_repeatable = name != "once";
    daemon.calls[index] = known;
    if (daemon.dispatcher->admit(call, now, index))
      daemon.calls.erase(index);
    collect(daemon);
  }

  void run() {
    TimePoint publish_at = now;
    while (now.value < length) {
      now = now + Duration{5};
      bool is_evening = now.value > length - 12000;  // nothing new: everything must end
      if (publish_at <= now) {
        publish();
        publish_at = now + Duration{60 + random.below(200)};
      }
      for (auto& daemon : daemons) {
        if (now < daemon.down_until)
          continue;
        if (!is_evening && random.below(4000) == 0)
          daemon.cut_until = now + Duration{random.below(4000)};
        if (!is_evening && random.below(3000) == 0) {
          start(daemon);
          daemon.down_until = now + Duration{random.below(600)};
          continue;
        }
        while (!daemon.mail.empty() && daemon.mail.front().at <= now) {
          InFlightMessage letter = daemon.mail.front();
          daemon.mail.pop_front();
          daemon.view = letter.view;
          daemon.warming_up_until = letter.said + WarmupAllocator::lease;
          daemon.dispatcher->set_warming_up_until(daemon.warming_up_until);
          for (const auto& [name, row] : letter.view->runners) {
            std::int64_t calls = 0;
            for (const auto& grant : row.warmup_grants)
              if (grant.daemon.text == daemon.address)
                calls = grant.requests;
            daemon.shares[name].emplace_back(now, row.state == RunnerState::warming_up ? calls : 0);
          }
          daemon.dispatcher->update_view(letter.view, now);
          collect(daemon);
        }
      }
      while (!events.empty() && events.begin()->first <= now) {
        Event event = events.begin()->second;
        events.erase(events.begin());
        Daemon& daemon = daemons[static_cast<std::size_t>(event.daemon)];
        if (daemon.incarnation != event.incarnation)
          continue;
        event.act(daemon);
        collect(daemon);
      }
      if (!is_evening)
        for (auto i = random.below(calls_a_tick + 1); i > 0; --i) {
          Daemon& daemon = daemons[static_cast<std::size_t>(random.below(12))];
          if (daemon.down_until <= now)
            arrive(daemon);
        }
      if (now.value % 15 == 0)
        for (auto& daemon : daemons) {
          daemon.dispatcher->on_timer(now);
          collect(daemon);
        }
    }
  }

  // What one daemon may send within the second that ends then: the largest share it held in it.
  std::int64_t share_within(const Daemon& daemon, const RunnerName& runner, TimePoint from, TimePoint to) const {
    auto held = daemon.shares.find(runner);
    std::int64_t most = 0;
    if (held == daemon.shares.end())
      return 0;
    for (std::size_t i = 0; i < held->second.size(); ++i) {
      auto [since, calls] = held->second[i];
      TimePoint until = i + 1 < held->second.size() ? held->second[i + 1].first : TimePoint{INT64_MAX};
      if (since <= to && until >= from)
        most = std::max(most, calls);
    }
    return most;
  }

  // (a)
  void check_warmup() const {
    for (const auto& [runner, sends] : warmup_sends) {
      for (std::size_t end = 0, begin = 0; end < sends.size(); ++end) {
        while (sends[end].at - sends[begin].at >= Duration{1000})
          ++begin;
        std::map<int, std::int64_t> by_daemon;
        for (std::size_t i = begin; i <= end; ++i)
          ++by_daemon[sends[i].dispatcher];
        std::int64_t sum = 0, granted = 0;
        for (const auto& [index, count] : by_daemon) {
          sum += count;
          granted += share_within(daemons[static_cast<std::size_t>(index)], runner, sends[end].at + Duration{-999},
                                  sends[end].at);
        }
        RC_ASSERT(sum <= granted);
      }
    }
  }

  // (b)
  void check_resends() const {
    std::map<PoolName, std::vector<Sent>> by_pool;
    for (const auto& sent : all_sends)
      if (sent.reaches)
        by_pool[sent.of].push_back(sent);
    for (const auto& [name, sends] : by_pool) {
      std::int64_t first = 0, again = 0;
      for (std::size_t end = 0, begin = 0; end < sends.size(); ++end) {
        ++(sends[end].is_first ? first : again);
        for (; sends[end].at - sends[begin].at >= Duration{10000}; ++begin)
          --(sends[begin].is_first ? first : again);
        RC_ASSERT(static_cast<double>(again) < 0.2 * static_cast<double>(first) + 64);
      }
    }
  }

  RandomGenerator random;
  TimePoint now{0};
  std::vector<Daemon> daemons;
  std::map<RunnerName, RunnerRow> runners;
  std::map<RunnerName, TimePoint> warm_since;
  std::multimap<TimePoint, Event> events;
  std::vector<Sent> all_sends;
  std::map<RunnerName, std::vector<Sent>> warmup_sends;
  WarmupAllocator shares;
  CallIndex last_call = 0;
  int last_runner = 0;
  std::int64_t calls_a_tick = 1;
  double trouble = 0;
  bool is_refusing = false;  // all trouble is refusals: they cost a runner the least, so the most is sent again
};

}  // namespace

// (c), (d) and that each call ends once are checked at every step.
RC_GTEST_PROP(RouteDispatcherDays, NothingIsOverspentOrSentTwiceAndEverythingEnds, (std::uint64_t seed)) {
  Day day(seed);
  day.run();
  day.check_warmup();
  day.check_resends();
  for (const auto& daemon : day.daemons) {
    RC_ASSERT(daemon.calls.empty());
    RC_ASSERT(daemon.dispatcher->open_calls() == 0u);  // (e)
  }
  RC_TAG(day.warmup_sends.empty() ? "no cold sends" : "cold sends");
}
