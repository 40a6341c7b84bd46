#include "emberdale/attempt_invariants.hpp"

namespace emberdale {

void SendsToLeavingRunnerInvariant::on_attempt_started(std::int64_t call, const RunnerName& runner,
                                                       const std::map<RunnerName, RunnerRow>& runners, TimePoint now) {
  auto row = runners.find(runner);
  bool is_in_service =
      row != runners.end() && (row->second.state == RunnerState::warm || row->second.state == RunnerState::warming_up);
  counters_->record(Invariant::no_attempt_to_unavailable_runner, is_in_service, {call, runner.text, now});
}

void AttemptBudgetInvariant::on_attempt_started(std::int64_t call, const AttemptBudget& budget, TimePoint now) {
  counters_->record(Invariant::attempts_within_limit, budget.attempts <= budget.max_attempts,
                    {call, {}, now, budget.attempts, budget.max_attempts});
  on_attempt_started(call, budget.deadline, now);
}

void AttemptBudgetInvariant::on_attempt_started(std::int64_t call, TimePoint deadline, TimePoint now) {
  counters_->record(Invariant::no_attempt_after_deadline, now < deadline, {call, {}, now, now.value, deadline.value});
}

}  // namespace emberdale
