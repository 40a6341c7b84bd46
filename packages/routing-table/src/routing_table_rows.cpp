// Rendering of a routing table document as rows of the placement map.
#include <algorithm>
#include <nlohmann/json.hpp>

#include "emberdale/json_text.hpp"
#include "emberdale/routing_table.hpp"
#include "field_reader.hpp"
#include "routing_document.hpp"

namespace emberdale {
namespace {

using Json = nlohmann::json;

// Adds a row for each item of the list that has a name.
void add_item_rows(const Json& document, const char* list, const std::string& key_prefix,
                   std::vector<RoutingTableRow>& rows) {
  const Json* items = FieldReader::find(document, list);
  if (items == nullptr || !items->is_array())
    return;
  for (const Json& item : *items) {
    const Json* name = item.is_object() ? FieldReader::find(item, "name") : nullptr;
    if (name != nullptr && name->is_string())
      rows.push_back({key_prefix + name->get<std::string>(), json_text(item)});
  }
}

}  // namespace

std::vector<RoutingTableRow> split_routing_table(const std::string& body) {
  std::vector<RoutingTableRow> rows;
  std::vector<Finding> findings;
  auto document = parse_routing_document(body, findings);
  if (!document)
    return rows;
  rows.push_back({"limits", json_text(document->value("limits", Json::object()))});
  rows.push_back({"revision", json_text(document->value("revision", Json(0)))});
  add_item_rows(*document, "pools", "pool/", rows);
  add_item_rows(*document, "routes", "route/", rows);
  std::sort(rows.begin(), rows.end());
  return rows;
}

}  // namespace emberdale
