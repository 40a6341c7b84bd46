// The leader lease that its maps are still current, and how long a new term must wait for an elder's word
// to lapse. docs/design.md, "Freshness", says why this holds. Without I/O, clock or threads.
#pragma once
#include <set>
#include <vector>

#include "emberdale/freshness_times.hpp"
#include "emberdale/master_election.hpp"
#include "emberdale/register_proposer.hpp"

namespace emberdale {

// Example:
//   LeaderLease word(proposer, election, self); word.begin(now);     // a term begins
//   if (word.may_grant_lease(now)) ...; word.keep(now); now - began < word.ack_wait()
class LeaderLease {
 public:
  LeaderLease(RegisterProposer& proposer, const MasterElection& election, Address self)
      : proposer_(proposer), election_(election), self_(std::move(self)) {}

  // What a claim makes of the state: the next term, how long it must wait, and whose acknowledges bind its own
  // word. `is_at_once`: no grants hang on an elder's word, so no term waits.
  // Example: LeaderLease::claimed(state, claim, self, false).term == state.term + 1
  static FleetState claimed(const FleetState& state, const TermClaim& claim, const Address& self, bool is_promise_off,
                            bool is_at_once = false);

  void begin(TimePoint now);
  TimePoint leading_since() const { return leading_since_; }
  // How old this term must be before it acknowledges. Example: if (now - word.leading_since() < word.ack_wait()) ...
  Duration ack_wait() const {
    return Duration{is_wait_off || !proposer_.has_state() ? 0 : proposer_.state().acknowledgement_wait_ms};
  }
  bool is_waiting(TimePoint now) const { return now - leading_since_ < ack_wait(); }
  // Whether this term was in force at a majority of the core not too long ago, and a majority of the word's
  // roster, as the register has it and as it was last tried to be written, follows still.
  bool may_grant_lease(TimePoint now) const;
  // Keeps the word's roster at the fleet's, and ends a long wait that is over. Example: word.keep(now)
  void keep(TimePoint now);

  // No edit waits: for deployments whose data daemons serve on without grants (and a guard that a test takes out).
  bool is_wait_off = false;

 private:
  bool is_in_force() const {
    const FleetState& state = proposer_.state();
    return election_.is_master() && state.term == election_.term() && state.master == self_;
  }
  RegisterProposer& proposer_;
  const MasterElection& election_;
  Address self_;
  TimePoint leading_since_{-100000}, keep_next_;
  std::vector<Address> tried_roster_;  // the last that this master tried to write
  bool is_writing_ = false;
};

}  // namespace emberdale
