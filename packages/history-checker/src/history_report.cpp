// A verdict in words.
#include "emberdale/linearizability.hpp"

namespace emberdale::history {
namespace {

std::string number(const std::optional<std::int64_t>& value) { return value ? std::to_string(*value) : "?"; }

std::string what_was_asked(const Operation& operation) {
  if (operation.is_read())
    return "reads";
  if (operation.kind == OperationKind::remove)
    return "removes" + (operation.base ? " at revision " + number(operation.base) : "");
  if (operation.object_kind == ObjectKind::zone_order)
    return "orders '" + operation.value.value_or("?") + "'";
  std::string text = operation.base ? "changes revision " + number(operation.base) : "changes any revision";
  if (operation.revision)
    text += " to " + number(operation.revision);
  if (operation.value)
    text += " (text " + *operation.value + ")";
  return text;
}

std::string what_was_shown(const Operation& operation) {
  if (operation.object_kind == ObjectKind::zone_order)
    return "shown '" + operation.value.value_or("?") + "'";
  if (operation.revision == 0)
    return "shown that there is none";
  return "shown revision " + number(operation.revision) + " (text " + operation.value.value_or("?") + ")";
}

std::string what_came_back(const Operation& operation) {
  switch (operation.outcome) {
    case CallOutcome::acknowledged:
      return operation.is_read() ? what_was_shown(operation) : "acknowledged";
    case CallOutcome::stale:
      return "refused: another revision is current";
    case CallOutcome::refused:
      return "refused";
    case CallOutcome::unknown:
      break;
  }
  if (operation.returned_at)
    return "answered that the outcome is unknown";
  return operation.gave_up_at ? "no answer, given up at " + number(operation.gave_up_at) : "no answer";
}

std::string describe_initial(const HistoryVerdict& verdict) {
  const RegisterState& state = verdict.initial;
  if (!state.exists)
    return "at first: nothing";
  if (verdict.smallest.empty() || verdict.smallest[0].object_kind == ObjectKind::zone_order)
    return "at first: '" + state.value.value_or("?") + "'";
  return "at first: revision " + std::to_string(state.revision) + " (text " + state.value.value_or("?") + ")";
}

}  // namespace

std::string describe(const Operation& operation) {
  std::string text = std::to_string(operation.invoked_at) + " .. " +
                     (operation.returned_at ? std::to_string(*operation.returned_at) : "never") + ": " +
                     operation.caller + " at " + operation.daemon + " " + what_was_asked(operation) + ": " +
                     what_came_back(operation);
  return operation.call.empty() ? text : text + " [" + operation.call + "]";
}

std::string report(const HistoryVerdict& verdict) {
  std::string size =
      std::to_string(verdict.operations) + " calls, " + std::to_string(verdict.states) + " states visited\n";
  if (verdict.verdict == Verdict::linearizable)
    return "linearizable: " + size;
  if (verdict.verdict == Verdict::undecided)
    return "undecided for " + verdict.object + ", too many orders are possible: " + size;
  std::string text = "NOT linearizable: " + size + "of " + verdict.object + ", " +
                     std::to_string(verdict.smallest.size()) + " calls have no order that explains them:\n  " +
                     describe_initial(verdict) + "\n";
  for (const auto& operation : verdict.smallest)
    text += "  " + describe(operation) + "\n";
  return text;
}

}  // namespace emberdale::history
