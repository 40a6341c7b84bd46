#include "emberdale/master_edits.hpp"
#include "emberdale/json_text.hpp"
#include "emberdale/traffic_edits.hpp"

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>

namespace emberdale {
namespace {
using Json = nlohmann::json;
constexpr Span edit_patience{4000};
constexpr std::size_t done_kept = 64, answered_kept = 512;
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
    edit.answer = known->second;
    ended_.push_back(std::move(edit));
    return;
  }
  if (std::any_of(edits_.begin(), edits_.end(), [&](const auto& other) { return other.ask.change == edit.ask.change; }))
    return;
  edit.deadline = now + edit_patience;
  edits_.push_back(std::move(edit));
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
    answered_[edit.ask.change] = answer;
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
  auto next = std::find_if(edits_.begin(), edits_.end(), [](const Edit& edit) { return !edit.is_committed; });
  if (next == edits_.end())
    return;
  is_in_flight_ = true;
  ++counts_.edits;
  EditAsk ask = next->ask;
  Integer term = election_.term();
  Integer last = map_version.term == term ? map_version.number : 0;
  attempted_minimum_version_ = MapVersion{
      term, std::max({last, attempted_minimum_version_.number, proposer_.state().minimum_version.number}) + 1};
  last = attempted_minimum_version_.number - 1;
  auto result = std::make_shared<EditResult>();
  proposer_.change(
      [ask, term, self = self_, last, result](const FleetState& state) -> Verdict {
        *result = EditResult{};
        for (const auto& done : state.done)
          if (done.change == ask.change) {
            result->version = done.version;
            return {Verdict::Kind::already_there, {}, ""};
          }
        if (state.term != term || state.master != self) {
          result->code = 503;
          result->reason = "this daemon is master no more";
          return {Verdict::Kind::refuse, {}, result->reason};
        }
        if (ask.kind == traffic_kind) {
          auto traffic = apply_traffic_edit(state, ask, state.config_revision + 1);
          *result = std::move(traffic.edit);
          if (traffic.is_repeat)
            return {Verdict::Kind::already_there, {}, ""};
        } else {
          *result = apply_edit(state, ask, state.config_revision + 1);
        }
        if (result->code >= 300)
          return {Verdict::Kind::refuse, {}, result->reason};
        FleetState changed = state;
        changed.resources = result->resources;
        changed.deleted_version = result->deleted_version;
        changed.config_revision += 1;
        // One write makes the change durable and holds every map that does not cover it.
        changed.minimum_version = MapVersion{term, std::max(last, state.minimum_version.number) + 1};
        changed.done.push_back({ask.change, result->version, changed.config_revision});
        if (changed.done.size() > done_kept)
          changed.done.erase(changed.done.begin());
        return {Verdict::Kind::apply, changed, ""};
      },
      [this, ask, result, now](const ChangeEnd& end) { on_change_end(ask, *result, end, now); }, now, edit_patience);
}

void MasterEdits::on_change_end(const EditAsk& ask, const EditResult& result, const ChangeEnd& ended, Moment now) {
  is_in_flight_ = false;
  if (ended.kind == ChangeEnd::Kind::unknown)
    is_outcome_open_ = true;
  auto edit = std::find_if(edits_.begin(), edits_.end(),
                           [&](const Edit& e) { return e.ask.change == ask.change && !e.is_committed; });
  if (edit == edits_.end())
    return;
  if (ended.kind == ChangeEnd::Kind::committed) {
    edit->is_committed = true;
    edit->covered_by = ended.state.minimum_version;
    Json body{{"version", result.version},
              {"config_revision", ended.state.config_revision},
              {"map_version", show(ended.state.minimum_version)},
              {"findings", Json::parse(findings_json(result.findings))}};
    edit->answer = EditAnswer{0, result.code, result.version, json_text(body), 0};
    journal_.append(now, "edit",
                    ask.act + " " + ask.kind + "/" + ask.name + " version " + std::to_string(result.version));
    return;
  }
  EditAnswer answer;
  if (ended.kind == ChangeEnd::Kind::refused) {
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
  end(static_cast<std::size_t>(edit - edits_.begin()), std::move(answer));
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
