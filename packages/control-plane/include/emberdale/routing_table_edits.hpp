// A change of the routing table, applied to the register's state. Without I/O, clock or threads.
#pragma once
#include "emberdale/routing_table.hpp"
#include "emberdale/serving_plans.hpp"

namespace emberdale {

struct RoutingTableEditResult {
  EditResult edit;
  bool is_repeat = false;  // the same change was applied before: nothing is to be written
};
// As apply_edit, for the routing table. The request's action is "replace" or "amend", its expected version the revision
// that the change builds on; a stale one gives code 412.
RoutingTableEditResult apply_routing_table_edit(const FleetState& state, const EditRequest& edit,
                                                std::int64_t config_revision);

// The operator's document in force; empty if there is none.
std::string routing_table_document_of(const FleetState& state);

}  // namespace emberdale
