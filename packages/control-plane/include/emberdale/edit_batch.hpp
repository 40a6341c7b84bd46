// Edits that are worked out together, each on the state that the one before it left, for one write of the register.
// Without I/O, clock or threads.
#pragma once
#include <vector>

#include "emberdale/messages.hpp"
#include "emberdale/serving_plans.hpp"

namespace emberdale {

struct WorkedOutEdit {
  EditRequest request;
  EditResult result;  // its own verdict; without the resources, which are in the state
};

// Example:
//   EditBatch batch{{{first, {}}, {second, {}}}}; FleetState changed = state;
//   if (batch.work_out(changed, true)) write(changed);      // else each was refused, or was there already
struct EditBatch {
  std::vector<WorkedOutEdit> edits;
  // Works all out anew on that state, and changes it. True if it differs from what was found: it is to be written, and
  // the verdicts hold once it is chosen. A leader that is none any more applies nothing.
  bool work_out(FleetState& state, bool is_leader);
};

}  // namespace emberdale
