#include "emberdale/traffic_edits.hpp"

#include <algorithm>

namespace emberdale {
namespace {
const Resource* table_of(const std::vector<Resource>& resources) {
  auto found = std::find_if(resources.begin(), resources.end(),
                            [](const Resource& r) { return r.kind == traffic_kind && r.name == traffic_name; });
  return found == resources.end() ? nullptr : &*found;
}
}  // namespace

TrafficEditResult apply_traffic_edit(const FleetState& state, const EditAsk& edit, Integer config_revision) {
  TrafficEditResult result;
  result.edit.resources = state.resources;
  result.edit.deleted_version = state.deleted_version;
  const Resource* known = table_of(state.resources);
  TrafficChange change = change_traffic_table(known == nullptr ? "" : known->body, edit.act, edit.expected, edit.body);
  result.edit.code = change.code;
  result.edit.version = change.revision;
  result.edit.findings = change.findings;
  result.edit.reason = change.reason;
  result.is_repeat = change.is_repeat;
  if (change.code != 200 || change.is_repeat)
    return result;
  Resource next{traffic_kind, traffic_name, change.revision, config_revision, change.stored};
  if (known == nullptr)
    result.edit.resources.push_back(std::move(next));
  else
    result.edit.resources[static_cast<std::size_t>(known - state.resources.data())] = std::move(next);
  return result;
}

std::string traffic_document_of(const FleetState& state) {
  const Resource* known = table_of(state.resources);
  return known == nullptr ? "" : traffic_document(known->body);
}

}  // namespace emberdale
