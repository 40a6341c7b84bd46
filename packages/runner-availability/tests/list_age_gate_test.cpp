// The bound on the age of the reading by which calls are sent, and the excuse when nobody can say more.
#include "emberdale/list_age_gate.hpp"

#include <gtest/gtest.h>

namespace emberdale {
namespace {

constexpr std::int64_t timer_ms = 50;

TEST(ListAgeGate, WithoutAnyReadingNothingIsBounded) {
  ListAgeGate gate;
  EXPECT_FALSE(gate.is_request_due(std::nullopt, TimePoint{100000}));
  EXPECT_TRUE(gate.bound(std::nullopt).may_send(TimePoint{100000}));
}

TEST(ListAgeGate, AnOldReadingIsAskedForAnewAtAnInterval) {
  ListAgeGate gate;
  TimePoint read_at{0};
  int requests = 0;
  for (std::int64_t now = 0; now <= ListAgeBound::longest_age.value; now += timer_ms) {
    bool is_due = gate.is_request_due(read_at, TimePoint{now});
    EXPECT_FALSE(is_due && now <= ListAgeGate::stale_age.value) << now;
    requests += is_due ? 1 : 0;
  }
  EXPECT_GE(requests, 3);
  EXPECT_LE(requests, 4);
}

TEST(ListAgeGate, WhereAskingHasBroughtNothingTheLastReadingStands) {
  ListAgeGate gate;
  TimePoint read_at{0};
  for (std::int64_t now = 0; now <= 60000; now += timer_ms) {
    gate.is_request_due(read_at, TimePoint{now});
    EXPECT_TRUE(gate.bound(read_at).may_send(TimePoint{now})) << now;
  }
}

// The thread that asks stands still, and the one that sends goes on.
TEST(ListAgeGate, WithoutTimersSendingStopsAtTheBound) {
  ListAgeGate gate;
  TimePoint read_at{0};
  gate.is_request_due(read_at, TimePoint{1000});
  ListAgeBound bound = gate.bound(read_at);
  EXPECT_TRUE(bound.may_send(TimePoint{ListAgeBound::longest_age.value}));
  EXPECT_FALSE(bound.may_send(TimePoint{ListAgeBound::longest_age.value + 1}));
}

TEST(ListAgeGate, AfterAPauseSendingWaitsForAnAnswerOrForPatienceToEnd) {
  ListAgeGate gate;
  TimePoint read_at{0};
  gate.is_request_due(read_at, TimePoint{1000});
  TimePoint resumed{9000};
  EXPECT_TRUE(gate.is_request_due(read_at, resumed));
  EXPECT_FALSE(gate.bound(read_at).may_send(resumed));
  EXPECT_TRUE(gate.bound(TimePoint{8900}).may_send(resumed));
  gate.is_request_due(read_at, resumed + ListAgeGate::patience);
  EXPECT_TRUE(gate.bound(read_at).may_send(resumed + ListAgeGate::patience));
}

TEST(ListAgeInvariant, ACallSentByAnOldReadingWithoutExcuseIsAViolation) {
  InvariantCounters counters;
  ListAgeInvariant invariant(counters);
  ListAgeBound bound{TimePoint{0}, TimePoint{-1}};
  invariant.on_attempt_started(1, RunnerName{"r"}, bound, TimePoint{ListAgeBound::longest_age.value});
  EXPECT_EQ(counters.violations(Invariant::list_age_bounded), 0);
  invariant.on_attempt_started(2, RunnerName{"r"}, bound, TimePoint{ListAgeBound::longest_age.value + 1});
  EXPECT_EQ(counters.violations(Invariant::list_age_bounded), 1);
}

}  // namespace
}  // namespace emberdale
