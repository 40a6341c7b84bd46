// One control daemon without I/O, clock or threads: register, election, placement, homes, edits.
// The program runs it on its one control thread; the simulator runs many under virtual time.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "emberdale/cold_shares.hpp"
#include "emberdale/core_founder.hpp"
#include "emberdale/core_set.hpp"
#include "emberdale/edit_age.hpp"
#include "emberdale/edit_forwarder.hpp"
#include "emberdale/event_journal.hpp"
#include "emberdale/leader_lease.hpp"
#include "emberdale/map_slices.hpp"
#include "emberdale/master_edits.hpp"
#include "emberdale/master_election.hpp"
#include "emberdale/membership_reconciler.hpp"
#include "emberdale/placement_map.hpp"
#include "emberdale/register_acceptor.hpp"
#include "emberdale/register_proposer.hpp"
#include "emberdale/roster_keeper.hpp"
#include "emberdale/runner_list.hpp"
#include "emberdale/runner_watch.hpp"
#include "emberdale/serving_plans.hpp"
#include "emberdale/traffic_edits.hpp"

namespace emberdale {

struct ControlDaemonSettings {
  DaemonEntry self;  // role "core" or "edge"
  std::vector<Address> seeds;
  std::uint64_t random_seed = 1;
  ElectionTimes election;
  EditTimes edit_times;
  // For deployments of one process a machine (docs/design.md): role "edge" with an acceptor.
  bool founds_itself = false;          // true only on the very first start of the whole system, on empty disks
  bool reconciles_membership = false;  // learners replace silent or leaving replicas, or are added, by themselves
  MembershipPolicy membership;         // what the set of replicas has to bear
  Span hand_over_patience{4000};       // a replica that ends waits so long at most for its successor
  bool acknowledges_at_once = false;   // data daemons serve on without grants: no elder's word is waited for
  bool reads_runner_list = false;      // runners come from an outside list, not from operators' documents
  Span probe_pace{400};                // between two probes of one runner
  Span dead_member_span{30000};        // who is silent for so long leaves the roster by the master's hand
};

// Example:
//   ControlDaemon daemon(settings, nullptr); daemon.start(now);
//   daemon.on_message(from, message, now); daemon.on_timer(now);          // every 50 ms or so
//   for (auto& s : daemon.take_out()) links.send(s.to, s.message);
class ControlDaemon {
 public:
  // The master reads the outside list of runners while a quorum has followed it within this time.
  static constexpr Span list_quorum_age{1500};

  ControlDaemon(ControlDaemonSettings settings, std::unique_ptr<RegisterAcceptor> acceptor);

  void start(Moment now);
  void on_message(const Address& from, const Message& message, Moment now);
  void on_timer(Moment now);
  void on_probe(const RunnerStatus& status, Moment now);
  // No one listens at a peer's address. Example: daemon.on_refused(peer, now);
  void on_refused(const Address& peer, Moment now);
  void synced(std::int64_t token, Moment now);
  void write_refused(std::int64_t token);
  // Begins to end in order. A replica first hands its place over to a learner, if one is known.
  void stop(Moment now);
  // The last act after a stop: all edits, reads and views that wait here are answered. Example: daemon.answer_all(now);
  void answer_all(Moment now);
  // After stop(): the place is handed over, or there is nothing to hand over. Example: daemon.is_ready_to_end()
  bool is_ready_to_end() const { return is_stopping_ && !is_handing_over_; }

  std::vector<Sending> take_out();
  std::vector<WriteWish> take_writes();
  std::vector<ProbeWish> take_probes();

  // True when the outside list of runners is to be read now: at the master, if it reads one at all.
  // Example: if (daemon.takes_list(now)) read_list([&](auto runners) { daemon.on_runner_list(runners, begun, now); });
  bool takes_list(Moment now) {
    return settings_.reads_runner_list && may_read_list(now) && runner_list_.is_read_due(now);
  }
  // The list as read from `begun` on; nothing: it could not be read. Example: daemon.on_runner_list(std::nullopt,
  // begun, now)
  void on_runner_list(std::optional<std::vector<ListedRunner>> runners, Moment begun, Moment now);
  // Where callers near that place should go: the ready data daemons of their zone, else of their region, else all.
  // The map's word on those who do not subscribe here counts for 10 s after a quorum last followed its master; when it
  // has ended and nobody subscribes here, none are named. Example: daemon.front_addresses({"north"}, {"north-1"}, 64,
  // now)
  std::vector<std::string> front_addresses(const RegionName& region, const ZoneName& zone, std::size_t most,
                                           Moment now);
  // What the traffic table says of a pool; nothing if it isn't in force here. Example:
  // daemon.traffic_pool({"m"})->health_path
  const TrafficPool* traffic_pool(const PoolName& pool) const;

  // The wall clock, for maintenance windows alone. Example: daemon.set_wall_clock(time(nullptr));
  void set_wall_clock(std::int64_t seconds) { wall_seconds_ = seconds; }

  // --- operators' acts; each callback comes exactly once -----------------------------------------
  // Done by the master, wherever it is asked. Example: daemon.edit(ask, [](const EditAnswer& a) {...}, now);
  void edit(EditAsk ask, std::function<void(const EditAnswer&)> done, Moment now);
  // A read that a majority of the register confirms, in answer to a question asked after `now`; nothing when none does
  // in time. Example: daemon.read([](const FleetState* s) {...}, now);
  void read(std::function<void(const FleetState*)> done, Moment now);
  // The master's map and who has what in force. Example: daemon.view([](const ViewAnswer& a) {...}, now);
  void view(std::function<void(const ViewAnswer&)> done, Moment now);
  // Founds a fleet on blank core machines, once. Example: daemon.found("caspian", cores, done, now);
  void found(const std::string& fleet, const std::vector<Address>& cores,
             std::function<void(int code, const std::string& reason)> done, Moment now);
  // Puts an empty core machine in the place of another. Example: daemon.replace_core(old, fresh, done, now);
  void replace_core(const Address& old_address, const Address& new_address,
                    std::function<void(int code, const std::string& reason)> done, Moment now);

  // Guards that a test takes out, to see the rule break: acknowledge at once in a new term...
  void take_ack_wait_out() { lease_.is_wait_off = true; }
  // ...and take every join for a promise.
  bool is_promise_off = false;

  // --- views ------------------------------------------------------------------------------------
  const MasterElection& election() const { return election_; }
  const RegisterProposer& proposer() const { return proposer_; }
  const RegisterAcceptor* acceptor() const { return acceptor_.get(); }
  const PlacementMap& map() const { return map_; }
  const DaemonEntry& self() const { return settings_.self; }
  EventJournal& journal() { return journal_; }
  std::vector<DaemonEntry> known() const;
  std::vector<InForce> in_force(Moment now) const;
  struct Counts {
    std::int64_t maps_published = 0, maps_taken = 0, maps_fenced = 0, messages_in = 0, holds_passed = 0;
  };
  const Counts& counts() const { return counts_; }
  const MasterEdits::Counts& edit_counts() const { return edits_.counts(); }
  const RosterKeeper::Counts& roster_counts() const { return roster_keeper_.counts(); }
  std::int64_t probes_made() const { return runner_watch_.probes_made(); }

  // Called for each map this daemon publishes as master (the simulator's check of the fence).
  std::function<void(const PlacementMap&)> on_publish;

 private:
  struct Known {
    DaemonEntry entry;
    Moment heard{-100000};
    Address master;
  };
  struct Waiting {  // a view or a read that was asked here
    Moment deadline;
    std::function<void(const ViewAnswer&)> view;
    std::function<void(const FleetState*)> read;
    std::int64_t begun_read = 0;  // the register read that was the first to begin after this one came; 0: none yet
  };

  bool is_edge() const { return settings_.self.role == "edge"; }
  void see_state(Moment now);
  void keep_roster(Moment now);
  void reconcile_membership(Moment now);
  DecisionRight decision_right() const;
  bool is_replica() const;
  void continue_stopping(Moment now);
  void take_leave(Moment now);
  bool answer_without_store(const Address& from, const Message& message);
  bool is_led_by_others(Moment now) const;
  bool is_dead_member(const Address& daemon, Moment now) const;
  bool is_leaderless() const { return settings_.reconciles_membership && election_.master().empty(); }
  // Ping and PingAnswer tell of daemons before any other part looks at the message.
  template <class Other>
  void learn_from(const Address&, const Other&, Moment) {}
  void learn_from(const Address& from, const Ping& ping, Moment now);
  void learn_from(const Address& from, const PingAnswer& answer, Moment now);
  // One handler for each kind of message that this daemon itself answers; its parts look at the others.
  template <class Other>
  void handle(const Address&, const Other&, Moment) {}
  void handle(const Address& from, const Follow& follow, Moment now);
  void handle(const Address& from, const MapNews& news, Moment now);
  void handle(const Address& from, const Subscribe& subscribe, Moment now);
  void handle(const Address& from, const LeaseAsk& ask, Moment now);
  void handle(const Address& from, const Hold& hold, Moment now);
  void handle(const Address& from, const EditAsk& ask, Moment now);
  void handle(const Address& from, const EditAnswer& answer, Moment now);
  void handle(const Address& from, const ViewAsk& ask, Moment now);
  void handle(const Address& from, const ViewAnswer& answer, Moment now);
  void take_report(const InForce& report, Moment now);
  void gossip(Moment now);
  void lead(Moment now);
  void expire_waiting(Moment now);
  void poll_register(Moment now);
  void poll_for_reads(Moment now);
  void answer_reads(Moment now);
  void answer_ping(const Address& from, const Ping& ping, Moment now);
  void claim_term(const TermClaim& claim, Moment now);
  void begin_leading(Moment now);
  void publish(Moment now, bool is_due);
  void take_map(const PlacementMap& map, Moment now);
  void send_follow(Moment now);
  void hear_master(Moment now);
  void notice_pause(Moment now);
  bool is_resuming(Moment now) const;
  void run_edits(Moment now);
  void settle_edits(Moment now);
  void end_edits();
  void forward_edits(Moment now);
  // Why an edit that arrives now is refused at once; nothing: it is not. Example: refusal_at_arrival(ask, now)
  std::optional<std::string> refusal_at_arrival(const EditAsk& ask, Moment now) const;
  bool is_out_of_contact(Moment now) const {
    const auto& limit = settings_.edit_times.contact_limit;
    return limit && now - proposer_.reached_at() > *limit;
  }
  Address leader_to_send_to() const;
  void end_waiting(const std::function<bool(const Waiting&)>& is_over, Moment now);
  void pass_hold(const Hold& hold);
  void pass_holds(Moment now);
  void lift_hold(const PassedHold& passed, const EditAnswer& answer);
  Integer version_of(const EditAsk& ask) const;
  void keep_windows(Moment now);
  // Long enough a master for every data daemon to have told what it holds, or to have lost an elder's word.
  bool is_settled(Moment now) const {
    return election_.is_master() && now - lease_.leading_since() >= Span{lease_.ack_wait().value + 3000};
  }
  // The outside list takes few calls a second from all daemons together: a master that may have been deposed is silent.
  bool may_read_list(Moment now) const {
    return election_.is_master() && now - election_.quorum_confirmed(now) <= list_quorum_age;
  }
  std::vector<GatewayRow> ready_fronts(Moment now) const;
  std::map<Address, GatewayRow> fronts_of_map(const std::vector<InForce>& subscribers, Moment now) const;
  std::set<ZoneName> zones_served_here_alone(const std::vector<InForce>& subscribers, Moment now) const;
  std::vector<std::string> live_edges(const ZoneName& zone, Moment now) const;
  std::vector<GatewayRow> gateways(Moment now) const;
  std::vector<GatewayRow> followers_alive(Moment now) const;
  Configuration placed_configuration() const;
  void see_traffic();
  void send_map(const Address& to, Moment now);
  PlacementMap with_rows(PlacementMap map) const;
  void collect(Moment now);
  void note(Moment now, const std::string& kind, const std::string& detail) { journal_.append(now, kind, detail); }

  ControlDaemonSettings settings_;
  RandomGenerator random_;
  Integer last_ask_;
  std::unique_ptr<RegisterAcceptor> acceptor_;
  RegisterProposer proposer_;
  MasterElection election_;
  EventJournal journal_{512};
  LeaderLease lease_;
  MasterEdits edits_;
  EditForwarder forwarder_;
  PauseDetector pauses_;
  MembershipReconciler reconciler_;
  CoreFounder founder_;
  CoreSet core_set_;
  RosterKeeper roster_keeper_;
  RunnerWatch runner_watch_;
  RunnerList runner_list_;
  std::vector<SliceRow> traffic_rows_;  // the table in force, cut into rows, and of which configuration
  Integer traffic_of_ = 0;
  std::string traffic_text_;
  std::map<PoolName, TrafficPool> traffic_pools_;
  SlicePublisher slices_;
  ColdShares cold_shares_;

  std::map<Address, Known> known_;
  Ballot seen_ballot_;
  Configuration configuration_;
  Integer configuration_of_ = -1;
  PlacementMap map_;
  bool was_master_ = false;
  bool is_stopping_ = false, is_handing_over_ = false;  // asked to end; its place in the set goes to another first
  Moment hand_over_end_;
  std::map<Address, std::pair<InForce, Moment>> in_force_;
  std::map<Address, MapVersion> follower_versions_;
  struct FollowerTraffic {
    Integer known = 0, sent = 0;  // of which configuration the rows are that it holds, and that were sent last
    Moment sent_at{-100000};
  };
  std::map<Address, FollowerTraffic> follower_traffic_;
  std::map<Address, Moment> map_resent_;
  Moment published_at_{-100000};
  std::map<Integer, Waiting> waiting_;
  std::int64_t wall_seconds_ = 0;
  Moment window_next_;
  bool is_claiming_ = false;
  Moment poll_next_, gossip_next_, follow_next_, started_at_;
  Moment active_at_, resumed_at_;            // the last timer or message; the end of the last pause
  std::int64_t resume_read_ = 0;             // the read that was begun then
  std::map<Address, Moment> gateways_seen_;  // data daemons that the map has named, and when last
  std::vector<Sending> out_;
  Counts counts_;
};

}  // namespace emberdale
