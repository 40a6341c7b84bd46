// What operators and readers are told over days of cuts, restarts, wiped disks, races and lost answers has an order.
#include <gtest/gtest.h>

#include "support/operator_scenario.hpp"

using namespace emberdale;

TEST(ControlHistory, ChangesOfTheConfigurationAndReadsAreLinearizable) {
  OperatorScenarioPlan plan;
  plan.configuration_share = 1;
  expect_linearizable_days(plan);
}

TEST(ControlHistory, AReadThatTheCoreDoesNotConfirmIsSeen) {
  OperatorScenarioPlan plan;
  plan.configuration_share = 1;
  plan.are_reads_unconfirmed = true;
  bool is_seen = false;
  for (std::uint64_t seed = 1; seed <= 10 && !is_seen; ++seed) {
    OperatorScenario day(seed, plan);
    day.run();
    is_seen = day.judge().verdict == history::Verdict::not_linearizable;
  }
  EXPECT_TRUE(is_seen);
}
