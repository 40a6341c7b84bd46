#include "emberdale/grant_keeper.hpp"

#include "emberdale/register_proposer.hpp"

namespace emberdale {

void GrantKeeper::learn_acceptors(const std::vector<AcceptorEntry>& acceptors) {
  if (acceptors_.empty()) acceptors_ = acceptors;
}

void GrantKeeper::ask(Moment now) {
  Integer ask = ++last_ask_;
  asked_[ask] = Asked{};
  asked_[ask].ask = ask;
  asked_[ask].begun = now;
  while (asked_.size() > 4) asked_.erase(asked_.begin());
  std::set<Address> places;
  for (const auto& entry : acceptors_) places.insert(entry.address);
  for (const auto& entry : next_) places.insert(entry.address);
  for (const auto& place : places) out_.push_back({place, ReadAsk{ask, "data", Ballot{}, false}});
}

void GrantKeeper::on_answer(const ReadAnswer& answer, const MapVersion& mine, Moment) {
  auto entry = asked_.find(answer.ask);
  if (entry == asked_.end() || answer.blank) return;
  Asked& asked = entry->second;
  asked.answered.insert(answer.store);
  if (asked.floor < answer.floor) asked.floor = answer.floor;
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
  if (asked.is_proven || !has_majority(asked.acceptors, asked.next, asked.answered)) return;
  if (mine < asked.floor || asked.floor == MapVersion{}) {
    ++behind_;
    return;
  }
  asked.is_proven = true;
  ++renewed_;
  Moment until = asked.begun + grant_length;
  if (grant_.until < until) grant_.until = until;
  if (grant_.floor < asked.floor) grant_.floor = asked.floor;
}

void GrantKeeper::on_version(const MapVersion& mine) {
  for (auto& [ask, asked] : asked_) settle(asked, mine);
}

std::vector<Sending> GrantKeeper::take_out() { return std::exchange(out_, {}); }

}  // namespace emberdale
