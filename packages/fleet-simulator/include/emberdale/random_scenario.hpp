// Random scenarios: every fault that the fleet is to tolerate, alone and together, with surges of load, rival
// operators, stepping clocks and failing disks. docs/trials.md lists the faults.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "emberdale/fault_injection.hpp"

namespace emberdale {

struct ScenarioPlan {
  SimulationShape shape;
  Duration length{30000};  // virtual time in which faults are injected
  std::string only;        // this fault alone, again and again; empty: all faults at random
  // Called once the fleet is up. It may disable a check of the fleet, to show that the scenario detects its loss.
  std::function<void(FleetSimulation&)> inject_defect;
};

// The names of all faults, in the order of the table of faults.
std::vector<std::string> random_scenario_faults();

// Runs one scenario: faults for the length of the plan, one last fault, then a check that the fleet has recovered by
// itself. The result's calls are those up to the end of the plan's length.
FaultInjectionResult run_random_scenario(std::uint64_t seed, const ScenarioPlan& plan);

}  // namespace emberdale
