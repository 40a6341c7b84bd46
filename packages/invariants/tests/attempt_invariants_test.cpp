#include "emberdale/attempt_invariants.hpp"

#include <gtest/gtest.h>

using namespace emberdale;

namespace {

const RunnerName runner{"model-1"};

std::map<RunnerName, RunnerRow> view_with(RunnerState state) {
  RunnerRow row;
  row.name = runner;
  row.state = state;
  return {{runner, row}};
}

std::int64_t violations_of_send_to(const std::map<RunnerName, RunnerRow>& runners) {
  InvariantCounters counters;
  SendsToLeavingRunnerInvariant invariant(counters);
  invariant.on_attempt_started(1, runner, runners, TimePoint{10});
  EXPECT_EQ(counters.checks(Invariant::no_attempt_to_unavailable_runner), 1);
  return counters.violations(Invariant::no_attempt_to_unavailable_runner);
}

std::int64_t violations_of(Invariant invariant, const AttemptBudget& budget, TimePoint now) {
  InvariantCounters counters;
  AttemptBudgetInvariant(counters).on_attempt_started(1, budget, now);
  return counters.violations(invariant);
}

}  // namespace

TEST(SendsToLeavingRunner, ARunnerInServiceIsSound) {
  EXPECT_EQ(violations_of_send_to(view_with(RunnerState::warm)), 0);
  EXPECT_EQ(violations_of_send_to(view_with(RunnerState::warming_up)), 0);
}

TEST(SendsToLeavingRunner, ARunnerOutOfServiceIsAViolation) {
  for (RunnerState state : {RunnerState::draining, RunnerState::evacuated, RunnerState::down, RunnerState::unspecified})
    EXPECT_EQ(violations_of_send_to(view_with(state)), 1) << to_string(state);
}

TEST(SendsToLeavingRunner, ARunnerThatTheViewDoesNotShowIsAViolation) { EXPECT_EQ(violations_of_send_to({}), 1); }

TEST(AttemptBudgetInvariant, TheLastAllowedAttemptIsSoundAndOneMoreIsNot) {
  EXPECT_EQ(violations_of(Invariant::attempts_within_limit, {3, 3, TimePoint{100}}, TimePoint{50}), 0);
  EXPECT_EQ(violations_of(Invariant::attempts_within_limit, {4, 3, TimePoint{100}}, TimePoint{50}), 1);
}

TEST(AttemptBudgetInvariant, AnAttemptBeforeTheDeadlineIsSoundAndOneAtItIsNot) {
  EXPECT_EQ(violations_of(Invariant::no_attempt_after_deadline, {1, 3, TimePoint{100}}, TimePoint{99}), 0);
  EXPECT_EQ(violations_of(Invariant::no_attempt_after_deadline, {1, 3, TimePoint{100}}, TimePoint{100}), 1);
}
