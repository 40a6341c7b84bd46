// Zone orders over days of cuts, restarts, wiped disks, races and lost answers: none takes effect after its caller was
// answered, or after a later order was acknowledged.
#include <gtest/gtest.h>

#include "support/operator_scenario.hpp"

using namespace emberdale;

TEST(ZoneOrderHistory, OrdersAreLinearizableAndEndWithTheirCallers) {
  OperatorScenarioPlan plan;
  plan.configuration_share = 0.2;
  expect_linearizable_days(plan);
}
