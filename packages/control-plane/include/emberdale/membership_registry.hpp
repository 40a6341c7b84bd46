// The roster of edge daemons in the register: nodeCount of the election. Who lives enrols; dead members leave.
// Without I/O, clock or threads.
#pragma once
#include <set>
#include <vector>

#include "emberdale/event_journal.hpp"
#include "emberdale/register_proposer.hpp"

namespace emberdale {

// Example:
//   MembershipRegistry keeper(proposer, journal, self, Dice(1)); keeper.enrol(peers_just_heard, now);
//   keeper.evict_dead_members(election.rounds_without_quorum(), election.is_master(), now);
class MembershipRegistry {
 public:
  // dead_member_timeout: a daemon silent for so long leaves the roster by the master's hand.
  MembershipRegistry(RegisterProposer& proposer, EventJournal& journal, DaemonEntry self, RandomGenerator random,
                     Duration dead_member_timeout = Duration{30000})
      : proposer_(proposer),
        journal_(journal),
        self_(std::move(self)),
        random_(random),
        dead_member_timeout_(dead_member_timeout) {}

  void start(TimePoint now) { enrol_next_ = evict_next_ = now; }
  // Enrols this daemon, and along with it peers that were just heard and are not enrolled either: a fleet
  // that starts at once needs a few changes, not one for each daemon. Example: keeper.enrol(heard, now)
  void enrol(const std::vector<DaemonEntry>& heard, TimePoint now);
  // Dead members leave the roster when a core majority has long not heard of them: quickly when they keep a round
  // from its quorum, slowly by the master's hand. Two masters can't come of it: the term fences.
  void evict_dead_members(int rounds_without_quorum, bool is_master, TimePoint now);
  std::set<Address> take_evicted() { return std::exchange(evicted_, {}); }
  struct Counts {
    std::int64_t enrolled = 0, dead_members_evicted = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  RegisterProposer& proposer_;
  EventJournal& journal_;
  DaemonEntry self_;
  RandomGenerator random_;
  Duration dead_member_timeout_;
  bool is_enrolling_ = false, has_waited_ = false, is_evicting_ = false;
  TimePoint enrol_next_, evict_next_;
  std::set<Address> evicted_;
  Counts counts_;
};

}  // namespace emberdale
