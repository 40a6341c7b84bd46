// A change of the traffic table worked out on the register's state.
#pragma once
#include "emberdale/serving_plans.hpp"
#include "emberdale/traffic_table.hpp"

namespace emberdale {

// As apply_edit, for the traffic table: `edit.act` is "replace" or "amend", `edit.expected` the revision it builds on.
// is_repeat: the same change was taken before, nothing is to be written.
struct TrafficEditResult {
  EditResult edit;
  bool is_repeat = false;
};
// Example: apply_traffic_edit(state, edit, state.config_revision + 1).edit.code == 412 for a stale base
TrafficEditResult apply_traffic_edit(const FleetState& state, const EditAsk& edit, Integer config_revision);

// The operator's document in force; empty if there is none. Example: traffic_document_of(state)
std::string traffic_document_of(const FleetState& state);

}  // namespace emberdale
