#include "emberdale/grant_keeper.hpp"

#include "emberdale/register_proposer.hpp"

namespace emberdale {

void GrantKeeper::learn_acceptors(const std::vector<AcceptorEntry>& acceptors) {
  if (acceptors_.empty())
    acceptors_ = acceptors;
}

void GrantKeeper::ask(Moment now, const Address& master) {
  Integer ask = ++last_ask_;
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
    out_.push_back({place, ReadAsk{ask, "data", Ballot{}, false, false}});
  bool is_register_silent = grant_.until - now < Span{grant_length.value - 700};
  if (is_register_silent && !master.empty())
    out_.push_back({master, LeaseAsk{ask}});
}

// The leader lease counts for maps of its own term alone: of a newer one it knows nothing.
void GrantKeeper::on_lease_grant(const LeaseGrant& lease_grant, const MapVersion& mine) {
  auto entry = asked_.find(lease_grant.ask);
  if (entry == asked_.end() || mine.term != lease_grant.minimum_version.term || mine < lease_grant.minimum_version)
    return;
  ++lease_granted_;
  Moment until = entry->second.begun + grant_length;
  if (grant_.until < until)
    grant_.until = until;
  if (grant_.minimum_version < lease_grant.minimum_version)
    grant_.minimum_version = lease_grant.minimum_version;
}

void GrantKeeper::on_answer(const ReadAnswer& answer, const MapVersion& mine, Moment) {
  auto entry = asked_.find(answer.ask);
  if (entry == asked_.end() || answer.blank)
    return;
  Asked& asked = entry->second;
  asked.answered.insert(answer.store);
  if (asked.minimum_version < answer.minimum_version)
    asked.minimum_version = answer.minimum_version;
  if (asked.highest < answer.accepted) {
    asked.highest = answer.accepted;
    asked.acceptors = answer.acceptors;
    asked.next = answer.next_acceptors;
    acceptors_ = answer.acceptors;
    next_ = answer.next_acceptors;
  }
  settle(asked, mine);
}

void GrantKeeper::settle(Asked& asked, const MapVersion& mine) {
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
  Moment until = asked.begun + grant_length;
  if (grant_.until < until)
    grant_.until = until;
  if (grant_.minimum_version < asked.minimum_version)
    grant_.minimum_version = asked.minimum_version;
}

void GrantKeeper::on_version(const MapVersion& mine) {
  for (auto& [ask, asked] : asked_)
    settle(asked, mine);
}

std::vector<Sending> GrantKeeper::take_out() { return std::exchange(out_, {}); }

}  // namespace emberdale
