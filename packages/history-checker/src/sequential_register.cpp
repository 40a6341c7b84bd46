#include "emberdale/sequential_register.hpp"

#include <algorithm>

namespace emberdale::history {
namespace {

using Step = std::optional<RegisterState>;

// Whether the current revision may be this one; then it is known from now on.
bool take_revision(RegisterState& state, std::int64_t revision) {
  if (state.is_revision_known)
    return state.revision == revision;
  if (revision < state.revision)
    return false;
  state.revision = revision;
  state.is_revision_known = true;
  return true;
}

Step read(RegisterState state, const Operation& operation) {
  bool is_absent = operation.revision == 0 && operation.object_kind != ObjectKind::zone_order;
  if (is_absent)
    return state.exists ? Step() : Step(state);
  if (operation.object_kind != ObjectKind::zone_order) {
    if (!state.exists)
      return std::nullopt;
    if (operation.revision && !take_revision(state, *operation.revision))
      return std::nullopt;
  }
  if (!operation.value)
    return state;
  if (state.value && *state.value != *operation.value)
    return std::nullopt;
  state.value = operation.value;
  return state;
}

// Refused because another revision was current: right only while that is so. A change that is current itself, sent
// again, must be acknowledged and not refused.
Step refuse_stale(const RegisterState& state, const Operation& operation) {
  if (!operation.base || !state.is_revision_known)
    return state;
  bool is_current_itself = !operation.change.empty() && state.last_change == operation.change;
  std::int64_t current = state.exists ? state.revision : 0;
  return current == *operation.base || is_current_itself ? Step() : Step(state);
}

Step change_configuration(RegisterState state, const Operation& operation, bool was_applied) {
  if (was_applied && !operation.change.empty())
    return operation.is_open() ? Step() : Step(state);  // acknowledged again, applied once
  if (operation.base != state.revision || !operation.revision || *operation.revision <= state.revision)
    return std::nullopt;
  state.exists = true;
  state.revision = *operation.revision;
  state.value = operation.value;
  state.last_change = operation.change;
  return state;
}

Step write_order(RegisterState state, const Operation& operation) {
  state.exists = true;
  state.value = operation.value;
  state.last_change = operation.change;
  return state;
}

bool has_base(RegisterState& state, const Operation& operation) {
  if (!operation.base)
    return true;
  if (!state.exists)
    return *operation.base == 0;
  return take_revision(state, *operation.base);
}

// The register counts the versions itself: each change is the next, and a name that comes back never has a version
// that it had before.
Step change_resource(RegisterState state, const Operation& operation, bool was_applied) {
  if (was_applied && !operation.change.empty())
    return operation.is_open() ? Step() : Step(state);
  if (!has_base(state, operation))
    return std::nullopt;
  if (!state.exists)
    state.is_revision_known = false;
  state.exists = true;
  state.revision += 1;
  if (operation.revision && !take_revision(state, *operation.revision))
    return std::nullopt;
  state.value = operation.value;
  state.last_change = operation.change;
  return state;
}

Step remove_resource(RegisterState state, const Operation& operation) {
  if (!state.exists || !has_base(state, operation))
    return std::nullopt;
  state.exists = false;
  state.value = std::string();
  state.last_change = operation.change;
  return state;
}

}  // namespace

std::size_t hash_of(const RegisterState& state) {
  std::size_t mixed = std::hash<std::string>()(state.last_change);
  mixed = mixed * 31 + std::hash<std::int64_t>()(state.revision);
  mixed = mixed * 31 + (state.value ? std::hash<std::string>()(*state.value) : 7);
  return mixed * 4 + (state.exists ? 2 : 0) + (state.is_revision_known ? 1 : 0);
}

std::optional<RegisterState> step(const RegisterState& state, const Operation& operation, bool was_applied) {
  if (operation.is_read())
    return read(state, operation);
  if (operation.outcome == CallOutcome::stale)
    return refuse_stale(state, operation);
  if (operation.outcome == CallOutcome::refused)
    return state;
  if (operation.kind == OperationKind::remove)
    return remove_resource(state, operation);
  if (operation.object_kind == ObjectKind::configuration)
    return change_configuration(state, operation, was_applied);
  if (operation.object_kind == ObjectKind::zone_order)
    return write_order(state, operation);
  return change_resource(state, operation, was_applied);
}

}  // namespace emberdale::history
