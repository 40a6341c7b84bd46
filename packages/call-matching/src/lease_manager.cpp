#include "emberdale/lease_manager.hpp"

#include "emberdale/register_proposer.hpp"

namespace emberdale {

void LeaseManager::learn_acceptors(const std::vector<AcceptorEntry>& acceptors) {
  if (acceptors_.empty())
    acceptors_ = acceptors;
}

void LeaseManager::ask(TimePoint now, const Address& master) {
  std::int64_t ask = ++last_request_id_;
  asked_[ask] = Asked{};
  asked_[ask].ask = ask;
  asked_[ask].begun = now;
  // An answer that comes later than the grant would last is of no use.
  while (asked_.size() > 32 || asked_.begin()->second.begun + grant_length <= now)
    asked_.erase(asked_.begin());
  std::set<Address> places;
  for (const auto& entry : acceptors_)
    places.insert(entry.address);
  for (const auto& entry : next_)
    places.insert(entry.address);
  for (const auto& place : places)
    out_.push_back({place, ReadRequest{ask, DaemonRole::data, Ballot{}, false, false}});
  bool is_register_silent = grant_.until - now < Duration{grant_length.value - 700};
  if (is_register_silent && !master.empty())
    out_.push_back({master, LeaseRequest{ask}});
}

// The leader lease counts for maps of its own term alone: of a newer one it knows nothing.
void LeaseManager::on_lease_grant(const LeaseGrant& lease_grant, const MapVersion& mine) {
  auto entry = asked_.find(lease_grant.request_id);
  if (entry == asked_.end() || mine.term != lease_grant.minimum_version.term || mine < lease_grant.minimum_version)
    return;
  ++lease_granted_;
  TimePoint until = entry->second.begun + grant_length;
  if (grant_.until < until)
    grant_.until = until;
  if (grant_.minimum_version < lease_grant.minimum_version)
    grant_.minimum_version = lease_grant.minimum_version;
}

void LeaseManager::on_response(const ReadResponse& response, const MapVersion& mine, TimePoint) {
  auto entry = asked_.find(response.request_id);
  if (entry == asked_.end() || response.blank)
    return;
  Asked& asked = entry->second;
  asked.answered.insert(response.store);
  if (asked.minimum_version < response.minimum_version)
    asked.minimum_version = response.minimum_version;
  if (asked.highest < response.accepted) {
    asked.highest = response.accepted;
    asked.acceptors = response.acceptors;
    asked.next = response.next_acceptors;
    acceptors_ = response.acceptors;
    next_ = response.next_acceptors;
  }
  settle(asked, mine);
}

void LeaseManager::settle(Asked& asked, const MapVersion& mine) {
  if (asked.is_proven || !has_majority(asked.acceptors, asked.next, asked.answered))
    return;
  if (mine < asked.minimum_version || asked.minimum_version == MapVersion{}) {
    ++behind_;
    if (!behind_since_ && mine < asked.minimum_version)
      behind_since_ = asked.begun;
    return;
  }
  asked.is_proven = true;
  behind_since_.reset();
  ++renewed_;
  TimePoint until = asked.begun + grant_length;
  if (grant_.until < until)
    grant_.until = until;
  if (grant_.minimum_version < asked.minimum_version)
    grant_.minimum_version = asked.minimum_version;
}

void LeaseManager::on_version(const MapVersion& mine) {
  for (auto& [ask, asked] : asked_)
    settle(asked, mine);
}

std::vector<OutboundMessage> LeaseManager::drain_outbound() { return std::exchange(out_, {}); }

}  // namespace emberdale
