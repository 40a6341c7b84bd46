// Control daemon: start, stop, timers, and what goes out.
#include "emberdale/control_daemon.hpp"

namespace emberdale {
namespace {

constexpr Duration hand_over_poll_interval{50};
constexpr Duration subscriber_retention{10000};
constexpr Duration resignation_timeout{1000};

}  // namespace

// Each part has a random sequence of its own, so that a change of one does not move the others.
ControlDaemon::ControlDaemon(ControlDaemonSettings settings, std::unique_ptr<RegisterAcceptor> acceptor)
    : settings_(std::move(settings)),
      random_(settings_.random_seed),
      last_request_id_(first_request_id(random_)),
      acceptor_(std::move(acceptor)),
      proposer_(settings_.self.address, RandomGenerator(settings_.random_seed + 1)),
      election_(settings_.self, RandomGenerator(settings_.random_seed + 2), settings_.election),
      lease_(proposer_, election_, settings_.self.address),
      peers_(settings_.self.address),
      gossip_(settings_.seeds),
      reconciler_(proposer_, settings_.self, settings_.membership, RandomGenerator(settings_.random_seed + 5)),
      bootstrapper_(proposer_, journal_, settings_.self.address, settings_.seeds, settings_.membership.lost_machines,
                    RandomGenerator(settings_.random_seed + 6)),
      replica_set_manager_(proposer_, journal_, settings_.self.role, acceptor_ != nullptr,
                           RandomGenerator(settings_.random_seed + 3)),
      membership_registry_(proposer_, journal_, settings_.self, RandomGenerator(settings_.random_seed + 4),
                           settings_.dead_member_timeout),
      runner_health_monitor_(settings_.self, settings_.probe_interval),
      gateway_directory_(settings_.self.zone),
      followers_(settings_.self.address),
      edits_(proposer_, election_, lease_, journal_, settings_.self.address),
      forwarder_(settings_.edit_times) {
  lease_.is_wait_off = settings_.acknowledges_at_once;
  if (settings_.reconciles_membership)
    replica_set_manager_.set_reconciler(reconciler_);
}

void ControlDaemon::start(TimePoint now) {
  for (const auto& seed : settings_.seeds)
    peers_.add_seed(seed);
  if (acceptor_ && !acceptor_->is_blank())
    proposer_.learn_acceptors(acceptor_->state().acceptors);
  poll_next_ = heartbeat_next_ = started_at_ = now;
  gossip_.start(now);
  resume_.start(now);
  pauses_.start(now);
  reconciler_.start(now);
  replica_set_manager_.start(now);
  if (may_bootstrap())
    bootstrapper_.start(now);
  membership_registry_.start(now);
  if (is_edge()) {
    for (const auto& seed : settings_.seeds)
      election_.add_peer(seed);
    election_.start(now);
  }
  on_timer(now);
}

// A process that is killed at the first start comes back without the permission; its store still has its vote.
bool ControlDaemon::may_bootstrap() const {
  if (!acceptor_)
    return settings_.bootstraps_itself;
  bool has_vote = FoundingElectorate(settings_.seeds).has_vote(acceptor_->store(), settings_.self.address);
  return acceptor_->is_blank() && (settings_.bootstraps_itself || has_vote);
}

void ControlDaemon::follow_bootstrap(TimePoint now) {
  if (!bootstrapper_.drain_bootstrapped())
    return;
  poll_next_ = now;
  reconciler_.on_bootstrapped(now);
}

void ControlDaemon::stop(TimePoint now) {
  if (is_stopping_)
    return;
  is_stopping_ = true;
  record(now, "stopping", settings_.self.address.text);
  if (settings_.reconciles_membership && acceptor_) {
    reconciler_.begin_leaving(now);
    reconcile_membership(now);
    is_handing_over_ = is_replica() && reconciler_.is_handing_over(now);
    hand_over_end_ = now + settings_.hand_over_timeout;
    replica_set_manager_.hurry();
  }
  if (is_handing_over_)
    replica_set_manager_.on_timer(now);
  else
    leave_election(now);
  collect_outbound(now);
}

// The place in the set is handed over first, and the term is laid down then: meanwhile a master goes on leading.
void ControlDaemon::continue_stopping(TimePoint now) {
  if (!is_handing_over_)
    return;
  if (hand_over_end_ > now && reconciler_.is_handing_over(now)) {
    if (!is_replica() && poll_next_ > now + hand_over_poll_interval)
      poll_next_ = now + hand_over_poll_interval;  // whether the successor holds the value
    return;
  }
  record(now, is_replica() ? "not handed over" : "handed over", settings_.self.address.text);
  is_handing_over_ = false;
  leave_election(now);
}

// A master lays its term down in the register: then the next need not wait for the end of this one's leases.
void ControlDaemon::leave_election(TimePoint now) {
  if (election_.is_master() && !lease_.is_waiting(now)) {
    Address self = settings_.self.address;
    proposer_.change(
        [self](const FleetState& state) -> ChangeDecision {
          if (state.master != self)
            return {ChangeDecision::Kind::already_there, {}, ""};
          FleetState next = state;
          next.master = Address{};
          return {ChangeDecision::Kind::apply, next, ""};
        },
        nullptr, now, resignation_timeout);
  }
  if (is_edge())
    election_.leave();
}

void ControlDaemon::end_all_requests(TimePoint now) {
  for (auto& [ended, response] : forwarder_.end_all())
    lift_block(ended.block, response);
  edits_.end_all();
  send_ended_edits();
  pending_.end_all([&](std::int64_t request_id) { return local_view(request_id, false, now); });
  collect_outbound(now);
}

// The order of these steps decides what is sent and in which order random numbers are drawn.
void ControlDaemon::on_timer(TimePoint now) {
  pauses_.on_timer(now);
  detect_pause(now);
  proposer_.on_timer(now);
  if (is_edge())
    election_.on_timer(now);
  if (poll_next_ <= now)
    poll_register(now);
  send_gossip(now);
  if (acceptor_ && !acceptor_->is_blank() && proposer_.acceptors().empty())
    proposer_.learn_acceptors(acceptor_->state().acceptors);
  refresh_state(now);
  if (is_edge())
    update_roster(now);
  bootstrapper_.on_timer(now);
  follow_bootstrap(now);
  if (settings_.reconciles_membership)
    reconcile_membership(now);
  replica_set_manager_.on_timer(now);
  continue_stopping(now);
  if (is_edge() && heartbeat_next_ <= now)
    send_heartbeat(now);
  update_master_contact(now);
  slices_.remove_silent_subscribers(now, subscriber_retention);
  if (is_edge())
    runner_health_monitor_.schedule_probes(placed_configuration(), live_edges(settings_.self.zone, now),
                                           election_.is_master(), now);
  if (election_.is_master())
    run_master_duties(now);
  block_draining_runners(now);
  settle_edits(now);
  send_due_blocks(now);
  forward_edits(now);
  for (auto& [ended, response] : forwarder_.on_timer(now))
    lift_block(ended.block, response);
  pending_.expire([&](std::int64_t request_id) { return local_view(request_id, false, now); }, now);
  collect_outbound(now);
}

void ControlDaemon::send_gossip(TimePoint now) {
  for (const auto& target : gossip_.due_targets(peers_, map_, proposer_.has_state(), is_edge(), random_, now))
    out_.push_back({target, PingRequest{0, settings_.self, election_.master(), map_.version}});
}

void ControlDaemon::run_master_duties(TimePoint now) {
  for (const auto& status : slices_.subscriber_statuses(now))
    daemon_statuses_.record(status, now);
  daemon_statuses_.expire(now);
  edits_.on_timer(now);
  publish(now, false);
  move_windows(now);
  if (!edits_.is_open())
    lease_.keep(now);
  run_edits(now);
}

void ControlDaemon::collect_outbound(TimePoint now) {
  if (auto claim = election_.drain_claim())
    claim_term(*claim, now);
  bool is_master = election_.is_master();
  if (is_master != was_master_) {
    was_master_ = is_master;
    on_mastership(is_master, now);
  }
  record_refusals(proposer_.refusals(), now);
  if (acceptor_) {
    record_refusals(acceptor_->refusals(), now);
    send_all(acceptor_->drain_outbound());
  }
  send_all(proposer_.drain_outbound());
  send_all(election_.drain_outbound());
  send_all(slices_.drain_outbound());
  send_all(reconciler_.drain_outbound());
  send_all(bootstrapper_.drain_outbound());
  send_all(replica_set_manager_.drain_outbound());
}

void ControlDaemon::on_mastership(bool is_master, TimePoint now) {
  if (!is_master)
    return record(now, "deposed", settings_.self.address.text);
  refresh_state(now);
  begin_term(now);
}

void ControlDaemon::record_refusals(RefusedMessages& refusals, TimePoint now) {
  for (const auto& refused : refusals.drain_updates())
    record(now, "refused_message", refused.from.text + " " + reason_name(refused.reason) + " " + refused.detail);
}

void ControlDaemon::send_all(std::vector<OutboundMessage> messages) {
  for (auto& outbound : messages)
    if (!outbound.to.empty())
      out_.push_back(std::move(outbound));
}

std::vector<OutboundMessage> ControlDaemon::drain_outbound() { return std::exchange(out_, {}); }
std::vector<LogWrite> ControlDaemon::drain_writes() {
  return acceptor_ ? acceptor_->drain_writes() : std::vector<LogWrite>{};
}
std::vector<ProbeRequest> ControlDaemon::drain_probes() { return runner_health_monitor_.drain_probes(); }

}  // namespace emberdale
