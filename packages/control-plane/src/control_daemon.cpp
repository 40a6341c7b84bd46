// Life of a control daemon: start, stop, timers, and what goes out.
#include <algorithm>

#include "emberdale/control_daemon.hpp"

namespace emberdale {
namespace {

constexpr Duration gossip_pace{500};
constexpr Duration hand_over_poll_pace{50};
constexpr Duration gateway_memory{600000};

}  // namespace

ControlDaemon::ControlDaemon(ControlDaemonSettings settings, std::unique_ptr<RegisterAcceptor> acceptor)
    : settings_(std::move(settings)),
      random_(settings_.random_seed),
      last_request_id_(first_request_id(random_)),
      acceptor_(std::move(acceptor)),
      proposer_(settings_.self.address, RandomGenerator(settings_.random_seed + 1)),
      election_(settings_.self, RandomGenerator(settings_.random_seed + 2), settings_.election),
      lease_(proposer_, election_, settings_.self.address),
      edits_(proposer_, election_, lease_, journal_, settings_.self.address),
      forwarder_(settings_.edit_times),
      reconciler_(proposer_, settings_.self, settings_.membership, RandomGenerator(settings_.random_seed + 5)),
      bootstrapper_(proposer_, journal_, settings_.self.address, settings_.seeds,
                    RandomGenerator(settings_.random_seed + 6)),
      replica_set_manager_(proposer_, journal_, settings_.self.role, acceptor_ != nullptr,
                           RandomGenerator(settings_.random_seed + 3)),
      membership_registry_(proposer_, journal_, settings_.self, RandomGenerator(settings_.random_seed + 4),
                           settings_.dead_member_timeout),
      runner_health_monitor_(settings_.self, settings_.probe_pace) {
  lease_.is_wait_off = settings_.acknowledges_at_once;
  if (settings_.reconciles_membership)
    replica_set_manager_.set_reconciler(reconciler_);
}

void ControlDaemon::start(TimePoint now) {
  for (const auto& seed : settings_.seeds)
    if (seed != settings_.self.address)
      known_[seed].entry.address = seed;
  if (acceptor_ && !acceptor_->is_blank())
    proposer_.learn_acceptors(acceptor_->state().acceptors);
  poll_next_ = gossip_next_ = heartbeat_next_ = started_at_ = active_at_ = now;
  pauses_.start(now);
  reconciler_.start(now);
  replica_set_manager_.start(now);
  if (settings_.bootstraps_itself && (!acceptor_ || acceptor_->is_blank()))
    bootstrapper_.start(now);
  membership_registry_.start(now);
  if (is_edge()) {
    for (const auto& seed : settings_.seeds)
      election_.add_peer(seed);
    election_.start(now);
  }
  on_timer(now);
}

void ControlDaemon::stop(TimePoint now) {
  if (is_stopping_)
    return;
  is_stopping_ = true;
  note(now, "stopping", settings_.self.address.text);
  if (settings_.reconciles_membership && acceptor_) {
    reconciler_.begin_leaving(now);
    reconcile_membership(now);
    is_handing_over_ = is_replica() && reconciler_.is_handing_over(now);
    hand_over_end_ = now + settings_.hand_over_patience;
    replica_set_manager_.hurry();
  }
  if (is_handing_over_)
    replica_set_manager_.on_timer(now);
  else
    take_leave(now);
  collect(now);
}

// The place in the set is handed over first, and the term is laid down then: a master leads on meanwhile.
void ControlDaemon::continue_stopping(TimePoint now) {
  if (!is_handing_over_)
    return;
  if (hand_over_end_ > now && reconciler_.is_handing_over(now)) {
    if (!is_replica() && poll_next_ > now + hand_over_poll_pace)
      poll_next_ = now + hand_over_poll_pace;  // whether the successor holds the value
    return;
  }
  note(now, is_replica() ? "not handed over" : "handed over", settings_.self.address.text);
  is_handing_over_ = false;
  take_leave(now);
}

void ControlDaemon::take_leave(TimePoint now) {
  if (election_.is_master() && !lease_.is_waiting(now)) {
    // Lays the term down in the register: the next master need not wait for this one's word to lapse.
    Address self = settings_.self.address;
    proposer_.change(
        [self](const FleetState& state) -> Verdict {
          if (state.master != self)
            return {Verdict::Kind::already_there, {}, ""};
          FleetState next = state;
          next.master = Address{};
          return {Verdict::Kind::apply, next, ""};
        },
        nullptr, now, Duration{1000});
  }
  if (is_edge())
    election_.leave();
}

void ControlDaemon::answer_all(TimePoint now) {
  for (auto& [ended, answer] : forwarder_.end_all())
    lift_block(ended.block, answer);
  edits_.end_all();
  end_edits();
  end_waiting([](const Waiting&) { return true; }, now);
  collect(now);
}

std::vector<DaemonEntry> ControlDaemon::known() const {
  std::vector<DaemonEntry> entries;
  for (const auto& [address, known] : known_)
    if (known.entry.role != DaemonRole::unspecified)
      entries.push_back(known.entry);
  return entries;
}

void ControlDaemon::on_timer(TimePoint now) {
  pauses_.on_timer(now);
  notice_pause(now);
  proposer_.on_timer(now);
  if (is_edge())
    election_.on_timer(now);
  if (poll_next_ <= now)
    poll_register(now);
  gossip(now);
  if (acceptor_ && !acceptor_->is_blank() && proposer_.acceptors().empty())
    proposer_.learn_acceptors(acceptor_->state().acceptors);
  refresh_state(now);
  if (is_edge())
    keep_roster(now);
  bootstrapper_.on_timer(now);
  if (settings_.reconciles_membership)
    reconcile_membership(now);
  replica_set_manager_.on_timer(now);
  continue_stopping(now);
  if (is_edge() && heartbeat_next_ <= now)
    send_heartbeat(now);
  hear_master(now);
  slices_.remove_silent_subscribers(now, Duration{10000});
  if (is_edge())
    runner_health_monitor_.schedule_probes(placed_configuration(), live_edges(settings_.self.zone, now),
                                           election_.is_master(), now);
  if (election_.is_master())
    lead(now);
  settle_edits(now);
  forward_blocks(now);
  forward_edits(now);
  for (auto& [ended, answer] : forwarder_.on_timer(now))
    lift_block(ended.block, answer);
  expire_waiting(now);
  collect(now);
}

// Tells some peers of this daemon: the seeds until a register is known, else two at random.
void ControlDaemon::gossip(TimePoint now) {
  if (now < gossip_next_)
    return;
  gossip_next_ = now + gossip_pace;
  std::vector<Address> others;
  std::set<Address> targets;
  for (const auto& [address, known] : known_) {
    if (now - known.heard > Duration{60000} && known.heard.value >= 0 &&
        std::find(settings_.seeds.begin(), settings_.seeds.end(), address) == settings_.seeds.end())
      continue;
    bool is_seed = std::find(settings_.seeds.begin(), settings_.seeds.end(), address) != settings_.seeds.end();
    if (is_seed && !proposer_.has_state())
      targets.insert(address);
    else
      others.push_back(address);
  }
  for (int i = 0; i < 2 && !others.empty(); ++i)
    targets.insert(others[static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(others.size())))]);
  // A data daemon that has started anew knows its seeds alone, and they may all have been replaced: who
  // still knows its address speaks to it.
  for (const auto& row : map_.gateways)
    gateways_seen_[row.daemon] = now;
  std::vector<Address> missed;
  for (auto entry = gateways_seen_.begin(); entry != gateways_seen_.end();) {
    if (now - entry->second > gateway_memory)
      entry = gateways_seen_.erase(entry);
    else if (entry->second < now)
      missed.push_back((entry++)->first);
    else
      ++entry;
  }
  if (is_edge() && !missed.empty())
    targets.insert(missed[static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(missed.size())))]);
  for (const auto& target : targets)
    out_.push_back({target, PingRequest{0, settings_.self, election_.master(), map_.version}});
}

// What the master does beside following none: collects what is in force, publishes, works edits out.
void ControlDaemon::lead(TimePoint now) {
  for (const auto& report : slices_.subscriber_statuses(now))
    take_report(report, now);
  for (auto entry = in_force_.begin(); entry != in_force_.end();) {
    if (now - entry->second.second > Duration{15000})
      entry = in_force_.erase(entry);
    else
      ++entry;
  }
  edits_.on_timer(now);
  publish(now, false);
  keep_windows(now);
  if (!edits_.is_open())
    lease_.keep(now);
  run_edits(now);
}

// Views and reads whose time is over end without an answer from others.
void ControlDaemon::expire_waiting(TimePoint now) {
  end_waiting([now](const Waiting& waiting) { return waiting.deadline <= now; }, now);
}

void ControlDaemon::end_waiting(const std::function<bool(const Waiting&)>& is_over, TimePoint now) {
  for (auto entry = waiting_.begin(); entry != waiting_.end();) {
    if (!is_over(entry->second)) {
      ++entry;
      continue;
    }
    Waiting ended = std::move(entry->second);
    std::int64_t ask = entry->first;
    entry = waiting_.erase(entry);
    if (ended.view)
      ended.view(ViewResponse{ask, false, false, map_, in_force(now)});
    if (ended.read)
      ended.read(nullptr);
  }
}

void ControlDaemon::collect(TimePoint now) {
  if (auto claim = election_.drain_claim())
    claim_term(*claim, now);
  bool is_master = election_.is_master();
  if (is_master != was_master_) {
    was_master_ = is_master;
    if (is_master) {
      refresh_state(now);
      begin_leading(now);
    } else {
      note(now, "deposed", settings_.self.address.text);
    }
  }
  auto take = [&](std::vector<OutboundMessage> messages) {
    for (auto& message : messages) {
      if (message.to.empty())
        continue;
      out_.push_back(std::move(message));
    }
  };
  auto tell = [&](RefusedMessages& refusals) {
    for (const auto& refused : refusals.drain_updates())
      note(now, "refused_message", refused.from.text + " " + reason_name(refused.reason) + " " + refused.detail);
  };
  tell(proposer_.refusals());
  if (acceptor_) {
    tell(acceptor_->refusals());
    take(acceptor_->drain_outbound());
  }
  take(proposer_.drain_outbound());
  take(election_.drain_outbound());
  take(slices_.drain_outbound());
  take(reconciler_.drain_outbound());
  take(bootstrapper_.drain_outbound());
  take(replica_set_manager_.drain_outbound());
}

std::vector<OutboundMessage> ControlDaemon::drain_outbound() { return std::exchange(out_, {}); }
std::vector<LogWrite> ControlDaemon::drain_writes() {
  return acceptor_ ? acceptor_->drain_writes() : std::vector<LogWrite>{};
}
std::vector<ProbeRequest> ControlDaemon::drain_probes() { return runner_health_monitor_.drain_probes(); }

}  // namespace emberdale
