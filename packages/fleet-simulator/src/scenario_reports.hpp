// Runs random scenarios over a range of seeds and prints what they show.
#pragma once
#include <string>

#include "emberdale/random_scenario.hpp"
#include "seed_range.hpp"

namespace emberdale {

// Which generator makes the scenarios of a report.
enum class ScenarioKind {
  fault_injection,  // run_fault_injection: single faults, then a check of recovery
  random_scenario   // run_random_scenario: every fault, alone and together
};

// Runs every seed and prints each scenario that violated an invariant, or all of them with `prints_event_logs`; then
// the totals. Returns the exit status of the program: 1 if a scenario violated an invariant.
int report_scenarios(const SeedRange& seeds, ScenarioKind kind, const ScenarioPlan& plan, bool prints_event_logs);

// Runs every seed once with each kind of fault alone and prints what the fault cost the callers. Returns 0.
int report_fault_costs(const SeedRange& seeds, const ScenarioPlan& plan);

// Prints a line `shape seed digest` for each seed, in the order of the seeds. Returns 0.
int print_digests(const SeedRange& seeds, const std::string& shape, ScenarioPlan plan);

}  // namespace emberdale
