// Configuration changes that are applied together, each on the state that the one before it left, by one write of the
// register. Without I/O, clock or threads.
#pragma once
#include <vector>

#include "emberdale/messages.hpp"
#include "emberdale/serving_plans.hpp"

namespace emberdale {

struct WorkedOutEdit {
  EditRequest request;
  EditResult result;  // of this change alone; without the resources, which are in the state
};

struct EditBatch {
  std::vector<WorkedOutEdit> edits;  // in order of arrival
  // Applies all changes to that state, and sets the result of each; may be called again for another state. True if the
  // state has changed: it is to be written, and the results hold once it is chosen. Else each change was refused or
  // done before. A daemon that is master no more (`is_leader` false) applies nothing.
  bool work_out(FleetState& state, bool is_leader);
};

}  // namespace emberdale
