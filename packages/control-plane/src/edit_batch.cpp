#include "emberdale/edit_batch.hpp"

#include "emberdale/order_identity.hpp"
#include "emberdale/traffic_edits.hpp"

namespace emberdale {
namespace {
constexpr std::size_t done_kept = 64;

struct Step {
  EditResult result;
  bool is_applied = false;
};

Step already_there(Integer version) {
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

const Resource* resource_of(const std::vector<Resource>& resources, const EditAsk& ask) {
  auto found = std::find_if(resources.begin(), resources.end(),
                            [&](const Resource& known) { return known.kind == ask.kind && known.name == ask.name; });
  return found == resources.end() ? nullptr : &*found;
}

bool has_body_already(const FleetState& state, const EditAsk& ask, const EditResult& result) {
  const Resource* known = resource_of(state.resources, ask);
  const Resource* next = resource_of(result.resources, ask);
  return known != nullptr && next != nullptr && known->body == next->body;
}

Step ensure(const FleetState& state, EditAsk ask) {
  ask.act = "put";
  Step step;
  step.result = apply_edit(state, ask, state.config_revision + 1);
  step.is_applied = step.result.code < 300;
  if (step.is_applied && has_body_already(state, ask, step.result))
    return already_there(resource_of(state.resources, ask)->version);
  return step;
}

Step step_on(const FleetState& state, const EditAsk& ask, bool is_leader) {
  RecalledOrder recalled = recall_order(state.done, ask);
  if (recalled.memory == OrderMemory::done)
    return already_there(recalled.version);
  if (recalled.memory == OrderMemory::doubled_id)
    return refused(doubled_id_code, doubled_id_reason);
  if (!is_leader)
    return refused(503, "this daemon is master no more");
  if (ask.act == ensure_act)
    return ensure(state, ask);
  Step step;
  if (ask.kind == traffic_kind) {
    TrafficEditResult traffic = apply_traffic_edit(state, ask, state.config_revision + 1);
    step.result = std::move(traffic.edit);
    step.is_applied = step.result.code < 300 && !traffic.is_repeat;
  } else {
    step.result = apply_edit(state, ask, state.config_revision + 1);
    step.is_applied = step.result.code < 300;
  }
  return step;
}
}  // namespace

bool EditBatch::work_out(FleetState& state, bool is_leader) {
  bool is_changed = false;
  for (auto& edit : edits) {
    Step step = step_on(state, edit.ask, is_leader);
    if (step.is_applied) {
      is_changed = true;
      state.resources = std::move(step.result.resources);
      state.deleted_version = step.result.deleted_version;
      state.config_revision += 1;
      state.done.push_back({edit.ask.change, step.result.version, state.config_revision, order_digest(edit.ask)});
    }
    step.result.resources.clear();
    edit.result = std::move(step.result);
  }
  if (state.done.size() > done_kept)
    state.done.erase(state.done.begin(), state.done.end() - static_cast<std::ptrdiff_t>(done_kept));
  return is_changed;
}

}  // namespace emberdale
