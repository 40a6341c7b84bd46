// Each sound history has a broken twin, which differs by the fault alone.
#include "emberdale/departed_caller_invariant.hpp"

#include <gtest/gtest.h>

using namespace emberdale;

namespace {

class DepartedCaller : public testing::Test {
 protected:
  std::int64_t late_attempts() const { return counters_.violations(Invariant::no_attempt_after_caller_departed); }
  std::int64_t late_cancellations() const { return counters_.violations(Invariant::departed_caller_attempt_cancelled); }
  std::int64_t cancellations() const { return counters_.checks(Invariant::departed_caller_attempt_cancelled); }
  // A call with an attempt in flight, whose caller departs at 1000.
  void depart_during_attempt() {
    invariant_.on_call_opened(call);
    invariant_.on_attempt_started(call, TimePoint{500});
    invariant_.on_caller_departed(call, TimePoint{1000});
  }

  static constexpr std::int64_t call = 7;
  InvariantCounters counters_;
  DepartedCallerInvariant invariant_{counters_};
};

}  // namespace

TEST_F(DepartedCaller, RetriesOfAPresentCallerAreSound) {
  invariant_.on_call_opened(call);
  invariant_.on_attempt_started(call, TimePoint{10});
  invariant_.on_attempt_ended(call, TimePoint{20});
  invariant_.on_attempt_started(call, TimePoint{20});
  invariant_.on_attempt_ended(call, TimePoint{5000});
  invariant_.on_call_closed(call);
  EXPECT_EQ(late_attempts(), 0);
  EXPECT_EQ(counters_.checks(Invariant::no_attempt_after_caller_departed), 2);
  EXPECT_EQ(invariant_.tracked_calls(), 0u);
}

TEST_F(DepartedCaller, ARetryAfterTheDepartureIsAViolation) {
  invariant_.on_call_opened(call);
  invariant_.on_attempt_started(call, TimePoint{10});
  invariant_.on_attempt_ended(call, TimePoint{20});
  invariant_.on_caller_departed(call, TimePoint{20});
  invariant_.on_attempt_started(call, TimePoint{20});
  EXPECT_EQ(late_attempts(), 1);
}

TEST_F(DepartedCaller, AFirstAttemptOutOfTheQueueAfterTheDepartureIsAViolation) {
  invariant_.on_call_opened(call);
  invariant_.on_caller_departed(call, TimePoint{20});
  invariant_.on_attempt_started(call, TimePoint{400});
  EXPECT_EQ(late_attempts(), 1);
}

TEST_F(DepartedCaller, AnAttemptOfAClosedCallIsAViolation) {
  invariant_.on_call_opened(call);
  invariant_.on_caller_departed(call, TimePoint{20});
  invariant_.on_call_closed(call);
  invariant_.on_attempt_started(call, TimePoint{30});
  EXPECT_EQ(late_attempts(), 1);
}

TEST_F(DepartedCaller, AnAttemptCancelledAtTheBoundIsSound) {
  depart_during_attempt();
  invariant_.check(TimePoint{1100});
  invariant_.on_attempt_ended(call, TimePoint{1100});
  invariant_.on_call_closed(call);
  invariant_.check(TimePoint{9000});
  EXPECT_EQ(late_cancellations(), 0);
  EXPECT_EQ(cancellations(), 1);
  EXPECT_EQ(invariant_.tracked_calls(), 0u);
}

TEST_F(DepartedCaller, AnAttemptCancelledBeyondTheBoundIsAViolation) {
  depart_during_attempt();
  invariant_.on_attempt_ended(call, TimePoint{1101});
  EXPECT_EQ(late_cancellations(), 1);
}

TEST_F(DepartedCaller, AnAttemptThatIsNeverCancelledIsCountedOnceByTheCheck) {
  depart_during_attempt();
  invariant_.check(TimePoint{1101});
  invariant_.check(TimePoint{2000});
  invariant_.on_attempt_ended(call, TimePoint{3000});
  EXPECT_EQ(late_cancellations(), 1);
  EXPECT_EQ(cancellations(), 1);
}

TEST_F(DepartedCaller, ACallForgottenWithItsAttemptInFlightIsFoundAndThenForgotten) {
  depart_during_attempt();
  invariant_.on_call_closed(call);
  EXPECT_EQ(invariant_.tracked_calls(), 1u);
  invariant_.check(TimePoint{1101});
  EXPECT_EQ(late_cancellations(), 1);
  EXPECT_EQ(invariant_.tracked_calls(), 0u);
}

TEST_F(DepartedCaller, ASecondReportDoesNotMoveTheBound) {
  depart_during_attempt();
  invariant_.on_caller_departed(call, TimePoint{1090});
  invariant_.on_attempt_ended(call, TimePoint{1150});
  EXPECT_EQ(late_cancellations(), 1);
}

TEST_F(DepartedCaller, CallsDoNotTouchEachOther) {
  depart_during_attempt();
  constexpr std::int64_t other = 8;
  invariant_.on_call_opened(other);
  invariant_.on_attempt_started(other, TimePoint{1200});
  invariant_.on_attempt_ended(other, TimePoint{5000});
  EXPECT_EQ(late_attempts(), 0);
  EXPECT_EQ(late_cancellations(), 0);
}
