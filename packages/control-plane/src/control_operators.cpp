// Operators' acts at a control daemon: edits and their way to the master, reads, views, founding.
#include <algorithm>

#include "emberdale/control_daemon.hpp"

namespace emberdale {
namespace {

constexpr Duration read_patience{2000}, poll_pace{350};

}  // namespace

void ControlDaemon::edit(EditRequest request, std::function<void(const EditResponse&)> done, TimePoint now) {
  request.request_id = ++last_request_id_;
  if (auto refusal = refusal_at_arrival(request, now))
    return done(EditResponse{request.request_id, 503, 0, reason_body(*refusal, "refused"), 0});
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
  collect(now);
}

std::optional<std::string> ControlDaemon::refusal_at_arrival(const EditRequest& edit_request, TimePoint now) const {
  if (is_stopping_)
    return "this daemon stops";
  if (!proposer_.has_state())
    return "no register is known here";
  if (is_out_of_contact(now))
    return "no majority of the register answers here";
  if (is_bound_by_age(edit_request) && pauses_.may_read_old_requests(now, proposer_.reached_at()))
    return "this daemon did not run for a while: the request may be old";
  return std::nullopt;
}

// Hands what was taken in here to the master; without one it waits a while for the next. The same change,
// handed to a second master after the first was lost, counts once.
void ControlDaemon::forward_edits(TimePoint now) {
  if (forwarder_.waiting().empty() || !proposer_.has_state())
    return;
  if (election_.is_master()) {
    for (auto& waiting : forwarder_.take_back(now)) {
      MasterEdits::Edit edit;
      edit.request = std::move(waiting.request);
      edit.request.term = election_.term();
      edit.done = std::move(waiting.done);
      edit.block = std::move(waiting.block);
      edit.has_copies = !waiting.copies.empty();
      edits_.take(std::move(edit), now);
    }
    return run_edits(now);
  }
  Address master = leader_to_send_to();
  if (master == settings_.self.address)
    return;
  std::int64_t term = std::max(proposer_.state().term, election_.term());
  for (auto& message : forwarder_.send(master, term, now, election_.master_timestamp(term)))
    out_.push_back(std::move(message));
}

// A copy that goes to a leader that is gone makes a refusal unknown: where operators are told early, a leader that is
// only named in the register is not tried.
Address ControlDaemon::leader_to_send_to() const {
  bool is_leader_tried = !is_edge() || !settings_.edit_times.contact_limit;
  return election_.master().empty() && is_leader_tried ? proposer_.state().master : election_.master();
}

// "We were told": while an edit that takes a runner or a zone out of work is not settled (no master leads, the
// core does not answer), every data daemon hears of it all the same. That only ever takes work away, and
// lapses by itself; a refusal lifts it; the map settles it.
void ControlDaemon::forward_blocks(TimePoint now) {
  for (auto& [number, waiting] : forwarder_.waiting())
    if (waiting.block.is_due(version_of(waiting.request), now))
      forward_block(*waiting.block.block);
  for (auto& edit : edits_.in_hand())
    if (edit.from.empty() && edit.block.is_due(version_of(edit.request), now))
      forward_block(*edit.block.block);
}

std::int64_t ControlDaemon::version_of(const EditRequest& request) const {
  if (proposer_.has_state())
    for (const auto& resource : proposer_.state().resources)
      if (resource.kind == request.kind && resource.name == request.name)
        return resource.version;
  return 0;
}

void ControlDaemon::lift_block(const ForwardedBlock& passed, const EditResponse& response) {
  if (!passed.block || response.code == 200 || response.code == 201 || response.code == 504)
    return;
  DispatchBlock lifted = *passed.block;
  lifted.is_lifted = true;
  forward_block(lifted);
}

void ControlDaemon::forward_block(const DispatchBlock& block) {
  ++counts_.blocks_forwarded;
  for (const auto& gateway : map_.gateways)
    out_.push_back({gateway.daemon, block});
  // Those this daemon can't reach may be in reach of others.
  DispatchBlock relayed = block;
  relayed.is_relayed = true;
  std::set<Address> others;
  for (const auto& edge : map_.edges)
    others.insert(edge.daemon);
  for (const auto& [address, known] : known_)
    if (known.entry.role == DaemonRole::edge)
      others.insert(address);
  others.erase(settings_.self.address);
  for (const auto& other : others)
    out_.push_back({other, relayed});
}

void ControlDaemon::run_edits(TimePoint now) {
  edits_.run(map_.version, now);
  end_edits();
}

void ControlDaemon::settle_edits(TimePoint now) {
  edits_.settle(
      map_.version,
      [this](const MapVersion& covered_by) {
        std::size_t holders = 1;
        for (const auto& entry : proposer_.state().roster) {
          auto version = follower_versions_.find(entry.address);
          if (entry.address != settings_.self.address && version != follower_versions_.end() &&
              covered_by <= version->second)
            ++holders;
        }
        return holders;
      },
      now);
  end_edits();
}

void ControlDaemon::end_edits() {
  for (auto& edit : edits_.take_ended()) {
    lift_block(edit.block, edit.response);
    if (!edit.from.empty())
      out_.push_back({edit.from, edit.response});
    else if (edit.done)
      edit.done(edit.response);
  }
}

void ControlDaemon::read(std::function<void(const FleetState*)> done, TimePoint now) {
  if (is_stopping_ || is_out_of_contact(now))
    return done(nullptr);
  Waiting waiting;
  waiting.deadline = now + std::min(read_patience, settings_.edit_times.requester_timeout);
  waiting.read = std::move(done);
  waiting_[++last_request_id_] = std::move(waiting);
  poll_for_reads(now);
  collect(now);
}

// One question serves all reads that came before it. While it is in flight those that come later wait for the next:
// a question of their own would take its place, and many reads a second would leave none answered.
void ControlDaemon::poll_for_reads(TimePoint now) {
  bool is_any_unasked = std::any_of(waiting_.begin(), waiting_.end(), [](const auto& entry) {
    return entry.second.read && entry.second.begun_read == 0;
  });
  if (is_any_unasked && !proposer_.is_reading(now))
    poll_register(now);
}

void ControlDaemon::poll_register(TimePoint now) {
  poll_next_ = now + poll_pace;
  bool wants_heard = is_edge() && (election_.rounds_without_quorum() > 0 || election_.is_master() || is_leaderless());
  std::int64_t number = proposer_.poll(now, settings_.self.role, wants_heard);
  for (auto& [ask, waiting] : waiting_)
    if (waiting.read && waiting.begun_read == 0)
      waiting.begun_read = number;
}

// An answer that comes after the deadline is none: this process may have been paused, and its asker is gone.
void ControlDaemon::answer_reads(TimePoint now) {
  for (auto entry = waiting_.begin(); entry != waiting_.end();) {
    const Waiting& waiting = entry->second;
    bool is_confirmed = waiting.begun_read != 0 && waiting.begun_read <= proposer_.confirmed_read();
    if (!waiting.read || !is_confirmed || waiting.deadline <= now) {
      ++entry;
      continue;
    }
    auto done = std::move(entry->second.read);
    entry = waiting_.erase(entry);
    done(&proposer_.state());
  }
  poll_for_reads(now);
}

void ControlDaemon::view(std::function<void(const ViewResponse&)> done, TimePoint now) {
  Address master = election_.master();
  if (master.empty() && proposer_.has_state())
    master = proposer_.state().master;
  if (election_.is_master() || master.empty() || master == settings_.self.address) {
    done(ViewResponse{0, election_.is_master(), is_settled(now), map_, in_force(now)});
    return;
  }
  Waiting waiting;
  waiting.deadline = now + Duration{1000};
  waiting.view = std::move(done);
  waiting_[++last_request_id_] = std::move(waiting);
  out_.push_back({master, ViewRequest{last_request_id_}});
  collect(now);
}

void ControlDaemon::found(const std::string& fleet, const std::vector<Address>& cores,
                          std::function<void(int, const std::string&)> done, TimePoint now) {
  if (acceptor_ && !acceptor_->is_blank())
    return done(409, "a fleet is known here already: it is never founded again");
  replica_set_manager_.found(fleet, cores, std::move(done), now);
  collect(now);
}

void ControlDaemon::replace_core(const Address& old_address, const Address& new_address,
                                 std::function<void(int, const std::string&)> done, TimePoint now) {
  replica_set_manager_.replace(old_address, new_address, std::move(done), now);
  collect(now);
}

// The master opens and closes the maintenance windows of zone orders: each time an edit like any other,
// durable, covered by a map and barred against older ones. A clock that jumps can flip a zone once in
// ten seconds, no oftener.
void ControlDaemon::keep_windows(TimePoint now) {
  if (wall_seconds_ == 0 || now < window_next_ || !edits_.empty())
    return;
  for (const auto& order : configuration_.orders) {
    bool is_wanted = order.wants_window(wall_seconds_);
    if (is_wanted == order.is_window_open)
      continue;
    EditRequest request;
    request.change_id = "window-" + order.zone.text + "-" + std::to_string(proposer_.state().version) + "-" +
                        std::to_string(wall_seconds_);
    request.action = EditAction::patch;
    request.kind = orders_kind;
    request.name = order.zone.text;
    request.expected_version = -1;
    request.body = is_wanted ? R"({"window_open":true})" : R"({"window_open":false})";
    if (refusal_at_arrival(request, now))
      return;  // the next timer tries again
    window_next_ = now + Duration{10000};
    note(now, "window", order.zone.text + (is_wanted ? " opens" : " closes"));
    edit(
        request, [](const EditResponse&) {}, now);
    return;
  }
}

}  // namespace emberdale
