// Control daemon: the register's state, the roster, the set of replicas, and terms won and lost.
#include <algorithm>

#include "emberdale/control_daemon.hpp"
#include "emberdale/store_seat.hpp"

namespace emberdale {
namespace {

constexpr Duration join_grace{8000};  // how long a newcomer first tries to follow the present master
constexpr Duration near_timeout{3000};
constexpr Duration claim_timeout{2500};

bool has_daemon(const std::vector<DaemonEntry>& roster, const Address& address) {
  return std::any_of(roster.begin(), roster.end(), [&](const auto& entry) { return entry.address == address; });
}

bool has_store(const std::vector<AcceptorEntry>& set, const StoreId& store) {
  return std::any_of(set.begin(), set.end(), [&](const auto& entry) { return answers_to(store, entry.store); });
}

// How many daemons of the roster have joined the claim, the claimant among them.
std::size_t count_joined(const std::vector<DaemonEntry>& roster, const TermClaim& claim, const Address& claimant) {
  std::size_t joined = 1;
  for (const auto& entry : roster)
    if (entry.address != claimant && claim.joined.count(entry.address) != 0)
      ++joined;
  return joined;
}

// Whether the claim may be written on that state: by a majority of the roster as it is there.
ChangeDecision judge_claim(const FleetState& state, const TermClaim& claim, const Address& claimant,
                           bool is_promise_off, bool is_at_once) {
  if (state.term == claim.expected_term + 1 && state.master == claimant)
    return {ChangeDecision::Kind::already_there, {}, ""};
  if (state.term != claim.expected_term)
    return {ChangeDecision::Kind::refuse, {}, "another term has begun"};
  if (!has_daemon(state.roster, claimant))
    return {ChangeDecision::Kind::refuse, {}, "not enrolled"};
  if (count_joined(state.roster, claim, claimant) < state.roster.size() / 2 + 1)
    return {ChangeDecision::Kind::refuse, {}, "the roster has grown past the joins"};
  return {ChangeDecision::Kind::apply, LeaderLease::claimed(state, claim, claimant, is_promise_off, is_at_once), ""};
}

}  // namespace

void ControlDaemon::refresh_state(TimePoint now) {
  if (!proposer_.has_state())
    return;
  if (proposer_.ballot() != applied_ballot_) {
    applied_ballot_ = proposer_.ballot();
    on_new_state(now);
  }
  complete_reads(now);
}

void ControlDaemon::on_new_state(TimePoint now) {
  const FleetState& state = proposer_.state();
  if (configuration_revision_ != state.config_revision) {
    std::vector<Finding> findings;
    configuration_ = read_configuration(state.resources, findings);
    configuration_revision_ = state.config_revision;
    routing_table_.observe(state);
  }
  if (is_edge()) {
    election_.set_roster(state.roster, state.term, state.master, now);
    for (const auto& entry : state.roster)
      peers_.learn(entry);
  }
  replica_set_manager_.on_state();
}

void ControlDaemon::update_roster(TimePoint now) {
  if (!is_led_by_others(now))
    membership_registry_.enrol(peers_.live_edges(now), now);
  // With as few daemons as one process a machine has, a dead member in the roster may leave no one to spare.
  int rounds_without_quorum = std::max(election_.rounds_without_quorum(), is_leaderless() ? 1 : 0);
  membership_registry_.evict_dead_members(rounds_without_quorum, election_.is_master(), now);
  for (const auto& evicted : membership_registry_.take_evicted())
    peers_.remove(evicted);
}

// A newcomer to a cluster that has a master follows it first, and enrols then: the roster's growth must not leave that
// master without its quorum while the newcomer still waits for peers that are gone.
bool ControlDaemon::is_led_by_others(TimePoint now) const {
  if (!settings_.reconciles_membership || now - started_at_ > join_grace)
    return false;
  if (election_.phase() == MasterElection::Phase::following || election_.is_master())
    return false;
  const auto& peers = peers_.all();
  return std::any_of(peers.begin(), peers.end(), [&](const auto& entry) {
    const Peer& peer = entry.second;
    return peer.was_heard_within(peer_alive_timeout, now) && !peer.master.empty() &&
           peer.master != settings_.self.address;
  });
}

// Neither enrolled nor heard lately: to name it would let others wait for it in their election rounds.
bool ControlDaemon::is_dead_member(const Address& daemon, TimePoint now) const {
  if (!settings_.reconciles_membership || !proposer_.has_state() || has_daemon(proposer_.state().roster, daemon))
    return false;
  const Peer* peer = peers_.find(daemon);
  return peer == nullptr || !peer->was_heard_within(peer_alive_timeout, now);
}

// A daemon that was heard lately, or is enrolled, may keep a store that belongs into the set of replicas.
void ControlDaemon::reconcile_membership(TimePoint now) {
  reconciler_.set_right(decision_right());
  reconciler_.on_timer(now);
  std::vector<DaemonEntry> daemons;
  for (const auto& [address, peer] : peers_.all()) {
    bool is_near = peer.was_heard_within(near_timeout, now) ||
                   (proposer_.has_state() && has_daemon(proposer_.state().roster, address));
    if (is_near && peer.is_identified() && !peer.is_data_daemon())
      daemons.push_back(peer.entry);
  }
  daemons.push_back(settings_.self);  // a master outside the set treats its own store as any other learner's
  reconciler_.observe_daemons(daemons, now);
}

DecisionRight ControlDaemon::decision_right() const {
  if (election_.is_master())
    return {DecisionRight::Kind::master, election_.term()};
  if (is_leaderless() && proposer_.has_state())
    return {DecisionRight::Kind::leaderless, proposer_.state().term};
  return {};
}

bool ControlDaemon::is_replica() const {
  if (!acceptor_ || !proposer_.has_state())
    return false;
  const FleetState& state = proposer_.state();
  return has_store(state.acceptors, acceptor_->store()) || has_store(state.next_acceptors, acceptor_->store());
}

void ControlDaemon::claim_term(const TermClaim& claim, TimePoint now) {
  if (is_claiming_)
    return;
  is_claiming_ = true;
  proposer_.change([claim, self = settings_.self.address, is_promise_off = is_promise_off,
                    is_at_once = settings_.acknowledges_at_once](
                       const FleetState& state) { return judge_claim(state, claim, self, is_promise_off, is_at_once); },
                   [this, now](const ChangeResult& end) {
                     is_claiming_ = false;
                     bool is_won = end.kind == ChangeResult::Kind::committed;
                     election_.on_claim_result(is_won, is_won ? end.state.term : 0, now);
                   },
                   now, claim_timeout);
}

void ControlDaemon::begin_term(TimePoint now) {
  lease_.begin(now);
  edits_.begin();
  record(now, "master", "term " + std::to_string(election_.term()));
  warmup_allocator_.begin_term(map_, election_.term() > 1, now);
  daemon_statuses_.clear();
  followers_.clear();
  runner_health_monitor_.inherit(map_, now);
  runner_list_.begin(now);
  publish(now, true);
}

void ControlDaemon::on_refused(const Address& peer, TimePoint now) {
  reconciler_.on_refused(peer);
  if (is_edge())
    election_.on_connection_refused(peer, now);
  peers_.on_refused(peer, now);
  collect_outbound(now);
}

}  // namespace emberdale
