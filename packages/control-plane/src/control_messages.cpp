// Control daemon: what comes from peers, with one handler for each kind of message.
#include "emberdale/change_status.hpp"
#include "emberdale/control_daemon.hpp"

namespace emberdale {
namespace {

constexpr std::size_t most_known_daemons = 24;  // that one answer to a ping names

// The response to a copy of a change that this daemon does nothing with. With a timestamp of this master's clock, the
// copy may be sent again while it is young enough.
EditResponse disowned(const EditRequest& request, TimePoint master_timestamp) {
  return EditResponse{request.request_id,    wire_code(ChangeStatus::not_master), 0, "", request.term,
                      master_timestamp.value};
}

}  // namespace

void ControlDaemon::on_message(const Address& from, const Message& message, TimePoint now) {
  ++counts_.messages_in;
  detect_pause(now);
  update_master_contact(now);
  bool is_handled = respond_without_store(from, message) || (acceptor_ && acceptor_->on_message(from, message, now));
  if (is_handled) {
    collect_outbound(now);
    return;
  }
  std::visit([&](const auto& content) { learn_from(from, content, now); }, message);
  reconciler_.on_message(from, message, now);
  bootstrapper_.on_message(from, message, now);
  replica_set_manager_.on_message(from, message, now);
  if (replica_set_manager_.drain_bootstrapped())
    poll_next_ = now;
  std::visit([&](const auto& content) { handle(from, content, now); }, message);
  proposer_.on_message(from, message, now);
  follow_bootstrap(now);
  if (is_edge())
    election_.on_message(from, message, now);
  refresh_state(now);
  collect_outbound(now);
  if (election_.is_master() && map_.version < proposer_.state().minimum_version)
    publish(now, true);
  if (!edits_.empty())
    run_edits(now);
  collect_outbound(now);
}

void ControlDaemon::learn_from(const Address& from, const PingRequest& ping, TimePoint now) {
  bool is_control_daemon = ping.sender.role != DaemonRole::unspecified && ping.sender.role != DaemonRole::data;
  if (is_control_daemon)
    peers_.observe(from, ping.sender, ping.master, now);
  // A daemon that stops must not be ranked in an election; one that hands its place over still leads or follows.
  if (!is_stopping_ || is_handing_over_)
    respond_to_ping(from, ping, now);
}

void ControlDaemon::learn_from(const Address& from, const PingResponse& response, TimePoint now) {
  peers_.observe(from, response.sender, response.master, now);
  for (const auto& entry : response.known_daemons)
    peers_.learn(entry);
  proposer_.learn_acceptors(response.acceptors);
}

// A control daemon without a store answers that it is blank, for the daemon that bootstraps a cluster waits for the
// answer of each seed. A daemon that stops does not answer with a store outside the set: it is no learner any more.
bool ControlDaemon::respond_without_store(const Address& from, const Message& message) {
  const auto* request = std::get_if<ReadRequest>(&message);
  if (request == nullptr || !settings_.reconciles_membership)
    return false;
  if (acceptor_)
    return is_stopping_ && !is_replica();
  ReadResponse response;
  response.request_id = request->request_id;
  response.blank = true;
  out_.push_back({from, std::move(response)});
  return true;
}

void ControlDaemon::handle(const Address& from, const Heartbeat& heartbeat, TimePoint now) {
  if (!election_.is_master())
    return;
  followers_.on_heartbeat(from, heartbeat);
  for (const auto& status : heartbeat.runner_statuses)
    runner_health_monitor_.on_report(status, now);
  for (const auto& status : heartbeat.daemon_statuses)
    daemon_statuses_.record(status, now);
  bool has_missed_map = heartbeat.version < map_.version;
  if (has_missed_map && followers_.is_resend_due(from, now)) {
    followers_.on_sent(from, now);
    send_map(from, now);
  }
  report_availability(from, heartbeat.sent_at, false, now);
  settle_edits(now);
}

void ControlDaemon::handle(const Address&, const PlacementUpdate& update, TimePoint now) {
  // A daemon that has just started reads the register first: until that is answered, any term might be over.
  if (!proposer_.has_state() || update.map.version.term < proposer_.state().term) {
    ++counts_.maps_fenced;
  } else if (!election_.is_master() && map_.version < update.map.version) {
    bool has_same_table = update.map.routing_table_revision == map_.routing_table_revision;
    if (!update.omits_routing_table) {
      adopt_map(update.map, now);
    } else if (has_same_table) {
      PlacementMap completed = update.map;
      completed.routing_table = map_.routing_table;
      adopt_map(completed, now);
    }
    // Else the rows are missing here: the heartbeat below says so, and the whole map comes.
  }
  if (is_edge() && !election_.is_master())
    send_heartbeat(now);
}

void ControlDaemon::handle(const Address& from, const Subscribe& subscribe, TimePoint now) {
  slices_.on_subscribe(from, subscribe, now);
  report_availability(from, subscribe.sent_at, false, now);
}

void ControlDaemon::handle(const Address& from, const AvailabilityRequest& request, TimePoint now) {
  report_availability(from, request.sent_at, request.lacks_runners, now);
}

void ControlDaemon::handle(const Address& from, const AvailabilityReport& report, TimePoint now) {
  availability_.take(report, now);
  if (availability_.lacks_runners())
    out_.push_back({from, AvailabilityRequest{now.value, true}});
  TimePoint known_at{report.request_sent_at};
  bool is_newer = gateway_report_.known_at < known_at && known_at <= now;
  if (!report.knows_gateways || from != election_.master() || !is_newer)
    return;
  bool has_same_map = report.gateways_digest == gateways_digest(map_, report.departed_gateways);
  if (has_same_map)
    gateway_report_ = GatewayReport{known_at, report.departed_gateways};
}

void ControlDaemon::handle(const Address& from, const LeaseRequest& request, TimePoint now) {
  if ((is_stopping_ && !is_handing_over_) || !lease_.may_grant_lease(now))
    return;
  MapVersion minimum = std::max(edits_.attempted_minimum_version(), proposer_.state().minimum_version);
  out_.push_back({from, LeaseGrant{request.request_id, minimum}});
}

void ControlDaemon::handle(const Address&, const DispatchBlock& block, TimePoint) {
  for (auto& outbound : relay_block(block, map_, slices_.subscribers(), settings_.self.zone))
    out_.push_back(std::move(outbound));
}

void ControlDaemon::handle(const Address& from, const EditRequest& request, TimePoint now) {
  if (!election_.is_master() || request.term != election_.term()) {
    out_.push_back({from, disowned(request, TimePoint{0})});
    return;
  }
  if (is_too_old(request, now)) {
    out_.push_back({from, disowned(request, now)});
    return;
  }
  MasterEdits::Edit edit;
  edit.request = request;
  edit.from = from;
  edits_.take(std::move(edit), now);
}

// A change that is bound by its age must be proven young, unless it was taken in before.
bool ControlDaemon::is_too_old(const EditRequest& request, TimePoint now) const {
  if (!is_bound_by_age(request) || edits_.knows(request.change_id))
    return false;
  std::optional<Duration> age = age_bound(request, now);
  return !age || *age >= settings_.edit_times.requester_timeout;
}

void ControlDaemon::handle(const Address&, const EditResponse& response, TimePoint now) {
  if (auto ended = forwarder_.on_response(response, now))
    lift_block(ended->block, response);
  forward_edits(now);
}

void ControlDaemon::handle(const Address& from, const ViewRequest& request, TimePoint now) {
  out_.push_back({from, local_view(request.request_id, election_.is_master(), now)});
}

void ControlDaemon::handle(const Address&, const ViewResponse& response, TimePoint) {
  pending_.complete_view(response);
}

// Names the daemons of the sender's zone first; the rest are in the roster of the register.
void ControlDaemon::respond_to_ping(const Address& from, const PingRequest& ping, TimePoint now) {
  PingResponse response;
  response.request_id = ping.request_id;
  response.sender = settings_.self;
  response.master = election_.master();
  response.version = map_.version;
  response.response_timestamp = now.value;
  for (bool wants_same_zone : {true, false})
    for (const auto& [address, peer] : peers_.all()) {
      bool is_same_zone = peer.entry.zone == ping.sender.zone;
      bool is_named = peer.is_identified() && !peer.is_data_daemon() && is_same_zone == wants_same_zone &&
                      address != from && !is_dead_member(address, now);
      if (is_named && response.known_daemons.size() < most_known_daemons)
        response.known_daemons.push_back(peer.entry);
    }
  const FleetState* state = proposer_.has_state()                 ? &proposer_.state()
                            : acceptor_ && !acceptor_->is_blank() ? &acceptor_->state()
                                                                  : nullptr;
  if (state != nullptr) {
    response.fleet_name = state->fleet_name;
    response.acceptors = state->acceptors;
  }
  out_.push_back({from, std::move(response)});
}

void ControlDaemon::detect_pause(TimePoint now) {
  if (auto pause = resume_.on_activity(now)) {
    poll_register(now);
    resume_.wait_for(proposer_.last_read(), now);
    record(now, "resumed", "after " + std::to_string(pause->value) + " ms");
  }
  slices_.set_paused(is_resuming(now));
}

// Tells the subscribers' side when a quorum last surely followed the master whose map this is.
void ControlDaemon::update_master_contact(TimePoint now) {
  if (!election_.is_master())
    slices_.note_master_heard(election_.master_confirmed_at());
  else if (map_.version.term == election_.term())
    slices_.note_master_heard(election_.quorum_confirmed_at(now));
}

void ControlDaemon::synced(std::int64_t token, TimePoint now) {
  if (acceptor_)
    acceptor_->synced(token);
  collect_outbound(now);
}

void ControlDaemon::write_refused(std::int64_t token) {
  if (acceptor_)
    acceptor_->refused(token);
}

}  // namespace emberdale
