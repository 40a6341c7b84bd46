// The sequential specifications: what one call at a time may answer, and which state it leaves.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "emberdale/history.hpp"

namespace emberdale::history {

// One object's state between two calls.
struct RegisterState {
  bool exists = false;
  std::int64_t revision = 0;
  // False where the register chose the revision and nobody has been told it yet: `revision` is its lower bound.
  bool is_revision_known = true;
  std::optional<std::string> value = std::string();  // nothing: not seen yet, the next read tells it
  std::string last_change;                           // the change that is current; empty: none

  friend bool operator==(const RegisterState& a, const RegisterState& b) {
    return a.exists == b.exists && a.revision == b.revision && a.is_revision_known == b.is_revision_known &&
           a.value == b.value && a.last_change == b.last_change;
  }
};

std::size_t hash_of(const RegisterState& state);

// The state after this call, or nothing where its answer can't be given in that state. A call of unknown outcome
// is taken to have effect; one without effect is simply not in the sequence.
// `was_applied`: the same change is in the sequence already, by another call.
// Example: step(state, operation, false) is nothing for an acknowledged change whose base is not current
std::optional<RegisterState> step(const RegisterState& state, const Operation& operation, bool was_applied);

}  // namespace emberdale::history
