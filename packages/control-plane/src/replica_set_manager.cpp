#include "emberdale/replica_set_manager.hpp"

#include <algorithm>

#include "emberdale/avro_codec.hpp"
#include "emberdale/store_seat.hpp"

namespace emberdale {
namespace {

constexpr Duration bootstrap_timeout{3000};
constexpr Duration replacement_timeout{8000};  // of the request
constexpr Duration proposal_timeout{4000};     // of the write that begins it
constexpr Duration repair_timeout{3000};
constexpr std::size_t fewest_cores = 3;

bool has_store(const std::vector<AcceptorEntry>& set, const StoreId& store) {
  return std::any_of(set.begin(), set.end(), [&](const auto& entry) { return entry.store == store; });
}

bool has_address(const std::vector<AcceptorEntry>& set, const Address& address) {
  return std::any_of(set.begin(), set.end(), [&](const auto& entry) { return entry.address == address; });
}

ChangeDecision refuse(const std::string& reason) { return {ChangeDecision::Kind::refuse, {}, reason}; }

ChangeDecision already_there() { return {ChangeDecision::Kind::already_there, {}, ""}; }

// Begins to put `fresh` in the place of the replica at `old_address`, if the state allows that.
ChangeDecision begin_replacement(const FleetState& state, const Address& old_address, const AcceptorEntry& fresh,
                                 bool is_blank) {
  if (has_store(state.next_acceptors, fresh.store))
    return already_there();
  if (has_store(state.acceptors, fresh.store)) {
    if (!has_address(state.acceptors, old_address))
      return already_there();
    return refuse(fresh.address.text + " is a core machine already");
  }
  if (!state.next_acceptors.empty())
    return refuse("another change of core machines is under way");
  if (!is_blank)
    return refuse(fresh.address.text + " holds another register: it must be empty");
  if (!has_address(state.acceptors, old_address))
    return refuse(old_address.text + " is no core machine of this fleet");
  if (fresh.address != old_address && has_address(state.acceptors, fresh.address))
    return refuse(fresh.address.text + " is a core machine already");
  FleetState next = state;
  next.next_acceptors = state.acceptors;
  for (auto& entry : next.next_acceptors)
    if (entry.address == old_address)
      entry = fresh;
  return {ChangeDecision::Kind::apply, next, ""};
}

// Puts the next set in the place of the old one.
ChangeDecision finish_joint_change(const FleetState& state) {
  if (state.next_acceptors.empty())
    return already_there();
  FleetState next = state;
  next.acceptors = state.next_acceptors;
  next.next_acceptors.clear();
  return {ChangeDecision::Kind::apply, next, ""};
}

ChangeStatus status_of(const ChangeResult& end) {
  if (end.kind == ChangeResult::Kind::refused)
    return ChangeStatus::conflict;
  return end.kind == ChangeResult::Kind::no_majority ? ChangeStatus::unavailable : ChangeStatus::unknown;
}

}  // namespace

void ReplicaSetManager::bootstrap(const std::string& fleet, const std::vector<Address>& cores, ReplicaSetDone done,
                                  TimePoint now) {
  if (bootstrap_)
    return done({ChangeStatus::conflict, "a founding is under way"});
  if (proposer_.has_state() || !proposer_.acceptors().empty())
    return done({ChangeStatus::conflict, already_bootstrapped_reason});
  if (fleet.empty())
    return done({ChangeStatus::malformed, "the fleet must have a name"});
  std::set<Address> distinct(cores.begin(), cores.end());
  if (cores.size() < fewest_cores || distinct.size() != cores.size())
    return done({ChangeStatus::malformed, "three different core machines must be named"});
  bootstrap_ = Bootstrap{fleet, cores, {}, {}, {}, now + bootstrap_timeout, std::move(done), ++last_request_id_};
  for (const auto& core : cores)
    out_.push_back({core, ReadRequest{bootstrap_->request_id, role_, Ballot{}, false, false}});
}

void ReplicaSetManager::replace(const Address& old_address, const Address& new_address, ReplicaSetDone done,
                                TimePoint now) {
  if (replacement_)
    return done({ChangeStatus::conflict, "a replacement is under way here"});
  if (!proposer_.has_state())
    return done({ChangeStatus::unavailable, "no register is known here"});
  replacement_ =
      Replacement{old_address, new_address, {}, now + replacement_timeout, std::move(done), ++last_request_id_, false};
  out_.push_back({new_address, ReadRequest{replacement_->request_id, role_, Ballot{}, false, false}});
}

void ReplicaSetManager::on_message(const Address& from, const Message& message, TimePoint now) {
  std::visit([&](const auto& content) { on(from, content, now); }, message);
}

void ReplicaSetManager::end_bootstrap(ChangeStatus status, const std::string& reason) {
  ReplicaSetDone done = std::move(bootstrap_->done);
  bootstrap_.reset();
  done({status, reason});
}

void ReplicaSetManager::end_replacement(ChangeStatus status, const std::string& reason) {
  ReplicaSetDone done = std::move(replacement_->done);
  replacement_.reset();
  done({status, reason});
}

void ReplicaSetManager::on(const Address& from, const ReadResponse& response, TimePoint now) {
  if (bootstrap_ && response.request_id == bootstrap_->request_id) {
    if (response.store.empty())
      return end_bootstrap(ChangeStatus::conflict, from.text + " keeps no store");
    if (!response.blank)
      return end_bootstrap(ChangeStatus::conflict, from.text + " already holds a register");
    continue_bootstrap(from, response);
  }
  bool is_awaited = replacement_ && !replacement_->is_proposed && response.request_id == replacement_->request_id &&
                    from == replacement_->new_address;
  if (is_awaited)
    propose_replacement(response, now);
  observe_store(from, response);
}

// Once all cores have answered that they are blank, they get the first state.
void ReplicaSetManager::continue_bootstrap(const Address& from, const ReadResponse& response) {
  bootstrap_->stores[from] = response.store;
  bool has_all_stores = bootstrap_->stores.size() == bootstrap_->cores.size();
  if (has_all_stores && !bootstrap_->was_sent())
    send_bootstrap_requests();
}

void ReplicaSetManager::send_bootstrap_requests() {
  FleetState state;
  state.fleet_name = bootstrap_->fleet;
  state.version = 1;
  for (const auto& [address, store] : bootstrap_->stores)
    state.acceptors.push_back({store, address});
  bootstrap_->value.data = encode_state(state);
  for (const auto& [address, store] : bootstrap_->stores)
    out_.push_back({address, BootstrapRequest{bootstrap_->request_id, store, bootstrap_->value}});
}

// A replica's address that answers as another store: the old one is gone. The new store must be blank, or, where the
// set is reconciled, hold nothing that is newer than what is chosen.
void ReplicaSetManager::observe_store(const Address& from, const ReadResponse& response) {
  for (const auto& entry : proposer_.acceptors()) {
    if (entry.address != from || response.store.empty())
      continue;
    bool may_be_overwritten =
        reconciler_ != nullptr && proposer_.has_state() && !(proposer_.ballot() < response.accepted);
    if ((response.blank || may_be_overwritten) && !answers_to(response.store, entry.store))
      renewed_stores_[from] = response.store;
    else
      renewed_stores_.erase(from);
  }
}

void ReplicaSetManager::on(const Address& from, const BootstrapResponse& response, TimePoint now) {
  if (!bootstrap_ || response.request_id != bootstrap_->request_id)
    return;
  if (!response.granted)
    return end_bootstrap(ChangeStatus::conflict, from.text + ": " + response.reason);
  bootstrap_->granted.insert(response.store);
  if (bootstrap_->granted.size() != bootstrap_->cores.size())
    return;
  auto state = decode_state(bootstrap_->value.data);
  if (state)
    proposer_.learn_acceptors(state->acceptors);
  was_bootstrapped_ = true;
  journal_.append(now, "founded", bootstrap_->fleet);
  end_bootstrap(ChangeStatus::created, "founded");
}

void ReplicaSetManager::propose_replacement(const ReadResponse& response, TimePoint now) {
  replacement_->is_proposed = true;
  replacement_->new_store = response.store;
  auto change = [old_address = replacement_->old_address,
                 fresh = AcceptorEntry{response.store, replacement_->new_address},
                 is_blank = response.blank](const FleetState& state) {
    return begin_replacement(state, old_address, fresh, is_blank);
  };
  proposer_.change(
      std::move(change), [this](const ChangeResult& end) { on_replacement_end(end); }, now, proposal_timeout);
}

void ReplicaSetManager::on_replacement_end(const ChangeResult& end) {
  if (!replacement_)
    return;
  repair_next_ = TimePoint{0};  // the second half at once
  if (end.kind != ChangeResult::Kind::committed)
    return end_replacement(status_of(end), end.reason);
  bool is_joint_change_over = end.state.next_acceptors.empty();
  if (is_joint_change_over)
    end_replacement(ChangeStatus::updated, "replaced already");
  // Else on_state() ends it once the new set stands alone.
}

bool ReplicaSetManager::is_replacement_complete() const {
  const FleetState& state = proposer_.state();
  return replacement_ && state.next_acceptors.empty() && has_store(state.acceptors, replacement_->new_store);
}

void ReplicaSetManager::on_state() {
  if (is_replacement_complete())
    end_replacement(ChangeStatus::updated, "replaced");
}

// A replica's machine that answers as another, blank store has lost its disk: its new store is due in its place.
std::optional<SetChange> ReplicaSetManager::due_readmission(TimePoint now) const {
  for (const auto& old : proposer_.state().acceptors) {
    auto fresh = renewed_stores_.find(old.address);
    if (fresh == renewed_stores_.end() || fresh->second == old.store)
      continue;
    if (reconciler_ != nullptr)
      return reconciler_->readmission(old, fresh->second, now);
    auto change = [old,
                   renewed = AcceptorEntry{fresh->second, old.address}](const FleetState& found) -> ChangeDecision {
      auto is_old = [&](const auto& entry) {
        return entry.store == old.store;
      };
      if (!found.next_acceptors.empty() || std::none_of(found.acceptors.begin(), found.acceptors.end(), is_old))
        return already_there();
      FleetState next = found;
      next.next_acceptors = found.acceptors;
      std::replace_if(next.next_acceptors.begin(), next.next_acceptors.end(), is_old, renewed);
      return {ChangeDecision::Kind::apply, next, ""};
    };
    return SetChange{std::move(change), "admitting", fresh->second.text + " at " + old.address.text};
  }
  return std::nullopt;
}

std::optional<SetChange> ReplicaSetManager::due_change(TimePoint now) {
  if (!proposer_.state().next_acceptors.empty()) {
    return SetChange{finish_joint_change, "", ""};
  }
  if (auto due = due_readmission(now))
    return due;
  return reconciler_ != nullptr ? reconciler_->due_change(now) : std::nullopt;
}

Duration ReplicaSetManager::repair_interval() {
  return reconciler_ == nullptr ? Duration{1000 + random_.below(1500)} : Duration{100 + random_.below(200)};
}

// The daemons with a replica, and all that reconcile the set, finish a joint change that was left half-way, and begin
// one that is due.
void ReplicaSetManager::repair(TimePoint now) {
  if (!has_acceptor_ && !replacement_ && reconciler_ == nullptr)
    return;
  if (is_repairing_ || now < repair_next_ || !proposer_.has_state())
    return;
  repair_next_ = now + repair_interval();
  auto due = due_change(now);
  if (!due)
    return;
  if (!due->kind.empty())
    journal_.append(now, due->kind, due->detail);
  is_repairing_ = true;
  proposer_.change(
      std::move(due->change),
      [this](const ChangeResult&) {
        is_repairing_ = false;
        repair_next_ = TimePoint{0};
      },
      now, repair_timeout);
}

void ReplicaSetManager::on_timer(TimePoint now) {
  repair(now);
  expire_requests(now);
}

void ReplicaSetManager::expire_requests(TimePoint now) {
  if (bootstrap_ && bootstrap_->deadline <= now) {
    if (bootstrap_->was_sent())
      end_bootstrap(ChangeStatus::unknown, "not all core machines confirmed in time; found again with the same words");
    else
      end_bootstrap(ChangeStatus::unavailable, "not all core machines answered");
  }
  if (replacement_ && replacement_->deadline <= now) {
    if (replacement_->is_proposed)
      end_replacement(ChangeStatus::unknown, "not finished in time; look at the fleet");
    else
      end_replacement(ChangeStatus::unavailable, "the new core machine does not answer");
  }
}

}  // namespace emberdale
