// The roster in the register: the members that vote in the election. Daemons enrol themselves; dead members are
// removed. Without I/O, clock or threads.
#pragma once
#include <set>
#include <vector>

#include "emberdale/event_journal.hpp"
#include "emberdale/register_proposer.hpp"

namespace emberdale {

class MembershipRegistry {
 public:
  // `dead_member_timeout`: the master removes a daemon that was silent for so long.
  MembershipRegistry(RegisterProposer& proposer, EventJournal& journal, DaemonEntry self, RandomGenerator random,
                     Duration dead_member_timeout = Duration{30000})
      : proposer_(proposer),
        journal_(journal),
        self_(std::move(self)),
        random_(random),
        dead_member_timeout_(dead_member_timeout) {}

  void start(TimePoint now) { enrol_next_ = evict_next_ = now; }
  // Enrols this daemon, and along with it peers that were just heard and are not enrolled either: a cluster that starts
  // at once needs a few writes, not one for each daemon.
  void enrol(const std::vector<DaemonEntry>& heard, TimePoint now);
  // Removes members that a majority of the replicas has not heard for long: soon while they keep an election round from
  // its quorum, late by the master. It can't make two masters: the term fences.
  void evict_dead_members(int rounds_without_quorum, bool is_master, TimePoint now);
  // The members that were removed since the last call.
  std::set<Address> take_evicted() { return std::exchange(evicted_, {}); }
  struct Counts {
    std::int64_t enrolled = 0, dead_members_evicted = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  void write_newcomers(std::vector<DaemonEntry> newcomers, TimePoint now);
  // The members that have been silent for `timeout`; none while the replicas have not watched for so long.
  std::set<Address> dead_members(Duration timeout) const;
  void remove_members(const std::set<Address>& members, TimePoint now);

  RegisterProposer& proposer_;
  EventJournal& journal_;
  DaemonEntry self_;
  RandomGenerator random_;
  Duration dead_member_timeout_;
  bool is_enrolling_ = false;  // a write that enrols is under way
  bool has_waited_ = false;    // the random wait before enrolling is over, or runs until enrol_next_
  bool is_evicting_ = false;   // a write that removes members is under way
  TimePoint enrol_next_, evict_next_;
  std::set<Address> evicted_;  // until take_evicted()
  Counts counts_;
};

}  // namespace emberdale
