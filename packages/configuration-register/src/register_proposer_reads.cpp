// Reads of the register at a majority, and the repair of replicas that a read finds stale.
#include "emberdale/register_proposer.hpp"

#include <algorithm>
#include <utility>

#include "emberdale/avro_codec.hpp"
#include "emberdale/content_digest.hpp"
#include "emberdale/store_seat.hpp"
#include "emberdale/value_delta.hpp"
#include "proposer_limits.hpp"

namespace emberdale {
namespace {

constexpr Duration hint_delay{2000};        // without a confirmed read for so long, hinted addresses are asked as well
constexpr Duration read_timeout{200};       // a read that is not finished by then may be begun anew
constexpr Duration repair_timeout{1500};    // of the change that carries the newest value through once more
constexpr int max_split_reads = 2;          // so many in a row are resolved, without a response of every replica
constexpr std::size_t max_read_values = 2;  // values of reads that are kept at a time

}  // namespace

std::int64_t RegisterProposer::poll(TimePoint now, DaemonRole role, bool wants_contacts) {
  ++counts_.reads;
  read_ = Read();
  read_->request_id = ++last_request_id_;
  read_->started_at = now;
  read_->wants_contacts = wants_contacts;
  ReadRequest request{read_->request_id, role, std::exchange(wants_full_value_, false) ? Ballot{} : state_ballot_,
                      wants_contacts, false};
  // A large value is asked of one replica: this machine's own, or where the last read saw a newer one.
  bool has_own =
      std::any_of(acceptors_.begin(), acceptors_.end(), [&](const auto& entry) { return entry.address == self_; });
  if (has_own && state_bytes_.data.size() >= large_value_bytes) {
    Address full = newer_value_address_.empty() ? self_ : newer_value_address_;
    newer_value_address_ = Address{};
    for (const auto& entry : all_acceptors()) {
      read_->recipients.insert(entry.address);
      ReadRequest to_one = request;
      to_one.ballots_only = entry.address != full && entry.address != self_;
      out_.push_back({entry.address, to_one});
    }
    return read_->request_id;
  }
  std::set<Address> hints;
  if (!has_state_ || now - confirmed_at_ > hint_delay)
    hints = hinted_addresses_;
  for (const auto& entry : all_acceptors())
    hints.erase(entry.address);
  send_each(all_acceptors(), [&](const StoreId&) { return request; });
  for (const auto& hint : hints)
    out_.push_back({hint, request});
  read_->recipients = hints;
  for (const auto& entry : all_acceptors())
    read_->recipients.insert(entry.address);
  return read_->request_id;
}

bool RegisterProposer::is_reading(TimePoint now) const {
  return read_ && !read_->is_finished && now - read_->started_at < read_timeout;
}

void RegisterProposer::on_read_response(const Address& from, const ReadResponse& response, TimePoint now) {
  if (!read_)
    return;
  bool is_current = response.request_id == read_->request_id;
  bool is_late_value = !is_current && !response.value.data.empty() && read_->recipients.count(from) != 0;
  if (!is_current && !is_late_value)
    return;
  if (auto fault = check_read_response(from, response))
    return refusals_.add(from, *fault, "ReadAnswer with ballot " + std::to_string(response.accepted.number));
  if (!store_read_value(from, response) || !is_current || response.store.empty())
    return;
  Read& read = *read_;
  // A set may name the store by its seat.
  for (const StoreId& store : {response.store, seat_of(response.store)}) {
    if (store.empty())
      continue;
    read.ballots[store] = response.accepted;
    read.addresses[store] = from;
  }
  if (read.highest_ballot < response.accepted) {
    read.highest_ballot = response.accepted;
    read.acceptors = response.acceptors;
    read.next_acceptors = response.next_acceptors;
  }
  if (read.wants_contacts) {
    for (const auto& heard : response.contacts)
      read.contacts[response.store][heard.daemon] = Duration{heard.age_ms};
    read.uptimes[response.store] = Duration{response.uptime_ms};
  }
  evaluate_read(now);
}

std::optional<InvalidInput> RegisterProposer::check_read_response(const Address& from,
                                                                  const ReadResponse& response) const {
  if (read_->recipients.count(from) == 0)
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
  if (is_known && !(is_same_set(response.acceptors, state_.acceptors) &&
                    is_same_set(response.next_acceptors, state_.next_acceptors)))
    return InvalidInput::unexpected_response;
  return std::nullopt;
}

// A large value may take longer on its way than the next read waits: it counts whichever read it answers.
bool RegisterProposer::store_read_value(const Address& from, const ReadResponse& response) {
  bool is_new = !response.value.data.empty() && (!has_state_ || state_ballot_ < response.accepted) &&
                read_states_.count(response.accepted) == 0;
  Bytes value = is_new ? decode_read_value(response) : Bytes{};
  if (value.data.empty())
    return true;
  auto checked = check_value(value, response.accepted, has_state_ ? state_.fleet_name : "");
  if (!checked.fault && !(is_same_set(response.acceptors, checked.state.acceptors) &&
                          is_same_set(response.next_acceptors, checked.state.next_acceptors)))
    checked.fault = InvalidInput::unexpected_response;
  if (checked.fault) {
    refusals_.add(from, *checked.fault, "ReadAnswer: " + checked.detail);
    return false;
  }
  read_states_[response.accepted] = std::move(checked.state);
  while (read_states_.size() > max_read_values)
    read_states_.erase(read_states_.begin());
  return true;
}

Bytes RegisterProposer::decode_read_value(const ReadResponse& response) {
  if (response.base == Ballot{})
    return response.value;
  if (response.base == state_ballot_) {
    auto whole = apply_delta(state_bytes_.data, response.value.data);
    if (whole && content_digest_bytes(*whole) == response.digest.data)
      return Bytes{std::move(*whole)};
  }
  wants_full_value_ = true;
  return Bytes{};
}

void RegisterProposer::evaluate_read(TimePoint now) {
  Read& read = *read_;
  std::set<StoreId> same, all;
  for (const auto& [store, ballot] : read.ballots) {
    all.insert(store);
    if (ballot == read.highest_ballot)
      same.insert(store);
  }
  if (read.highest_ballot == Ballot{})
    return;
  if (!has_majority(read.acceptors, read.next_acceptors, all)) {
    follow_newer_set(read);
    return;
  }
  reached_at_ = read.started_at;
  if (read.wants_contacts)
    collect_silences(read);
  if (!has_majority(read.acceptors, read.next_acceptors, same)) {
    resolve_split_read(read, now);
    return;
  }
  split_reads_in_a_row_ = 0;
  bool is_adopted = adopt_read_value(read);
  read.is_finished = true;
  if (!is_adopted)
    return;
  confirmed_read_ = std::max(confirmed_read_, read.request_id);
  read_states_.erase(read_states_.begin(), read_states_.upper_bound(state_ballot_));
  repair_stale_replicas(read);
}

// The newest response may name other replicas than those that were asked.
void RegisterProposer::follow_newer_set(const Read& read) {
  bool is_other_set = !is_same_set(read.acceptors, acceptors_) || !is_same_set(read.next_acceptors, next_acceptors_);
  bool is_newer = !has_state_ || state_ballot_ < read.highest_ballot;
  if (is_other_set && is_newer) {
    acceptors_ = read.acceptors;
    next_acceptors_ = read.next_acceptors;
  }
}

// The last contact that any replica of this majority has had with each daemon, once all have been listening.
void RegisterProposer::collect_silences(const Read& read) {
  std::map<Address, Duration> silences;
  Duration listening{INT64_MAX};
  for (const auto& [store, uptime] : read.uptimes)
    listening = std::min(listening, uptime);
  for (const auto& [store, contacts] : read.contacts)
    for (const auto& [daemon, age] : contacts) {
      auto [entry, is_new] = silences.insert({daemon, age});
      if (!is_new)
        entry->second = std::min(entry->second, age);
    }
  silences[Address{}] = listening;
  silences_ = std::move(silences);
  silences_at_ = read.started_at;
}

// A change is under way, or was left behind: in the end the newest value is carried through once more.
void RegisterProposer::resolve_split_read(const Read& read, TimePoint now) {
  const auto members = all_acceptors();
  bool have_all_answered = std::all_of(members.begin(), members.end(),
                                       [&](const auto& member) { return read.ballots.count(member.store) != 0; });
  if (!have_all_answered && ++split_reads_in_a_row_ < max_split_reads)
    return;
  split_reads_in_a_row_ = 0;
  if (current_ || !queued_changes_.empty())
    return;
  ++counts_.repaired;
  change(
      [](const FleetState&) {
        return ChangeDecision{ChangeDecision::Kind::already_there, {}, ""};
      },
      nullptr, now, repair_timeout);
}

bool RegisterProposer::adopt_read_value(const Read& read) {
  auto value = read_states_.find(read.highest_ballot);
  if (read.highest_ballot == state_ballot_) {
    adopt_state(state_ballot_, state_, read.started_at);
    return true;
  }
  if (value != read_states_.end()) {
    adopt_state(read.highest_ballot, value->second, read.started_at);
    return true;
  }
  for (const auto& [store, ballot] : read.ballots)
    if (ballot == read.highest_ballot)
      newer_value_address_ = read.addresses.at(store);
  return false;
}

void RegisterProposer::repair_stale_replicas(Read& read) {
  for (const auto& [store, ballot] : read.ballots) {
    if (!(ballot < read.highest_ballot))
      continue;
    bool is_member = false;
    for (const auto& member : all_acceptors())
      is_member = is_member || member.store == store;
    if (!is_member)
      continue;
    ++counts_.repaired;
    out_.push_back({read.addresses[store], Accept{0, store, state_ballot_, state_bytes_}});
    read.ballots[store] = read.highest_ballot;
  }
}

}  // namespace emberdale
