// A change of the traffic table worked out on the register's state.
#pragma once
#include "emberdale/routing_table.hpp"
#include "emberdale/serving_plans.hpp"

namespace emberdale {

// As apply_edit, for the traffic table: `edit.act` is "replace" or "amend", `edit.expected` the revision it builds on.
// is_repeat: the same change was taken before, nothing is to be written.
struct RoutingTableEditResult {
  EditResult edit;
  bool is_repeat = false;
};
// Example: apply_routing_table_edit(state, edit, state.config_revision + 1).edit.code == 412 for a stale base
RoutingTableEditResult apply_routing_table_edit(const FleetState& state, const EditRequest& edit,
                                                std::int64_t config_revision);

// The operator's document in force; empty if there is none. Example: routing_table_document_of(state)
std::string routing_table_document_of(const FleetState& state);

}  // namespace emberdale
