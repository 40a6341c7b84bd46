// Election of one master among the control daemons of role "edge".
//
// The algorithm is the bully election of Elasticsearch before 7.x (ZenDiscovery): bounded ping rounds, a join to a
// master that peers report, otherwise a ranking that requires a quorum, joins, and the start of a term. The comments
// name the functions of that source, and the headings of docs/election.md where this differs from it. The largest
// difference: a candidate that has its joins still has to claim a term in the replicated register ("Fence").
//
// A state machine without I/O, clock or threads: the owner brings messages and the time, and sends what
// drain_outbound() gives. Not safe for use by several threads at once.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "emberdale/messages.hpp"

namespace emberdale {

// Timeouts and intervals of the election, in milliseconds.
struct ElectionTimes {
  Duration round_timeout{3000};  // longest duration of a ping round; also how long a pending join counts
  Duration ping_interval{700};   // between the pings to one peer within a round
  Duration join_timeout{1500};   // wait of a candidate for its quorum of joins; a joining daemon waits twice as long
  Duration heartbeat_interval{400};  // between the heartbeats of a follower
  Duration master_timeout{1500};     // a master or follower that was not heard for longer counts as down
  Duration quorum_timeout{2500};     // a master that has not heard a quorum for longer steps down
  Duration retry_delay{250};         // between failed rounds; a random part of the same length is added
};

// A term that this daemon may claim in the register now: quorum - 1 daemons have joined it.
struct TermClaim {
  std::int64_t expected_term = 0;  // the newest term known; the claim is for the one after it
  std::set<Address> joined;
  // This daemon, and those of `joined` that will acknowledge no timestamp for any term up to the expected one
  // (docs/election.md, "Acknowledged timestamps and promises").
  std::set<Address> promised;
};

// One daemon's part in the election.
//
// Example:
//   MasterElection election(self, RandomGenerator(1));
//   election.set_roster(roster, term, term_master, now);
//   election.start(now);
//   election.on_message(from, message, now);
//   election.on_timer(now);
//   if (auto claim = election.drain_claim())
//     claim_in_register(*claim);          // compare-and-set of the term, by the owner
//   election.on_claim_result(true, 4, now);  // the register says that term 4 is this daemon's
class MasterElection {
 public:
  enum class Phase {
    idle,            // not started, or stopped
    pinging,         // a ping round is under way (findMaster)
    backing_off,     // the last round came to nothing; the next one begins soon
    awaiting_joins,  // ranked first, waits for quorum - 1 joins (waitToBeElectedAsMaster)
    claiming,        // has its joins; the register decides on the term
    joining,         // waits for the response to its own join
    following,
    leading
  };

  // How often something has happened since the start.
  struct Counts {
    std::int64_t rounds = 0;
    std::int64_t without_quorum = 0;  // rounds that had too few candidates for a ranking
    std::int64_t joins_failed = 0;
    std::int64_t elected = 0;
    std::int64_t stepped_down = 0;
  };

  MasterElection(DaemonEntry self, RandomGenerator random, ElectionTimes times = {})
      : self_(std::move(self)), random_(random), times_(times), request_id_(first_request_id(random_)) {}

  // Begins the first round. Does nothing unless the phase is idle.
  void start(TimePoint now);
  // Sets the eligible daemons (nodeCount of the source) with the newest term and its master, as read from the register.
  // Makes a master or follower of a replaced term give it up; an older term is ignored.
  void set_roster(const std::vector<DaemonEntry>& roster, std::int64_t term, const Address& term_master, TimePoint now);
  // Adds a daemon to be pinged beside those of the roster: a seed, or one that a peer named.
  void add_peer(const Address& peer);
  // Sets the version of the map that this daemon holds, by which it is ranked.
  void set_version(const MapVersion& version) { version_ = version; }
  // The address refuses connections: its process has ended. Ends the wait for that peer, and decides nothing else: only
  // more than half of the eligible daemons can find a master down (docs/election.md, "Refused connections").
  void on_connection_refused(const Address& peer, TimePoint now);
  // Handles the messages of the election and ignores all others. A PingRequest is noted here and answered by the
  // owner; the statuses of a Heartbeat are the owner's as well.
  void on_message(const Address& from, const Message& message, TimePoint now);
  // Ends rounds and waits whose time is up. To be called every few tens of milliseconds.
  void on_timer(TimePoint now);
  // The claim to make in the register, once; then on_claim_result() is to be called.
  std::optional<TermClaim> drain_claim();
  // The result of the claim. `term` is the claimed term; it only counts if the claim was won.
  void on_claim_result(bool is_won, std::int64_t term, TimePoint now);
  // Stops, and notifies all peers, which then begin a round without waiting for a timeout.
  void leave();
  // The messages to send, in order.
  std::vector<OutboundMessage> drain_outbound();

  bool is_master() const { return phase_ == Phase::leading; }
  // The master that is followed, or this daemon; empty if there is none or it was found down.
  const Address& master() const { return master_; }
  std::int64_t term() const { return term_; }
  Phase phase() const { return phase_; }
  // Daemons that a ranking, a claim and a master need, this one among them.
  std::size_t quorum() const { return roster_.size() / 2 + 1; }
  // Rounds since the last one that had enough candidates for a ranking or found a master.
  int rounds_without_quorum() const { return rounds_without_quorum_; }
  const Counts& counts() const { return counts_; }

  // At a follower: the newest timestamp of its master's clock that it has seen in this term; 0 if none.
  std::int64_t master_timestamp() const { return master_timestamp(term_); }
  // The same for another term.
  std::int64_t master_timestamp(std::int64_t term) const {
    return master_timestamp_term_ == term ? master_timestamp_ : 0;
  }
  // At a follower: the timestamp that its heartbeats acknowledge; 0 if it has promised to acknowledge nothing for this
  // term or has only just started.
  std::int64_t acknowledged_timestamp(TimePoint now) const;
  // At a follower: a moment at which a quorum surely followed its master, as this daemon's own clock had it; only set
  // from responses of a master whose map is not newer than this daemon's.
  TimePoint master_confirmed_at() const { return master_confirmed_at_; }

  // At a master: whether a majority of `roster` has acknowledged timestamps that are at most `age` old, which shows
  // that it has followed this master since.
  bool is_acknowledged(const std::vector<Address>& roster, Duration age, TimePoint now) const;
  // At a master: the newest moment at which a quorum surely followed it. Counts the timestamps that heartbeats
  // return, not when they came: those that waited in a connection show an old one. Long ago if there is none.
  TimePoint quorum_confirmed_at(TimePoint now) const;
  // At a master: when each follower was last heard.
  const std::map<Address, TimePoint>& followers() const { return followers_; }

 private:
  // What a peer reported in this round.
  struct PeerReport {
    Address master;  // empty: it follows none, or finds its master down
    MapVersion version;
    std::int64_t response_timestamp = 0;  // of the peer's clock; a join returns it
  };
  // A join that has not been answered yet.
  struct PendingJoin {
    TimePoint received_at;
    std::int64_t request_id = 0;
    std::int64_t term = 0;                // the sender acknowledges for no term up to this one
    std::int64_t response_timestamp = 0;  // of this daemon's clock, from the ping response that led to the join
  };
  // A daemon that may be elected in this round.
  struct Candidate {
    MapVersion version;
    Address daemon;
  };

  // Handlers of messages, chosen by on_message().
  void handle(const Address& from, const PingRequest& request, TimePoint now);
  void handle(const Address& from, const PingResponse& response, TimePoint now);
  void handle(const Address& from, const JoinRequest& request, TimePoint now);
  void handle(const Address& from, const JoinResponse& response, TimePoint now);
  void handle(const Address& from, const LeaveNotice& notice, TimePoint now);
  void handle(const Address& from, const Heartbeat& heartbeat, TimePoint now);
  void handle(const Address& from, const HeartbeatResponse& response, TimePoint now);
  template <class OtherMessage>
  void handle(const Address&, const OtherMessage&, TimePoint) {}

  // Rounds.
  void begin_round(TimePoint now);
  void ping(const Address& peer);
  void ping_all_peers();
  void add_named_peers(const std::vector<DaemonEntry>& named);
  bool have_all_peers_reported() const;
  void end_round(TimePoint now);
  std::optional<Address> find_active_master() const;
  bool is_found_down(const Address& master) const;
  std::optional<Address> rank_candidates() const;
  void back_off(TimePoint now);

  // Joins and terms.
  void promise_no_acknowledgements();
  void send_join(const Address& to, std::int64_t promised_term, TimePoint now);
  void await_joins(TimePoint now);
  void claim_if_quorum_joined(TimePoint now);
  void refuse_joins(const std::string& reason);
  void fail_join(TimePoint now);
  void follow(const Address& master, std::int64_t term, TimePoint now);
  void abandon_master(TimePoint now);
  void note_returned_timestamps(const Address& from, const Heartbeat& heartbeat, TimePoint now);
  void check_quorum(TimePoint now);
  void step_down(TimePoint now);

  bool is_eligible(const Address& daemon) const { return roster_.count(daemon) != 0; }

  // Before any moment that a daemon can see on its clock.
  static constexpr TimePoint long_ago{-1000000};
  // The term of a join to a master that leads already: no promise goes with it.
  static constexpr std::int64_t no_promise = -1;

  DaemonEntry self_;
  RandomGenerator random_;
  ElectionTimes times_;
  Phase phase_ = Phase::idle;
  Address master_;
  std::int64_t term_ = 0;  // the newest that the register or a master showed; never goes back
  MapVersion version_;     // of the map that this daemon holds
  std::set<Address> roster_;
  std::set<Address> peers_;     // all daemons to ping; never this one
  std::set<Address> departed_;  // sent a LeaveNotice and no ping since: neither pinged nor waited for
  TimePoint started_at_;
  std::int64_t request_id_;  // of the newest round or join; responses to older ones are ignored

  // The round under way.
  std::map<Address, PeerReport> reports_;
  std::set<Address> refusing_;  // peers whose address refuses connections
  TimePoint phase_ends_at_;     // of a round, a delay or a wait for joins or a response
  TimePoint next_ping_at_;
  int rounds_without_quorum_ = 0;

  // Joins.
  std::map<Address, PendingJoin> pending_joins_;
  Address joining_;                     // to whom this daemon's own join was sent
  std::int64_t promised_through_ = -1;  // this daemon acknowledges for no term up to this one
  std::optional<TermClaim> claim_;

  // At a follower.
  TimePoint master_heard_at_;
  std::int64_t master_timestamp_ = 0;  // the newest of the master's clock, seen in the term of the next line
  std::int64_t master_timestamp_term_ = -1;
  TimePoint master_confirmed_at_ = long_ago;

  // At a master.
  TimePoint quorum_heard_at_;
  std::map<Address, TimePoint> followers_;                // when each was last heard
  std::map<Address, TimePoint> acknowledged_timestamps_;  // the newest that each acknowledged
  std::map<Address, TimePoint> returned_timestamps_;      // the newest that each has returned, acknowledged or not

  std::vector<OutboundMessage> outbound_;
  Counts counts_;
};

}  // namespace emberdale
