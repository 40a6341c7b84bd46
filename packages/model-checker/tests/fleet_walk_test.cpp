// Whole fleets: seeded walks of faults, every short list of faults, and the older zone order that is to be found.
#include <gtest/gtest.h>

#include "emberdale/fleet_walk.hpp"

namespace emberdale {
namespace {

std::string story(FleetScenario scenario, const FleetSearchResult& result) {
  std::string text = "seed " + std::to_string(result.seed) + "\n";
  scenario.seed = result.seed;
  if (result.violation)
    for (const auto& line : tell(scenario, result.violation->choices))
      text += line + "\n";
  return text;
}

void expect_sound(const FleetScenario& scenario, const FleetSearchResult& result) {
  EXPECT_FALSE(result.violation) << result.violation->reason << "\n" << story(scenario, result);
}

FleetScenario orders_and_cuts() {
  FleetScenario scenario;
  scenario.left_out = {FleetChoiceKind::crash, FleetChoiceKind::power_cut, FleetChoiceKind::wipe,
                       FleetChoiceKind::freeze, FleetChoiceKind::put_runner};
  return scenario;
}

// Judged without the older zone order, which has a test of its own.
TEST(FleetWalk, RandomWalksOfThreeAndFiveMachines) {
  FleetScenario scenario;
  scenario.watches_orders = false;
  expect_sound(scenario, walk_fleets(scenario, 200));
  scenario.machines = 5;
  scenario.length = 20;
  expect_sound(scenario, walk_fleets(scenario, 40));
}

TEST(FleetWalk, EveryPairOfChoices) {
  FleetScenario scenario;
  scenario.watches_orders = false;
  scenario.length = 2;
  auto result = search_fleets(scenario);
  expect_sound(scenario, result);
  EXPECT_GT(result.walks, 200u);
}

// A daemon that is cut off keeps an order for as long as its asker is taken to wait, and hands it on once the cut is
// healed. An asker that gave up before that, and had a newer order acknowledged elsewhere, is overridden.
TEST(FleetWalk, AnOlderZoneOrderOverANewerOneIsFound) {
  FleetScenario scenario = orders_and_cuts();
  auto result = walk_fleets(scenario, 200);
  ASSERT_TRUE(result.violation);
  EXPECT_NE(result.violation->reason.find("an older zone order, overrides"), std::string::npos);
  scenario.seed = result.seed;
  EXPECT_EQ(tell(scenario, result.violation->choices).back(), "VIOLATION: " + result.violation->reason);
}

// With daemons that keep an order for less long than its asker waits, none of the same walks finds it, nor do walks
// with every kind of fault.
TEST(FleetWalk, AnOrderDiesBeforeItsAskerGivesUp) {
  FleetScenario scenario = orders_and_cuts();
  scenario.gives_up_after = Duration{1000};
  EXPECT_TRUE(walk_fleets(scenario, 200).violation);
  scenario.requester_timeout = Duration{800};
  expect_sound(scenario, walk_fleets(scenario, 200));
  scenario.left_out.clear();
  expect_sound(scenario, walk_fleets(scenario, 100));
}

}  // namespace
}  // namespace emberdale
