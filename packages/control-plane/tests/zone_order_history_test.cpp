// Zone orders over scenarios of cuts, restarts, wiped disks, races and lost messages: none takes effect after its
// client got a response, or after a later order was acknowledged.
#include <gtest/gtest.h>

#include "support/operator_scenario.hpp"

namespace emberdale {
namespace {

TEST(ZoneOrderHistory, OrdersAreLinearizableAndEndWithTheirRequests) {
  OperatorScenarioPlan plan;
  plan.configuration_share = 0.2;
  expect_linearizable_scenarios(plan);
}

}  // namespace
}  // namespace emberdale
