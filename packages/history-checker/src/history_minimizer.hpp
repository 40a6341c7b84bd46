// The smallest part of a history that still isn't linearizable.
#pragma once
#include <vector>

#include "emberdale/linearizability.hpp"

namespace emberdale::history {

struct SmallHistory {
  std::vector<Operation> operations;
  RegisterState initial;
};

// Leaves out calls one after the other while the rest isn't linearizable. Each step is one that keeps a linearizable
// history linearizable, so what remains shows a fault of the whole history and none of the cutting:
//   - all that comes after a moment (calls that have not returned by then are open);
//   - a read or a refusal;
//   - a change whose result nothing that remains refers to;
//   - the first change of all, whose result becomes the initial state.
// Example: minimize({operations, RegisterState{}}, default_state_limit).operations
SmallHistory minimize(SmallHistory history, std::int64_t state_limit);

}  // namespace emberdale::history
