// Zone orders over days of cuts, restarts, wiped disks, races and lost answers: none takes effect after its caller was
// answered, or after a later order was acknowledged.
#include <gtest/gtest.h>

#include "support/operators_day.hpp"

using namespace emberdale;

TEST(ZoneOrderHistory, OrdersAreLinearizableAndEndWithTheirCallers) {
  OperatorsDayPlan plan;
  plan.configuration_share = 0.2;
  expect_linearizable_days(plan);
}
