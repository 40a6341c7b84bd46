// Time moves in steps of 100 ms. Each sound history has a broken twin.
#include "emberdale/runner_list_freshness.hpp"

#include <gtest/gtest.h>

using namespace emberdale;

namespace {

class RunnerListFreshnessTest : public testing::Test {
 protected:
  std::int64_t violations() const { return counters_.violations(Invariant::runner_list_fresh); }
  std::int64_t checks() const { return counters_.checks(Invariant::runner_list_fresh); }
  void run_timers(Duration duration, bool may_read = true) {
    for (Duration step{0}; step < duration; step.value += timer_interval.value) {
      now_ = now_ + timer_interval;
      freshness_.on_timer(may_read, now_);
    }
  }
  void read() {
    freshness_.on_reading_begun(now_);
    freshness_.on_reading_ended(true, now_);
  }

  static constexpr Duration timer_interval{100};
  InvariantCounters counters_;
  RunnerListFreshness freshness_{counters_};
  TimePoint now_{1000};
};

}  // namespace

TEST_F(RunnerListFreshnessTest, ReadingsWithinTheBoundAreSound) {
  read();
  run_timers(Duration{900});
  read();
  run_timers(Duration{3000});
  read();
  EXPECT_EQ(violations(), 0);
  EXPECT_EQ(checks(), 2);
}

TEST_F(RunnerListFreshnessTest, AMasterThatStopsReadingIsAViolationCountedOnce) {
  read();
  run_timers(Duration{9000});
  EXPECT_EQ(violations(), 1);
  read();
  EXPECT_EQ(checks(), 1);
  run_timers(Duration{3100});
  EXPECT_EQ(violations(), 2);
}

TEST_F(RunnerListFreshnessTest, ADaemonThatMayNotReadIsExcused) {
  read();
  run_timers(Duration{200}, false);
  run_timers(Duration{9000});
  EXPECT_EQ(violations(), 0);
  read();  // from here on it is bound again
  run_timers(Duration{3100});
  EXPECT_EQ(violations(), 1);
}

TEST_F(RunnerListFreshnessTest, AFailedReadingExcusesTheInterval) {
  read();
  run_timers(Duration{900});
  freshness_.on_reading_begun(now_);
  freshness_.on_reading_ended(false, now_);
  run_timers(Duration{9000});
  read();
  EXPECT_EQ(violations(), 0);
}

TEST_F(RunnerListFreshnessTest, AnUnansweredReadingExcusesTheInterval) {
  read();
  run_timers(Duration{900});
  freshness_.on_reading_begun(now_);
  run_timers(Duration{9000});
  EXPECT_EQ(violations(), 0);
}

TEST_F(RunnerListFreshnessTest, ASuspendedProcessIsExcused) {
  read();
  run_timers(Duration{900});
  now_ = now_ + Duration{8000};
  run_timers(Duration{200});
  read();
  EXPECT_EQ(violations(), 0);
}

TEST_F(RunnerListFreshnessTest, TheAgeCountsFromTheLastCompleteReading) {
  EXPECT_FALSE(freshness_.age(now_));
  read();
  run_timers(Duration{400});
  freshness_.on_reading_begun(now_);
  freshness_.on_reading_ended(false, now_);
  EXPECT_EQ(freshness_.age(now_), Duration{400});
}
