// The leader lease: how long a master may vouch that its placement maps are current, and how long a new term must wait
// for the leases of an earlier master to end. docs/design.md, "Freshness", shows why this is safe.
// Without I/O, clock or threads.
#pragma once
#include <set>
#include <vector>

#include "emberdale/freshness_times.hpp"
#include "emberdale/master_election.hpp"
#include "emberdale/register_proposer.hpp"

namespace emberdale {

class LeaderLease {
 public:
  LeaderLease(RegisterProposer& proposer, const MasterElection& election, Address self)
      : proposer_(proposer), election_(election), self_(std::move(self)) {}

  // The state after a claim: the next term, how long it must wait before it acknowledges, and whose acknowledgements
  // its own leases need. `is_promise_off`: every join counts as a promise (a test). `is_at_once`: no data daemon
  // depends on leases, so no term waits.
  static FleetState claimed(const FleetState& state, const TermClaim& claim, const Address& self, bool is_promise_off,
                            bool is_at_once = false);

  // A term of this daemon begins.
  void begin(TimePoint now);
  TimePoint leading_since() const { return leading_since_; }
  // How old this term must be before it acknowledges a change.
  Duration ack_wait() const {
    return Duration{is_wait_off || !proposer_.has_state() ? 0 : proposer_.state().acknowledgement_wait_ms};
  }
  bool is_waiting(TimePoint now) const { return now - leading_since_ < ack_wait(); }
  // Whether a majority of the register has confirmed this term not too long ago, and a majority of the lease roster, as
  // the register has it and as it was last tried to be written, follows still.
  bool may_grant_lease(TimePoint now) const;
  // Keeps the lease roster equal to the cluster's roster, and ends a long wait that is over. Called with each timer.
  void keep(TimePoint now);

  // No change waits: for deployments whose data daemons serve on without leases (and a safeguard that a test takes
  // out).
  bool is_wait_off = false;

 private:
  bool is_in_force() const {
    const FleetState& state = proposer_.state();
    return election_.is_master() && state.term == election_.term() && state.master == self_;
  }
  RegisterProposer& proposer_;
  const MasterElection& election_;
  Address self_;
  TimePoint leading_since_{-100000};
  TimePoint keep_next_;
  std::vector<Address> tried_roster_;  // the last that this master tried to write, until it is known to be in force
  bool is_writing_ = false;            // such a write is under way
};

}  // namespace emberdale
