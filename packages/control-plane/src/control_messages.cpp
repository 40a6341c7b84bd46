// Messages of peers at a control daemon: one handler for each kind.
#include <algorithm>

#include "emberdale/control_daemon.hpp"

namespace emberdale {
namespace {

constexpr Span pause_span{1000};       // this long without a timer: the process was paused
constexpr Span resume_patience{1000};  // how long it then waits for a majority of the register
constexpr Span map_resend_pace{250};   // a map is sent again to one follower at most this often

}  // namespace

void ControlDaemon::on_message(const Address& from, const Message& message, Moment now) {
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
  founder_.on_message(from, message, now);
  core_set_.on_message(from, message, now);
  if (core_set_.take_founded())
    poll_next_ = now;
  if (founder_.take_founded()) {
    poll_next_ = now;
    reconciler_.on_founded(now);
  }
  std::visit([&](const auto& content) { handle(from, content, now); }, message);
  proposer_.on_message(from, message, now);
  if (is_edge())
    election_.on_message(from, message, now);
  see_state(now);
  collect(now);
  if (election_.is_master() && map_.version < proposer_.state().minimum_version)
    publish(now, true);
  if (!edits_.empty())
    run_edits(now);
  collect(now);
}

void ControlDaemon::learn_from(const Address& from, const Ping& ping, Moment now) {
  if (!ping.sender.role.empty() && ping.sender.role != "data") {
    auto& known = known_[from];
    known.entry = ping.sender;
    known.heard = now;
    known.master = ping.master;
  }
  // A leaving daemon must not be ranked in an election; one that hands over still leads or follows.
  if (!is_stopping_ || is_handing_over_)
    answer_ping(from, ping, now);
}

void ControlDaemon::learn_from(const Address& from, const PingAnswer& answer, Moment now) {
  auto& known = known_[from];
  known.entry = answer.sender;
  known.heard = now;
  known.master = answer.master;
  for (const auto& entry : answer.known)
    if (entry.address != settings_.self.address && known_[entry.address].entry.role.empty())
      known_[entry.address].entry = entry;
  proposer_.learn_acceptors(answer.acceptors);
}

// A control daemon without a store says so, for a founder waits for the word of each seed. And a store outside the
// set is not offered as a learner any more by a daemon that ends: it says nothing.
bool ControlDaemon::answer_without_store(const Address& from, const Message& message) {
  const auto* ask = std::get_if<ReadAsk>(&message);
  if (ask == nullptr || !settings_.reconciles_membership)
    return false;
  if (acceptor_)
    return is_stopping_ && !is_replica();
  ReadAnswer answer;
  answer.ask = ask->ask;
  answer.blank = true;
  out_.push_back({from, std::move(answer)});
  return true;
}

void ControlDaemon::take_report(const InForce& report, Moment now) {
  Moment at{now.value - report.age};
  auto& entry = in_force_[report.daemon.address];
  if (entry.second <= at)
    entry = {report, at};
}

void ControlDaemon::handle(const Address& from, const Follow& follow, Moment now) {
  if (!election_.is_master())
    return;
  follower_versions_[from] = follow.version;
  follower_traffic_[from].known = follow.traffic_of;
  for (const auto& status : follow.statuses)
    runner_watch_.on_report(status, now);
  for (const auto& report : follow.in_force)
    take_report(report, now);
  // A follower that missed a map gets it again.
  if (follow.version < map_.version && now - map_resent_[from] > map_resend_pace) {
    map_resent_[from] = now;
    send_map(from, now);
  }
  settle_edits(now);
}

void ControlDaemon::handle(const Address&, const MapNews& news, Moment now) {
  // One that has just started asks the register first: until it has answered, any term might be over.
  if (!proposer_.has_state() || news.map.version.term < proposer_.state().term) {
    ++counts_.maps_fenced;
  } else if (!election_.is_master() && map_.version < news.map.version) {
    // Without the table's rows, and they aren't here: the follow below says so, and the whole map comes.
    if (!news.lacks_traffic)
      take_map(news.map, now);
    else if (news.map.traffic_of == map_.traffic_of)
      take_map(with_rows(news.map), now);
  }
  if (is_edge() && !election_.is_master())
    send_follow(now);
}

void ControlDaemon::handle(const Address& from, const Subscribe& subscribe, Moment now) {
  slices_.on_subscribe(from, subscribe, now);
}

void ControlDaemon::handle(const Address& from, const LeaseAsk& ask, Moment now) {
  if ((is_stopping_ && !is_handing_over_) || !lease_.may_grant_lease(now))
    return;
  MapVersion minimum = std::max(edits_.attempted_minimum_version(), proposer_.state().minimum_version);
  out_.push_back({from, LeaseGrant{ask.ask, minimum}});
}

void ControlDaemon::handle(const Address&, const Hold& hold, Moment) {
  if (!hold.relayed)
    return;
  Hold near = hold;
  near.relayed = false;
  for (const auto& gateway : map_.gateways)
    if (gateway.zone == settings_.self.zone)
      out_.push_back({gateway.daemon, near});
}

void ControlDaemon::handle(const Address& from, const EditAsk& ask, Moment now) {
  if (!election_.is_master() || ask.term != election_.term()) {
    out_.push_back({from, EditAnswer{ask.ask, 0, 0, "", ask.term}});
    return;
  }
  if (is_bound_by_age(ask) && !edits_.knows(ask.change)) {
    std::optional<Span> age = age_bound(ask, now);
    if (!age || *age >= settings_.edit_times.asker_patience) {
      out_.push_back({from, EditAnswer{ask.ask, 0, 0, "", ask.term, now.value}});
      return;
    }
  }
  MasterEdits::Edit edit;
  edit.ask = ask;
  edit.from = from;
  edits_.take(std::move(edit), now);
}

void ControlDaemon::handle(const Address&, const EditAnswer& answer, Moment now) {
  if (auto ended = forwarder_.on_answer(answer, now))
    lift_hold(ended->hold, answer);
  forward_edits(now);
}

void ControlDaemon::handle(const Address& from, const ViewAsk& ask, Moment now) {
  out_.push_back({from, ViewAnswer{ask.ask, election_.is_master(), is_settled(now), map_, in_force(now)}});
}

void ControlDaemon::handle(const Address&, const ViewAnswer& answer, Moment) {
  auto entry = waiting_.find(answer.ask);
  if (entry == waiting_.end() || !entry->second.view)
    return;
  auto done = std::move(entry->second.view);
  waiting_.erase(entry);
  done(answer);
}

void ControlDaemon::answer_ping(const Address& from, const Ping& ping, Moment now) {
  PingAnswer answer;
  answer.ask = ping.ask;
  answer.sender = settings_.self;
  answer.master = election_.master();
  answer.version = map_.version;
  answer.stamp = now.value;
  // Near peers first; the roster tells of the rest.
  for (int round = 0; round < 2; ++round)
    for (const auto& [address, known] : known_) {
      bool is_near = known.entry.zone == ping.sender.zone;
      if (known.entry.role.empty() || known.entry.role == "data" || is_near != (round == 0) || address == from ||
          is_dead_member(address, now))
        continue;
      if (answer.known.size() < 24)
        answer.known.push_back(known.entry);
    }
  if (proposer_.has_state()) {
    answer.fleet = proposer_.state().fleet;
    answer.acceptors = proposer_.state().acceptors;
  } else if (acceptor_ && !acceptor_->is_blank()) {
    answer.fleet = acceptor_->state().fleet;
    answer.acceptors = acceptor_->state().acceptors;
  }
  out_.push_back({from, std::move(answer)});
}

// A process that was paused knows nothing of what came meanwhile: it asks the register before it feeds subscribers or
// publishes again. When no majority answers within a moment it goes on with what it has, and tells how old that is.
void ControlDaemon::notice_pause(Moment now) {
  if (now - active_at_ > pause_span) {
    resumed_at_ = now;
    poll_register(now);
    resume_read_ = proposer_.last_read();
    note(now, "resumed", "after " + std::to_string((now - active_at_).value) + " ms");
  }
  active_at_ = now;
  slices_.set_held(is_resuming(now));
}

bool ControlDaemon::is_resuming(Moment now) const {
  return proposer_.confirmed_read() < resume_read_ && now - resumed_at_ <= resume_patience;
}

void ControlDaemon::hear_master(Moment now) {
  if (!election_.is_master())
    slices_.hear_master(election_.master_confirmed());
  else if (map_.version.term == election_.term())
    slices_.hear_master(election_.quorum_confirmed(now));
}

void ControlDaemon::synced(std::int64_t token, Moment now) {
  if (acceptor_)
    acceptor_->synced(token);
  collect(now);
}

void ControlDaemon::write_refused(std::int64_t token) {
  if (acceptor_)
    acceptor_->refused(token);
}

}  // namespace emberdale
