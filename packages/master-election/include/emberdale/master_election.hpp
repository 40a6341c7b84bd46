// The election of the one master among the control daemons of the edge machines: ping rounds,
// joining a reported master, quorum-gated ranking, joins, and a claim in the register.
// Without I/O, clock or threads. docs/election.md says what was kept of the source.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "emberdale/messages.hpp"

namespace emberdale {

struct ElectionTimes {
  Span ping_round{3000};      // the bounded time of findMaster
  Span ping_again{700};       // within a round, peers are pinged again to keep answers fresh
  Span join{1500};            // how long joins are awaited, and answers to a join
  Span follow{400};           // a follower's pings to its master
  Span master_silence{1500};  // after this long without an answer the master counts as down
  Span lonely_master{2500};   // a master that hears no quorum for so long steps down
  Span pause{250};            // between failed rounds, plus as much again at random
};

// A term that this daemon may now claim in the register: it has quorum - 1 joins.
struct TermClaim {
  Integer expected_term = 0;
  std::set<Address> joined;
  std::set<Address> promised;  // of these: those that will acknowledge for no term up to the expected one
};

// Example:
//   MasterElection election(self, Dice(1)); election.set_roster(roster, term); election.start(now);
//   election.on_message(from, message, now); election.on_timer(now);
//   if (auto claim = election.take_claim()) register.change(claim_change(*claim), ...);
//   election.claim_ended(true, 4, now);       // the register says: term 4 is ours
class MasterElection {
 public:
  enum class Phase { idle, pinging, pausing, awaiting_joins, claiming, joining, following, leading };

  MasterElection(DaemonEntry self, RandomGenerator random, ElectionTimes times = {})
      : self_(std::move(self)), random_(random), times_(times), ask_(first_ask(random_)) {}

  void start(Moment now);
  // The eligible daemons (nodeCount) and the term, as the register has them.
  void set_roster(const std::vector<DaemonEntry>& roster, Integer term, const Address& term_master, Moment now);
  // Daemons to ping beside the roster: seeds and what answers named.
  void learn(const Address& peer);
  void set_version(const MapVersion& version) { version_ = version; }
  // No one listens at that address: its process is gone, not asleep. Example: election.refused(peer, now)
  void refused(const Address& peer, Moment now);
  // What a follower acknowledges to its master: the newest stamp of the master's clock; 0: nothing, it has
  // promised not to. Example: follow.acknowledge = election.acknowledge(now)
  Integer acknowledgement(Moment now) const;
  // The newest stamp of the clock of the master that is followed in that term; 0: none was heard.
  // Example: ask.stamp = election.master_stamp(ask.term)
  Integer master_stamp(Integer term) const { return stamp_term_ == term ? stamp_ : 0; }
  // Whether a majority of those daemons has acknowledged a stamp at most so old: they followed this master since.
  // Example: election.is_acknowledged(roster, Span{1200}, now)
  bool is_acknowledged(const std::vector<Address>& roster, Span age, Moment now) const;

  bool on_message(const Address& from, const Message& message, Moment now);
  void on_timer(Moment now);
  std::optional<TermClaim> take_claim();
  void claim_ended(bool is_won, Integer term, Moment now);
  // A clean stop: peers start a round at once. Example: election.leave();
  void leave();

  bool is_master() const { return phase_ == Phase::leading; }
  const Address& master() const { return master_; }  // empty: none, or found down
  Integer term() const { return term_; }
  Phase phase() const { return phase_; }
  std::size_t quorum() const { return roster_.size() / 2 + 1; }
  // Rounds in a row that had too few answers for a ranking.
  int starved_rounds() const { return starved_rounds_; }
  // The newest stamp of its master's clock that this follower has seen in this term; 0: none.
  Integer master_stamp() const { return stamp_term_ == term_ ? stamp_ : 0; }
  // A moment at which a quorum surely followed this master: each has shown a stamp that its clock had then. Frames that
  // waited through a pause show old stamps. Example: now - election.quorum_confirmed(now) <= Span{1500}
  Moment quorum_confirmed(Moment now) const;
  // The same at a follower that holds its master's newest map: from before it asked, less what the master told.
  Moment master_confirmed() const { return master_confirmed_; }
  const std::map<Address, Moment>& followers() const { return followers_; }
  std::vector<Sending> take_out();

  struct Counts {
    std::int64_t rounds = 0, starved = 0, joins_failed = 0, elected = 0, stepped_down = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Answer {
    Address master;
    MapVersion version;
    Integer stamp = 0;
  };
  struct Joined {
    Moment at;
    Integer ask = 0, term = 0, stamp = 0;
  };
  void begin_round(Moment now);
  void pause(Moment now);
  void ping_everyone();
  void end_round(Moment now);
  void step_down(Moment now);
  bool is_found_down(const Address& master) const;
  void check_joins(Moment now);
  void refuse_joins(const std::string& reason);
  bool has_heard_all() const;
  bool is_eligible(const Address& daemon) const { return roster_.count(daemon) != 0; }

  DaemonEntry self_;
  RandomGenerator random_;
  ElectionTimes times_;
  Phase phase_ = Phase::idle;
  Address master_;
  Integer term_ = 0;  // the newest term the register showed, or that we lead
  Address term_master_;
  MapVersion version_;
  std::set<Address> roster_;
  std::set<Address> peers_;
  std::map<Address, Answer> answers_;
  std::map<Address, Joined> joins_;  // recent joins
  std::set<Address> refused_;        // in this round: no one listens there
  std::map<Address, Moment> acknowledgements_;
  Moment started_;
  Integer promised_through_ = -1;  // acknowledges for no term up to this one
  Integer stamp_ = 0, stamp_term_ = -1;
  std::map<Address, Moment> followers_;
  std::map<Address, Moment> shown_stamps_;  // by follower: the newest stamp of this master's clock that it has shown
  Moment master_confirmed_{-1000000};
  std::set<Address> left_;  // stopped cleanly: not waited for until they speak again
  Integer ask_;
  Moment phase_end_, ping_next_, follow_next_, master_heard_, quorum_heard_;
  Address joining_;
  int starved_rounds_ = 0;
  std::optional<TermClaim> claim_;
  std::vector<Sending> out_;
  Counts counts_;
};

}  // namespace emberdale
