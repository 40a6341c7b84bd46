// Control work of one small fleet: counts that are the same in every run, under ceilings a tenth above
// what they are, so that no change lets them grow unseen. A ceiling moves only together with docs/CAPACITY.md.
#include <gtest/gtest.h>

#include "../src/scale_runs.hpp"

namespace emberdale::scale {
namespace {

// Twelve daemons in peace for ten seconds.
ScaleCounts count_small_fleet(ScaleShape shape) {
  shape.edges = 4;
  shape.gateways = 5;
  ScaleFleet fleet(1, shape);
  auto up = fleet.bring_up();
  EXPECT_TRUE(up) << up.reason;
  fleet.run(Duration{5000});
  fleet.reset();
  fleet.run(Duration{10000});
  return fleet.counts();
}

std::int64_t number_of(const ScaleCounts& counts, Role from, Role to, const std::string& name) {
  for (std::size_t kind = 0; kind < message_kinds; ++kind)
    if (message_name(kind) == name)
      return counts.sent[from][to][kind].number;
  return -1;
}

TEST(ScaleRuns, CountsAreTheSameAgain) {
  auto once = count_small_fleet({}), again = count_small_fleet({});
  EXPECT_EQ(once.messages, again.messages);
  EXPECT_EQ(once.bytes, again.bytes);
}

TEST(ScaleRuns, ASmallFleetsCountsStayBelowTheirCeilings) {
  auto counts = count_small_fleet({});
  EXPECT_GT(counts.messages, 0);
  EXPECT_LE(counts.messages, 4600);
  EXPECT_LE(counts.bytes, 770000);
  EXPECT_EQ(counts.register_rounds, 0);
  EXPECT_LE(counts.daemons[0].in, 480);
  EXPECT_LE(number_of(counts, gateway_role, core_role, "ReadAsk"), 300);
  EXPECT_LE(number_of(counts, edge_role, core_role, "ReadAsk"), 262);
  EXPECT_LE(number_of(counts, master_role, edge_role, "MapNews"), 60);
}

TEST(ScaleRuns, ARunnerMoreCostsABoundedNumberOfBytes) {
  ScaleShape few, many;
  few.runners = 20;
  many.runners = 120;
  auto small = count_small_fleet(few), large = count_small_fleet(many);
  EXPECT_LE((large.bytes - small.bytes) / 100, 11700);
}

TEST(ScaleRuns, AChangeCostsABoundedNumberOfBytesAndIsInForceSoon) {
  ScaleShape shape;
  shape.edges = 4;
  shape.gateways = 5;
  shape.changes_a_minute = 60;
  ScaleFleet fleet(1, shape);
  ASSERT_TRUE(fleet.bring_up());
  fleet.run(Duration{5000});
  fleet.reset();
  fleet.run(Duration{10000});
  EXPECT_LE(fleet.counts().register_rounds, 14);
  EXPECT_EQ(fleet.changes_failed, 0);
  ASSERT_GE(fleet.in_force_ms.size(), 9u);
  for (auto ms : fleet.in_force_ms)
    EXPECT_LE(ms, 1000);
}

TEST(ScaleRuns, AFleetWhoseRosterIsEmptyEnrols) {
  ScaleShape shape;
  shape.is_enrolled = false;
  ScaleFleet fleet(1, shape);
  ASSERT_TRUE(fleet.bring_up());
  EXPECT_LE(fleet.counts().register_rounds, 40);
}

}  // namespace
}  // namespace emberdale::scale
