// Changes of the register: the two rounds of CASPaxos, their retries, and the values that they carry.
#include "emberdale/register_proposer.hpp"

#include <algorithm>
#include <utility>

#include "emberdale/avro_codec.hpp"
#include "emberdale/content_digest.hpp"
#include "emberdale/value_delta.hpp"
#include "proposer_limits.hpp"

namespace emberdale {
namespace {

constexpr Duration phase_timeout{400};
constexpr std::size_t bytes_per_ms = 400;  // on a narrow link

// The time that a phase may take with a value of that size.
Duration timeout_for(std::size_t bytes) {
  return Duration{phase_timeout.value + static_cast<std::int64_t>(bytes / bytes_per_ms)};
}

}  // namespace

void RegisterProposer::change(Change change, std::function<void(const ChangeResult&)> done, TimePoint now,
                              Duration timeout) {
  queued_changes_.push_back({std::move(change), std::move(done), now + timeout});
  if (!current_)
    start_next_change(now);
}

void RegisterProposer::found(const std::vector<AcceptorEntry>& stores, Change change,
                             std::function<void(const ChangeResult&)> done, TimePoint now, Duration timeout) {
  queued_changes_.push_back({std::move(change), std::move(done), now + timeout, false, stores});
  if (!current_)
    start_next_change(now);
}

void RegisterProposer::start_next_change(TimePoint now) {
  if (current_ || queued_changes_.empty())
    return;
  current_ = Round();
  current_->change = std::move(queued_changes_.front());
  queued_changes_.pop_front();
  if (current_->is_founding()) {
    if (has_state_)
      return finish_change({ChangeResult::Kind::refused, state_, "a register exists"}, now);
    acceptors_ = current_->change.founding_set;
    next_acceptors_.clear();
  }
  begin_prepare(now);
}

// A change that waits behind another keeps its own deadline, and is surely not applied.
void RegisterProposer::expire_queued_changes(TimePoint now) {
  for (std::size_t i = 0; i < queued_changes_.size();) {
    if (queued_changes_[i].deadline <= now) {
      auto done = std::move(queued_changes_[i].done);
      queued_changes_.erase(queued_changes_.begin() + static_cast<std::ptrdiff_t>(i));
      if (done)
        done({ChangeResult::Kind::no_majority, {}, "the register gave no answer in time"});
    } else {
      ++i;
    }
  }
}

void RegisterProposer::begin_prepare(TimePoint now) {
  Round& round = *current_;
  ++counts_.rounds;
  ++round.tries;
  round.phase = Round::Phase::preparing;
  round.request_id = ++last_request_id_;
  round.ballot = Ballot{highest_seen_.number + 1, self_};
  highest_seen_ = round.ballot;
  round.phase_end = now + timeout_for(state_bytes_.data.size());
  round.granted.clear();
  // The newest value that an earlier try was told of stays known: the copy that holds it may not be among those asked
  // now, and what they hold may name the former set, which would name the later one again, for ever.
  round.seen_ballots.clear();
  if (round.highest_ballot != Ballot{})
    round.seen_ballots.insert(round.highest_ballot);
  round.held_ballots.clear();
  bool is_large = state_bytes_.data.size() >= large_value_bytes;
  Ballot known = is_large ? state_ballot_ : Ballot{};
  send_request_to_each(all_acceptors(), [&](const StoreId& store) {
    return Prepare{round.request_id, store, round.ballot, known};
  });
}

void RegisterProposer::back_off(TimePoint now) {
  Round& round = *current_;
  round.phase = Round::Phase::backing_off;
  round.request_id = ++last_request_id_;
  std::int64_t spread = 20ll << std::min(round.tries, 5);
  round.phase_end = now + Duration{5 + random_.below(spread)};
}

void RegisterProposer::begin_accept(TimePoint now) {
  Round& round = *current_;
  const FleetState& found = round.found_state;
  // The set that voted must be the set the value names: else vote again among those. Blank stores name none.
  bool is_blank = round.highest_ballot == Ballot{};
  bool is_voting_set = is_same_set(found.acceptors, acceptors_) && is_same_set(found.next_acceptors, next_acceptors_);
  if (!is_blank && !is_voting_set) {
    acceptors_ = found.acceptors;
    next_acceptors_ = found.next_acceptors;
    back_off(now);
    return;
  }
  if (!decide_change(now))
    return;
  round.phase = Round::Phase::accepting;
  round.granted.clear();
  round.value.data = encode_state(round.proposed);
  round.phase_end = now + timeout_for(round.value.data.size());
  std::vector<AcceptorEntry> stores = all_acceptors();
  for (const auto& set : {round.proposed.acceptors, round.proposed.next_acceptors})
    for (const auto& entry : set)
      if (std::none_of(stores.begin(), stores.end(), [&](const auto& known) { return known.store == entry.store; }))
        stores.push_back(entry);
  send_accepts(stores);
}

bool RegisterProposer::decide_change(TimePoint now) {
  Round& round = *current_;
  const FleetState& found = round.found_state;
  ChangeDecision decision = round.change.change(found);
  bool is_settled = round.seen_ballots.size() == 1;  // every promise shows one ballot: a majority holds it
  if (decision.kind != ChangeDecision::Kind::apply) {
    bool is_refused = decision.kind == ChangeDecision::Kind::refuse;
    round.is_carrying_found = false;
    round.result.kind = is_refused ? ChangeResult::Kind::refused : ChangeResult::Kind::committed;
    round.result.reason = decision.reason;
    round.result.state = found;
    if (is_settled) {
      // What was found is chosen, and may be newer than all that was read: whoever is notified of the result must see
      // it. (A master that did not gave the next map the number that holds older ones.)
      adopt_state(round.highest_ballot, found, confirmed_at_);
      finish_change(round.result, now);
      return false;
    }
    round.proposed = found;  // a refusal stands on a state that is really chosen
    return true;
  }
  // A change of the set stands on a state that is known to be chosen: else the new set alone could decide while a
  // majority of the old one has chosen something else.
  bool is_chosen = is_settled || (has_state_ && round.highest_ballot == state_ballot_);
  bool keeps_set = is_same_set(decision.state.acceptors, found.acceptors) &&
                   is_same_set(decision.state.next_acceptors, found.next_acceptors);
  round.is_carrying_found = !is_chosen && !keeps_set;
  if (round.is_carrying_found) {
    round.proposed = found;
    return true;
  }
  round.proposed = std::move(decision.state);
  round.proposed.version = found.version + 1;
  round.result = {ChangeResult::Kind::committed, round.proposed, ""};
  round.change.was_accept_sent = true;
  return true;
}

void RegisterProposer::send_accepts(const std::vector<AcceptorEntry>& stores) {
  Round& round = *current_;
  const std::string& whole = round.value.data;
  Bytes delta, digest;
  if (whole.size() >= large_value_bytes) {
    delta.data = make_delta(round.found_value.data, whole);
    digest.data = content_digest_bytes(whole);
  }
  bool is_worth_it = !delta.data.empty() && delta.data.size() < whole.size() / 2;
  const auto asked = all_acceptors();
  auto may_hold_base = [&](const StoreId& store) {
    auto held = round.held_ballots.find(store);
    if (held != round.held_ballots.end())
      return held->second == round.highest_ballot;
    // It has not answered yet, and holds what the others hold as a rule; if not, it says so.
    return std::any_of(asked.begin(), asked.end(), [&](const auto& entry) { return entry.store == store; });
  };
  send_request_to_each(stores, [&](const StoreId& store) {
    bool is_delta = is_worth_it && may_hold_base(store);
    ++(is_delta ? counts_.deltas : counts_.whole_values);
    Accept accept{round.request_id, store, round.ballot, is_delta ? delta : round.value};
    if (is_delta) {
      accept.base = round.highest_ballot;
      accept.digest = digest;
    }
    counts_.value_bytes += static_cast<std::int64_t>(accept.value.data.size());
    return accept;
  });
}

// A store that does not hold the base of a delta gets the whole value, also once the others have decided.
void RegisterProposer::send_full_value(const Address& from, const Accepted& accepted) {
  bool is_of_round = current_ && current_->phase == Round::Phase::accepting &&
                     accepted.request_id == current_->request_id && accepted.promised == current_->ballot &&
                     current_->recipients.count(accepted.store) != 0;
  const auto members = all_acceptors();
  bool is_of_state =
      has_state_ && accepted.promised == state_ballot_ &&
      std::any_of(members.begin(), members.end(), [&](const auto& entry) { return entry.store == accepted.store; });
  if (!is_of_round && !is_of_state)
    return;
  const Bytes& value = is_of_round ? current_->value : state_bytes_;
  ++counts_.whole_values;
  counts_.value_bytes += static_cast<std::int64_t>(value.data.size());
  out_.push_back({from, Accept{accepted.request_id, accepted.store, accepted.promised, value}});
}

void RegisterProposer::finish_change(ChangeResult result, TimePoint now) {
  auto done = std::move(current_->change.done);
  if (current_->is_founding() && !has_state_)
    acceptors_.clear();  // they are no replica set that anybody has chosen
  current_.reset();
  if (result.kind == ChangeResult::Kind::committed)
    ++counts_.committed;
  if (result.kind == ChangeResult::Kind::unknown)
    ++counts_.unknown;
  start_next_change(now);
  if (done)
    done(result);
}

bool RegisterProposer::accept_round_response(const Address& from, const StoreId& store, bool granted,
                                             const Ballot& promised) {
  const Round& round = *current_;
  auto refuse = [&](InvalidInput reason, const std::string& detail) {
    refusals_.add(from, reason, "answer of a round: " + detail);
    return false;
  };
  if (round.recipients.count(store) == 0)
    return refuse(InvalidInput::sender_unknown, "store " + store.text + " was not asked");
  if (auto fault = check_ballot_step(promised, highest_seen_))
    return refuse(*fault, "ballot " + std::to_string(promised.number));
  // Granted is the ballot that was asked for; in its way stands a higher one, or itself (of a former life, or a copy).
  if (granted ? promised != round.ballot : promised < round.ballot)
    return refuse(InvalidInput::unexpected_response,
                  "ballot " + std::to_string(promised.number) + " for " + std::to_string(round.ballot.number));
  if (highest_seen_ < promised)
    highest_seen_ = promised;
  return true;
}

bool RegisterProposer::read_promised_value(const Address& from, const Promise& promise) {
  Round& round = *current_;
  if (!promise.value.data.empty()) {
    auto checked = check_value(promise.value, promise.accepted, has_state_ ? state_.fleet_name : "");
    if (checked.fault) {
      refusals_.add(from, *checked.fault, "Promise: " + checked.detail);
      return false;
    }
    round.found_state = std::move(checked.state);
    round.found_value = promise.value;
  } else {
    round.found_state = state_;  // left out because it is known here
    round.found_value = state_bytes_;
  }
  round.highest_ballot = promise.accepted;
  return true;
}

void RegisterProposer::on_promise(const Address& from, const Promise& promise, TimePoint now) {
  if (!current_ || current_->phase != Round::Phase::preparing || promise.request_id != current_->request_id)
    return;
  if (!accept_round_response(from, promise.store, promise.granted, promise.promised))
    return;
  Round& round = *current_;
  if (!promise.granted) {
    ++counts_.conflicts;
    return back_off(now);
  }
  bool has_accepted = promise.accepted != Ballot{};
  if (has_accepted && (check_ballot(promise.accepted) || !(promise.accepted < round.ballot)))
    return refusals_.add(from, InvalidInput::unexpected_response,
                         "Promise: holds ballot " + std::to_string(promise.accepted.number));
  if (round.highest_ballot < promise.accepted) {
    // What was known when the round began may have been overtaken: the round begins anew.
    if (promise.value.data.empty() && promise.accepted != state_ballot_)
      return back_off(now);
    if (!read_promised_value(from, promise))
      return;
  }
  round.granted.insert(promise.store);
  round.seen_ballots.insert(promise.accepted);
  round.held_ballots[promise.store] = promise.accepted;
  if (!has_majority(acceptors_, next_acceptors_, round.granted))
    return;
  if (round.highest_ballot == Ballot{} && !round.is_founding())
    finish_change({ChangeResult::Kind::no_majority, {}, "no register has been founded here"}, now);
  else
    begin_accept(now);
}

void RegisterProposer::on_accepted(const Address& from, const Accepted& accepted, TimePoint now) {
  if (accepted.needs_full_value)
    return send_full_value(from, accepted);
  if (!current_ || current_->phase != Round::Phase::accepting || accepted.request_id != current_->request_id)
    return;
  if (!accept_round_response(from, accepted.store, accepted.granted, accepted.promised))
    return;
  Round& round = *current_;
  if (!accepted.granted) {
    ++counts_.conflicts;
    return back_off(now);
  }
  round.granted.insert(accepted.store);
  // Both the set that voted and the set that the new value names must hold it.
  if (has_majority(acceptors_, next_acceptors_, round.granted) &&
      has_majority(round.proposed.acceptors, round.proposed.next_acceptors, round.granted)) {
    adopt_state(round.ballot, round.proposed, confirmed_at_);
    if (round.is_carrying_found) {
      round.highest_ballot = round.ballot;
      round.found_value = round.value;
      begin_prepare(now);
    } else {
      finish_change(round.result, now);
    }
  }
}

void RegisterProposer::send_each(const std::vector<AcceptorEntry>& stores,
                                 const std::function<Message(const StoreId&)>& make) {
  for (const auto& entry : stores)
    out_.push_back({entry.address, make(entry.store)});
}

void RegisterProposer::send_request_to_each(const std::vector<AcceptorEntry>& stores,
                                            const std::function<Message(const StoreId&)>& make) {
  current_->recipients.clear();
  for (const auto& entry : stores)
    current_->recipients.insert(entry.store);
  send_each(stores, make);
}

}  // namespace emberdale
