// The smallest part of a history that still isn't linearizable.
#pragma once
#include <functional>
#include <vector>

#include "emberdale/linearizability.hpp"

namespace emberdale::history {

struct SmallHistory {
  std::vector<Operation> operations;
  RegisterState initial;
};

// Returns true to end the visit.
using ReductionVisitor = std::function<bool(const SmallHistory& smaller)>;

// Shows every history that one step makes of this one; true if the visitor ended it. Each step keeps a linearizable
// history linearizable. Example: any_reduction(history, [&](const auto& smaller) { return fails(smaller); })
bool any_reduction(const SmallHistory& history, const ReductionVisitor& visit);

// Leaves out calls one after the other while the rest isn't linearizable. Each step is one that keeps a linearizable
// history linearizable, so what remains shows a fault of the whole history and none of the cutting:
//   - all that comes after a moment (calls that have not returned by then are open);
//   - a read or a refusal;
//   - a change whose result nothing that remains refers to;
//   - the first change of all, whose result becomes the initial state.
// Example: minimize({operations, RegisterState{}}, default_state_limit).operations
SmallHistory minimize(SmallHistory history, std::int64_t state_limit);

}  // namespace emberdale::history
