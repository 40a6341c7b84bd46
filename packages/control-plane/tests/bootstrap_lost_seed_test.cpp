// The first start of a fleet that loses one of its seeds for good before it was bootstrapped. Virtual time.
#include "support/machine_fleet.hpp"

namespace emberdale {
namespace {

// The wider form of review/4 (KNOWN-RED.txt): a machine is lost, and an empty one takes its place at another address.
TEST(BootstrapWithALostSeed, AFleetIsBootstrappedThoughASeedIsLostForGoodBefore) {
  for (std::size_t lost : {0u, 1u, 2u}) {
    SCOPED_TRACE("lost " + std::to_string(lost));
    MachineFleet fleet(lost + 1);
    auto names = fleet.add_many(3);
    const std::string zone = fleet.at(names[lost]).zone.text;
    for (const auto& name : names)
      fleet.start(name, true);
    fleet.run(300);
    fleet.power_cut(names[lost]);
    fleet.run(1000);
    fleet.add("new", zone, false);
    fleet.start("new", false);
    EXPECT_TRUE(fleet.edit_until_done(20000)) << fleet.trace();
  }
}

}  // namespace
}  // namespace emberdale
