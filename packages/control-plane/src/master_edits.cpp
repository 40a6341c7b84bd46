#include "emberdale/master_edits.hpp"
#include "emberdale/change_identity.hpp"
#include "emberdale/json_text.hpp"
#include "emberdale/routing_table.hpp"

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>

namespace emberdale {
namespace {
using Json = nlohmann::json;
constexpr Duration edit_patience{4000};
constexpr std::size_t answered_kept = 512;
// A write carries at most so many edits, and so many of them on the traffic table, which take longest to work out.
constexpr std::size_t batch_bound = 16, batch_table_bound = 4;

// What is told where the register was not changed by an edit.
EditResponse answer_without_change(const EditResult& result, const ChangeEnd& ended) {
  EditResponse response;
  if (ended.kind == ChangeEnd::Kind::committed) {
    response.code = result.code;
    response.version = result.version;
    response.body = json_text(Json{{"reason", result.reason},
                                   {"outcome", result.code == 504 ? "unknown" : "refused"},
                                   {"version", result.version},
                                   {"findings", Json::parse(findings_json(result.findings))}});
  } else if (ended.kind == ChangeEnd::Kind::no_majority) {
    response.code = 503;
    response.body = reason_body(ended.reason, "refused");
  } else {
    response.code = 504;
    response.body = reason_body(ended.reason + "; read it back", "unknown");
  }
  return response;
}
}  // namespace

void MasterEdits::begin() {
  answered_.clear();
  answered_order_.clear();
  attempted_minimum_version_ = proposer_.state().minimum_version;
  is_in_flight_ = is_outcome_open_ = false;
}

void MasterEdits::take(Edit edit, TimePoint now) {
  auto known = answered_.find(edit.request.change_id);
  if (!edit.from.empty() && known != answered_.end()) {
    if (!(known->second.digest == change_digest(edit.request)))
      return refuse_conflicting_id(std::move(edit), now);
    edit.response = known->second.response;
    ended_.push_back(std::move(edit));
    return;
  }
  auto in_hand = std::find_if(edits_.begin(), edits_.end(),
                              [&](const Edit& other) { return other.request.change_id == edit.request.change_id; });
  if (in_hand != edits_.end()) {
    if (!(change_digest(in_hand->request) == change_digest(edit.request)))
      refuse_conflicting_id(std::move(edit), now);
    return;
  }
  edit.deadline = now + edit_patience;
  edits_.push_back(std::move(edit));
}

bool MasterEdits::knows(const std::string& change) const {
  return answered_.count(change) != 0 ||
         std::any_of(edits_.begin(), edits_.end(), [&](const Edit& edit) { return edit.request.change_id == change; });
}

// An edit is worked out in the term in which it was taken in, or never: what came in a later term may have been asked
// later, and been acknowledged by a leader in between.
void MasterEdits::end_those_of_earlier_terms() {
  for (std::size_t i = 0; i < edits_.size();) {
    if (edits_[i].is_committed || edits_[i].request.term == election_.term()) {
      ++i;
      continue;
    }
    EditResponse response;
    response.code = 503;
    response.body = reason_body("taken in in an earlier term of this leader", "refused");
    end(i, std::move(response));
  }
}

void MasterEdits::count_conflicting_id(const Edit& edit, TimePoint now) {
  if (++counts_.conflicting_ids == 1)  // told once, counted always
    journal_.append(now, "doubled_id", edit.from.text + " " + edit.request.change_id);
}

void MasterEdits::refuse_conflicting_id(Edit edit, TimePoint now) {
  count_conflicting_id(edit, now);
  edit.response = EditResponse{edit.request.request_id, conflicting_id_code, 0,
                               reason_body(conflicting_id_reason, "refused"), edit.request.term};
  ended_.push_back(std::move(edit));
}

void MasterEdits::end(std::size_t at, EditResponse response) {
  Edit edit = std::move(edits_[at]);
  edits_.erase(edits_.begin() + static_cast<std::ptrdiff_t>(at));
  if (response.code == 503 && edit.has_copies) {
    response.code = 504;
    response.body = reason_body("an earlier master may have done it; read it back", "unknown");
  }
  response.request_id = edit.request.request_id;
  response.term = edit.request.term;
  if (response.code == 504)
    ++counts_.unknown;
  if (!edit.from.empty()) {
    answered_[edit.request.change_id] = Answered{change_digest(edit.request), response};
    answered_order_.push_back(edit.request.change_id);
    if (answered_order_.size() > answered_kept) {
      answered_.erase(answered_order_.front());
      answered_order_.pop_front();
    }
  }
  edit.response = std::move(response);
  ended_.push_back(std::move(edit));
}

void MasterEdits::run(const MapVersion& map_version, TimePoint now) {
  if (!election_.is_master() || is_open())
    return;
  end_those_of_earlier_terms();
  auto batch = std::make_shared<EditBatch>(next_batch());
  if (batch->edits.empty())
    return;
  is_in_flight_ = true;
  for (const auto& worked_out : batch->edits)
    in_flight_.insert(worked_out.request.change_id);
  counts_.edits += static_cast<std::int64_t>(batch->edits.size());
  ++counts_.writes;
  std::int64_t term = election_.term();
  std::int64_t last = map_version.term == term ? map_version.number : 0;
  attempted_minimum_version_ = MapVersion{
      term, std::max({last, attempted_minimum_version_.number, proposer_.state().minimum_version.number}) + 1};
  last = attempted_minimum_version_.number - 1;
  proposer_.change(
      [batch, term, self = self_, last](const FleetState& state) -> Verdict {
        bool is_leader = state.term == term && state.master == self;
        FleetState changed = state;
        if (!batch->work_out(changed, is_leader))
          return {Verdict::Kind::already_there, {}, ""};
        // One write makes the changes durable and holds every map that does not cover them.
        changed.minimum_version = MapVersion{term, std::max(last, state.minimum_version.number) + 1};
        return {Verdict::Kind::apply, changed, ""};
      },
      [this, batch, now](const ChangeEnd& end) { on_change_end(*batch, end, now); }, now, edit_patience);
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

void MasterEdits::on_change_end(const EditBatch& batch, const ChangeEnd& ended, TimePoint now) {
  is_in_flight_ = false;
  in_flight_.clear();
  if (ended.kind == ChangeEnd::Kind::unknown)
    is_outcome_open_ = true;
  for (const auto& worked_out : batch.edits) {
    auto edit = std::find_if(edits_.begin(), edits_.end(), [&](const Edit& other) {
      return other.request.change_id == worked_out.request.change_id && !other.is_committed;
    });
    if (edit == edits_.end())
      continue;
    if (worked_out.result.code == conflicting_id_code && ended.kind == ChangeEnd::Kind::committed)
      count_conflicting_id(*edit, now);
    if (ended.kind == ChangeEnd::Kind::committed && worked_out.result.code < 300)
      commit(*edit, worked_out.result, ended.state, now);
    else
      end(static_cast<std::size_t>(edit - edits_.begin()), answer_without_change(worked_out.result, ended));
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

// The next master, picked by highest state version, then has the acknowledged change too.
void MasterEdits::settle(const MapVersion& map_version, const std::function<std::size_t(const MapVersion&)>& holders,
                         TimePoint now) {
  std::size_t size = proposer_.has_state() ? proposer_.state().roster.size() : 0;
  for (std::size_t i = 0; i < edits_.size();) {
    Edit& edit = edits_[i];
    if (edit.is_committed && election_.is_master() && edit.covered_by <= map_version) {
      // In the term after a master that may still grant leases for its maps, not before its word has lapsed.
      bool is_early = lease_.is_waiting(now);
      if (is_early)
        edit.deadline = std::max(edit.deadline, lease_.leading_since() + lease_.ack_wait() + Duration{1000});
      if (edit.block.until.value > 0 && edit.from.empty())
        edit.deadline = std::min(edit.deadline, edit.block.until);
      if (!is_early && holders(edit.covered_by) >= size / 2 + 1) {
        end(i, edit.response);
        continue;
      }
    }
    bool is_over = (edit.deadline <= now || !election_.is_master()) && !is_in_flight_;
    if (!is_over) {
      ++i;
      continue;
    }
    EditResponse response;
    response.code = edit.is_committed ? 504 : 503;
    response.body = edit.is_committed ? reason_body("durable, but not yet seen in force; read it back", "unknown")
                                      : reason_body("this daemon is master no more", "refused");
    end(i, std::move(response));
  }
}

void MasterEdits::end_all() {
  while (!edits_.empty()) {
    const Edit& edit = edits_.front();
    bool may_be_durable = edit.is_committed || in_flight_.count(edit.request.change_id) != 0;
    EditResponse response;
    response.code = may_be_durable ? 504 : 503;
    response.body = may_be_durable ? reason_body("this daemon stops; read it back", "unknown")
                                   : reason_body("this daemon stops", "refused");
    end(0, std::move(response));
  }
}

void MasterEdits::on_timer(TimePoint now) {
  if (!is_outcome_open_ || is_in_flight_ || proposer_.changes_in_hand() != 0)
    return;
  // Carry whatever is newest through once more: then it is known whether ours was in.
  proposer_.change(
      [](const FleetState&) {
        return Verdict{Verdict::Kind::already_there, {}, ""};
      },
      [this](const ChangeEnd& end) {
        if (end.kind == ChangeEnd::Kind::committed)
          is_outcome_open_ = false;
      },
      now, Duration{2000});
}

}  // namespace emberdale
