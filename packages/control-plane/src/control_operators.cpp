// Control daemon: requests of operators. Changes and their way to the master, reads, views, and the set of replicas.
#include <algorithm>

#include "emberdale/change_status.hpp"
#include "emberdale/control_daemon.hpp"

namespace emberdale {
namespace {

constexpr Duration read_timeout{2000};
constexpr Duration view_timeout{1000};
constexpr Duration poll_interval{350};  // between two reads of the register that nobody has asked for
// A data daemon has reported what it has applied so long after the acknowledgement wait of a term at the latest.
constexpr Duration report_time{3000};

}  // namespace

void ControlDaemon::edit(EditRequest request, EditDone done, TimePoint now) {
  request.request_id = ++last_request_id_;
  if (auto refusal = refusal_at_arrival(request, now)) {
    EditResponse response = edit_failure(ChangeStatus::unavailable, *refusal);
    response.request_id = request.request_id;
    return done(response);
  }
  ForwardedBlock block = block_of(request, version_of(request), now);
  if (election_.is_master()) {
    MasterEdits::Edit edit;
    edit.request = std::move(request);
    edit.request.term = election_.term();
    edit.done = std::move(done);
    edit.block = std::move(block);
    edits_.take(std::move(edit), now);
    run_edits(now);
  } else {
    forwarder_.take(std::move(request), std::move(done), std::move(block), now);
    forward_edits(now);
  }
  collect_outbound(now);
}

std::optional<std::string> ControlDaemon::refusal_at_arrival(const EditRequest& request, TimePoint now) const {
  if (is_stopping_)
    return "this daemon stops";
  if (!proposer_.has_state())
    return "no register is known here";
  if (is_out_of_contact(now))
    return "no majority of the register answers here";
  if (is_bound_by_age(request) && pauses_.may_read_old_requests(now, proposer_.reached_at()))
    return "this daemon did not run for a while: the request may be old";
  return std::nullopt;
}

// This daemon has become master: it carries out itself what it has forwarded so far.
void ControlDaemon::take_forwarded_edits_back(TimePoint now) {
  for (auto& waiting : forwarder_.take_back(now)) {
    MasterEdits::Edit edit;
    edit.request = std::move(waiting.request);
    edit.request.term = election_.term();
    edit.done = std::move(waiting.done);
    edit.block = std::move(waiting.block);
    edit.has_copies = !waiting.copies.empty();
    edits_.take(std::move(edit), now);
  }
}

// Without a master a change waits for the next one. The same change, sent to a second master after the first was lost,
// is done once.
void ControlDaemon::forward_edits(TimePoint now) {
  if (forwarder_.waiting().empty() || !proposer_.has_state())
    return;
  if (election_.is_master()) {
    take_forwarded_edits_back(now);
    return run_edits(now);
  }
  Address master = leader_to_send_to();
  if (master == settings_.self.address)
    return;
  std::int64_t term = std::max(proposer_.state().term, election_.term());
  for (auto& outbound : forwarder_.send(master, term, now, election_.master_timestamp(term)))
    out_.push_back(std::move(outbound));
}

// A copy that was sent to a master that is no longer there turns a refusal into an unknown result. Where clients are
// answered early
// (`contact_limit`), a master that is only named in the register is not tried.
Address ControlDaemon::leader_to_send_to() const {
  bool may_try_registered_master = !is_edge() || !settings_.edit_times.contact_limit;
  return election_.master().empty() && may_try_registered_master ? proposer_.state().master : election_.master();
}

// While a change that takes a runner or a zone out of service is not settled (no master leads, the register does not
// answer), every data daemon hears of it all the same.
void ControlDaemon::send_due_blocks(TimePoint now) {
  for (auto& [request_id, waiting] : forwarder_.waiting())
    if (waiting.block.is_due(version_of(waiting.request), now))
      send_block(*waiting.block.block);
  for (auto& edit : edits_.in_hand())
    if (edit.from.empty() && edit.block.is_due(version_of(edit.request), now))
      send_block(*edit.block.block);
}

std::int64_t ControlDaemon::version_of(const EditRequest& request) const {
  if (proposer_.has_state())
    for (const auto& resource : proposer_.state().resources)
      if (resource.kind == request.kind && resource.name == request.name)
        return resource.version;
  return 0;
}

// A refused change takes no work away: its block is lifted. Any other is followed by a map that covers it, or the block
// lapses.
void ControlDaemon::lift_block(const ForwardedBlock& block, const EditResponse& response) {
  ChangeStatus status = status_of(response);
  if (!block.block || is_done(status) || status == ChangeStatus::unknown)
    return;
  DispatchBlock lifted = *block.block;
  lifted.is_lifted = true;
  send_block(lifted);
}

void ControlDaemon::send_block(const DispatchBlock& block) {
  ++counts_.blocks_forwarded;
  for (auto& outbound : broadcast_block(block, map_, slices_.subscribers(), peers_, settings_.self.address))
    out_.push_back(std::move(outbound));
}

void ControlDaemon::run_edits(TimePoint now) {
  edits_.run(map_.version, now);
  send_ended_edits();
}

void ControlDaemon::settle_edits(TimePoint now) {
  auto count_holders = [this](const MapVersion& version) {
    return followers_.count_holders(proposer_.state().roster, version);
  };
  edits_.settle(map_.version, count_holders, now);
  send_ended_edits();
}

void ControlDaemon::send_ended_edits() {
  for (auto& edit : edits_.take_ended()) {
    lift_block(edit.block, edit.response);
    if (!edit.from.empty())
      out_.push_back({edit.from, edit.response});
    else if (edit.done)
      edit.done(edit.response);
  }
}

void ControlDaemon::read(ReadDone done, TimePoint now) {
  if (is_stopping_ || is_out_of_contact(now))
    return done(nullptr);
  Duration timeout = std::min(read_timeout, settings_.edit_times.requester_timeout);
  pending_.add_read(++last_request_id_, std::move(done), now + timeout);
  poll_for_reads(now);
  collect_outbound(now);
}

// One read of the register serves all reads that arrived before it was started. While it is in flight, those that come
// later wait for the next: a round of their own would take its place, and many reads a second would leave none
// answered.
void ControlDaemon::poll_for_reads(TimePoint now) {
  if (pending_.has_unstarted_read() && !proposer_.is_reading(now))
    poll_register(now);
}

void ControlDaemon::poll_register(TimePoint now) {
  poll_next_ = now + poll_interval;
  bool wants_heard = is_edge() && (election_.rounds_without_quorum() > 0 || election_.is_master() || is_leaderless());
  pending_.on_read_started(proposer_.poll(now, settings_.self.role, wants_heard));
}

void ControlDaemon::complete_reads(TimePoint now) {
  pending_.complete_reads(proposer_.confirmed_read(), proposer_.state(), now);
  poll_for_reads(now);
}

bool ControlDaemon::is_settled(TimePoint now) const {
  return election_.is_master() && now - lease_.leading_since() >= Duration{lease_.ack_wait().value + report_time.value};
}

ViewResponse ControlDaemon::local_view(std::int64_t request_id, bool is_from_master, TimePoint now) const {
  return ViewResponse{request_id, is_from_master, is_from_master && is_settled(now), map_,
                      daemon_statuses_.statuses(now)};
}

void ControlDaemon::view(ViewDone done, TimePoint now) {
  Address master = election_.master();
  if (master.empty() && proposer_.has_state())
    master = proposer_.state().master;
  if (election_.is_master() || master.empty() || master == settings_.self.address)
    return done(local_view(0, election_.is_master(), now));
  pending_.add_view(++last_request_id_, std::move(done), now + view_timeout);
  out_.push_back({master, ViewRequest{last_request_id_}});
  collect_outbound(now);
}

void ControlDaemon::bootstrap(const std::string& fleet, const std::vector<Address>& cores, ReplicaSetDone done,
                              TimePoint now) {
  if (acceptor_ && !acceptor_->is_blank())
    return done({ChangeStatus::conflict, already_bootstrapped_reason});
  replica_set_manager_.bootstrap(fleet, cores, std::move(done), now);
  collect_outbound(now);
}

void ControlDaemon::replace_core(const Address& old_address, const Address& new_address, ReplicaSetDone done,
                                 TimePoint now) {
  replica_set_manager_.replace(old_address, new_address, std::move(done), now);
  collect_outbound(now);
}

void ControlDaemon::move_windows(TimePoint now) {
  if (!edits_.empty())
    return;
  auto transition = windows_.due_transition(configuration_.orders, proposer_.state().version, now);
  if (!transition || refusal_at_arrival(transition->request, now))
    return;  // a refused one is tried again with the next timer
  windows_.on_started(now);
  record(now, "window", transition->zone.text + (transition->opens ? " opens" : " closes"));
  edit(
      std::move(transition->request), [](const EditResponse&) {}, now);
}

}  // namespace emberdale
