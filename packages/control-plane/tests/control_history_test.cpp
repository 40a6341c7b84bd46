// What operators and readers are told over days of cuts, restarts, wiped disks, races and lost answers has an order.
#include <gtest/gtest.h>

#include "support/operators_day.hpp"

using namespace emberdale;

TEST(ControlHistory, ChangesOfTheConfigurationAndReadsAreLinearizable) {
  OperatorsDayPlan plan;
  plan.configuration_share = 1;
  expect_linearizable_days(plan);
}

TEST(ControlHistory, AReadThatTheCoreDoesNotConfirmIsSeen) {
  OperatorsDayPlan plan;
  plan.configuration_share = 1;
  plan.are_reads_unconfirmed = true;
  bool is_seen = false;
  for (std::uint64_t seed = 1; seed <= 10 && !is_seen; ++seed) {
    OperatorsDay day(seed, plan);
    day.run();
    is_seen = day.judge().verdict == history::Verdict::not_linearizable;
  }
  EXPECT_TRUE(is_seen);
}
