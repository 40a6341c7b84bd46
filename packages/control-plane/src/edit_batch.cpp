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

Step step_on(const FleetState& state, const EditAsk& ask, bool is_leader) {
  RecalledOrder recalled = recall_order(state.done, ask);
  if (recalled.memory == OrderMemory::done)
    return already_there(recalled.version);
  if (recalled.memory == OrderMemory::doubled_id)
    return refused(doubled_id_code, doubled_id_reason);
  if (!is_leader)
    return refused(503, "this daemon is master no more");
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
