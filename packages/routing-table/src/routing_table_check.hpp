// Reads a whole routing table document and checks the rules between its items.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "emberdale/routing_table.hpp"

namespace emberdale {

// The table that the document describes, or nothing (and errors in the findings). Places are those of the document;
// the findings have no lines and columns yet.
std::optional<RoutingTable> check_routing_document(const nlohmann::json& document, std::vector<Finding>& findings);

}  // namespace emberdale
