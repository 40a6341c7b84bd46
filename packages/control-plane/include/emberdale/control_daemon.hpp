// The control daemon: a replica or client of the register, a candidate in the election, and as master the source of
// placement maps and the place where configuration changes are carried out. The classes that it is made of have one
// role each; this one routes messages and timers to them. Without I/O, clock or threads: the program calls it on its
// one control thread, the simulator runs many under virtual time.
#pragma once
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "emberdale/applied_routing_table.hpp"
#include "emberdale/cluster_bootstrapper.hpp"
#include "emberdale/daemon_status_table.hpp"
#include "emberdale/draining_runner_watch.hpp"
#include "emberdale/edit_age.hpp"
#include "emberdale/edit_forwarder.hpp"
#include "emberdale/event_journal.hpp"
#include "emberdale/follower_tracker.hpp"
#include "emberdale/forwarded_block.hpp"
#include "emberdale/gateway_directory.hpp"
#include "emberdale/gossip_scheduler.hpp"
#include "emberdale/leader_lease.hpp"
#include "emberdale/master_edits.hpp"
#include "emberdale/master_election.hpp"
#include "emberdale/membership_reconciler.hpp"
#include "emberdale/membership_registry.hpp"
#include "emberdale/peer_table.hpp"
#include "emberdale/pending_requests.hpp"
#include "emberdale/placement_map.hpp"
#include "emberdale/placement_slices.hpp"
#include "emberdale/register_acceptor.hpp"
#include "emberdale/register_proposer.hpp"
#include "emberdale/replica_set_manager.hpp"
#include "emberdale/resume_barrier.hpp"
#include "emberdale/runner_availability.hpp"
#include "emberdale/runner_health_monitor.hpp"
#include "emberdale/runner_list.hpp"
#include "emberdale/runner_list_freshness.hpp"
#include "emberdale/serving_plans.hpp"
#include "emberdale/warmup_allocator.hpp"
#include "emberdale/window_scheduler.hpp"

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
  MembershipPolicy membership;          // how many losses the set of replicas has to bear
  Duration hand_over_timeout{4000};     // a replica that stops waits so long at most for its successor
  bool acknowledges_at_once = false;    // data daemons serve on without leases: no term waits for those of an earlier
  bool reads_runner_list = false;       // runners come from service discovery, not from operators' documents
  Duration probe_interval{400};         // between two probes of one runner
  Duration dead_member_timeout{30000};  // the master removes a daemon from the roster that was silent for so long
};

// The owner calls on_timer() every 50 ms or so, and after each call carries out what drain_outbound(), drain_writes()
// and drain_probes() give.
class ControlDaemon {
 public:
  // The master reads the list of runners while a quorum has followed it within this time. A daemon that has not heard
  // for so long of such a master reads it as well.
  static constexpr Duration list_quorum_age{1500};

  // `acceptor`: the replica of the register that this daemon keeps; nullptr: it keeps none.
  ControlDaemon(ControlDaemonSettings settings, std::unique_ptr<RegisterAcceptor> acceptor);

  // --- events -----------------------------------------------------------------------------------
  void start(TimePoint now);
  void on_message(const Address& from, const Message& message, TimePoint now);
  void on_timer(TimePoint now);
  void on_probe(const RunnerStatus& status, TimePoint now);
  // Nobody listens at the address of that peer.
  void on_refused(const Address& peer, TimePoint now);
  // All writes up to that token are durable.
  void synced(std::int64_t token, TimePoint now);
  // The disk has refused the write with that token, and all after it.
  void write_refused(std::int64_t token);
  // The wall clock in seconds since 1970, for maintenance windows alone.
  void set_wall_clock(std::int64_t seconds) { windows_.set_wall_clock(seconds); }

  // --- shutdown ---------------------------------------------------------------------------------
  // Begins to stop. A replica first hands its place over to a learner, if one is known.
  void stop(TimePoint now);
  // After stop(): the place is handed over, or there is nothing to hand over.
  bool is_ready_to_end() const { return is_stopping_ && !is_handing_over_; }
  // The last call: ends all changes, reads and views that wait here.
  void end_all_requests(TimePoint now);

  // --- what is to be done -----------------------------------------------------------------------
  std::vector<OutboundMessage> drain_outbound();
  std::vector<LogWrite> drain_writes();
  std::vector<ProbeRequest> drain_probes();

  // --- service discovery ------------------------------------------------------------------------
  // True when the list of runners is to be read now: at the master, and at daemons that hear of none. The read counts
  // as begun.
  bool begin_list_read(TimePoint now);
  // Since the last complete reading of the list by this daemon; nothing if there was none.
  std::optional<Duration> runner_list_age(TimePoint now) const { return list_freshness_.age(now); }
  // The list, whose reading began at `begun`; nothing: it could not be read.
  void on_runner_list(std::optional<std::vector<ListedRunner>> runners, TimePoint begun, TimePoint now);
  // Where clients near that place are sent to: see GatewayDirectory::addresses.
  std::vector<std::string> gateway_addresses(const RegionName& region, const ZoneName& zone, std::size_t limit,
                                             TimePoint now);
  // How long nothing was heard of each data daemon that an answer named, when it was named: it may have been off for
  // so long.
  const DurationHistogram& gateway_evidence_ages() const { return gateway_directory_.evidence_ages(); }
  // That pool of the routing table in force here; nullptr if there is none.
  // Of what clients may send, as the routing table in force has them.
  const RequestLimits& request_limits() const { return routing_table_.limits(); }
  const RoutePool* route_pool(const PoolName& pool) const { return routing_table_.pool(pool); }

  // --- requests of operators; each callback is called exactly once --------------------------------
  // A configuration change. It may be asked for at any daemon, and is done by the master.
  void edit(EditRequest request, EditDone done, TimePoint now);
  // A linearizable read: the state is confirmed by a majority in a round that was started after `now`.
  void read(ReadDone done, TimePoint now);
  // The master's map, and what each data daemon has applied.
  void view(ViewDone done, TimePoint now);
  // Creates the register on blank core machines, once.
  void bootstrap(const std::string& fleet, const std::vector<Address>& cores, ReplicaSetDone done, TimePoint now);
  // Puts an empty core machine in the place of another.
  void replace_core(const Address& old_address, const Address& new_address, ReplicaSetDone done, TimePoint now);

  // --- safeguards that a test takes out, to see the invariant break -------------------------------
  // A new term acknowledges at once.
  void disable_acknowledgement_wait() { lease_.is_wait_off = true; }
  // Every join counts as a promise.
  bool is_promise_off = false;

  // --- views ------------------------------------------------------------------------------------
  const MasterElection& election() const { return election_; }
  const RegisterProposer& proposer() const { return proposer_; }
  const RegisterAcceptor* acceptor() const { return acceptor_.get(); }
  const PlacementMap& map() const { return map_; }
  const DaemonEntry& self() const { return settings_.self; }
  EventJournal& journal() { return journal_; }
  std::vector<DaemonEntry> known() const { return peers_.identified(); }
  struct Counts {
    std::int64_t maps_published = 0, maps_taken = 0, maps_fenced = 0, messages_in = 0, blocks_forwarded = 0;
  };
  const Counts& counts() const { return counts_; }
  const MasterEdits::Counts& edit_counts() const { return edits_.counts(); }
  const MembershipRegistry::Counts& membership_counts() const { return membership_registry_.counts(); }
  std::int64_t probes_made() const { return runner_health_monitor_.probes_made(); }

  // Called for each map that this daemon publishes as master (the simulator's check of the fence).
  std::function<void(const PlacementMap&)> on_publish;

 private:
  // --- control_messages.cpp: what comes from peers ------------------------------------------------
  // Pings and their answers identify the sender before any other part looks at the message.
  template <class Other>
  void learn_from(const Address&, const Other&, TimePoint) {}
  void learn_from(const Address& from, const PingRequest& ping, TimePoint now);
  void learn_from(const Address& from, const PingResponse& response, TimePoint now);
  // One handler for each kind of message that this class handles itself; its parts look at the others.
  template <class Other>
  void handle(const Address&, const Other&, TimePoint) {}
  void handle(const Address& from, const Heartbeat& heartbeat, TimePoint now);
  void handle(const Address& from, const PlacementUpdate& update, TimePoint now);
  void handle(const Address& from, const Subscribe& subscribe, TimePoint now);
  void handle(const Address& from, const LeaseRequest& request, TimePoint now);
  void handle(const Address& from, const DispatchBlock& block, TimePoint now);
  void handle(const Address& from, const EditRequest& request, TimePoint now);
  void handle(const Address& from, const EditResponse& response, TimePoint now);
  void handle(const Address& from, const AvailabilityRequest& request, TimePoint now);
  void handle(const Address& from, const AvailabilityReport& report, TimePoint now);
  void handle(const Address& from, const ViewRequest& request, TimePoint now);
  void handle(const Address& from, const ViewResponse& response, TimePoint now);
  bool respond_without_store(const Address& from, const Message& message);
  void respond_to_ping(const Address& from, const PingRequest& ping, TimePoint now);
  bool is_too_old(const EditRequest& request, TimePoint now) const;
  void detect_pause(TimePoint now);
  bool is_resuming(TimePoint now) const { return resume_.is_waiting(proposer_.confirmed_read(), now); }
  void update_master_contact(TimePoint now);

  // --- control_daemon.cpp: start, stop and timers -------------------------------------------------
  void continue_stopping(TimePoint now);
  void leave_election(TimePoint now);
  void send_gossip(TimePoint now);
  void run_master_duties(TimePoint now);
  void collect_outbound(TimePoint now);
  void record_refusals(RefusedMessages& refusals, TimePoint now);
  void send_all(std::vector<OutboundMessage> messages);
  void on_mastership(bool is_master, TimePoint now);
  void record(TimePoint now, const std::string& kind, const std::string& detail) { journal_.append(now, kind, detail); }

  // --- control_membership.cpp: the register's state, roster, replicas and terms -------------------
  bool is_edge() const { return settings_.self.role == DaemonRole::edge; }
  bool is_leaderless() const { return settings_.reconciles_membership && election_.master().empty(); }
  // Whether this daemon's store is in the set of replicas, or in the set that follows.
  bool is_replica() const;
  bool is_led_by_others(TimePoint now) const;
  bool is_dead_member(const Address& daemon, TimePoint now) const;
  DecisionRight decision_right() const;
  bool may_bootstrap() const;
  // Once the first state is chosen: the register is read, and learners that are there are added at once.
  void follow_bootstrap(TimePoint now);
  void refresh_state(TimePoint now);
  void on_new_state(TimePoint now);
  void update_roster(TimePoint now);
  void reconcile_membership(TimePoint now);
  void claim_term(const TermClaim& claim, TimePoint now);
  void begin_term(TimePoint now);

  // --- control_maps.cpp: placement maps -----------------------------------------------------------
  bool may_publish(TimePoint now) const;
  bool has_number_beside_open_write() const;
  MapVersion next_map_version() const;
  PlacementMap next_map(const MapVersion& version, std::map<RunnerName, RunnerStatus> statuses, TimePoint now);
  bool add_listed_runners(std::map<RunnerName, RunnerStatus>& statuses, bool must_cover, TimePoint now);
  bool is_worth_publishing(const PlacementMap& map, bool is_due, TimePoint now) const;
  // `is_due`: also when the last map is younger than the usual interval.
  void publish(TimePoint now, bool is_due);
  void adopt_map(const PlacementMap& map, TimePoint now);
  void send_map(const Address& to, TimePoint now);
  void send_heartbeat(TimePoint now);
  std::vector<std::string> live_edges(const ZoneName& zone, TimePoint now) const;
  bool inherits_gateways(TimePoint now) const;
  std::vector<GatewayRow> live_gateways(TimePoint now) const;
  std::vector<GatewayRow> live_followers(TimePoint now) const;
  Configuration placed_configuration() const;
  std::vector<RunnerEntry> runners_of_map() const;
  bool has_confirmed_master(TimePoint now) const;
  void block_draining_runners(TimePoint now);
  bool needs_own_reading(bool has_master, TimePoint now);
  bool has_confirmed_gateways(TimePoint now) const;
  std::vector<Address> departed_gateways(TimePoint now) const;
  void report_availability(const Address& to, std::int64_t request_sent_at, bool lacks_runners, TimePoint now);

  // --- control_operators.cpp: changes, reads and views --------------------------------------------
  // Why a change that arrives now is refused at once; nothing: it is not.
  std::optional<std::string> refusal_at_arrival(const EditRequest& request, TimePoint now) const;
  bool is_out_of_contact(TimePoint now) const {
    const auto& limit = settings_.edit_times.contact_limit;
    return limit && now - proposer_.reached_at() > *limit;
  }
  void take_forwarded_edits_back(TimePoint now);
  void forward_edits(TimePoint now);
  Address leader_to_send_to() const;
  void run_edits(TimePoint now);
  void settle_edits(TimePoint now);
  void send_ended_edits();
  std::int64_t version_of(const EditRequest& request) const;
  void send_block(const DispatchBlock& block);
  void send_due_blocks(TimePoint now);
  void lift_block(const ForwardedBlock& block, const EditResponse& response);
  void move_windows(TimePoint now);
  void poll_register(TimePoint now);
  void poll_for_reads(TimePoint now);
  void complete_reads(TimePoint now);
  ViewResponse local_view(std::int64_t request_id, bool is_from_master, TimePoint now) const;
  // Whether this term is old enough for every data daemon to have reported what it has applied, or to have lost the
  // lease of an earlier master.
  bool is_settled(TimePoint now) const;

  ControlDaemonSettings settings_;
  RandomGenerator random_;
  std::int64_t last_request_id_;  // of requests that are asked for here
  EventJournal journal_{512};

  // The register and the election. Each proposer round and each election round starts from a timer or message.
  std::unique_ptr<RegisterAcceptor> acceptor_;  // may be nullptr
  RegisterProposer proposer_;
  MasterElection election_;
  LeaderLease lease_;
  Ballot applied_ballot_;     // of the state that on_new_state() has seen last
  bool is_claiming_ = false;  // a claim of the next term is being written
  bool was_master_ = false;   // as of the last collect_outbound()
  TimePoint poll_next_;
  ResumeBarrier resume_;

  // Peers, roster and set of replicas.
  PeerTable peers_;
  GossipScheduler gossip_;
  MembershipReconciler reconciler_;
  ClusterBootstrapper bootstrapper_;
  ReplicaSetManager replica_set_manager_;
  MembershipRegistry membership_registry_;
  TimePoint started_at_;

  // Shutdown. is_handing_over_ implies is_stopping_.
  bool is_stopping_ = false;
  bool is_handing_over_ = false;
  TimePoint hand_over_end_;

  // Configuration and placement. `configuration_` was read from the state with `configuration_revision_`.
  Configuration configuration_;
  std::int64_t configuration_revision_ = -1;
  AppliedRoutingTable routing_table_;
  RunnerHealthMonitor runner_health_monitor_;
  RunnerList runner_list_;
  RunnerListFreshness list_freshness_;
  DrainingRunnerWatch draining_runners_;
  AvailabilityTracker availability_;
  std::optional<TimePoint> reading_wanted_since_;
  AvailabilityReporter availability_reporter_;
  WarmupAllocator warmup_allocator_;
  PlacementMap map_;  // published here or received; its version only grows
  SlicePublisher slices_;
  GatewayDirectory gateway_directory_;
  Duration recorded_evidence_age_;
  GatewayReport gateway_report_;  // the master's newest
  TimePoint heartbeat_next_;

  // Of the master's term, and empty elsewhere.
  DaemonStatusTable daemon_statuses_;
  FollowerTracker followers_;
  TimePoint published_at_{-100000};
  WindowScheduler windows_;

  // Requests of operators.
  MasterEdits edits_;
  EditForwarder forwarder_;
  PauseDetector pauses_;
  PendingRequests pending_;

  std::vector<OutboundMessage> out_;
  Counts counts_;
};

}  // namespace emberdale
