#include <gtest/gtest.h>

#include <set>

#include "emberdale/call_dispatcher.hpp"

using namespace emberdale;

namespace {

const std::vector<AcceptorEntry> cores{
    {StoreId{"s1"}, Address{"c1"}}, {StoreId{"s2"}, Address{"c2"}}, {StoreId{"s3"}, Address{"c3"}}};

ReadResponse answer(std::int64_t ask, const std::string& store, MapVersion minimum_version, std::int64_t ballot = 5) {
  ReadResponse made;
  made.request_id = ask;
  made.store.text = store;
  made.accepted = {ballot, Address{"p"}};
  made.minimum_version = minimum_version;
  made.acceptors = cores;
  return made;
}

std::shared_ptr<RoutingView> view_with(int warm, const std::string& plan_extra, MapVersion version = {1, 1}) {
  auto view = std::make_shared<RoutingView>();
  view->version = version;
  std::vector<Finding> findings;
  view->plans.push_back(
      *read_plan("plan", R"({"service":"s","match":{"path":"/x"},"pool":"p")" + plan_extra + "}", findings));
  for (int i = 0; i < warm; ++i) {
    RunnerRow row;
    row.name.text = "r" + std::to_string(i);
    row.pool.text = "p";
    row.region.text = i % 2 == 0 ? "here" : "there";
    row.state = RunnerState::warm;
    row.capacity = 4;
    row.incarnation = 1;
    view->runners[row.name] = row;
    view->pools[row.pool].push_back(row.name);
    auto& region = view->regions[{row.pool, row.region}];
    region = {row.pool, row.region, region.capacity + row.capacity, 0, false};
  }
  return view;
}

DispatcherSettings here() {
  DispatcherSettings settings;
  settings.self.text = "d1";
  settings.region.text = "here";
  return settings;
}

ArrivingCall call(const std::string& id, const std::string& prefix = "") {
  ArrivingCall made;
  made.id.text = id;
  made.method = "POST";
  made.path = "/x";
  made.prefix = prefix;
  return made;
}

const Grant always{TimePoint{1000000}, {1, 1}};

}  // namespace

TEST(LeaseManager, CountsFromBeforeTheAskAndNeedsAMajorityThatShowsNoNewerFloor) {
  LeaseManager manager;
  manager.learn_acceptors(cores);
  manager.request_lease(TimePoint{100});
  EXPECT_EQ(manager.drain_outbound().size(), 3u);
  manager.on_response(answer(1, "s1", {1, 4}), {1, 4}, TimePoint{900});
  manager.on_response(answer(1, "s1", {1, 4}), {1, 4}, TimePoint{900});  // the same copy twice is one
  EXPECT_LT(manager.grant().until.value, 0);
  manager.on_response(answer(1, "s2", {1, 4}), {1, 4}, TimePoint{1500});
  EXPECT_EQ(manager.grant().until.value, 100 + grant_length.value);
  // One copy of the majority shows a newer minimum version: no grant for the old map ...
  manager.request_lease(TimePoint{2000});
  manager.on_response(answer(2, "s1", {1, 4}), {1, 4}, TimePoint{2010});
  manager.on_response(answer(2, "s3", {1, 5}, 6), {1, 4}, TimePoint{2020});
  EXPECT_EQ(manager.grant().until.value, 100 + grant_length.value);
  // ... until the newer map is here; the time still counts from before the ask.
  manager.on_version({1, 5});
  EXPECT_EQ(manager.grant().until.value, 2000 + grant_length.value);
  EXPECT_EQ(manager.grant().minimum_version, (MapVersion{1, 5}));
}

TEST(LeaseManager, AStoreThatIsNotOfTheSetGivesNoProof) {
  LeaseManager manager;
  manager.learn_acceptors(cores);
  manager.request_lease(TimePoint{100});
  manager.on_response(answer(1, "s1", {1, 4}), {1, 4}, TimePoint{110});
  manager.on_response(answer(1, "wiped", {1, 4}), {1, 4}, TimePoint{110});
  EXPECT_LT(manager.grant().until.value, 0);
}

TEST(CallDispatcher, SendsOnlyUnderAGrantThatCoversItsMap) {
  CallDispatcher dispatcher(here());
  dispatcher.update_view(view_with(2, ""), TimePoint{0});
  auto step = [&](std::int64_t from, std::int64_t to) {
    for (std::int64_t ms = from; ms <= to; ms += 100)
      dispatcher.on_timer(TimePoint{ms});
  };
  step(0, 1000);  // awake for a second without a grant
  EXPECT_EQ(dispatcher.admit(call("a"), TimePoint{1000}, 1)->code, 503);
  dispatcher.set_grant({TimePoint{2000}, {1, 2}});  // proven for a newer map only
  EXPECT_EQ(dispatcher.admit(call("b"), TimePoint{1000}, 2)->code, 503);
  dispatcher.set_grant({TimePoint{2000}, {1, 1}});
  EXPECT_FALSE(dispatcher.admit(call("c"), TimePoint{1000}, 3));
  step(1100, 3100);
  EXPECT_EQ(dispatcher.admit(call("d"), TimePoint{3100}, 4)->code, 503);  // run out a second ago
  auto sends = dispatcher.drain_attempts();
  ASSERT_EQ(sends.size(), 1u);
  EXPECT_EQ(sends[0].call, 3);
}

TEST(CallDispatcher, ACallWaitsForTheGrantOnlyWhereOneIsBeingAskedFor) {
  CallDispatcher dispatcher(here());
  dispatcher.update_view(view_with(2, ""), TimePoint{0});
  EXPECT_FALSE(dispatcher.admit(call("a"), TimePoint{0}, 1));  // it has just started
  EXPECT_TRUE(dispatcher.drain_attempts().empty());            // and sends nothing without a grant
  dispatcher.set_grant({TimePoint{2100}, {1, 1}});
  dispatcher.update_view(view_with(2, ""), TimePoint{100});
  EXPECT_EQ(dispatcher.drain_attempts().size(), 1u);
  // Nine seconds asleep: the grant has run out, and is asked for anew.
  EXPECT_FALSE(dispatcher.admit(call("b"), TimePoint{9100}, 2));
  EXPECT_TRUE(dispatcher.drain_attempts().empty());
  for (std::int64_t ms = 9100; ms < 9700; ms += 50)
    dispatcher.on_timer(TimePoint{ms});
  EXPECT_TRUE(dispatcher.drain_final_responses().empty());
  dispatcher.on_timer(TimePoint{9700});  // its patience is over: the final answer comes now, not at its deadline
  auto finals = dispatcher.drain_final_responses();
  ASSERT_EQ(finals.size(), 1u);
  EXPECT_EQ(finals[0].call, 2);
  EXPECT_EQ(finals[0].code, 503);
  EXPECT_FALSE(finals[0].may_have_run);
  EXPECT_GT(finals[0].retry_after.value, 0);
}

// That none of them was violated, the test program itself checks after each test.
TEST(CallDispatcher, ChecksItsInvariantsAtEachAttempt) {
  auto checks = [](Invariant invariant) {
    return process_invariants().checks(invariant);
  };
  std::int64_t checks_before = checks(Invariant::no_attempt_to_unavailable_runner);
  std::int64_t deadline_checks_before = checks(Invariant::no_attempt_after_deadline);
  CallDispatcher dispatcher(here());
  dispatcher.set_grant(always);
  dispatcher.update_view(view_with(2, ""), TimePoint{0});
  for (CallIndex i = 1; i <= 3; ++i)
    EXPECT_FALSE(dispatcher.admit(call("c" + std::to_string(i)), TimePoint{0}, i));
  EXPECT_EQ(dispatcher.drain_attempts().size(), 3u);
  EXPECT_EQ(checks(Invariant::no_attempt_to_unavailable_runner) - checks_before, 3);
  EXPECT_EQ(checks(Invariant::no_attempt_after_deadline) - deadline_checks_before, 3);
}

// It was sent when the grant came: a plan's deadline may be shorter than the time for which calls wait for the grant.
TEST(CallDispatcher, ACallWhoseDeadlinePassesWhileItWaitsForTheGrantIsNeverSent) {
  CallDispatcher dispatcher(here());
  dispatcher.update_view(view_with(2, R"(,"horizon_ms":300)"), TimePoint{0});
  EXPECT_FALSE(dispatcher.admit(call("a"), TimePoint{0}, 1));
  dispatcher.set_grant({TimePoint{2100}, {1, 1}});
  dispatcher.on_timer(TimePoint{300});
  EXPECT_TRUE(dispatcher.drain_attempts().empty());
  auto finals = dispatcher.drain_final_responses();
  ASSERT_EQ(finals.size(), 1u);
  EXPECT_EQ(finals.front().call, 1);
  EXPECT_EQ(finals.front().code, 503);
  EXPECT_FALSE(finals.front().may_have_run);
  EXPECT_EQ(dispatcher.open_calls(), 0u);
}

TEST(CallDispatcher, TheSamePrefixGoesToTheSameRunnerUntilThatOneIsLoaded) {
  CallDispatcher dispatcher(here());
  dispatcher.set_grant(always);
  dispatcher.update_view(view_with(12, R"(,"prefix_bytes":8)"), TimePoint{0});
  std::map<std::string, int> by_runner;
  for (CallIndex i = 1; i <= 2; ++i)
    dispatcher.admit(call("c" + std::to_string(i), "the same opening"), TimePoint{0}, i);
  for (auto& act : dispatcher.drain_attempts())
    ++by_runner[act.runner.text];
  EXPECT_EQ(by_runner.size(), 1u);
  for (CallIndex i = 3; i <= 14; ++i)
    dispatcher.admit(call("c" + std::to_string(i), "the same opening"), TimePoint{0}, i);
  for (auto& act : dispatcher.drain_attempts())
    ++by_runner[act.runner.text];
  EXPECT_GT(by_runner.size(), 2u);  // a crowd with one opening is spread
  for (auto& [runner, count] : by_runner)
    EXPECT_LE(count, 4) << runner;
}

TEST(CallDispatcher, AColdRunnerGetsNoMoreThanThisDaemonsGrant) {
  CallDispatcher dispatcher(here());
  dispatcher.set_grant(always);
  auto view = view_with(1, "");
  auto& row = view->runners.begin()->second;
  row.state = RunnerState::warming_up;
  row.allowance = 3;
  row.warmup_grants = {{Address{"d1"}, 2}, {Address{"d2"}, 1}};
  dispatcher.update_view(view, TimePoint{0});
  for (CallIndex i = 1; i <= 6; ++i)
    dispatcher.admit(call("c" + std::to_string(i)), TimePoint{0}, i);
  EXPECT_EQ(dispatcher.drain_attempts().size(), 2u);
}

TEST(CallDispatcher, HomedWorkIsNeverMatchedAbroadAndFreeWorkSpillsWithinItsLimit) {
  CallDispatcher homed(here());
  homed.set_grant(always);
  homed.update_view(view_with(4, R"(,"home":{"header":"x-home"})"), TimePoint{0});
  auto abroad = call("a");
  abroad.headers["x-home"] = "there";
  EXPECT_EQ(homed.admit(abroad, TimePoint{0}, 1)->code, 421);
  EXPECT_EQ(homed.admit(call("b"), TimePoint{0}, 2)->code, 400);  // names no home
  for (CallIndex i = 3; i <= 30; ++i) {
    auto at_home = call("c" + std::to_string(i));
    at_home.headers["x-home"] = "here";
    homed.admit(at_home, TimePoint{0}, i);
  }
  for (auto& act : homed.drain_attempts())
    EXPECT_TRUE(act.runner.text == "r0" || act.runner.text == "r2") << act.runner.text;

  CallDispatcher free_dispatcher(here());
  free_dispatcher.set_grant(always);
  free_dispatcher.update_view(view_with(4, R"(,"spill":{"allowed":true,"limit_percent":25})"), TimePoint{0});
  int spilled = 0, sent = 0;
  for (CallIndex i = 1; i <= 30; ++i)
    free_dispatcher.admit(call("s" + std::to_string(i)), TimePoint{0}, i);
  for (auto& act : free_dispatcher.drain_attempts()) {
    ++sent;
    spilled += act.runner.text == "r1" || act.runner.text == "r3";
  }
  EXPECT_GT(spilled, 0);
  EXPECT_LE(spilled * 100, sent * 25 + 100);
}

TEST(CallDispatcher, RetriesStayWithinAFifthOfTheSendsAndASmallAllowance) {
  CallDispatcher dispatcher(here());
  dispatcher.set_grant(always);
  dispatcher.update_view(view_with(8, R"(,"repeatable":true)"), TimePoint{0});
  CallIndex index = 0;
  std::int64_t sends = 0;
  for (int round = 0; round < 300; ++round) {
    TimePoint now{std::int64_t{round} * 100};
    dispatcher.admit(call("c" + std::to_string(round)), now, ++index);
    for (int hop = 0; hop < 6; ++hop)
      for (auto& act : dispatcher.drain_attempts()) {  // every runner loses every call
        ++sends;
        dispatcher.on_attempt_finished(
            {act.call, AttemptOutcome::lost, "no answer within the deadline", false, 0, 0, 0, false}, now);
      }
    dispatcher.on_timer(now);
  }
  EXPECT_GT(dispatcher.counts().retries, 10);
  EXPECT_LE(dispatcher.counts().retries * 5, (sends - dispatcher.counts().retries) + 60);
}

TEST(CallDispatcher, WhatIsGivenUpIsAnsweredAtOnceAndNeverSentAfterwards) {
  DispatcherSettings settings = here();
  settings.queue_bound = 3;
  CallDispatcher dispatcher(settings);
  dispatcher.set_grant(always);
  dispatcher.update_view(view_with(1, ""), TimePoint{0});
  int at_once = 0;
  for (CallIndex i = 1; i <= 10; ++i)
    if (auto refusal = dispatcher.admit(call("c" + std::to_string(i)), TimePoint{0}, i)) {
      ++at_once;
      EXPECT_GT(refusal->retry_after.value, 0);
    }
  EXPECT_EQ(at_once, 3);  // four run, three pend
  EXPECT_EQ(dispatcher.drain_attempts().size(), 4u);
  dispatcher.on_timer(TimePoint{700});
  std::set<CallIndex> finals;
  for (auto& act : dispatcher.drain_final_responses()) {
    EXPECT_FALSE(act.may_have_run);
    finals.insert(act.call);
  }
  EXPECT_EQ(finals.size(), 3u);
  dispatcher.on_attempt_finished({1, AttemptOutcome::completed, "", false, 0, 0, 0, false}, TimePoint{710});
  EXPECT_TRUE(dispatcher.drain_attempts().empty());
}

TEST(CallDispatcher, ACallLostAfterItsSendIsUnknownAndNotSentAgainUnlessRepeatable) {
  for (bool is_repeatable : {false, true}) {
    CallDispatcher dispatcher(here());
    dispatcher.set_grant(always);
    dispatcher.update_view(view_with(6, is_repeatable ? R"(,"repeatable":true)" : ""), TimePoint{0});
    dispatcher.admit(call("c"), TimePoint{0}, 1);
    ASSERT_EQ(dispatcher.drain_attempts().size(), 1u);
    dispatcher.on_attempt_finished({1, AttemptOutcome::lost, "link broke", false, 0, 0, 0, false}, TimePoint{5});
    EXPECT_EQ(dispatcher.drain_attempts().size(), is_repeatable ? 1u : 0u);
    auto finals = dispatcher.drain_final_responses();
    if (!is_repeatable) {
      ASSERT_EQ(finals.size(), 1u);
      EXPECT_TRUE(finals[0].may_have_run);
    }
  }
}

TEST(CallDispatcher, ARunnerThatWasColdInItsLastAnswerIsUsedOnceTheMapCallsItWarm) {
  CallDispatcher dispatcher(here());
  dispatcher.set_grant(always);
  auto cold = view_with(1, "");
  cold->runners.begin()->second.state = RunnerState::warming_up;
  cold->runners.begin()->second.warmup_grants = {{Address{"d1"}, 1}};
  dispatcher.update_view(cold, TimePoint{0});
  EXPECT_FALSE(dispatcher.admit(call("a"), TimePoint{0}, 1));
  ASSERT_EQ(dispatcher.drain_attempts().size(), 1u);
  AttemptResult end;
  end.call = 1;
  end.outcome = AttemptOutcome::completed;
  end.has_report = true;
  end.incarnation = 1;
  end.capacity = 4;
  end.is_warming_up = true;
  dispatcher.on_attempt_finished(end, TimePoint{10});
  dispatcher.update_view(view_with(1, "", {1, 2}), TimePoint{20});  // warm now: no shares are given any more
  EXPECT_FALSE(dispatcher.admit(call("b"), TimePoint{30}, 2));
  EXPECT_EQ(dispatcher.drain_attempts().size(), 1u);
}
