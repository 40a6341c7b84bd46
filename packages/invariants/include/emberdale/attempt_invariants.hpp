// The invariants of each attempt as it starts: to whom it goes, how many there were, and when.
// Without I/O, clock or threads.
#pragma once
#include <cstdint>
#include <map>

#include "emberdale/invariants.hpp"
#include "emberdale/placement_records.hpp"

namespace emberdale {

// No attempt goes to a runner that the sender's own view of the map shows as draining, evacuated or down, or does not
// show at all. It looks the runner up by itself, so that a fault of the selection is found.
class SendsToLeavingRunnerInvariant {
 public:
  explicit SendsToLeavingRunnerInvariant(InvariantCounters& counters = process_invariants()) : counters_(&counters) {}
  // `runners` are those of the view that the sender has at that moment.
  void on_attempt_started(std::int64_t call, const RunnerName& runner, const std::map<RunnerName, RunnerRow>& runners,
                          TimePoint now);

 private:
  InvariantCounters* counters_;
};

// What the route and the client allow a call, and what it has used of it.
struct AttemptBudget {
  std::int64_t attempts = 0;  // of which something may have reached a runner, with the one that starts
  std::int64_t max_attempts = 0;
  TimePoint deadline;
};

// A call is attempted at most as often as its route allows (so on no more distinct runners), and not once its deadline
// has passed.
class AttemptBudgetInvariant {
 public:
  explicit AttemptBudgetInvariant(InvariantCounters& counters = process_invariants()) : counters_(&counters) {}
  void on_attempt_started(std::int64_t call, const AttemptBudget& budget, TimePoint now);
  // The deadline alone, for calls without a limit of attempts.
  void on_attempt_started(std::int64_t call, TimePoint deadline, TimePoint now);

 private:
  InvariantCounters* counters_;
};

}  // namespace emberdale
