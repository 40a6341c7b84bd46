#include "emberdale/routing_table_edits.hpp"

#include <algorithm>

namespace emberdale {
namespace {
const Resource* table_of(const std::vector<Resource>& resources) {
  auto found = std::find_if(resources.begin(), resources.end(), [](const Resource& r) {
    return r.kind == routing_table_kind && r.name == routing_table_name;
  });
  return found == resources.end() ? nullptr : &*found;
}
}  // namespace

RoutingTableEditResult apply_routing_table_edit(const FleetState& state, const EditRequest& edit,
                                                std::int64_t config_revision) {
  RoutingTableEditResult result;
  result.edit.resources = state.resources;
  result.edit.deleted_version = state.deleted_version;
  const Resource* known = table_of(state.resources);
  RoutingTableChange change = change_routing_table(known == nullptr ? "" : known->body, to_string(edit.action),
                                                   edit.expected_version, edit.body);
  result.edit.code = change.code;
  result.edit.version = change.revision;
  result.edit.findings = change.findings;
  result.edit.reason = change.reason;
  result.is_repeat = change.is_repeat;
  if (change.code != 200 || change.is_repeat)
    return result;
  Resource next{routing_table_kind, routing_table_name, change.revision, config_revision, change.stored};
  if (known == nullptr)
    result.edit.resources.push_back(std::move(next));
  else
    result.edit.resources[static_cast<std::size_t>(known - state.resources.data())] = std::move(next);
  return result;
}

std::string routing_table_document_of(const FleetState& state) {
  const Resource* known = table_of(state.resources);
  return known == nullptr ? "" : routing_table_document(known->body);
}

}  // namespace emberdale
