#include "emberdale/membership_reconciler.hpp"

#include <algorithm>

namespace emberdale {
namespace {
constexpr Span ask_pace{950};                // a newcomer is asked about once a second
constexpr Span newcomer_memory{2200};        // one that has not answered for so long is gone again
constexpr Span silent_span{2500};            // a copy silent for so long is replaced if a newcomer is there
constexpr Span growth_wait{6000};            // a newcomer known for so long is added when all copies answer
constexpr Span founding_span{3000};          // so long after a founding, who was there at once is added at once...
constexpr Span first_arrival{300};           // ...if it was known this soon after it
constexpr Span answering_span{800};          // a copy that answered within this lives: a bit more than two polls
constexpr Span dead_member_span{30000};      // a copy silent for so long may leave the set...
constexpr Span even_dead_member_span{8000};  // (sooner where that makes the majority smaller: a set of even size)
constexpr std::size_t least_replicas = 3, most_replicas = 9;  // ...when so many living ones remain
constexpr Span longest_pause{1000};
constexpr int most_overtaken = 2;

bool holds(const std::vector<AcceptorEntry>& set, const StoreId& store, const Address& address) {
  return std::any_of(set.begin(), set.end(),
                     [&](const auto& entry) { return entry.store == store || entry.address == address; });
}

// Puts `fresh` in the place of `old`; either may be missing. Refuses when the set has changed meanwhile.
Change exchange_replicas(std::optional<AcceptorEntry> old, std::optional<AcceptorEntry> fresh) {
  return [old = std::move(old), fresh = std::move(fresh)](const FleetState& state) -> Verdict {
    auto is_old = [&](const AcceptorEntry& entry) {
      return entry.store == old->store && entry.address == old->address;
    };
    bool is_unchanged = state.next_acceptors.empty() &&
                        !(fresh && holds(state.acceptors, fresh->store, fresh->address)) &&
                        !(old && std::none_of(state.acceptors.begin(), state.acceptors.end(), is_old));
    bool has_room =
        (old || state.acceptors.size() < most_replicas) && (fresh || state.acceptors.size() > least_replicas);
    if (!is_unchanged || !has_room)
      return {Verdict::Kind::already_there, {}, ""};
    FleetState next = state;
    next.next_acceptors = state.acceptors;
    if (old)
      next.next_acceptors.erase(std::remove_if(next.next_acceptors.begin(), next.next_acceptors.end(), is_old),
                                next.next_acceptors.end());
    if (fresh)
      next.next_acceptors.push_back(*fresh);
    std::sort(next.next_acceptors.begin(), next.next_acceptors.end(),
              [](const auto& a, const auto& b) { return a.address < b.address; });
    return {Verdict::Kind::apply, next, ""};
  };
}
}  // namespace

bool MembershipReconciler::is_in_set(const Address& address) const {
  const FleetState& state = proposer_.state();
  for (const auto* set : {&state.acceptors, &state.next_acceptors})
    if (std::any_of(set->begin(), set->end(), [&](const auto& entry) { return entry.address == address; }))
      return true;
  return false;
}

void MembershipReconciler::see_daemons(const std::vector<DaemonEntry>& daemons, Moment now) {
  for (const auto& daemon : daemons) {
    zones_[daemon.address] = daemon.zone;
    if (!proposer_.has_state() || is_in_set(daemon.address))
      continue;
    auto asked = asked_.find(daemon.address);
    if (asked != asked_.end() && now - asked->second < ask_pace)
      continue;
    asked_[daemon.address] = now;
    out_.push_back({daemon.address, ReadAsk{ask_, "data", proposer_.ballot(), false, false}});
  }
}

void MembershipReconciler::on_message(const Address& from, const Message& message, Moment now) {
  const auto* answer = std::get_if<ReadAnswer>(&message);
  if (answer == nullptr)
    return;
  answered_[from] = {answer->store, now};
  if (answer->ask != ask_)
    return;
  auto [entry, is_new] = newcomers_.insert({from, {answer->store, now, now, false, 0}});
  Newcomer& newcomer = entry->second;
  if (newcomer.store != answer->store)
    newcomer = {answer->store, now, now, false, 0};
  newcomer.heard = now;
  // Old data of this register is never above what is chosen now, or will be with the next write: it can't win
  // against it. Data that stays above is of another register, and is kept out.
  newcomer.may_join = answer->blank || !(proposer_.ballot() < answer->accepted);
}

void MembershipReconciler::on_timer(Moment now) {
  if (now - timer_at_ > longest_pause)
    awake_since_ = now;
  timer_at_ = now;
  const FleetState& state = proposer_.state();
  for (const auto* set : {&state.acceptors, &state.next_acceptors})
    for (const auto& member : *set)
      member_since_.insert({member.address, now});
  for (auto entry = member_since_.begin(); entry != member_since_.end();) {
    if (!is_in_set(entry->first))
      entry = member_since_.erase(entry);
    else
      ++entry;
  }
  for (auto entry = newcomers_.begin(); entry != newcomers_.end();) {
    if (now - entry->second.heard > newcomer_memory || is_in_set(entry->first))
      entry = newcomers_.erase(entry);
    else
      ++entry;
  }
  for (auto entry = asked_.begin(); entry != asked_.end();) {
    if (now - entry->second > dead_member_span)
      entry = asked_.erase(entry);
    else
      ++entry;
  }
}

// A wiped machine answers as another store: that is not silence, it is admitted in its own place.
Span MembershipReconciler::silence(const AcceptorEntry& entry, Moment now) const {
  Moment last = awake_since_;
  auto since = member_since_.find(entry.address);
  last = std::max(last, since == member_since_.end() ? now : since->second);
  auto answered = answered_.find(entry.address);
  if (answered != answered_.end())
    last = std::max(last, answered->second.at);
  return now - last;
}

std::optional<SetChange> MembershipReconciler::due_change(Moment now) {
  if (!proposer_.has_state() || !proposer_.state().next_acceptors.empty() ||
      now - proposer_.confirmed_at() > silent_span)
    return std::nullopt;
  const std::vector<AcceptorEntry>& set = proposer_.state().acceptors;
  if (!is_in_set(self_))
    return std::nullopt;
  const AcceptorEntry* most_silent = nullptr;
  std::size_t living = 0;
  bool is_each_heard = true;
  for (const auto& entry : set) {
    Span span = silence(entry, now);
    auto answered = answered_.find(entry.address);
    bool is_answering = span <= answering_span && answered != answered_.end() && answered->second.store == entry.store;
    living += is_answering ? 1 : 0;
    is_each_heard = is_each_heard && is_answering;
    if (most_silent == nullptr || silence(*most_silent, now) < span)
      most_silent = &entry;
  }
  if (most_silent == nullptr)
    return std::nullopt;
  Span longest = silence(*most_silent, now);
  const std::pair<const Address, Newcomer>* pick = nullptr;
  for (const auto& candidate : newcomers_) {
    const auto& [address, newcomer] = candidate;
    if (!newcomer.may_join || newcomer.heard < awake_since_ || holds(set, newcomer.store, address))
      continue;
    bool is_near = zones_[address] == zones_[most_silent->address];
    if (pick == nullptr || (is_near && zones_[pick->first] != zones_[most_silent->address]))
      pick = &candidate;
  }
  if (pick != nullptr && longest >= silent_span)
    return SetChange{exchange_replicas(*most_silent, AcceptorEntry{pick->second.store, pick->first}), "replacing",
                     most_silent->address.text + " by " + pick->first.text};
  bool was_just_founded = now - founded_at_ <= founding_span;
  for (const auto& [address, newcomer] : newcomers_)
    if (is_each_heard && set.size() < most_replicas && newcomer.may_join && !holds(set, newcomer.store, address) &&
        ((was_just_founded && newcomer.since <= founded_at_ + first_arrival) || now - newcomer.since >= growth_wait))
      return SetChange{exchange_replicas(std::nullopt, AcceptorEntry{newcomer.store, address}), "adding", address.text};
  for (auto& [address, newcomer] : newcomers_)
    if (!newcomer.may_join && newcomer.overtaken < most_overtaken &&
        now - newcomer.since >= Span{growth_wait.value * (newcomer.overtaken + 1)}) {
      ++newcomer.overtaken;
      return SetChange{[](const FleetState& state) {
                         return Verdict{Verdict::Kind::apply, state, ""};
                       },
                       "overtaking", address.text};
    }
  if (longest >= (set.size() % 2 == 0 ? even_dead_member_span : dead_member_span) && living >= least_replicas &&
      set.size() > least_replicas)
    return SetChange{exchange_replicas(*most_silent, std::nullopt), "dropping", most_silent->address.text};
  return std::nullopt;
}

}  // namespace emberdale
