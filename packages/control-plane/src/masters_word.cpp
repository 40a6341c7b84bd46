#include "emberdale/masters_word.hpp"

namespace emberdale {
namespace {
std::vector<Address> addresses(const std::vector<DaemonEntry>& roster) {
  std::vector<Address> list;
  for (const auto& entry : roster) list.push_back(entry.address);
  return list;
}
}  // namespace

FleetState MastersWord::claimed(const FleetState& state, const ReignClaim& claim, const Address& self, bool is_promise_off, bool is_at_once) {
  FleetState next = state;
  next.reign = claim.expected_reign + 1;
  next.master = self;
  next.floor = MapVersion{next.reign, 1};
  // An elder may still vouch for its maps, unless it laid its reign down or was this daemon itself. A majority
  // of those without whose echoes it can't has promised to echo nothing more: then a short wait is enough. A
  // long one that began before us goes on.
  std::size_t promised = 0;
  for (const auto& daemon : state.word_roster) promised += claim.promised.count(daemon);
  bool is_bound = promised > state.word_roster.size() / 2 || is_promise_off;
  bool was_laid_down = state.master.empty() || state.master == self;
  if (state.ack_wait <= quick_ack_wait.value) next.ack_wait = was_laid_down ? 0 : is_bound ? quick_ack_wait.value : late_ack_wait.value;
  if (is_at_once) next.ack_wait = 0;
  next.word_roster = addresses(state.roster);
  return next;
}

void MastersWord::begin(Moment now) {
  leading_since_ = now;
  tried_roster_.clear();
}

bool MastersWord::may_vouch(Moment now) const {
  const FleetState& state = proposer_.state();
  return is_in_force() && now - proposer_.confirmed_at() <= vouch_length && !state.word_roster.empty() &&
         election_.is_echoed(state.word_roster, echo_length, now) && (tried_roster_.empty() || election_.is_echoed(tried_roster_, echo_length, now));
}

void MastersWord::keep(Moment now) {
  if (is_writing_ || now < keep_next_ || !is_in_force()) return;
  const FleetState& state = proposer_.state();
  std::vector<Address> roster = addresses(state.roster);
  bool is_wait_over = state.ack_wait > 0 && !is_waiting(now);
  if (roster == state.word_roster && !is_wait_over) {
    tried_roster_.clear();
    return;
  }
  is_writing_ = true;
  keep_next_ = now + Span{700};
  tried_roster_ = roster;
  proposer_.change(
      [roster, is_wait_over, reign = state.reign, self = self_](const FleetState& found) -> Verdict {
        if (found.reign != reign || found.master != self) return {Verdict::Kind::refuse, {}, "master no more"};
        FleetState next = found;
        next.word_roster = roster;
        if (is_wait_over) next.ack_wait = 0;
        return {Verdict::Kind::apply, next, ""};
      },
      [this](const ChangeEnd&) { is_writing_ = false; }, now, Span{2000});
}

}  // namespace emberdale
