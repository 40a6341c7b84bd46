#include "emberdale/master_edits.hpp"
#include "emberdale/json_text.hpp"
#include "emberdale/order_identity.hpp"
#include "emberdale/traffic_table.hpp"

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>

namespace emberdale {
namespace {
using Json = nlohmann::json;
constexpr Span edit_patience{4000};
constexpr std::size_t answered_kept = 512;
// A write carries at most so many edits, and so many of them on the traffic table, which take longest to work out.
constexpr std::size_t batch_bound = 16, batch_table_bound = 4;

// What is told where the register was not changed by an edit.
EditAnswer answer_without_change(const EditResult& result, const ChangeEnd& ended) {
  EditAnswer answer;
  if (ended.kind == ChangeEnd::Kind::committed) {
    answer.code = result.code;
    answer.version = result.version;
    answer.body = json_text(Json{{"reason", result.reason},
                                 {"outcome", result.code == 504 ? "unknown" : "refused"},
                                 {"version", result.version},
                                 {"findings", Json::parse(findings_json(result.findings))}});
  } else if (ended.kind == ChangeEnd::Kind::no_majority) {
    answer.code = 503;
    answer.body = reason_body(ended.reason, "refused");
  } else {
    answer.code = 504;
    answer.body = reason_body(ended.reason + "; read it back", "unknown");
  }
  return answer;
}
}  // namespace

void MasterEdits::begin() {
  answered_.clear();
  answered_order_.clear();
  attempted_minimum_version_ = proposer_.state().minimum_version;
  is_in_flight_ = is_outcome_open_ = false;
}

void MasterEdits::take(Edit edit, Moment now) {
  auto known = answered_.find(edit.ask.change);
  if (!edit.from.empty() && known != answered_.end()) {
    if (!(known->second.digest == order_digest(edit.ask)))
      return refuse_doubled_id(std::move(edit), now);
    edit.answer = known->second.answer;
    ended_.push_back(std::move(edit));
    return;
  }
  auto in_hand = std::find_if(edits_.begin(), edits_.end(),
                              [&](const Edit& other) { return other.ask.change == edit.ask.change; });
  if (in_hand != edits_.end()) {
    if (!(order_digest(in_hand->ask) == order_digest(edit.ask)))
      refuse_doubled_id(std::move(edit), now);
    return;
  }
  edit.deadline = now + edit_patience;
  edits_.push_back(std::move(edit));
}

bool MasterEdits::knows(const std::string& change) const {
  return answered_.count(change) != 0 ||
         std::any_of(edits_.begin(), edits_.end(), [&](const Edit& edit) { return edit.ask.change == change; });
}

// An edit is worked out in the term in which it was taken in, or never: what came in a later term may have been asked
// later, and been acknowledged by a leader in between.
void MasterEdits::end_those_of_earlier_terms() {
  for (std::size_t i = 0; i < edits_.size();) {
    if (edits_[i].is_committed || edits_[i].ask.term == election_.term()) {
      ++i;
      continue;
    }
    EditAnswer answer;
    answer.code = 503;
    answer.body = reason_body("taken in in an earlier term of this leader", "refused");
    end(i, std::move(answer));
  }
}

void MasterEdits::count_doubled_id(const Edit& edit, Moment now) {
  if (++counts_.doubled_ids == 1)  // told once, counted always
    journal_.append(now, "doubled_id", edit.from.text + " " + edit.ask.change);
}

void MasterEdits::refuse_doubled_id(Edit edit, Moment now) {
  count_doubled_id(edit, now);
  edit.answer = EditAnswer{edit.ask.ask, doubled_id_code, 0, reason_body(doubled_id_reason, "refused"), edit.ask.term};
  ended_.push_back(std::move(edit));
}

void MasterEdits::end(std::size_t at, EditAnswer answer) {
  Edit edit = std::move(edits_[at]);
  edits_.erase(edits_.begin() + static_cast<std::ptrdiff_t>(at));
  if (answer.code == 503 && edit.has_copies) {
    answer.code = 504;
    answer.body = reason_body("an earlier master may have done it; read it back", "unknown");
  }
  answer.ask = edit.ask.ask;
  answer.term = edit.ask.term;
  if (answer.code == 504)
    ++counts_.unknown;
  if (!edit.from.empty()) {
    answered_[edit.ask.change] = Answered{order_digest(edit.ask), answer};
    answered_order_.push_back(edit.ask.change);
    if (answered_order_.size() > answered_kept) {
      answered_.erase(answered_order_.front());
      answered_order_.pop_front();
    }
  }
  edit.answer = std::move(answer);
  ended_.push_back(std::move(edit));
}

void MasterEdits::run(const MapVersion& map_version, Moment now) {
  if (!election_.is_master() || is_open())
    return;
  end_those_of_earlier_terms();
  auto batch = std::make_shared<EditBatch>(next_batch());
  if (batch->edits.empty())
    return;
  is_in_flight_ = true;
  for (const auto& worked_out : batch->edits)
    in_flight_.insert(worked_out.ask.change);
  counts_.edits += static_cast<std::int64_t>(batch->edits.size());
  ++counts_.writes;
  Integer term = election_.term();
  Integer last = map_version.term == term ? map_version.number : 0;
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
    tables += edit.ask.kind == traffic_kind ? 1 : 0;
    if (batch.edits.size() == batch_bound || tables > batch_table_bound)
      break;  // in order of arrival: none overtakes another
    batch.edits.push_back({edit.ask, {}});
  }
  return batch;
}

void MasterEdits::on_change_end(const EditBatch& batch, const ChangeEnd& ended, Moment now) {
  is_in_flight_ = false;
  in_flight_.clear();
  if (ended.kind == ChangeEnd::Kind::unknown)
    is_outcome_open_ = true;
  for (const auto& worked_out : batch.edits) {
    auto edit = std::find_if(edits_.begin(), edits_.end(), [&](const Edit& other) {
      return other.ask.change == worked_out.ask.change && !other.is_committed;
    });
    if (edit == edits_.end())
      continue;
    if (worked_out.result.code == doubled_id_code && ended.kind == ChangeEnd::Kind::committed)
      count_doubled_id(*edit, now);
    if (ended.kind == ChangeEnd::Kind::committed && worked_out.result.code < 300)
      commit(*edit, worked_out.result, ended.state, now);
    else
      end(static_cast<std::size_t>(edit - edits_.begin()), answer_without_change(worked_out.result, ended));
  }
}

void MasterEdits::commit(Edit& edit, const EditResult& result, const FleetState& state, Moment now) {
  edit.is_committed = true;
  edit.covered_by = state.minimum_version;
  Json body{{"version", result.version},
            {"config_revision", state.config_revision},
            {"map_version", show(state.minimum_version)},
            {"findings", Json::parse(findings_json(result.findings))}};
  edit.answer = EditAnswer{0, result.code, result.version, json_text(body), 0, 0};
  journal_.append(
      now, "edit",
      edit.ask.act + " " + edit.ask.kind + "/" + edit.ask.name + " version " + std::to_string(result.version));
}

// The next master, picked by highest state version, then has the acknowledged change too.
void MasterEdits::settle(const MapVersion& map_version, const std::function<std::size_t(const MapVersion&)>& holders,
                         Moment now) {
  std::size_t size = proposer_.has_state() ? proposer_.state().roster.size() : 0;
  for (std::size_t i = 0; i < edits_.size();) {
    Edit& edit = edits_[i];
    if (edit.is_committed && election_.is_master() && edit.covered_by <= map_version) {
      // In the term after a master that may still grant leases for its maps, not before its word has lapsed.
      bool is_early = lease_.is_waiting(now);
      if (is_early)
        edit.deadline = std::max(edit.deadline, lease_.leading_since() + lease_.ack_wait() + Span{1000});
      if (edit.hold.until.value > 0 && edit.from.empty())
        edit.deadline = std::min(edit.deadline, edit.hold.until);
      if (!is_early && holders(edit.covered_by) >= size / 2 + 1) {
        end(i, edit.answer);
        continue;
      }
    }
    bool is_over = (edit.deadline <= now || !election_.is_master()) && !is_in_flight_;
    if (!is_over) {
      ++i;
      continue;
    }
    EditAnswer answer;
    answer.code = edit.is_committed ? 504 : 503;
    answer.body = edit.is_committed ? reason_body("durable, but not yet seen in force; read it back", "unknown")
                                    : reason_body("this daemon is master no more", "refused");
    end(i, std::move(answer));
  }
}

void MasterEdits::end_all() {
  while (!edits_.empty()) {
    const Edit& edit = edits_.front();
    bool may_be_durable = edit.is_committed || in_flight_.count(edit.ask.change) != 0;
    EditAnswer answer;
    answer.code = may_be_durable ? 504 : 503;
    answer.body = may_be_durable ? reason_body("this daemon stops; read it back", "unknown")
                                 : reason_body("this daemon stops", "refused");
    end(0, std::move(answer));
  }
}

void MasterEdits::on_timer(Moment now) {
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
      now, Span{2000});
}

}  // namespace emberdale
