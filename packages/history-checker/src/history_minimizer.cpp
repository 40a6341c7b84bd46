#include "history_minimizer.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace emberdale::history {
namespace {

using Operations = std::vector<Operation>;

bool fails(const SmallHistory& history, std::int64_t state_limit) {
  return search(history.operations, history.initial, state_limit).verdict == Verdict::not_linearizable;
}

// The history as it stood at that moment. Example: until(operations, 1200)
Operations until(const Operations& operations, std::int64_t moment) {
  Operations kept;
  for (Operation operation : operations) {
    if (operation.invoked_at > moment)
      continue;
    if (operation.gave_up_at && *operation.gave_up_at > moment)
      operation.gave_up_at.reset();
    if (operation.returned_at && *operation.returned_at > moment) {
      operation.returned_at.reset();
      operation.outcome = CallOutcome::unknown;
      if (operation.object_kind == ObjectKind::resource)
        operation.revision.reset();  // the register's own answer
    }
    if (!operation.is_read() || operation.returned_at)
      kept.push_back(std::move(operation));
  }
  return kept;
}

// A prefix of a linearizable history is linearizable: the shortest that is not is found by halving.
void cut_end(SmallHistory& history, std::int64_t state_limit) {
  std::set<std::int64_t> distinct;
  for (const auto& operation : history.operations)
    if (operation.returned_at)
      distinct.insert(*operation.returned_at);
  std::vector<std::int64_t> returns(distinct.begin(), distinct.end());
  auto first = std::partition_point(returns.begin(), returns.end(), [&](std::int64_t moment) {
    return !fails({until(history.operations, moment), history.initial}, state_limit);
  });
  if (first != returns.end())
    history.operations = until(history.operations, *first);
}

bool is_condition_only(const Operation& operation) {
  return operation.is_read() || operation.outcome == CallOutcome::stale || operation.outcome == CallOutcome::refused;
}

bool is_same_change(const Operation& a, const Operation& b) {
  return &a == &b || (!a.change.empty() && a.change == b.change && !a.is_read() && !b.is_read());
}

// Whether some other call's answer depends on whether this change took effect.
bool is_referred_to(const Operation& change, const Operation& other) {
  if (change.object_kind == ObjectKind::zone_order)
    return other.is_read() && (!other.value || other.value == change.value);
  if (other.outcome == CallOutcome::stale && (!other.base || other.base == change.base))
    return true;
  if (!change.revision)
    return true;
  if (change.object_kind == ObjectKind::configuration)
    return (other.is_read() ? other.revision : other.base) == change.revision;
  if (other.kind == OperationKind::remove && !other.is_open())
    return true;
  if (other.outcome == CallOutcome::stale && *other.base >= *change.revision - 1)
    return true;
  return (other.base && *other.base >= *change.revision) || (other.revision && *other.revision >= *change.revision) ||
         (other.is_read() && other.revision == 0);
}

bool is_droppable(const SmallHistory& history, const Operation& operation) {
  if (is_condition_only(operation))
    return true;
  if (operation.kind != OperationKind::change)
    return false;
  return std::none_of(history.operations.begin(), history.operations.end(), [&](const Operation& other) {
    return !is_same_change(operation, other) && is_referred_to(operation, other);
  });
}

// Without this call; a change goes with all calls that sent it.
SmallHistory without(const SmallHistory& history, const Operation& dropped) {
  SmallHistory smaller{{}, history.initial};
  for (const auto& operation : history.operations)
    if (is_condition_only(dropped) ? &operation != &dropped : !is_same_change(operation, dropped))
      smaller.operations.push_back(operation);
  return smaller;
}

bool any_dropped(const SmallHistory& history, const ReductionVisitor& visit) {
  return std::any_of(history.operations.begin(), history.operations.end(), [&](const Operation& operation) {
    return is_droppable(history, operation) && visit(without(history, operation));
  });
}

// Whether the acknowledged change took effect before anything else that remains had any.
bool is_surely_first(const SmallHistory& history, const Operation& change) {
  if (change.outcome != CallOutcome::acknowledged || change.kind != OperationKind::change)
    return false;
  return std::all_of(history.operations.begin(), history.operations.end(), [&](const Operation& other) {
    if (&other == &change)
      return true;
    if (is_same_change(change, other))
      return false;
    if (precedes(change, other))
      return true;
    // A configuration's base is built on once: what builds on another revision comes later.
    return change.object_kind == ObjectKind::configuration && change.base == history.initial.revision &&
           other.outcome != CallOutcome::stale && (other.is_read() ? other.revision : other.base) != change.base;
  });
}

// One change at least stays, to be seen with the answer that contradicts it.
bool any_advanced(const SmallHistory& history, const ReductionVisitor& visit) {
  auto changes = std::count_if(history.operations.begin(), history.operations.end(),
                               [](const Operation& operation) { return !is_condition_only(operation); });
  if (changes < 2)
    return false;
  return std::any_of(history.operations.begin(), history.operations.end(), [&](const Operation& operation) {
    auto initial = is_surely_first(history, operation) ? step(history.initial, operation, false) : std::nullopt;
    if (!initial)
      return false;
    SmallHistory smaller = without(history, operation);
    smaller.initial = *initial;
    return visit(smaller);
  });
}

}  // namespace

bool any_reduction(const SmallHistory& history, const ReductionVisitor& visit) {
  return any_dropped(history, visit) || any_advanced(history, visit);
}

SmallHistory minimize(SmallHistory history, std::int64_t state_limit) {
  history.operations.erase(std::remove_if(history.operations.begin(), history.operations.end(),
                                          [](const Operation& operation) { return !is_relevant(operation); }),
                           history.operations.end());
  cut_end(history, state_limit);
  SmallHistory smaller;
  auto take_if_failing = [&](const SmallHistory& reduced) {
    if (!fails(reduced, state_limit))
      return false;
    smaller = reduced;
    return true;
  };
  while (any_reduction(history, take_if_failing))
    history = std::exchange(smaller, SmallHistory{});
  std::stable_sort(history.operations.begin(), history.operations.end(),
                   [](const Operation& a, const Operation& b) { return a.invoked_at < b.invoked_at; });
  return history;
}

}  // namespace emberdale::history
