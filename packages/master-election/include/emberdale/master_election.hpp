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
  Duration ping_round{3000};      // the bounded time of findMaster
  Duration ping_again{700};       // within a round, peers are pinged again to keep answers fresh
  Duration join{1500};            // how long joins are awaited, and answers to a join
  Duration follow{400};           // a follower's pings to its master
  Duration master_silence{1500};  // after this long without an answer the master counts as down
  Duration lonely_master{2500};   // a master that hears no quorum for so long steps down
  Duration pause{250};            // between failed rounds, plus as much again at random
};

// A term that this daemon may now claim in the register: it has quorum - 1 joins.
struct TermClaim {
  std::int64_t expected_term = 0;
  std::set<Address> joined;
  std::set<Address> promised;  // of these: those that will acknowledge for no term up to the expected one
};

// Example:
//   MasterElection election(self, Dice(1)); election.set_roster(roster, term); election.start(now);
//   election.on_message(from, message, now); election.on_timer(now);
//   if (auto claim = election.drain_claim()) register.change(claim_change(*claim), ...);
//   election.claim_ended(true, 4, now);       // the register says: term 4 is ours
class MasterElection {
 public:
  enum class Phase { idle, pinging, pausing, awaiting_joins, claiming, joining, following, leading };

  MasterElection(DaemonEntry self, RandomGenerator random, ElectionTimes times = {})
      : self_(std::move(self)), random_(random), times_(times), ask_(first_request_id(random_)) {}

  void start(TimePoint now);
  // The eligible daemons (nodeCount) and the term, as the register has them.
  void set_roster(const std::vector<DaemonEntry>& roster, std::int64_t term, const Address& term_master, TimePoint now);
  // Daemons to ping beside the roster: seeds and what answers named.
  void learn(const Address& peer);
  void set_version(const MapVersion& version) { version_ = version; }
  // No one listens at that address: its process is gone, not asleep. Example: election.refused(peer, now)
  void refused(const Address& peer, TimePoint now);
  // What a follower acknowledges to its master: the newest stamp of the master's clock; 0: nothing, it has
  // promised not to. Example: follow.acknowledge = election.acknowledge(now)
  std::int64_t acknowledgement(TimePoint now) const;
  // The newest stamp of the clock of the master that is followed in that term; 0: none was heard.
  // Example: ask.stamp = election.master_stamp(ask.term)
  std::int64_t master_stamp(std::int64_t term) const { return stamp_term_ == term ? stamp_ : 0; }
  // Whether a majority of those daemons has acknowledged a stamp at most so old: they followed this master since.
  // Example: election.is_acknowledged(roster, Duration{1200}, now)
  bool is_acknowledged(const std::vector<Address>& roster, Duration age, TimePoint now) const;

  bool on_message(const Address& from, const Message& message, TimePoint now);
  void on_timer(TimePoint now);
  std::optional<TermClaim> drain_claim();
  void claim_ended(bool is_won, std::int64_t term, TimePoint now);
  // A clean stop: peers start a round at once. Example: election.leave();
  void leave();

  bool is_master() const { return phase_ == Phase::leading; }
  const Address& master() const { return master_; }  // empty: none, or found down
  std::int64_t term() const { return term_; }
  Phase phase() const { return phase_; }
  std::size_t quorum() const { return roster_.size() / 2 + 1; }
  // Rounds in a row that had too few answers for a ranking.
  int rounds_without_quorum() const { return rounds_without_quorum_; }
  // The newest stamp of its master's clock that this follower has seen in this term; 0: none.
  std::int64_t master_stamp() const { return stamp_term_ == term_ ? stamp_ : 0; }
  // A moment at which a quorum surely followed this master: each has shown a stamp that its clock had then. Frames that
  // waited through a pause show old stamps. Example: now - election.quorum_confirmed(now) <= Duration{1500}
  TimePoint quorum_confirmed(TimePoint now) const;
  // The same at a follower that holds its master's newest map: from before it asked, less what the master told.
  TimePoint master_confirmed() const { return master_confirmed_; }
  const std::map<Address, TimePoint>& followers() const { return followers_; }
  std::vector<OutboundMessage> drain_outbound();

  struct Counts {
    std::int64_t rounds = 0, starved = 0, joins_failed = 0, elected = 0, stepped_down = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Answer {
    Address master;
    MapVersion version;
    std::int64_t stamp = 0;
  };
  struct Joined {
    TimePoint at;
    std::int64_t ask = 0, term = 0, stamp = 0;
  };
  void begin_round(TimePoint now);
  void pause(TimePoint now);
  void ping_everyone();
  void end_round(TimePoint now);
  void step_down(TimePoint now);
  bool is_found_down(const Address& master) const;
  void check_joins(TimePoint now);
  void refuse_joins(const std::string& reason);
  bool has_heard_all() const;
  bool is_eligible(const Address& daemon) const { return roster_.count(daemon) != 0; }

  DaemonEntry self_;
  RandomGenerator random_;
  ElectionTimes times_;
  Phase phase_ = Phase::idle;
  Address master_;
  std::int64_t term_ = 0;  // the newest term the register showed, or that we lead
  Address term_master_;
  MapVersion version_;
  std::set<Address> roster_;
  std::set<Address> peers_;
  std::map<Address, Answer> answers_;
  std::map<Address, Joined> joins_;  // recent joins
  std::set<Address> refused_;        // in this round: no one listens there
  std::map<Address, TimePoint> acknowledgements_;
  TimePoint started_;
  std::int64_t promised_through_ = -1;  // acknowledges for no term up to this one
  std::int64_t stamp_ = 0, stamp_term_ = -1;
  std::map<Address, TimePoint> followers_;
  std::map<Address, TimePoint> shown_stamps_;  // by follower: the newest stamp of this master's clock that it has shown
  TimePoint master_confirmed_{-1000000};
  std::set<Address> left_;  // stopped cleanly: not waited for until they speak again
  std::int64_t ask_;
  TimePoint phase_end_, ping_next_, heartbeat_next_, master_heard_, quorum_heard_;
  Address joining_;
  int rounds_without_quorum_ = 0;
  std::optional<TermClaim> claim_;
  std::vector<OutboundMessage> out_;
  Counts counts_;
};

}  // namespace emberdale
