#include "emberdale/edit_batch.hpp"

#include "emberdale/change_identity.hpp"
#include "emberdale/change_status.hpp"
#include "emberdale/routing_table_edits.hpp"

namespace emberdale {
namespace {
constexpr std::size_t completed_changes_kept = 64;

bool is_accepted(const EditResult& result) { return is_done(static_cast<ChangeStatus>(result.code)); }

struct Step {
  EditResult result;
  bool is_applied = false;
};

Step already_there(std::int64_t version) {
  Step step;
  step.result.version = version;
  return step;
}

Step refused(ChangeStatus status, const std::string& reason) {
  Step step;
  step.result.code = static_cast<int>(wire_code(status));
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
  step.is_applied = is_accepted(step.result);
  if (step.is_applied && has_body_already(state, request, step.result))
    return already_there(resource_of(state.resources, request)->version);
  return step;
}

Step step_on(const FleetState& state, const EditRequest& request, bool is_leader) {
  IdempotencyRecord record = find_completed_change(state.completed_changes, request);
  if (record.status == IdempotencyStatus::done)
    return already_there(record.version);
  if (record.status == IdempotencyStatus::conflicting_id)
    return refused(ChangeStatus::conflict, conflicting_id_reason);
  if (!is_leader)
    return refused(ChangeStatus::unavailable, "this daemon is master no more");
  if (request.action == EditAction::ensure)
    return ensure(state, request);
  Step step;
  if (request.kind == routing_table_kind) {
    RoutingTableEditResult edit = apply_routing_table_edit(state, request, state.config_revision + 1);
    step.result = std::move(edit.edit);
    step.is_applied = is_accepted(step.result) && !edit.is_repeat;
  } else {
    step.result = apply_edit(state, request, state.config_revision + 1);
    step.is_applied = is_accepted(step.result);
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
  if (state.completed_changes.size() > completed_changes_kept)
    state.completed_changes.erase(state.completed_changes.begin(),
                                  state.completed_changes.end() - static_cast<std::ptrdiff_t>(completed_changes_kept));
  return is_changed;
}

}  // namespace emberdale
