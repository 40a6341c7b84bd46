#include "emberdale/leader_lease.hpp"

namespace emberdale {
namespace {
constexpr Duration keep_interval{700};
constexpr Duration keep_timeout{2000};

std::vector<Address> addresses(const std::vector<DaemonEntry>& roster) {
  std::vector<Address> list;
  for (const auto& entry : roster)
    list.push_back(entry.address);
  return list;
}

// The previous master may still grant leases, unless it laid its term down or was this daemon itself. It needs the
// acknowledgements of a majority of the lease roster for that: if a majority has promised to give none any more, a
// short wait is enough.
Duration wait_of_next_term(const FleetState& state, const TermClaim& claim, const Address& self, bool is_promise_off) {
  bool was_laid_down = state.master.empty() || state.master == self;
  if (was_laid_down)
    return Duration{0};
  std::size_t promised = 0;
  for (const auto& daemon : state.lease_roster)
    promised += claim.promised.count(daemon);
  bool is_bound = promised > state.lease_roster.size() / 2 || is_promise_off;
  return is_bound ? quick_ack_wait : late_ack_wait;
}
}  // namespace

FleetState LeaderLease::claimed(const FleetState& state, const TermClaim& claim, const Address& self,
                                bool is_promise_off, bool is_at_once) {
  FleetState next = state;
  next.term = claim.expected_term + 1;
  next.master = self;
  next.minimum_version = MapVersion{next.term, 1};
  // A long wait that an earlier term began goes on.
  bool is_long_wait_open = state.acknowledgement_wait_ms > quick_ack_wait.value;
  if (!is_long_wait_open)
    next.acknowledgement_wait_ms = wait_of_next_term(state, claim, self, is_promise_off).value;
  if (is_at_once)
    next.acknowledgement_wait_ms = 0;
  next.lease_roster = addresses(state.roster);
  return next;
}

void LeaderLease::begin(TimePoint now) {
  leading_since_ = now;
  tried_roster_.clear();
}

bool LeaderLease::may_grant_lease(TimePoint now) const {
  const FleetState& state = proposer_.state();
  return is_in_force() && now - proposer_.confirmed_at() <= lease_length && !state.lease_roster.empty() &&
         election_.is_acknowledged(state.lease_roster, acknowledgement_length, now) &&
         (tried_roster_.empty() || election_.is_acknowledged(tried_roster_, acknowledgement_length, now));
}

void LeaderLease::keep(TimePoint now) {
  if (is_writing_ || now < keep_next_ || !is_in_force())
    return;
  const FleetState& state = proposer_.state();
  std::vector<Address> roster = addresses(state.roster);
  bool is_wait_over = state.acknowledgement_wait_ms > 0 && !is_waiting(now);
  if (roster == state.lease_roster && !is_wait_over) {
    tried_roster_.clear();
    return;
  }
  is_writing_ = true;
  keep_next_ = now + keep_interval;
  tried_roster_ = roster;
  proposer_.change(
      [roster, is_wait_over, term = state.term, self = self_](const FleetState& found) -> ChangeDecision {
        if (found.term != term || found.master != self)
          return {ChangeDecision::Kind::refuse, {}, "master no more"};
        FleetState next = found;
        next.lease_roster = roster;
        if (is_wait_over)
          next.acknowledgement_wait_ms = 0;
        return {ChangeDecision::Kind::apply, next, ""};
      },
      [this](const ChangeResult&) { is_writing_ = false; }, now, keep_timeout);
}

}  // namespace emberdale
