// The responses that operators and readers get are linearizable, over scenarios of cuts, restarts, wiped disks, races
// and lost messages.
#include <gtest/gtest.h>

#include "support/operator_scenario.hpp"

namespace emberdale {
namespace {

TEST(ControlHistory, ChangesOfTheConfigurationAndReadsAreLinearizable) {
  OperatorScenarioPlan plan;
  plan.configuration_share = 1;
  expect_linearizable_scenarios(plan);
}

TEST(ControlHistory, AReadWithoutConfirmationByAMajorityIsDetected) {
  OperatorScenarioPlan plan;
  plan.configuration_share = 1;
  plan.are_reads_unconfirmed = true;
  bool is_detected = false;
  for (std::uint64_t seed = 1; seed <= 10 && !is_detected; ++seed) {
    OperatorScenario scenario(seed, plan);
    scenario.run();
    is_detected = scenario.check_history().verdict == history::Verdict::not_linearizable;
  }
  EXPECT_TRUE(is_detected);
}

}  // namespace
}  // namespace emberdale
