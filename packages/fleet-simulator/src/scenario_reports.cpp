#include "scenario_reports.hpp"

#include <absl/base/thread_annotations.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <mutex>
#include <vector>

#include "parallel_runs.hpp"

namespace emberdale {
namespace {

// How often a fault was injected, and how often it was seen to have an effect.
struct FaultCount {
  std::int64_t injected = 0, effective = 0;
};

// Collects the results of scenarios that run on several threads, and prints them.
class ScenarioReport {
 public:
  explicit ScenarioReport(bool prints_event_logs) : prints_event_logs_(prints_event_logs) {}

  // Adds one scenario to the totals and prints it if it is to be shown.
  void add(std::uint64_t seed, const FaultInjectionResult& result) {
    std::lock_guard<std::mutex> guard(mutex_);
    add_to_totals(result);
    violating_seeds_ += !result.violations.empty();
    if (!result.violations.empty() || prints_event_logs_)
      print(seed, result);
  }

  void print_totals() {
    std::lock_guard<std::mutex> guard(mutex_);
    std::cout << "fault: brought about, felt\n";
    for (const auto& [fault, count] : faults_)
      std::cout << "  " << fault << ": " << count.injected << ", " << count.effective << "\n";
    std::cout << "calls: asked " << calls_.arrived << ", served " << calls_.served << ", refused " << calls_.refused
              << ", no grant " << calls_.refused_no_grant << ", outcome unknown " << calls_.unknown << ", daemon down "
              << calls_.no_daemon << ", misdirected " << calls_.misdirected << ", refused with room in reach "
              << calls_.avoidable << "\n";
    for (const auto& [reason, number] : calls_.reasons)
      std::cout << "  " << number << " " << reason << "\n";
    std::cout << "edits: acknowledged " << acknowledged_edits_ << ", refused " << refused_edits_ << ", unknown "
              << unknown_edits_ << "\n";
  }

  std::uint64_t violating_seeds() {
    std::lock_guard<std::mutex> guard(mutex_);
    return violating_seeds_;
  }

 private:
  void add_to_totals(const FaultInjectionResult& result) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    for (const auto& [fault, injected] : result.injected)
      faults_[fault].injected += injected;
    for (const auto& [fault, effects] : result.effects)
      faults_[fault].effective += effects;
    calls_.add(result.calls);
    acknowledged_edits_ += result.acknowledged_edits;
    refused_edits_ += result.refused_edits;
    unknown_edits_ += result.unknown_edits;
  }

  static void print(std::uint64_t seed, const FaultInjectionResult& result) {
    std::cout << "seed " << seed << (result.violations.empty() ? " good" : " BROKEN") << "\n" << result.event_log;
    for (const auto& violation : result.violations)
      std::cout << "  " << violation.at << " " << violation.rule << ": " << violation.detail << "\n";
  }

  const bool prints_event_logs_;
  std::mutex mutex_;
  std::map<std::string, FaultCount> faults_ ABSL_GUARDED_BY(mutex_);
  CallCounters calls_ ABSL_GUARDED_BY(mutex_);
  std::int64_t acknowledged_edits_ ABSL_GUARDED_BY(mutex_) = 0;
  std::int64_t refused_edits_ ABSL_GUARDED_BY(mutex_) = 0;
  std::int64_t unknown_edits_ ABSL_GUARDED_BY(mutex_) = 0;
  std::uint64_t violating_seeds_ ABSL_GUARDED_BY(mutex_) = 0;
};

// What scenarios with one kind of fault cost the callers.
struct FaultCost {
  CallCounters calls;
  std::int64_t violations = 0;
};

FaultCost measure_fault_cost(const SeedRange& seeds, const ScenarioPlan& plan, const std::string& fault) {
  FaultCost cost;
  std::mutex mutex;
  run_in_parallel(seeds.count, seeds.threads, [&](std::uint64_t index) {
    ScenarioPlan alone = plan;
    alone.only = fault;
    FaultInjectionResult result = run_random_scenario(seeds.first + index, alone);
    std::lock_guard<std::mutex> guard(mutex);
    cost.calls.add(result.calls);
    cost.violations += static_cast<std::int64_t>(result.violations.size());
  });
  return cost;
}

void print(const std::string& fault, const FaultCost& cost) {
  const CallCounters& calls = cost.calls;
  auto per_thousand = [&](std::int64_t number) {
    return std::to_string(number * 1000 / std::max<std::int64_t>(1, calls.arrived));
  };
  std::cout << "  " << fault << ": " << per_thousand(calls.avoidable) << ", "
            << per_thousand(calls.refused + calls.refused_no_grant) << ", " << per_thousand(calls.unknown) << ", "
            << per_thousand(calls.no_daemon) << "; " << cost.violations << std::endl;
}

}  // namespace

int report_scenarios(const SeedRange& seeds, ScenarioKind kind, const ScenarioPlan& plan, bool prints_event_logs) {
  ScenarioReport report(prints_event_logs);
  run_in_parallel(seeds.count, seeds.threads, [&](std::uint64_t index) {
    std::uint64_t seed = seeds.first + index;
    report.add(seed, kind == ScenarioKind::random_scenario ? run_random_scenario(seed, plan)
                                                           : run_fault_injection(seed, plan.length));
  });
  if (kind == ScenarioKind::random_scenario)
    report.print_totals();
  std::uint64_t failed = report.violating_seeds();
  std::cout << seeds.count - failed << " passed, " << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}

int report_fault_costs(const SeedRange& seeds, const ScenarioPlan& plan) {
  std::cout << "of a thousand calls: turned away with room in reach, turned away, outcome unknown, found no daemon; "
               "breaks\n";
  for (const auto& fault : random_scenario_faults())
    print(fault, measure_fault_cost(seeds, plan, fault));
  return 0;
}

int print_digests(const SeedRange& seeds, const std::string& shape, ScenarioPlan plan) {
  plan.shape.is_traced = true;
  std::vector<std::string> digests(seeds.count);
  run_in_parallel(seeds.count, seeds.threads, [&](std::uint64_t index) {
    digests[index] = run_random_scenario(seeds.first + index, plan).trace_digest;
  });
  for (std::uint64_t index = 0; index < seeds.count; ++index)
    std::cout << shape << " " << seeds.first + index << " " << digests[index] << "\n";
  return 0;
}

}  // namespace emberdale
