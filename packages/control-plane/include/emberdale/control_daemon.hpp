// One control daemon without I/O, clock or threads: register, election, placement, homes, edits.
// The program runs it on its one control thread; the simulator runs many under virtual time.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "emberdale/cluster_bootstrapper.hpp"
#include "emberdale/edit_age.hpp"
#include "emberdale/edit_forwarder.hpp"
#include "emberdale/event_journal.hpp"
#include "emberdale/leader_lease.hpp"
#include "emberdale/master_edits.hpp"
#include "emberdale/master_election.hpp"
#include "emberdale/membership_reconciler.hpp"
#include "emberdale/membership_registry.hpp"
#include "emberdale/placement_map.hpp"
#include "emberdale/placement_slices.hpp"
#include "emberdale/register_acceptor.hpp"
#include "emberdale/register_proposer.hpp"
#include "emberdale/replica_set_manager.hpp"
#include "emberdale/routing_table_edits.hpp"
#include "emberdale/runner_health_monitor.hpp"
#include "emberdale/runner_list.hpp"
#include "emberdale/serving_plans.hpp"
#include "emberdale/warmup_shares.hpp"

namespace emberdale {

struct ControlDaemonSettings {
  DaemonEntry self;  // role DaemonRole::core or DaemonRole::edge
  std::vector<Address> seeds;
  std::uint64_t random_seed = 1;
  ElectionTimes election;
  EditTimes edit_times;
  // For deployments of one process a machine (docs/design.md): role "edge" with an acceptor.
  bool bootstraps_itself = false;       // true only on the very first start of the whole system, on empty disks
  bool reconciles_membership = false;   // learners replace silent or leaving replicas, or are added, by themselves
  MembershipPolicy membership;          // what the set of replicas has to bear
  Duration hand_over_patience{4000};    // a replica that ends waits so long at most for its successor
  bool acknowledges_at_once = false;    // data daemons serve on without grants: no elder's word is waited for
  bool reads_runner_list = false;       // runners come from an outside list, not from operators' documents
  Duration probe_pace{400};             // between two probes of one runner
  Duration dead_member_timeout{30000};  // who is silent for so long leaves the roster by the master's hand
};

// Example:
//   ControlDaemon daemon(settings, nullptr); daemon.start(now);
//   daemon.on_message(from, message, now); daemon.on_timer(now);          // every 50 ms or so
//   for (auto& s : daemon.drain_outbound()) links.send(s.to, s.message);
class ControlDaemon {
 public:
  // The master reads the outside list of runners while a quorum has followed it within this time.
  static constexpr Duration list_quorum_age{1500};

  ControlDaemon(ControlDaemonSettings settings, std::unique_ptr<RegisterAcceptor> acceptor);

  void start(TimePoint now);
  void on_message(const Address& from, const Message& message, TimePoint now);
  void on_timer(TimePoint now);
  void on_probe(const RunnerStatus& status, TimePoint now);
  // No one listens at a peer's address. Example: daemon.on_refused(peer, now);
  void on_refused(const Address& peer, TimePoint now);
  void synced(std::int64_t token, TimePoint now);
  void write_refused(std::int64_t token);
  // Begins to end in order. A replica first hands its place over to a learner, if one is known.
  void stop(TimePoint now);
  // The last act after a stop: all edits, reads and views that wait here are answered. Example: daemon.answer_all(now);
  void answer_all(TimePoint now);
  // After stop(): the place is handed over, or there is nothing to hand over. Example: daemon.is_ready_to_end()
  bool is_ready_to_end() const { return is_stopping_ && !is_handing_over_; }

  std::vector<OutboundMessage> drain_outbound();
  std::vector<LogWrite> drain_writes();
  std::vector<ProbeRequest> drain_probes();

  // True when the outside list of runners is to be read now: at the master, if it reads one at all.
  // Example: if (daemon.takes_list(now)) read_list([&](auto runners) { daemon.on_runner_list(runners, begun, now); });
  bool takes_list(TimePoint now) {
    return settings_.reads_runner_list && may_read_list(now) && runner_list_.is_read_due(now);
  }
  // The list as read from `begun` on; nothing: it could not be read. Example: daemon.on_runner_list(std::nullopt,
  // begun, now)
  void on_runner_list(std::optional<std::vector<ListedRunner>> runners, TimePoint begun, TimePoint now);
  // Where callers near that place should go: the ready data daemons of their zone, else of their region, else all.
  // The map's word on those who do not subscribe here counts for 10 s after a quorum last followed its master; when it
  // has ended and nobody subscribes here, none are named. Example: daemon.front_addresses({"north"}, {"north-1"}, 64,
  // now)
  std::vector<std::string> front_addresses(const RegionName& region, const ZoneName& zone, std::size_t most,
                                           TimePoint now);
  // What the traffic table says of a pool; nothing if it isn't in force here. Example:
  // daemon.route_pool({"m"})->health_path
  const RoutePool* route_pool(const PoolName& pool) const;

  // The wall clock, for maintenance windows alone. Example: daemon.set_wall_clock(time(nullptr));
  void set_wall_clock(std::int64_t seconds) { wall_seconds_ = seconds; }

  // --- operators' acts; each callback comes exactly once -----------------------------------------
  // Done by the master, wherever it is asked. Example: daemon.edit(ask, [](const EditResponse& a) {...}, now);
  void edit(EditRequest request, std::function<void(const EditResponse&)> done, TimePoint now);
  // A read that a majority of the register confirms, in answer to a question asked after `now`; nothing when none does
  // in time. Example: daemon.read([](const FleetState* s) {...}, now);
  void read(std::function<void(const FleetState*)> done, TimePoint now);
  // The master's map and who has what in force. Example: daemon.view([](const ViewResponse& a) {...}, now);
  void view(std::function<void(const ViewResponse&)> done, TimePoint now);
  // Founds a fleet on blank core machines, once. Example: daemon.found("caspian", cores, done, now);
  void found(const std::string& fleet, const std::vector<Address>& cores,
             std::function<void(int code, const std::string& reason)> done, TimePoint now);
  // Puts an empty core machine in the place of another. Example: daemon.replace_core(old, fresh, done, now);
  void replace_core(const Address& old_address, const Address& new_address,
                    std::function<void(int code, const std::string& reason)> done, TimePoint now);

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
  std::vector<DaemonStatus> in_force(TimePoint now) const;
  struct Counts {
    std::int64_t maps_published = 0, maps_taken = 0, maps_fenced = 0, messages_in = 0, blocks_forwarded = 0;
  };
  const Counts& counts() const { return counts_; }
  const MasterEdits::Counts& edit_counts() const { return edits_.counts(); }
  const MembershipRegistry::Counts& membership_counts() const { return membership_registry_.counts(); }
  std::int64_t probes_made() const { return runner_health_monitor_.probes_made(); }

  // Called for each map this daemon publishes as master (the simulator's check of the fence).
  std::function<void(const PlacementMap&)> on_publish;

 private:
  struct Known {
    DaemonEntry entry;
    TimePoint heard{-100000};
    Address master;
  };
  struct Waiting {  // a view or a read that was asked here
    TimePoint deadline;
    std::function<void(const ViewResponse&)> view;
    std::function<void(const FleetState*)> read;
    std::int64_t begun_read = 0;  // the register read that was the first to begin after this one came; 0: none yet
  };

  bool is_edge() const { return settings_.self.role == DaemonRole::edge; }
  void refresh_state(TimePoint now);
  void keep_roster(TimePoint now);
  void reconcile_membership(TimePoint now);
  DecisionRight decision_right() const;
  bool is_replica() const;
  void continue_stopping(TimePoint now);
  void take_leave(TimePoint now);
  bool answer_without_store(const Address& from, const Message& message);
  bool is_led_by_others(TimePoint now) const;
  bool is_dead_member(const Address& daemon, TimePoint now) const;
  bool is_leaderless() const { return settings_.reconciles_membership && election_.master().empty(); }
  // Ping and PingResponse tell of daemons before any other part looks at the message.
  template <class Other>
  void learn_from(const Address&, const Other&, TimePoint) {}
  void learn_from(const Address& from, const PingRequest& ping, TimePoint now);
  void learn_from(const Address& from, const PingResponse& response, TimePoint now);
  // One handler for each kind of message that this daemon itself answers; its parts look at the others.
  template <class Other>
  void handle(const Address&, const Other&, TimePoint) {}
  void handle(const Address& from, const Heartbeat& heartbeat, TimePoint now);
  void handle(const Address& from, const PlacementUpdate& update, TimePoint now);
  void handle(const Address& from, const Subscribe& subscribe, TimePoint now);
  void handle(const Address& from, const LeaseRequest& request, TimePoint now);
  void handle(const Address& from, const DispatchBlock& block, TimePoint now);
  void handle(const Address& from, const EditRequest& request, TimePoint now);
  void handle(const Address& from, const EditResponse& response, TimePoint now);
  void handle(const Address& from, const ViewRequest& request, TimePoint now);
  void handle(const Address& from, const ViewResponse& response, TimePoint now);
  void take_report(const DaemonStatus& report, TimePoint now);
  void gossip(TimePoint now);
  void lead(TimePoint now);
  void expire_waiting(TimePoint now);
  void poll_register(TimePoint now);
  void poll_for_reads(TimePoint now);
  void answer_reads(TimePoint now);
  void answer_ping(const Address& from, const PingRequest& ping, TimePoint now);
  void claim_term(const TermClaim& claim, TimePoint now);
  void begin_leading(TimePoint now);
  void publish(TimePoint now, bool is_due);
  void take_map(const PlacementMap& map, TimePoint now);
  void send_heartbeat(TimePoint now);
  void hear_master(TimePoint now);
  void notice_pause(TimePoint now);
  bool is_resuming(TimePoint now) const;
  void run_edits(TimePoint now);
  void settle_edits(TimePoint now);
  void end_edits();
  void forward_edits(TimePoint now);
  // Why an edit that arrives now is refused at once; nothing: it is not. Example: refusal_at_arrival(ask, now)
  std::optional<std::string> refusal_at_arrival(const EditRequest& request, TimePoint now) const;
  bool is_out_of_contact(TimePoint now) const {
    const auto& limit = settings_.edit_times.contact_limit;
    return limit && now - proposer_.reached_at() > *limit;
  }
  Address leader_to_send_to() const;
  void end_waiting(const std::function<bool(const Waiting&)>& is_over, TimePoint now);
  void forward_block(const DispatchBlock& block);
  void forward_blocks(TimePoint now);
  void lift_block(const ForwardedBlock& passed, const EditResponse& response);
  std::int64_t version_of(const EditRequest& request) const;
  void keep_windows(TimePoint now);
  // Long enough a master for every data daemon to have told what it holds, or to have lost an elder's word.
  bool is_settled(TimePoint now) const {
    return election_.is_master() && now - lease_.leading_since() >= Duration{lease_.ack_wait().value + 3000};
  }
  // The outside list takes few calls a second from all daemons together: a master that may have been deposed is silent.
  bool may_read_list(TimePoint now) const {
    return election_.is_master() && now - election_.quorum_confirmed_at(now) <= list_quorum_age;
  }
  std::vector<GatewayRow> ready_fronts(TimePoint now) const;
  std::map<Address, GatewayRow> fronts_of_map(const std::vector<DaemonStatus>& subscribers, TimePoint now) const;
  std::set<ZoneName> zones_served_here_alone(const std::vector<DaemonStatus>& subscribers, TimePoint now) const;
  std::vector<std::string> live_edges(const ZoneName& zone, TimePoint now) const;
  std::vector<GatewayRow> gateways(TimePoint now) const;
  std::vector<GatewayRow> followers_alive(TimePoint now) const;
  Configuration placed_configuration() const;
  void observe_routing_table();
  void send_map(const Address& to, TimePoint now);
  PlacementMap with_rows(PlacementMap map) const;
  void collect(TimePoint now);
  void note(TimePoint now, const std::string& kind, const std::string& detail) { journal_.append(now, kind, detail); }

  ControlDaemonSettings settings_;
  RandomGenerator random_;
  std::int64_t last_request_id_;
  std::unique_ptr<RegisterAcceptor> acceptor_;
  RegisterProposer proposer_;
  MasterElection election_;
  EventJournal journal_{512};
  LeaderLease lease_;
  MasterEdits edits_;
  EditForwarder forwarder_;
  PauseDetector pauses_;
  MembershipReconciler reconciler_;
  ClusterBootstrapper bootstrapper_;
  ReplicaSetManager replica_set_manager_;
  MembershipRegistry membership_registry_;
  RunnerHealthMonitor runner_health_monitor_;
  RunnerList runner_list_;
  std::vector<SliceRow> routing_table_rows_;  // the table in force, cut into rows, and of which configuration
  std::int64_t routing_table_revision_ = 0;
  std::string routing_table_text_;
  std::map<PoolName, RoutePool> route_pools_;
  SlicePublisher slices_;
  WarmupShares warmup_shares_;

  std::map<Address, Known> known_;
  Ballot seen_ballot_;
  Configuration configuration_;
  std::int64_t configuration_of_ = -1;
  PlacementMap map_;
  bool was_master_ = false;
  bool is_stopping_ = false, is_handing_over_ = false;  // asked to end; its place in the set goes to another first
  TimePoint hand_over_end_;
  std::map<Address, std::pair<DaemonStatus, TimePoint>> in_force_;
  std::map<Address, MapVersion> follower_versions_;
  struct FollowerRoutingTable {
    std::int64_t known = 0, sent = 0;  // of which configuration the rows are that it holds, and that were sent last
    TimePoint sent_at{-100000};
  };
  std::map<Address, FollowerRoutingTable> follower_routing_tables_;
  std::map<Address, TimePoint> map_resent_;
  TimePoint published_at_{-100000};
  std::map<std::int64_t, Waiting> waiting_;
  std::int64_t wall_seconds_ = 0;
  TimePoint window_next_;
  bool is_claiming_ = false;
  TimePoint poll_next_, gossip_next_, heartbeat_next_, started_at_;
  TimePoint active_at_, resumed_at_;            // the last timer or message; the end of the last pause
  std::int64_t resume_read_ = 0;                // the read that was begun then
  std::map<Address, TimePoint> gateways_seen_;  // data daemons that the map has named, and when last
  std::vector<OutboundMessage> out_;
  Counts counts_;
};

}  // namespace emberdale
