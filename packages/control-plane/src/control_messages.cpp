// Messages of peers at a control daemon: one handler for each kind.
#include <algorithm>

#include "emberdale/control_daemon.hpp"

namespace emberdale {
namespace {

constexpr Duration pause_threshold{1000};  // this long without a timer: the process was paused
constexpr Duration resume_patience{1000};  // how long it then waits for a majority of the register
constexpr Duration map_resend_pace{250};   // a map is sent again to one follower at most this often

}  // namespace

void ControlDaemon::on_message(const Address& from, const Message& message, TimePoint now) {
  ++counts_.messages_in;
  notice_pause(now);
  hear_master(now);
  if (answer_without_store(from, message)) {
    collect(now);
    return;
  }
  if (acceptor_ && acceptor_->on_message(from, message, now)) {
    collect(now);
    return;
  }
  std::visit([&](const auto& content) { learn_from(from, content, now); }, message);
  reconciler_.on_message(from, message, now);
  bootstrapper_.on_message(from, message, now);
  replica_set_manager_.on_message(from, message, now);
  if (replica_set_manager_.drain_bootstrapped())
    poll_next_ = now;
  if (bootstrapper_.drain_bootstrapped()) {
    poll_next_ = now;
    reconciler_.on_bootstrapped(now);
  }
  std::visit([&](const auto& content) { handle(from, content, now); }, message);
  proposer_.on_message(from, message, now);
  if (is_edge())
    election_.on_message(from, message, now);
  refresh_state(now);
  collect(now);
  if (election_.is_master() && map_.version < proposer_.state().minimum_version)
    publish(now, true);
  if (!edits_.empty())
    run_edits(now);
  collect(now);
}

void ControlDaemon::learn_from(const Address& from, const PingRequest& ping, TimePoint now) {
  if (ping.sender.role != DaemonRole::unspecified && ping.sender.role != DaemonRole::data) {
    auto& known = known_[from];
    known.entry = ping.sender;
    known.heard = now;
    known.master = ping.master;
  }
  // A leaving daemon must not be ranked in an election; one that hands over still leads or follows.
  if (!is_stopping_ || is_handing_over_)
    answer_ping(from, ping, now);
}

void ControlDaemon::learn_from(const Address& from, const PingResponse& response, TimePoint now) {
  auto& known = known_[from];
  known.entry = response.sender;
  known.heard = now;
  known.master = response.master;
  for (const auto& entry : response.known_daemons)
    if (entry.address != settings_.self.address && known_[entry.address].entry.role == DaemonRole::unspecified)
      known_[entry.address].entry = entry;
  proposer_.learn_acceptors(response.acceptors);
}

// A control daemon without a store says so, for a founder waits for the word of each seed. And a store outside the
// set is not offered as a learner any more by a daemon that ends: it says nothing.
bool ControlDaemon::answer_without_store(const Address& from, const Message& message) {
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

void ControlDaemon::take_report(const DaemonStatus& report, TimePoint now) {
  TimePoint at{now.value - report.age_ms};
  auto& entry = in_force_[report.daemon.address];
  if (entry.second <= at)
    entry = {report, at};
}

void ControlDaemon::handle(const Address& from, const Heartbeat& heartbeat, TimePoint now) {
  if (!election_.is_master())
    return;
  follower_versions_[from] = heartbeat.version;
  follower_routing_tables_[from].known = heartbeat.routing_table_revision;
  for (const auto& status : heartbeat.runner_statuses)
    runner_health_monitor_.on_report(status, now);
  for (const auto& report : heartbeat.daemon_statuses)
    take_report(report, now);
  // A follower that missed a map gets it again.
  if (heartbeat.version < map_.version && now - map_resent_[from] > map_resend_pace) {
    map_resent_[from] = now;
    send_map(from, now);
  }
  settle_edits(now);
}

void ControlDaemon::handle(const Address&, const PlacementUpdate& update, TimePoint now) {
  // One that has just started asks the register first: until it has answered, any term might be over.
  if (!proposer_.has_state() || update.map.version.term < proposer_.state().term) {
    ++counts_.maps_fenced;
  } else if (!election_.is_master() && map_.version < update.map.version) {
    // Without the table's rows, and they aren't here: the follow below says so, and the whole map comes.
    if (!update.omits_routing_table)
      take_map(update.map, now);
    else if (update.map.routing_table_revision == map_.routing_table_revision)
      take_map(with_rows(update.map), now);
  }
  if (is_edge() && !election_.is_master())
    send_heartbeat(now);
}

void ControlDaemon::handle(const Address& from, const Subscribe& subscribe, TimePoint now) {
  slices_.on_subscribe(from, subscribe, now);
}

void ControlDaemon::handle(const Address& from, const LeaseRequest& request, TimePoint now) {
  if ((is_stopping_ && !is_handing_over_) || !lease_.may_grant_lease(now))
    return;
  MapVersion minimum = std::max(edits_.attempted_minimum_version(), proposer_.state().minimum_version);
  out_.push_back({from, LeaseGrant{request.request_id, minimum}});
}

void ControlDaemon::handle(const Address&, const DispatchBlock& block, TimePoint) {
  if (!block.is_relayed)
    return;
  DispatchBlock near = block;
  near.is_relayed = false;
  for (const auto& gateway : map_.gateways)
    if (gateway.zone == settings_.self.zone)
      out_.push_back({gateway.daemon, near});
}

void ControlDaemon::handle(const Address& from, const EditRequest& request, TimePoint now) {
  if (!election_.is_master() || request.term != election_.term()) {
    out_.push_back({from, EditResponse{request.request_id, 0, 0, "", request.term}});
    return;
  }
  if (is_bound_by_age(request) && !edits_.knows(request.change_id)) {
    std::optional<Duration> age = age_bound(request, now);
    if (!age || *age >= settings_.edit_times.requester_timeout) {
      out_.push_back({from, EditResponse{request.request_id, 0, 0, "", request.term, now.value}});
      return;
    }
  }
  MasterEdits::Edit edit;
  edit.request = request;
  edit.from = from;
  edits_.take(std::move(edit), now);
}

void ControlDaemon::handle(const Address&, const EditResponse& response, TimePoint now) {
  if (auto ended = forwarder_.on_response(response, now))
    lift_block(ended->block, response);
  forward_edits(now);
}

void ControlDaemon::handle(const Address& from, const ViewRequest& request, TimePoint now) {
  out_.push_back({from, ViewResponse{request.request_id, election_.is_master(), is_settled(now), map_, in_force(now)}});
}

void ControlDaemon::handle(const Address&, const ViewResponse& response, TimePoint) {
  auto entry = waiting_.find(response.request_id);
  if (entry == waiting_.end() || !entry->second.view)
    return;
  auto done = std::move(entry->second.view);
  waiting_.erase(entry);
  done(response);
}

void ControlDaemon::answer_ping(const Address& from, const PingRequest& ping, TimePoint now) {
  PingResponse response;
  response.request_id = ping.request_id;
  response.sender = settings_.self;
  response.master = election_.master();
  response.version = map_.version;
  response.response_timestamp = now.value;
  // Near peers first; the roster tells of the rest.
  for (int round = 0; round < 2; ++round)
    for (const auto& [address, known] : known_) {
      bool is_near = known.entry.zone == ping.sender.zone;
      if (known.entry.role == DaemonRole::unspecified || known.entry.role == DaemonRole::data ||
          is_near != (round == 0) || address == from || is_dead_member(address, now))
        continue;
      if (response.known_daemons.size() < 24)
        response.known_daemons.push_back(known.entry);
    }
  if (proposer_.has_state()) {
    response.fleet_name = proposer_.state().fleet_name;
    response.acceptors = proposer_.state().acceptors;
  } else if (acceptor_ && !acceptor_->is_blank()) {
    response.fleet_name = acceptor_->state().fleet_name;
    response.acceptors = acceptor_->state().acceptors;
  }
  out_.push_back({from, std::move(response)});
}

// A process that was paused knows nothing of what came meanwhile: it asks the register before it feeds subscribers or
// publishes again. When no majority answers within a moment it goes on with what it has, and tells how old that is.
void ControlDaemon::notice_pause(TimePoint now) {
  if (now - active_at_ > pause_threshold) {
    resumed_at_ = now;
    poll_register(now);
    resume_read_ = proposer_.last_read();
    note(now, "resumed", "after " + std::to_string((now - active_at_).value) + " ms");
  }
  active_at_ = now;
  slices_.set_paused(is_resuming(now));
}

bool ControlDaemon::is_resuming(TimePoint now) const {
  return proposer_.confirmed_read() < resume_read_ && now - resumed_at_ <= resume_patience;
}

void ControlDaemon::hear_master(TimePoint now) {
  if (!election_.is_master())
    slices_.note_master_heard(election_.master_confirmed_at());
  else if (map_.version.term == election_.term())
    slices_.note_master_heard(election_.quorum_confirmed_at(now));
}

void ControlDaemon::synced(std::int64_t token, TimePoint now) {
  if (acceptor_)
    acceptor_->synced(token);
  collect(now);
}

void ControlDaemon::write_refused(std::int64_t token) {
  if (acceptor_)
    acceptor_->refused(token);
}

}  // namespace emberdale
