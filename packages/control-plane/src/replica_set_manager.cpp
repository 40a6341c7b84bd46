#include "emberdale/replica_set_manager.hpp"

#include <algorithm>

#include "emberdale/avro_codec.hpp"

namespace emberdale {

void ReplicaSetManager::found(const std::string& fleet, const std::vector<Address>& cores, Done done, TimePoint now) {
  if (bootstrap_)
    return done(409, "a founding is under way");
  if (proposer_.has_state() || !proposer_.acceptors().empty())
    return done(409, "a fleet is known here already: it is never founded again");
  if (fleet.empty())
    return done(400, "the fleet must have a name");
  std::set<Address> distinct(cores.begin(), cores.end());
  if (cores.size() < 3 || distinct.size() != cores.size())
    return done(400, "three different core machines must be named");
  bootstrap_ = Bootstrap{fleet, cores, {}, {}, {}, now + Duration{3000}, std::move(done), ++last_request_id_};
  for (const auto& core : cores)
    out_.push_back({core, ReadRequest{bootstrap_->ask, role_, Ballot{}, false, false}});
}

void ReplicaSetManager::replace(const Address& old_address, const Address& new_address, Done done, TimePoint now) {
  if (replacing_)
    return done(409, "a replacement is under way here");
  if (!proposer_.has_state())
    return done(503, "no register is known here");
  replacing_ =
      Replacing{old_address, new_address, {}, now + Duration{8000}, std::move(done), ++last_request_id_, false};
  out_.push_back({new_address, ReadRequest{replacing_->ask, role_, Ballot{}, false, false}});
}

void ReplicaSetManager::on_message(const Address& from, const Message& message, TimePoint now) {
  if (const auto* response = std::get_if<ReadResponse>(&message))
    on_read(from, *response, now);
  if (const auto* response = std::get_if<BootstrapResponse>(&message))
    on_bootstrapped(from, *response, now);
}

void ReplicaSetManager::end_bootstrap(int code, const std::string& reason) {
  auto done = std::move(bootstrap_->done);
  bootstrap_.reset();
  done(code, reason);
}

void ReplicaSetManager::on_read(const Address& from, const ReadResponse& response, TimePoint now) {
  if (bootstrap_ && response.request_id == bootstrap_->ask) {
    if (response.store.empty())
      return end_bootstrap(409, from.text + " keeps no store");
    if (!response.blank)
      return end_bootstrap(409, from.text + " already holds a register");
    bootstrap_->stores[from] = response.store;
    if (bootstrap_->stores.size() == bootstrap_->cores.size() && bootstrap_->value.data.empty()) {
      FleetState state;
      state.fleet_name = bootstrap_->fleet;
      state.version = 1;
      for (const auto& [address, store] : bootstrap_->stores)
        state.acceptors.push_back({store, address});
      bootstrap_->value.data = encode_state(state);
      for (const auto& [address, store] : bootstrap_->stores)
        out_.push_back({address, BootstrapRequest{bootstrap_->ask, store, bootstrap_->value}});
    }
  }
  if (replacing_ && !replacing_->is_asked && response.request_id == replacing_->ask && from == replacing_->new_address)
    begin_replacing(response, now);
  // A core machine's address that answers as another, blank store: the old one is gone.
  for (const auto& entry : proposer_.acceptors())
    if (entry.address == from && !response.store.empty()) {
      if ((response.blank ||
           (reconciler_ != nullptr && proposer_.has_state() && !(proposer_.ballot() < response.accepted))) &&
          entry.store != response.store)
        blank_stores_[from] = response.store;
      else
        blank_stores_.erase(from);
    }
}

void ReplicaSetManager::on_bootstrapped(const Address& from, const BootstrapResponse& response, TimePoint now) {
  if (!bootstrap_ || response.request_id != bootstrap_->ask)
    return;
  if (!response.granted)
    return end_bootstrap(409, from.text + ": " + response.reason);
  bootstrap_->granted.insert(response.store);
  if (bootstrap_->granted.size() != bootstrap_->cores.size())
    return;
  auto state = decode_state(bootstrap_->value.data);
  if (state)
    proposer_.learn_acceptors(state->acceptors);
  was_bootstrapped_ = true;
  journal_.append(now, "founded", bootstrap_->fleet);
  end_bootstrap(201, "founded");
}

void ReplicaSetManager::begin_replacing(const ReadResponse& response, TimePoint now) {
  replacing_->is_asked = true;
  replacing_->new_store = response.store;
  auto change = [old = replacing_->old_address, fresh = AcceptorEntry{response.store, replacing_->new_address},
                 is_blank = response.blank](const FleetState& state) -> Verdict {
    auto refuse = [](const std::string& why) {
      return Verdict{Verdict::Kind::refuse, {}, why};
    };
    auto holds_store = [&](const std::vector<AcceptorEntry>& set) {
      return std::any_of(set.begin(), set.end(), [&](const auto& entry) { return entry.store == fresh.store; });
    };
    auto is_core = [&](const Address& address) {
      return std::any_of(state.acceptors.begin(), state.acceptors.end(),
                         [&](const auto& entry) { return entry.address == address; });
    };
    if (holds_store(state.next_acceptors))
      return {Verdict::Kind::already_there, {}, ""};
    if (holds_store(state.acceptors)) {
      if (!is_core(old))
        return {Verdict::Kind::already_there, {}, ""};
      return refuse(fresh.address.text + " is a core machine already");
    }
    if (!state.next_acceptors.empty())
      return refuse("another change of core machines is under way");
    if (!is_blank)
      return refuse(fresh.address.text + " holds another register: it must be empty");
    if (!is_core(old))
      return refuse(old.text + " is no core machine of this fleet");
    if (fresh.address != old && is_core(fresh.address))
      return refuse(fresh.address.text + " is a core machine already");
    FleetState next = state;
    next.next_acceptors = state.acceptors;
    for (auto& entry : next.next_acceptors)
      if (entry.address == old)
        entry = fresh;
    return {Verdict::Kind::apply, next, ""};
  };
  proposer_.change(
      std::move(change), [this](const ChangeEnd& end) { end_replacing(end); }, now, Duration{4000});
}

void ReplicaSetManager::end_replacing(const ChangeEnd& end) {
  if (!replacing_)
    return;
  repair_next_ = TimePoint{0};  // the second half at once
  bool is_whole = end.kind == ChangeEnd::Kind::committed && end.state.next_acceptors.empty();
  if (end.kind == ChangeEnd::Kind::committed && !is_whole)
    return;  // answered once the new set stands alone
  auto done = std::move(replacing_->done);
  replacing_.reset();
  if (is_whole)
    done(200, "replaced already");
  else if (end.kind == ChangeEnd::Kind::refused)
    done(409, end.reason);
  else if (end.kind == ChangeEnd::Kind::no_majority)
    done(503, end.reason);
  else
    done(504, end.reason);
}

void ReplicaSetManager::on_state() {
  const FleetState& state = proposer_.state();
  bool is_whole = replacing_ && state.next_acceptors.empty() &&
                  std::any_of(state.acceptors.begin(), state.acceptors.end(),
                              [&](const auto& entry) { return entry.store == replacing_->new_store; });
  if (!is_whole)
    return;
  auto done = std::move(replacing_->done);
  replacing_.reset();
  done(200, "replaced");
}

// A machine of the set that answers as another, blank store: its disk is gone, and its new store is due in its place.
std::optional<SetChange> ReplicaSetManager::due_readmission(TimePoint now) const {
  for (const auto& old : proposer_.state().acceptors) {
    auto fresh = blank_stores_.find(old.address);
    if (fresh == blank_stores_.end() || fresh->second == old.store)
      continue;
    if (reconciler_ != nullptr)
      return reconciler_->readmission(old, fresh->second, now);
    auto change = [old, renewed = AcceptorEntry{fresh->second, old.address}](const FleetState& found) -> Verdict {
      auto is_old = [&](const auto& entry) {
        return entry.store == old.store;
      };
      if (!found.next_acceptors.empty() || std::none_of(found.acceptors.begin(), found.acceptors.end(), is_old))
        return {Verdict::Kind::already_there, {}, ""};
      FleetState next = found;
      next.next_acceptors = found.acceptors;
      std::replace_if(next.next_acceptors.begin(), next.next_acceptors.end(), is_old, renewed);
      return {Verdict::Kind::apply, next, ""};
    };
    return SetChange{std::move(change), "admitting", fresh->second.text + " at " + old.address.text};
  }
  return std::nullopt;
}

std::optional<SetChange> ReplicaSetManager::due_change(TimePoint now) {
  if (!proposer_.state().next_acceptors.empty()) {
    auto second_half = [](const FleetState& found) -> Verdict {
      if (found.next_acceptors.empty())
        return {Verdict::Kind::already_there, {}, ""};
      FleetState next = found;
      next.acceptors = found.next_acceptors;
      next.next_acceptors.clear();
      return {Verdict::Kind::apply, next, ""};
    };
    return SetChange{std::move(second_half), "", ""};
  }
  if (auto due = due_readmission(now))
    return due;
  return reconciler_ != nullptr ? reconciler_->due_change(now) : std::nullopt;
}

// The daemons with an acceptor, and all that reconcile the set, finish a joint change that was left half-way, and
// begin one that is due.
void ReplicaSetManager::repair(TimePoint now) {
  if (!has_acceptor_ && !replacing_ && reconciler_ == nullptr)
    return;
  if (is_repairing_ || now < repair_next_ || !proposer_.has_state())
    return;
  repair_next_ =
      now + (reconciler_ == nullptr ? Duration{1000 + random_.below(1500)} : Duration{100 + random_.below(200)});
  auto due = due_change(now);
  if (!due)
    return;
  if (!due->kind.empty())
    journal_.append(now, due->kind, due->detail);
  is_repairing_ = true;
  proposer_.change(
      std::move(due->change),
      [this](const ChangeEnd&) {
        is_repairing_ = false;
        repair_next_ = TimePoint{0};
      },
      now, Duration{3000});
}

void ReplicaSetManager::on_timer(TimePoint now) {
  repair(now);
  if (bootstrap_ && bootstrap_->deadline <= now) {
    bool was_sent = !bootstrap_->value.data.empty();
    end_bootstrap(was_sent ? 504 : 503, was_sent
                                            ? "not all core machines confirmed in time; found again with the same words"
                                            : "not all core machines answered");
  }
  if (replacing_ && replacing_->deadline <= now) {
    auto done = std::move(replacing_->done);
    bool was_sent = replacing_->is_asked;
    replacing_.reset();
    done(was_sent ? 504 : 503,
         was_sent ? "not finished in time; look at the fleet" : "the new core machine does not answer");
  }
}

}  // namespace emberdale
