// Reads the items of a routing table document: each by itself, without the rules between them.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "emberdale/routing_table.hpp"
#include "field_reader.hpp"

namespace emberdale {

// Each reads as far as it can; whether the value is sound is known to the reader. `place` is the item's JSON pointer.
Route read_route(const nlohmann::json& item, const std::string& place, FieldReader& reader);
RoutePool read_pool(const nlohmann::json& item, const std::string& place, FieldReader& reader);
RequestLimits read_limits(const nlohmann::json& item, const std::string& place, FieldReader& reader);
// The document's revision, a whole number above 0.
std::int64_t read_revision(const nlohmann::json& document, FieldReader& reader);

}  // namespace emberdale
