#include "emberdale/register_proposer.hpp"

#include <algorithm>

#include "emberdale/avro_codec.hpp"
#include "emberdale/content_digest.hpp"
#include "emberdale/value_delta.hpp"

namespace emberdale {
namespace {
constexpr Duration phase_patience{400};
constexpr std::size_t large_value = 16384;  // from here on values are sent only to those who lack them
// A large value takes its time on a narrow link.
Duration patience_for(std::size_t bytes) {
  return Duration{phase_patience.value + static_cast<std::int64_t>(bytes / 400)};
}
constexpr Duration hint_patience{2000};
constexpr Duration read_patience{200};       // a read that is not settled by then may be asked anew
constexpr std::size_t most_read_values = 2;  // values of reads that are kept at a time
constexpr std::size_t hint_bound = 24;

bool holds_majority(const std::vector<AcceptorEntry>& set, const std::set<StoreId>& answered) {
  std::size_t count = 0;
  for (const auto& entry : set)
    count += answered.count(entry.store);
  return count >= set.size() / 2 + 1;
}

bool same_set(const std::vector<AcceptorEntry>& a, const std::vector<AcceptorEntry>& b) {
  auto ids = [](const std::vector<AcceptorEntry>& set) {
    std::set<std::pair<StoreId, Address>> names;
    for (const auto& entry : set)
      names.insert({entry.store, entry.address});
    return names;
  };
  return ids(a) == ids(b);
}
}  // namespace

bool has_majority(const std::vector<AcceptorEntry>& acceptors, const std::vector<AcceptorEntry>& next,
                  const std::set<StoreId>& answered) {
  if (acceptors.empty())
    return false;
  return holds_majority(acceptors, answered) && (next.empty() || holds_majority(next, answered));
}

void RegisterProposer::learn_acceptors(const std::vector<AcceptorEntry>& acceptors) {
  if (!has_state_ && acceptors_.empty() && !acceptors.empty())
    acceptors_ = acceptors;
  if (hints_.size() > hint_bound)
    hints_.clear();
  for (const auto& entry : acceptors)
    hints_.insert(entry.address);
}

std::vector<AcceptorEntry> RegisterProposer::everyone() const {
  std::vector<AcceptorEntry> all = acceptors_;
  for (const auto& entry : next_acceptors_)
    if (std::none_of(all.begin(), all.end(), [&](const auto& known) { return known.store == entry.store; }))
      all.push_back(entry);
  return all;
}

void RegisterProposer::send_each(const std::vector<AcceptorEntry>& stores,
                                 const std::function<Message(const StoreId&)>& make) {
  for (const auto& entry : stores)
    out_.push_back({entry.address, make(entry.store)});
}

void RegisterProposer::send_request_to_each(const std::vector<AcceptorEntry>& stores,
                                            const std::function<Message(const StoreId&)>& make) {
  current_->asked.clear();
  for (const auto& entry : stores)
    current_->asked.insert(entry.store);
  send_each(stores, make);
}

void RegisterProposer::change(Change change, std::function<void(const ChangeEnd&)> done, TimePoint now,
                              Duration patience) {
  waiting_.push_back({std::move(change), std::move(done), now + patience});
  if (!current_)
    start_next(now);
}

void RegisterProposer::start_next(TimePoint now) {
  if (current_ || waiting_.empty())
    return;
  current_ = Round();
  current_->job = std::move(waiting_.front());
  waiting_.pop_front();
  begin_prepare(now);
}

void RegisterProposer::begin_prepare(TimePoint now) {
  Round& round = *current_;
  ++counts_.rounds;
  ++round.tries;
  round.phase = Round::Phase::preparing;
  round.ask = ++last_request_id_;
  round.ballot = Ballot{highest_seen_.number + 1, self_};
  highest_seen_ = round.ballot;
  round.phase_end = now + patience_for(state_bytes_.data.size());
  round.granted.clear();
  // The newest value that an earlier try was told of stays known: the copy that holds it may not be among those asked
  // now, and what they hold may name the former set, which would name the later one again, for ever.
  round.seen.clear();
  if (round.highest != Ballot{})
    round.seen.insert(round.highest);
  round.held.clear();
  bool is_large = state_bytes_.data.size() >= large_value;
  Ballot known = is_large ? state_ballot_ : Ballot{};
  send_request_to_each(everyone(), [&](const StoreId& store) {
    return Prepare{round.ask, store, round.ballot, known};
  });
}

void RegisterProposer::pause(TimePoint now) {
  Round& round = *current_;
  round.phase = Round::Phase::pausing;
  round.ask = ++last_request_id_;
  std::int64_t spread = 20ll << std::min(round.tries, 5);
  round.phase_end = now + Duration{5 + random_.below(spread)};
}

void RegisterProposer::begin_accept(TimePoint now) {
  Round& round = *current_;
  const FleetState* found = &round.found;
  // The set that voted must be the set the value names: else vote again among those.
  if (!same_set(found->acceptors, acceptors_) || !same_set(found->next_acceptors, next_acceptors_)) {
    acceptors_ = found->acceptors;
    next_acceptors_ = found->next_acceptors;
    pause(now);
    return;
  }
  Verdict verdict = round.job.change(*found);
  bool is_settled = round.seen.size() == 1;  // every promise shows one ballot: a majority holds it
  // A change of the set stands on a state that is known to be chosen: else the new set alone could decide while a
  // majority of the old one has chosen something else.
  bool is_chosen = is_settled || (has_state_ && round.highest == state_ballot_);
  round.is_carrying = verdict.kind == Verdict::Kind::apply && !is_chosen &&
                      !(same_set(verdict.state.acceptors, found->acceptors) &&
                        same_set(verdict.state.next_acceptors, found->next_acceptors));
  if (round.is_carrying) {
    round.proposed = *found;
  } else if (verdict.kind == Verdict::Kind::apply) {
    round.proposed = std::move(verdict.state);
    round.proposed.version = found->version + 1;
    round.end = {ChangeEnd::Kind::committed, round.proposed, ""};
  } else {
    round.end.kind = verdict.kind == Verdict::Kind::refuse ? ChangeEnd::Kind::refused : ChangeEnd::Kind::committed;
    round.end.reason = verdict.reason;
    round.end.state = *found;
    if (is_settled) {
      // What was found is chosen, and may be newer than all that was read: whoever hears of the end
      // must see it. (A master that did not gave the next map the number that holds older ones.)
      adopt(round.highest, *found, confirmed_at_);
      finish(round.end, now);
      return;
    }
    round.proposed = *found;  // a refusal stands on a state that is really chosen
  }
  round.phase = Round::Phase::accepting;
  round.granted.clear();
  round.value.data = encode_state(round.proposed);
  round.phase_end = now + patience_for(round.value.data.size());
  if (verdict.kind == Verdict::Kind::apply && !round.is_carrying)
    round.job.was_accept_sent = true;
  std::vector<AcceptorEntry> stores = everyone();
  for (const auto& set : {round.proposed.acceptors, round.proposed.next_acceptors})
    for (const auto& entry : set)
      if (std::none_of(stores.begin(), stores.end(), [&](const auto& known) { return known.store == entry.store; }))
        stores.push_back(entry);
  send_accepts(stores);
}

void RegisterProposer::send_accepts(const std::vector<AcceptorEntry>& stores) {
  Round& round = *current_;
  const std::string& whole = round.value.data;
  Bytes delta, digest;
  if (whole.size() >= large_value) {
    delta.data = make_delta(round.found_value_bytes.data, whole);
    digest.data = content_digest_bytes(whole);
  }
  bool is_worth_it = !delta.data.empty() && delta.data.size() < whole.size() / 2;
  const auto asked = everyone();
  auto may_hold_base = [&](const StoreId& store) {
    auto held = round.held.find(store);
    if (held != round.held.end())
      return held->second == round.highest;
    // It has not answered yet, and holds what the others hold as a rule; if not, it says so.
    return std::any_of(asked.begin(), asked.end(), [&](const auto& entry) { return entry.store == store; });
  };
  send_request_to_each(stores, [&](const StoreId& store) {
    bool is_delta = is_worth_it && may_hold_base(store);
    ++(is_delta ? counts_.deltas : counts_.whole_values);
    Accept accept{round.ask, store, round.ballot, is_delta ? delta : round.value};
    if (is_delta) {
      accept.base = round.highest;
      accept.digest = digest;
    }
    counts_.value_bytes += static_cast<std::int64_t>(accept.value.data.size());
    return accept;
  });
}

// A store that does not hold the base of a delta gets the whole value, also once the others have decided.
void RegisterProposer::send_whole(const Address& from, const Accepted& accepted) {
  bool is_of_round = current_ && current_->phase == Round::Phase::accepting && accepted.request_id == current_->ask &&
                     accepted.promised == current_->ballot && current_->asked.count(accepted.store) != 0;
  const auto members = everyone();
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

void RegisterProposer::adopt(const Ballot& ballot, const FleetState& state, TimePoint proven_from) {
  if (!has_state_ || state_ballot_ < ballot) {
    has_state_ = true;
    state_ = state;
    state_ballot_ = ballot;
    state_bytes_.data = encode_state(state);
    acceptors_ = state.acceptors;
    next_acceptors_ = state.next_acceptors;
  }
  if (confirmed_at_ < proven_from)
    confirmed_at_ = proven_from;
  if (highest_seen_ < ballot)
    highest_seen_ = ballot;
}

void RegisterProposer::finish(ChangeEnd end, TimePoint now) {
  auto done = std::move(current_->job.done);
  current_.reset();
  if (end.kind == ChangeEnd::Kind::committed)
    ++counts_.committed;
  if (end.kind == ChangeEnd::Kind::unknown)
    ++counts_.unknown;
  start_next(now);
  if (done)
    done(end);
}

bool RegisterProposer::is_reading(TimePoint now) const {
  return read_ && !read_->is_over && now - read_->begun < read_patience;
}

// A large value may take longer on its way than the next read waits: it counts whichever read it answers.
bool RegisterProposer::keep_value(const Address& from, const ReadResponse& response) {
  bool is_new = !response.value.data.empty() && (!has_state_ || state_ballot_ < response.accepted) &&
                read_states_.count(response.accepted) == 0;
  Bytes value = is_new ? value_in(response) : Bytes{};
  if (value.data.empty())
    return true;
  auto checked = check_value(value, response.accepted, has_state_ ? state_.fleet_name : "");
  if (!checked.fault && !(same_set(response.acceptors, checked.state.acceptors) &&
                          same_set(response.next_acceptors, checked.state.next_acceptors)))
    checked.fault = InvalidInput::unexpected_response;
  if (checked.fault) {
    refusals_.add(from, *checked.fault, "ReadAnswer: " + checked.detail);
    return false;
  }
  read_states_[response.accepted] = std::move(checked.state);
  while (read_states_.size() > most_read_values)
    read_states_.erase(read_states_.begin());
  return true;
}

std::int64_t RegisterProposer::poll(TimePoint now, DaemonRole role, bool wants_heard) {
  ++counts_.reads;
  read_ = Read();
  read_->ask = ++last_request_id_;
  read_->begun = now;
  read_->wants_heard = wants_heard;
  ReadRequest request{read_->ask, role, std::exchange(wants_whole_, false) ? Ballot{} : state_ballot_, wants_heard,
                      false};
  // A large value is asked of one copy: this machine's own, or where the last read saw a newer one.
  bool has_own =
      std::any_of(acceptors_.begin(), acceptors_.end(), [&](const auto& entry) { return entry.address == self_; });
  if (has_own && state_bytes_.data.size() >= large_value) {
    Address full = value_at_.empty() ? self_ : value_at_;
    value_at_ = Address{};
    for (const auto& entry : everyone()) {
      read_->asked.insert(entry.address);
      ReadRequest one = request;
      one.ballots_only = entry.address != full && entry.address != self_;
      out_.push_back({entry.address, one});
    }
    return read_->ask;
  }
  std::set<Address> hints;
  if (!has_state_ || now - confirmed_at_ > hint_patience)
    hints = hints_;
  for (const auto& entry : everyone())
    hints.erase(entry.address);
  send_each(everyone(), [&](const StoreId&) { return request; });
  for (const auto& hint : hints)
    out_.push_back({hint, request});
  read_->asked = hints;
  for (const auto& entry : everyone())
    read_->asked.insert(entry.address);
  return read_->ask;
}

void RegisterProposer::settle_read(TimePoint now) {
  Read& read = *read_;
  std::set<StoreId> same, all;
  for (const auto& [store, ballot] : read.answers) {
    all.insert(store);
    if (ballot == read.highest)
      same.insert(store);
  }
  if (read.highest == Ballot{})
    return;
  if (!has_majority(read.acceptors, read.next, all)) {
    // The newest answer may name other copies than those asked.
    if (!same_set(read.acceptors, acceptors_) || !same_set(read.next, next_acceptors_)) {
      bool is_newer = !has_state_ || state_ballot_ < read.highest;
      if (is_newer) {
        acceptors_ = read.acceptors;
        next_acceptors_ = read.next;
      }
    }
    return;
  }
  reached_at_ = read.begun;
  if (read.wants_heard) {
    // The most recent sign of life that any copy of this majority has seen, once all have watched.
    std::map<Address, Duration> silences;
    Duration watched{INT64_MAX};
    for (const auto& [store, span] : read.awake)
      watched = std::min(watched, span);
    for (const auto& [store, heard] : read.heard)
      for (const auto& [daemon, age] : heard) {
        auto [entry, is_new] = silences.insert({daemon, age});
        if (!is_new)
          entry->second = std::min(entry->second, age);
      }
    silences[Address{}] = watched;
    silences_ = std::move(silences);
    silences_at_ = read.begun;
  }
  if (!has_majority(read.acceptors, read.next, same)) {
    // A change is under way, or was left behind: mend it by carrying the newest through once more.
    if (read.answers.size() == everyone().size() || ++split_reads_ >= 2) {
      split_reads_ = 0;
      if (!current_ && waiting_.empty()) {
        ++counts_.repaired;
        change(
            [](const FleetState&) {
              return Verdict{Verdict::Kind::already_there, {}, ""};
            },
            nullptr, now, Duration{1500});
      }
    }
    return;
  }
  split_reads_ = 0;
  auto value = read_states_.find(read.highest);
  if (read.highest == state_ballot_) {
    adopt(state_ballot_, state_, read.begun);
  } else if (value != read_states_.end()) {
    adopt(read.highest, value->second, read.begun);
  } else {
    for (const auto& [store, ballot] : read.answers)
      if (ballot == read.highest)
        value_at_ = read.places[store];  // the next read asks there
    read.is_over = true;
    return;
  }
  read.is_over = true;
  confirmed_read_ = std::max(confirmed_read_, read.ask);
  read_states_.erase(read_states_.begin(), read_states_.upper_bound(state_ballot_));
  for (const auto& [store, ballot] : read.answers) {  // a read mends the copies that it finds old
    if (!(ballot < read.highest))
      continue;
    bool is_member = false;
    for (const auto& member : everyone())
      is_member = is_member || member.store == store;
    if (!is_member)
      continue;
    ++counts_.repaired;
    out_.push_back({read.places[store], Accept{0, store, state_ballot_, state_bytes_}});
    read.answers[store] = read.highest;
  }
}

bool RegisterProposer::on_message(const Address& from, const Message& message, TimePoint now) {
  if (const auto* promise = std::get_if<Promise>(&message))
    on_promise(from, *promise, now);
  else if (const auto* accepted = std::get_if<Accepted>(&message))
    on_accepted(from, *accepted, now);
  else if (const auto* response = std::get_if<ReadResponse>(&message))
    on_read_answer(from, *response, now);
  else
    return false;
  return true;
}

bool RegisterProposer::takes_round_answer(const Address& from, const StoreId& store, bool granted,
                                          const Ballot& promised) {
  const Round& round = *current_;
  auto refuse = [&](InvalidInput reason, const std::string& detail) {
    refusals_.add(from, reason, "answer of a round: " + detail);
    return false;
  };
  if (round.asked.count(store) == 0)
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

bool RegisterProposer::take_promised_value(const Address& from, const Promise& promise) {
  Round& round = *current_;
  if (!promise.value.data.empty()) {
    auto checked = check_value(promise.value, promise.accepted, has_state_ ? state_.fleet_name : "");
    if (checked.fault) {
      refusals_.add(from, *checked.fault, "Promise: " + checked.detail);
      return false;
    }
    round.found = std::move(checked.state);
    round.found_value_bytes = promise.value;
  } else {
    round.found = state_;  // left out because it is known here
    round.found_value_bytes = state_bytes_;
  }
  round.highest = promise.accepted;
  return true;
}

void RegisterProposer::on_promise(const Address& from, const Promise& promise, TimePoint now) {
  if (!current_ || current_->phase != Round::Phase::preparing || promise.request_id != current_->ask)
    return;
  if (!takes_round_answer(from, promise.store, promise.granted, promise.promised))
    return;
  Round& round = *current_;
  if (!promise.granted) {
    ++counts_.conflicts;
    return pause(now);
  }
  bool has_accepted = promise.accepted != Ballot{};
  if (has_accepted && (check_ballot(promise.accepted) || !(promise.accepted < round.ballot)))
    return refusals_.add(from, InvalidInput::unexpected_response,
                         "Promise: holds ballot " + std::to_string(promise.accepted.number));
  if (round.highest < promise.accepted) {
    // What was known when the round began may have been overtaken: the round begins anew.
    if (promise.value.data.empty() && promise.accepted != state_ballot_)
      return pause(now);
    if (!take_promised_value(from, promise))
      return;
  }
  round.granted.insert(promise.store);
  round.seen.insert(promise.accepted);
  round.held[promise.store] = promise.accepted;
  if (!has_majority(acceptors_, next_acceptors_, round.granted))
    return;
  if (round.highest == Ballot{})
    finish({ChangeEnd::Kind::no_majority, {}, "no register has been founded here"}, now);
  else
    begin_accept(now);
}

void RegisterProposer::on_accepted(const Address& from, const Accepted& accepted, TimePoint now) {
  if (accepted.needs_full_value)
    return send_whole(from, accepted);
  if (!current_ || current_->phase != Round::Phase::accepting || accepted.request_id != current_->ask)
    return;
  if (!takes_round_answer(from, accepted.store, accepted.granted, accepted.promised))
    return;
  Round& round = *current_;
  if (!accepted.granted) {
    ++counts_.conflicts;
    return pause(now);
  }
  round.granted.insert(accepted.store);
  // Both the set that voted and the set that the new value names must hold it.
  if (has_majority(acceptors_, next_acceptors_, round.granted) &&
      has_majority(round.proposed.acceptors, round.proposed.next_acceptors, round.granted)) {
    adopt(round.ballot, round.proposed, confirmed_at_);
    if (round.is_carrying) {
      round.highest = round.ballot;
      round.found_value_bytes = round.value;
      begin_prepare(now);
    } else {
      finish(round.end, now);
    }
  }
}

std::optional<InvalidInput> RegisterProposer::check_read_answer(const Address& from,
                                                                const ReadResponse& response) const {
  if (read_->asked.count(from) == 0)
    return InvalidInput::sender_unknown;
  bool holds_nothing = response.accepted == Ballot{};
  bool has_ages = response.uptime_ms >= 0 && std::all_of(response.contacts.begin(), response.contacts.end(),
                                                         [](const LastContact& heard) { return heard.age_ms >= 0; });
  if (!has_ages || response.blank != holds_nothing || (holds_nothing && !response.value.data.empty()))
    return InvalidInput::unexpected_response;
  if (holds_nothing)
    return std::nullopt;
  if (auto fault = check_ballot_step(response.accepted, highest_seen_))
    return fault;
  // The copies that a known value names are known as well.
  bool is_known = has_state_ && response.accepted == state_ballot_;
  if (is_known &&
      !(same_set(response.acceptors, state_.acceptors) && same_set(response.next_acceptors, state_.next_acceptors)))
    return InvalidInput::unexpected_response;
  return std::nullopt;
}

Bytes RegisterProposer::value_in(const ReadResponse& response) {
  if (response.base == Ballot{})
    return response.value;
  if (response.base == state_ballot_) {
    auto whole = apply_delta(state_bytes_.data, response.value.data);
    if (whole && content_digest_bytes(*whole) == response.digest.data)
      return Bytes{std::move(*whole)};
  }
  wants_whole_ = true;
  return Bytes{};
}

void RegisterProposer::on_read_answer(const Address& from, const ReadResponse& response, TimePoint now) {
  if (!read_)
    return;
  bool is_current = response.request_id == read_->ask;
  bool is_late_value = !is_current && !response.value.data.empty() && read_->asked.count(from) != 0;
  if (!is_current && !is_late_value)
    return;
  if (auto fault = check_read_answer(from, response))
    return refusals_.add(from, *fault, "ReadAnswer with ballot " + std::to_string(response.accepted.number));
  if (!keep_value(from, response) || !is_current || response.store.empty())
    return;
  Read& read = *read_;
  read.answers[response.store] = response.accepted;
  read.places[response.store] = from;
  if (read.highest < response.accepted) {
    read.highest = response.accepted;
    read.acceptors = response.acceptors;
    read.next = response.next_acceptors;
  }
  if (read.wants_heard) {
    for (const auto& heard : response.contacts)
      read.heard[response.store][heard.daemon] = Duration{heard.age_ms};
    read.awake[response.store] = Duration{response.uptime_ms};
  }
  settle_read(now);
}

void RegisterProposer::on_timer(TimePoint now) {
  // What waits behind a change in hand keeps its own deadline, and is surely not applied.
  for (std::size_t i = 0; i < waiting_.size();) {
    if (waiting_[i].deadline <= now) {
      auto done = std::move(waiting_[i].done);
      waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(i));
      if (done)
        done({ChangeEnd::Kind::no_majority, {}, "the register gave no answer in time"});
    } else {
      ++i;
    }
  }
  if (!current_) {
    start_next(now);
    return;
  }
  Round& round = *current_;
  if (round.job.deadline <= now) {
    bool was_sent = round.job.was_accept_sent;
    finish({was_sent ? ChangeEnd::Kind::unknown : ChangeEnd::Kind::no_majority,
            {},
            was_sent ? "no majority confirmed the change in time" : "no majority of core machines answered"},
           now);
    return;
  }
  if (round.phase_end <= now) {
    if (round.phase == Round::Phase::pausing)
      begin_prepare(now);
    else
      pause(now);
  }
}

std::vector<OutboundMessage> RegisterProposer::drain_outbound() { return std::exchange(out_, {}); }

}  // namespace emberdale
