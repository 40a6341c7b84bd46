#include "emberdale/master_edits.hpp"

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>

#include "emberdale/change_identity.hpp"
#include "emberdale/change_status.hpp"
#include "emberdale/json_text.hpp"
#include "emberdale/routing_table.hpp"

namespace emberdale {
namespace {
using Json = nlohmann::json;
constexpr Duration edit_timeout{4000};
constexpr Duration confirmation_timeout{2000};  // of the write that settles an unknown result
constexpr Duration map_timeout{1000};           // from the end of the acknowledgement wait until a map has to cover it
constexpr std::size_t responses_kept = 512;
// One write carries at most so many changes, and so many of them of the routing table, which cost most to apply.
constexpr std::size_t batch_bound = 16, batch_table_bound = 4;
// Numbers that a write leaves free before its own, for the maps that are published while it is open.
constexpr std::int64_t maps_beside_write = 1000;

// The verdict on a change that was worked out on the register's state and is not applied.
EditResponse refusal_of(const EditResult& result) {
  EditResponse response;
  response.code = result.code;
  response.version = result.version;
  bool is_unknown = status_of(response) == ChangeStatus::unknown;
  response.body = json_text(Json{{"reason", result.reason},
                                 {"outcome", is_unknown ? "unknown" : "refused"},
                                 {"version", result.version},
                                 {"findings", Json::parse(findings_json(result.findings))}});
  return response;
}

// The response to a change that was not applied, or of which that is not known.
EditResponse response_without_change(const EditResult& result, const ChangeResult& ended) {
  switch (ended.kind) {
    case ChangeResult::Kind::committed:
      return refusal_of(result);
    case ChangeResult::Kind::no_majority:
      return edit_failure(ChangeStatus::unavailable, ended.reason);
    default:
      return edit_failure(ChangeStatus::unknown, ended.reason + "; read it back");
  }
}

// Whether the register holds the change: it was applied, or is there already.
bool is_in_register(const EditResult& result, const ChangeResult& ended) {
  return ended.kind == ChangeResult::Kind::committed && is_done(static_cast<ChangeStatus>(result.code));
}
}  // namespace

void MasterEdits::begin() {
  responses_.clear();
  response_order_.clear();
  attempted_minimum_version_ = proposer_.state().minimum_version;
  is_in_flight_ = is_outcome_open_ = false;
}

bool MasterEdits::is_answered(const Edit& edit) const {
  return !edit.from.empty() && responses_.count(edit.request.change_id) != 0;
}

void MasterEdits::repeat_response(Edit edit, TimePoint now) {
  const KeptResponse& kept = responses_.at(edit.request.change_id);
  if (!(kept.digest == change_digest(edit.request)))
    return refuse_conflicting_id(std::move(edit), now);
  edit.response = kept.response;
  ended_.push_back(std::move(edit));
}

void MasterEdits::take(Edit edit, TimePoint now) {
  if (is_answered(edit))
    return repeat_response(std::move(edit), now);
  auto same_id = std::find_if(edits_.begin(), edits_.end(),
                              [&](const Edit& other) { return other.request.change_id == edit.request.change_id; });
  if (same_id == edits_.end()) {
    edit.deadline = now + edit_timeout;
    edits_.push_back(std::move(edit));
  } else if (!(change_digest(same_id->request) == change_digest(edit.request))) {
    refuse_conflicting_id(std::move(edit), now);
  }
}

bool MasterEdits::knows(const std::string& change_id) const {
  return responses_.count(change_id) != 0 || std::any_of(edits_.begin(), edits_.end(), [&](const Edit& edit) {
           return edit.request.change_id == change_id;
         });
}

// An edit is worked out in the term in which it was taken in, or never: what came in a later term may have been asked
// later, and been acknowledged by a leader in between.
void MasterEdits::end_edits_of_earlier_terms() {
  for (std::size_t i = 0; i < edits_.size();) {
    if (edits_[i].is_committed || edits_[i].request.term == election_.term()) {
      ++i;
      continue;
    }
    end(i, edit_failure(ChangeStatus::unavailable, "taken in in an earlier term of this leader"));
  }
}

void MasterEdits::count_conflicting_id(const Edit& edit, TimePoint now) {
  if (++counts_.conflicting_ids == 1)  // the first is an event, all are counted
    journal_.append(now, "doubled_id", edit.from.text + " " + edit.request.change_id);
}

void MasterEdits::refuse_conflicting_id(Edit edit, TimePoint now) {
  count_conflicting_id(edit, now);
  edit.response = edit_failure(ChangeStatus::conflict, conflicting_id_reason);
  edit.response.request_id = edit.request.request_id;
  edit.response.term = edit.request.term;
  ended_.push_back(std::move(edit));
}

void MasterEdits::end(std::size_t at, EditResponse response) {
  Edit edit = std::move(edits_[at]);
  edits_.erase(edits_.begin() + static_cast<std::ptrdiff_t>(at));
  if (status_of(response) == ChangeStatus::unavailable && edit.has_copies) {
    EditResponse unknown = edit_failure(ChangeStatus::unknown, "an earlier master may have done it; read it back");
    response.code = unknown.code;
    response.body = std::move(unknown.body);
  }
  response.request_id = edit.request.request_id;
  response.term = edit.request.term;
  if (status_of(response) == ChangeStatus::unknown)
    ++counts_.unknown;
  if (!edit.from.empty())
    keep_response(edit.request, response);
  edit.response = std::move(response);
  ended_.push_back(std::move(edit));
}

void MasterEdits::keep_response(const EditRequest& request, const EditResponse& response) {
  responses_[request.change_id] = KeptResponse{change_digest(request), response};
  response_order_.push_back(request.change_id);
  if (response_order_.size() <= responses_kept)
    return;
  responses_.erase(response_order_.front());
  response_order_.pop_front();
}

void MasterEdits::run(const MapVersion& map_version, TimePoint now) {
  if (!election_.is_master() || is_open())
    return;
  end_edits_of_earlier_terms();
  auto batch = std::make_shared<EditBatch>(next_batch());
  if (batch->edits.empty())
    return;
  is_in_flight_ = true;
  for (const auto& worked_out : batch->edits)
    in_flight_.insert(worked_out.request.change_id);
  counts_.edits += static_cast<std::int64_t>(batch->edits.size());
  ++counts_.writes;
  write(std::move(batch), reserve_map_number(map_version), now);
}

// The number of the map that covers the next write. It stands for that write alone, whether it is chosen or not. The
// numbers just below it are for maps of the state before the write.
std::int64_t MasterEdits::reserve_map_number(const MapVersion& map_version) {
  std::int64_t term = election_.term();
  std::int64_t published = map_version.term == term ? map_version.number : 0;
  std::int64_t number =
      std::max({published, attempted_minimum_version_.number, proposer_.state().minimum_version.number}) + 1 +
      maps_beside_write;
  attempted_minimum_version_ = MapVersion{term, number};
  return number;
}

void MasterEdits::write(std::shared_ptr<EditBatch> batch, std::int64_t map_number, TimePoint now) {
  proposer_.change(
      [batch, term = election_.term(), self = self_, last = map_number - 1](const FleetState& state) -> ChangeDecision {
        bool is_leader = state.term == term && state.master == self;
        FleetState changed = state;
        if (!batch->work_out(changed, is_leader))
          return {ChangeDecision::Kind::already_there, {}, ""};
        // One write makes the changes durable and fences every map that does not cover them.
        changed.minimum_version = MapVersion{term, std::max(last, state.minimum_version.number) + 1};
        return {ChangeDecision::Kind::apply, changed, ""};
      },
      [this, batch, now](const ChangeResult& end) { on_change_end(*batch, end, now); }, now, edit_timeout);
}

EditBatch MasterEdits::next_batch() const {
  EditBatch batch;
  std::size_t tables = 0;
  for (const auto& edit : edits_) {
    if (edit.is_committed)
      continue;
    tables += edit.request.kind == routing_table_kind ? 1 : 0;
    if (batch.edits.size() == batch_bound || tables > batch_table_bound)
      break;  // in order of arrival: none overtakes another
    batch.edits.push_back({edit.request, {}});
  }
  return batch;
}

void MasterEdits::on_change_end(const EditBatch& batch, const ChangeResult& ended, TimePoint now) {
  is_in_flight_ = false;
  in_flight_.clear();
  if (ended.kind == ChangeResult::Kind::unknown)
    is_outcome_open_ = true;
  for (const auto& worked_out : batch.edits) {
    auto edit = std::find_if(edits_.begin(), edits_.end(), [&](const Edit& other) {
      return other.request.change_id == worked_out.request.change_id && !other.is_committed;
    });
    if (edit == edits_.end())
      continue;
    bool has_conflicting_id = static_cast<ChangeStatus>(worked_out.result.code) == ChangeStatus::conflict;
    if (has_conflicting_id && ended.kind == ChangeResult::Kind::committed)
      count_conflicting_id(*edit, now);
    if (is_in_register(worked_out.result, ended))
      commit(*edit, worked_out.result, ended.state, now);
    else
      end(static_cast<std::size_t>(edit - edits_.begin()), response_without_change(worked_out.result, ended));
  }
}

void MasterEdits::commit(Edit& edit, const EditResult& result, const FleetState& state, TimePoint now) {
  edit.is_committed = true;
  edit.covered_by = state.minimum_version;
  Json body{{"version", result.version},
            {"config_revision", state.config_revision},
            {"map_version", show(state.minimum_version)},
            {"findings", Json::parse(findings_json(result.findings))}};
  edit.response = EditResponse{0, result.code, result.version, json_text(body), 0, 0};
  journal_.append(now, "edit",
                  to_string(edit.request.action) + " " + edit.request.kind + "/" + edit.request.name + " version " +
                      std::to_string(result.version));
}

// Once a majority of the roster holds a map that covers the change, the next master, picked by highest state version,
// has the acknowledged change too.
void MasterEdits::settle(const MapVersion& map_version, const std::function<std::size_t(const MapVersion&)>& holders,
                         TimePoint now) {
  std::size_t roster_size = proposer_.has_state() ? proposer_.state().roster.size() : 0;
  std::size_t majority = roster_size / 2 + 1;
  for (std::size_t i = 0; i < edits_.size();) {
    Edit& edit = edits_[i];
    bool is_covered = edit.is_committed && election_.is_master() && edit.covered_by <= map_version;
    if (is_covered)
      adjust_deadline(edit, now);
    if (is_covered && !lease_.is_waiting(now) && holders(edit.covered_by) >= majority)
      end(i, edit.response);
    else if (is_expired(edit, now))
      end(i, response_of_expired(edit));
    else
      ++i;
  }
}

// In the term after a master that may still grant leases for its maps, nothing is acknowledged before these have ended.
void MasterEdits::adjust_deadline(Edit& edit, TimePoint now) const {
  if (lease_.is_waiting(now))
    edit.deadline = std::max(edit.deadline, lease_.leading_since() + lease_.ack_wait() + map_timeout);
  if (edit.block.has_deadline() && edit.from.empty())
    edit.deadline = std::min(edit.deadline, edit.block.until);
}

bool MasterEdits::is_expired(const Edit& edit, TimePoint now) const {
  return (edit.deadline <= now || !election_.is_master()) && !is_in_flight_;
}

EditResponse MasterEdits::response_of_expired(const Edit& edit) {
  if (edit.is_committed)
    return edit_failure(ChangeStatus::unknown, "durable, but not yet seen in force; read it back");
  return edit_failure(ChangeStatus::unavailable, "this daemon is master no more");
}

void MasterEdits::end_all() {
  while (!edits_.empty()) {
    const Edit& edit = edits_.front();
    bool may_be_durable = edit.is_committed || in_flight_.count(edit.request.change_id) != 0;
    end(0, may_be_durable ? edit_failure(ChangeStatus::unknown, "this daemon stops; read it back")
                          : edit_failure(ChangeStatus::unavailable, "this daemon stops"));
  }
}

void MasterEdits::on_timer(TimePoint now) {
  if (!is_outcome_open_ || is_in_flight_ || proposer_.changes_in_hand() != 0)
    return;
  // The newest value is written once more: once that is chosen, it is known whether the earlier write was.
  proposer_.change(
      [](const FleetState&) {
        return ChangeDecision{ChangeDecision::Kind::already_there, {}, ""};
      },
      [this](const ChangeResult& end) {
        if (end.kind == ChangeResult::Kind::committed)
          is_outcome_open_ = false;
      },
      now, confirmation_timeout);
}

}  // namespace emberdale
