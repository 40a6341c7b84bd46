// The proposer: the replica set it knows, the state it holds, and the dispatch of messages and timers.
#include "emberdale/register_proposer.hpp"

#include <algorithm>
#include <utility>

#include "emberdale/avro_codec.hpp"

namespace emberdale {
namespace {

bool holds_majority(const std::vector<AcceptorEntry>& set, const std::set<StoreId>& answered) {
  std::size_t count = 0;
  for (const auto& entry : set)
    count += answered.count(entry.store);
  return count >= set.size() / 2 + 1;
}

constexpr std::size_t max_hinted_addresses = 24;

}  // namespace

bool is_same_set(const std::vector<AcceptorEntry>& a, const std::vector<AcceptorEntry>& b) {
  auto identities = [](const std::vector<AcceptorEntry>& set) {
    std::set<std::pair<StoreId, Address>> result;
    for (const auto& entry : set)
      result.insert({entry.store, entry.address});
    return result;
  };
  return identities(a) == identities(b);
}

bool has_majority(const std::vector<AcceptorEntry>& acceptors, const std::vector<AcceptorEntry>& next,
                  const std::set<StoreId>& answered) {
  if (acceptors.empty())
    return false;
  return holds_majority(acceptors, answered) && (next.empty() || holds_majority(next, answered));
}

void RegisterProposer::learn_acceptors(const std::vector<AcceptorEntry>& acceptors) {
  if (!has_state_ && acceptors_.empty() && !acceptors.empty())
    acceptors_ = acceptors;
  if (hinted_addresses_.size() > max_hinted_addresses)
    hinted_addresses_.clear();
  for (const auto& entry : acceptors)
    hinted_addresses_.insert(entry.address);
}

std::vector<AcceptorEntry> RegisterProposer::all_acceptors() const {
  std::vector<AcceptorEntry> all = acceptors_;
  for (const auto& entry : next_acceptors_)
    if (std::none_of(all.begin(), all.end(), [&](const auto& known) { return known.store == entry.store; }))
      all.push_back(entry);
  return all;
}

void RegisterProposer::adopt_state(const Ballot& ballot, const FleetState& state, TimePoint proven_from) {
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

bool RegisterProposer::on_message(const Address& from, const Message& message, TimePoint now) {
  return std::visit([&](const auto& body) { return handle(from, body, now); }, message);
}

bool RegisterProposer::handle(const Address& from, const Promise& promise, TimePoint now) {
  on_promise(from, promise, now);
  return true;
}

bool RegisterProposer::handle(const Address& from, const Accepted& accepted, TimePoint now) {
  on_accepted(from, accepted, now);
  return true;
}

bool RegisterProposer::handle(const Address& from, const ReadResponse& response, TimePoint now) {
  on_read_response(from, response, now);
  return true;
}

void RegisterProposer::on_timer(TimePoint now) {
  expire_queued_changes(now);
  if (!current_) {
    start_next_change(now);
    return;
  }
  Round& round = *current_;
  if (round.change.deadline <= now) {
    bool was_sent = round.change.was_accept_sent;
    finish_change({was_sent ? ChangeResult::Kind::unknown : ChangeResult::Kind::no_majority,
                   {},
                   was_sent ? "no majority confirmed the change in time" : "no majority of core machines answered"},
                  now);
    return;
  }
  if (round.phase_end <= now) {
    if (round.phase == Round::Phase::backing_off)
      begin_prepare(now);
    else
      back_off(now);
  }
}

std::vector<OutboundMessage> RegisterProposer::drain_outbound() { return std::exchange(out_, {}); }

}  // namespace emberdale
