#include "emberdale/edit_batch.hpp"

#include "emberdale/change_identity.hpp"
#include "emberdale/routing_table_edits.hpp"

namespace emberdale {
namespace {
constexpr std::size_t done_kept = 64;

struct Step {
  EditResult result;
  bool is_applied = false;
};

Step already_there(std::int64_t version) {
  Step step;
  step.result.version = version;
  return step;
}

Step refused(int code, const std::string& reason) {
  Step step;
  step.result.code = code;
  step.result.reason = reason;
  return step;
}

const Resource* resource_of(const std::vector<Resource>& resources, const EditRequest& request) {
  auto found = std::find_if(resources.begin(), resources.end(), [&](const Resource& known) {
    return known.kind == request.kind && known.name == request.name;
  });
  return found == resources.end() ? nullptr : &*found;
}

bool has_body_already(const FleetState& state, const EditRequest& request, const EditResult& result) {
  const Resource* known = resource_of(state.resources, request);
  const Resource* next = resource_of(result.resources, request);
  return known != nullptr && next != nullptr && known->body == next->body;
}

Step ensure(const FleetState& state, EditRequest request) {
  request.action = EditAction::put;
  Step step;
  step.result = apply_edit(state, request, state.config_revision + 1);
  step.is_applied = step.result.code < 300;
  if (step.is_applied && has_body_already(state, request, step.result))
    return already_there(resource_of(state.resources, request)->version);
  return step;
}

Step step_on(const FleetState& state, const EditRequest& request, bool is_leader) {
  IdempotencyRecord recalled = find_completed_change(state.completed_changes, request);
  if (recalled.memory == IdempotencyStatus::done)
    return already_there(recalled.version);
  if (recalled.memory == IdempotencyStatus::conflicting_id)
    return refused(conflicting_id_code, conflicting_id_reason);
  if (!is_leader)
    return refused(503, "this daemon is master no more");
  if (request.action == EditAction::ensure)
    return ensure(state, request);
  Step step;
  if (request.kind == routing_table_kind) {
    RoutingTableEditResult traffic = apply_routing_table_edit(state, request, state.config_revision + 1);
    step.result = std::move(traffic.edit);
    step.is_applied = step.result.code < 300 && !traffic.is_repeat;
  } else {
    step.result = apply_edit(state, request, state.config_revision + 1);
    step.is_applied = step.result.code < 300;
  }
  return step;
}
}  // namespace

bool EditBatch::work_out(FleetState& state, bool is_leader) {
  bool is_changed = false;
  for (auto& edit : edits) {
    Step step = step_on(state, edit.request, is_leader);
    if (step.is_applied) {
      is_changed = true;
      state.resources = std::move(step.result.resources);
      state.deleted_version = step.result.deleted_version;
      state.config_revision += 1;
      state.completed_changes.push_back(
          {edit.request.change_id, step.result.version, state.config_revision, change_digest(edit.request)});
    }
    step.result.resources.clear();
    edit.result = std::move(step.result);
  }
  if (state.completed_changes.size() > done_kept)
    state.completed_changes.erase(state.completed_changes.begin(),
                                  state.completed_changes.end() - static_cast<std::ptrdiff_t>(done_kept));
  return is_changed;
}

}  // namespace emberdale
