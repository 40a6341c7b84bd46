// The register's state at a control daemon, its roster, its set of replicas, and terms won and lost.
#include <algorithm>

#include "emberdale/control_daemon.hpp"

namespace emberdale {
namespace {

constexpr Duration alive_timeout{2000};

bool has_daemon(const std::vector<DaemonEntry>& roster, const Address& address) {
  return std::any_of(roster.begin(), roster.end(), [&](const auto& entry) { return entry.address == address; });
}

}  // namespace

void ControlDaemon::refresh_state(TimePoint now) {
  if (!proposer_.has_state())
    return;
  if (proposer_.ballot() != seen_ballot_) {
    seen_ballot_ = proposer_.ballot();
    const FleetState& state = proposer_.state();
    if (configuration_of_ != state.config_revision) {
      std::vector<Finding> findings;
      configuration_ = read_configuration(state.resources, findings);
      configuration_of_ = state.config_revision;
      observe_routing_table();
    }
    if (is_edge()) {
      election_.set_roster(state.roster, state.term, state.master, now);
      for (const auto& entry : state.roster)
        if (entry.address != settings_.self.address && known_[entry.address].entry.role == DaemonRole::unspecified)
          known_[entry.address].entry = entry;
    }
    replica_set_manager_.on_state();
  }
  answer_reads(now);
}

void ControlDaemon::keep_roster(TimePoint now) {
  std::vector<DaemonEntry> heard;
  for (const auto& [address, known] : known_)
    if (known.entry.role == DaemonRole::edge && now - known.heard <= alive_timeout)
      heard.push_back(known.entry);
  if (!is_led_by_others(now))
    membership_registry_.enrol(heard, now);
  // With as few daemons as one process a machine has, a dead member in the roster may leave no one to spare.
  membership_registry_.evict_dead_members(std::max(election_.rounds_without_quorum(), is_leaderless() ? 1 : 0),
                                          election_.is_master(), now);
  for (const auto& dead_member : membership_registry_.take_evicted())
    known_.erase(dead_member);
}

// A newcomer to a fleet that is led joins its master first, and enrols then: the roster's growth must not leave
// that master without its quorum while the newcomer still waits for peers that are gone.
bool ControlDaemon::is_led_by_others(TimePoint now) const {
  if (!settings_.reconciles_membership || now - started_at_ > Duration{8000})
    return false;
  if (election_.phase() == MasterElection::Phase::following || election_.is_master())
    return false;
  return std::any_of(known_.begin(), known_.end(), [&](const auto& entry) {
    const Known& known = entry.second;
    return now - known.heard <= alive_timeout && !known.master.empty() && known.master != settings_.self.address;
  });
}

// Neither enrolled nor heard of lately: to name it would let others wait for it in their rounds.
bool ControlDaemon::is_dead_member(const Address& daemon, TimePoint now) const {
  auto known = known_.find(daemon);
  return settings_.reconciles_membership && proposer_.has_state() && !has_daemon(proposer_.state().roster, daemon) &&
         (known == known_.end() || now - known->second.heard > alive_timeout);
}

// Who was heard lately, or is enrolled, may keep a store that belongs into the set of core machines.
void ControlDaemon::reconcile_membership(TimePoint now) {
  reconciler_.set_right(decision_right());
  reconciler_.on_timer(now);
  std::vector<DaemonEntry> daemons;
  for (const auto& [address, known] : known_) {
    bool is_near =
        now - known.heard <= Duration{3000} || (proposer_.has_state() && has_daemon(proposer_.state().roster, address));
    if (is_near && known.entry.role != DaemonRole::unspecified && known.entry.role != DaemonRole::data)
      daemons.push_back(known.entry);
  }
  daemons.push_back(settings_.self);  // a master outside the set minds its own store as any other learner's
  reconciler_.observe_daemons(daemons, now);
}

DecisionRight ControlDaemon::decision_right() const {
  if (election_.is_master())
    return {DecisionRight::Kind::master, election_.term()};
  if (is_leaderless() && proposer_.has_state())
    return {DecisionRight::Kind::leaderless, proposer_.state().term};
  return {};
}

// Whether this daemon's store is in the set of replicas, or in the set that follows.
bool ControlDaemon::is_replica() const {
  if (!acceptor_ || !proposer_.has_state())
    return false;
  for (const auto* set : {&proposer_.state().acceptors, &proposer_.state().next_acceptors})
    if (std::any_of(set->begin(), set->end(), [&](const auto& entry) { return entry.store == acceptor_->store(); }))
      return true;
  return false;
}

void ControlDaemon::claim_term(const TermClaim& claim, TimePoint now) {
  if (is_claiming_)
    return;
  is_claiming_ = true;
  Address self = settings_.self.address;
  proposer_.change(
      [claim, self, is_promise_off = is_promise_off,
       is_at_once = settings_.acknowledges_at_once](const FleetState& state) -> Verdict {
        if (state.term == claim.expected_term + 1 && state.master == self)
          return {Verdict::Kind::already_there, {}, ""};
        if (state.term != claim.expected_term)
          return {Verdict::Kind::refuse, {}, "another term has begun"};
        if (!has_daemon(state.roster, self))
          return {Verdict::Kind::refuse, {}, "not enrolled"};
        std::size_t joined = 1;
        for (const auto& entry : state.roster)
          if (entry.address != self && claim.joined.count(entry.address) != 0)
            ++joined;
        if (joined < state.roster.size() / 2 + 1)
          return {Verdict::Kind::refuse, {}, "the roster has grown past the joins"};
        return {Verdict::Kind::apply, LeaderLease::claimed(state, claim, self, is_promise_off, is_at_once), ""};
      },
      [this, now](const ChangeEnd& end) {
        is_claiming_ = false;
        bool is_won = end.kind == ChangeEnd::Kind::committed;
        election_.on_claim_result(is_won, is_won ? end.state.term : 0, now);
      },
      now, Duration{2500});
}

void ControlDaemon::begin_leading(TimePoint now) {
  lease_.begin(now);
  edits_.begin();
  note(now, "master", "term " + std::to_string(election_.term()));
  warmup_shares_.begin_term(map_, election_.term() > 1, now);
  in_force_.clear();
  follower_versions_.clear();
  follower_routing_tables_.clear();
  map_resent_.clear();
  runner_health_monitor_.inherit(map_, now);
  runner_list_.begin(now);
  publish(now, true);
}

void ControlDaemon::on_refused(const Address& peer, TimePoint now) {
  reconciler_.on_refused(peer);
  if (is_edge())
    election_.on_connection_refused(peer, now);
  auto known = known_.find(peer);
  if (known != known_.end())
    known->second.heard = TimePoint{now.value - alive_timeout.value - 1};
  collect(now);
}

}  // namespace emberdale
