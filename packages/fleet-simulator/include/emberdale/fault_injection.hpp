// Seeded scenarios that inject faults into a simulated fleet, and what they show.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "emberdale/fleet_simulation.hpp"

namespace emberdale {

// What a scenario did and showed.
struct FaultInjectionResult {
  std::vector<InvariantViolation> violations;
  CallCounters calls;  // of the part of the scenario that run_fault_injection and run_random_scenario name
  std::int64_t acknowledged_edits = 0, refused_edits = 0, unknown_edits = 0;
  std::string event_log;                         // what failed when, to read after a violation
  std::map<std::string, std::int64_t> injected;  // how often each fault was injected
  std::map<std::string, std::int64_t> effects;   // how often each fault was seen to have an effect
  std::string trace_digest;                      // of a scenario whose shape is traced; else empty

  // Adds how the edits of the scenario ended to the three counts of edits.
  void count_edits(const std::vector<std::shared_ptr<FleetSimulation::EditOutcome>>& edits);
};

// Injects single faults and edits for `length` of virtual time, then repairs everything and checks that the fleet
// recovers. The result's calls are those after the recovery. With `is_grant_check_off` data daemons serve without a
// grant, so that a test can see the checks find it.
FaultInjectionResult run_fault_injection(std::uint64_t seed, Duration length, bool is_grant_check_off = false);

}  // namespace emberdale
