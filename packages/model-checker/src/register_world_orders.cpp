// The orders of a register world: what each changes in the state, and how it is started.
#include <algorithm>

#include "register_world_nodes.hpp"

namespace emberdale {

bool holds_mark(const FleetState& state, const std::string& mark) {
  return std::any_of(state.completed_changes.begin(), state.completed_changes.end(),
                     [&](const auto& done) { return done.change_id == mark; });
}

bool holds_store(const std::vector<AcceptorEntry>& set, const StoreId& store) {
  return std::any_of(set.begin(), set.end(), [&](const auto& entry) { return entry.store == store; });
}

ChangeDecision append(const FleetState& state, const std::string& mark, std::int64_t term) {
  if (holds_mark(state, mark))
    return {ChangeDecision::Kind::already_there, {}, ""};
  FleetState next = state;
  next.completed_changes.push_back({mark, 0, term});
  return {ChangeDecision::Kind::apply, next, ""};
}

ChangeDecision claim(const FleetState& state, std::int64_t expected, const Address& self) {
  if (state.term == expected + 1 && state.master == self)
    return {ChangeDecision::Kind::already_there, {}, ""};
  if (state.term != expected)
    return {ChangeDecision::Kind::refuse, {}, "another term has begun"};
  FleetState next = state;
  next.term = expected + 1;
  next.master = self;
  return {ChangeDecision::Kind::apply, next, ""};
}

ChangeDecision finish_joint_change(const FleetState& state) {
  if (state.next_acceptors.empty())
    return {ChangeDecision::Kind::already_there, {}, ""};
  FleetState next = state;
  next.acceptors = std::exchange(next.next_acceptors, {});
  return {ChangeDecision::Kind::apply, next, ""};
}

ChangeDecision found(const FleetState& state, const std::vector<AcceptorEntry>& set) {
  if (state.version > 0)
    return {ChangeDecision::Kind::already_there, {}, ""};
  FleetState first;
  first.fleet_name = "model";
  first.acceptors = set;
  return {ChangeDecision::Kind::apply, first, ""};
}

std::vector<AcceptorEntry> RegisterWorld::founding_set(std::size_t order) const {
  std::vector<AcceptorEntry> set;
  for (int member : scenario_->founding_sets[order]) {
    auto index = static_cast<std::size_t>(member);
    set.push_back({store_of(index, 0), acceptor_address(index)});
  }
  return set;
}

std::vector<AcceptorEntry> RegisterWorld::visible_set() const {
  for (const auto& node : acceptors_)
    if (!node->machine.is_blank())
      return node->machine.state().acceptors;
  return {};
}

Change RegisterWorld::replacement() const {
  const FleetState& newest = history_->newest;
  if (!newest.next_acceptors.empty())
    return nullptr;
  std::optional<AcceptorEntry> old, fresh;
  for (const auto& entry : newest.acceptors) {
    const StoreId& current = acceptors_[acceptor_of(entry.store)]->machine.store();
    if (current != entry.store) {
      old = entry;
      fresh = AcceptorEntry{current, entry.address};
    }
  }
  for (std::size_t i = 0; i < acceptors_.size() && !fresh; ++i)
    if (!holds_store(newest.acceptors, acceptors_[i]->machine.store())) {
      old = newest.acceptors.back();
      fresh = AcceptorEntry{acceptors_[i]->machine.store(), acceptor_address(i)};
    }
  if (!fresh)
    return nullptr;
  return [old = *old, fresh = *fresh](const FleetState& state) -> ChangeDecision {
    if (!state.next_acceptors.empty() || !holds_store(state.acceptors, old.store))
      return {ChangeDecision::Kind::already_there, {}, ""};
    FleetState next = state;
    next.next_acceptors = state.acceptors;
    for (auto& entry : next.next_acceptors)
      if (entry.store == old.store)
        entry = fresh;
    return {ChangeDecision::Kind::apply, next, ""};
  };
}

Change RegisterWorld::change_of(std::size_t order) const {
  const ProposerNode& node = *proposers_[proposer_of(order)];
  Address self = proposer_address(proposer_of(order));
  std::string mark = mark_of(order);
  switch (scenario_->orders[order]) {
    case OrderKind::append:
      return [mark](const FleetState& state) {
        return append(state, mark, 0);
      };
    case OrderKind::claim_term: {
      std::int64_t expected = node.machine.has_state() ? node.machine.state().term : 0;
      return [expected, self](const FleetState& state) {
        return claim(state, expected, self);
      };
    }
    case OrderKind::leader_append:
      return [mark, self, term = node.won_term](const FleetState& state) -> ChangeDecision {
        if (state.term != term || state.master != self)
          return {ChangeDecision::Kind::refuse, {}, "master no more"};
        return append(state, mark, term);
      };
    case OrderKind::replace_member:
      return replacement();
    case OrderKind::finish_change:
      return finish_joint_change;
    case OrderKind::found:
      return [set = founding_set(order)](const FleetState& state) {
        return found(state, set);
      };
  }
  return nullptr;
}

// What an order's change keeps of the moment it was started: with it and the value found, what it proposes is known.
std::uint64_t RegisterWorld::fingerprint_of_arguments(std::size_t order) const {
  const RegisterProposer& machine = proposers_[proposer_of(order)]->machine;
  Fingerprint print;
  if (scenario_->orders[order] == OrderKind::claim_term)
    print.add(static_cast<std::uint64_t>(machine.has_state() ? machine.state().term : 0));
  if (scenario_->orders[order] == OrderKind::replace_member) {
    print.add(static_cast<std::uint64_t>(history_->newest.version));
    for (const auto& node : acceptors_)
      print.add(node->machine.store().text);
  }
  return print.value();
}

void RegisterWorld::start_order(std::size_t order) {
  started_.insert(order);
  std::size_t index = proposer_of(order);
  Change change = change_of(order);
  ProposerNode& node = change_proposer(index);
  node.arguments.add(order).add(static_cast<std::uint64_t>(node.won_term)).add(fingerprint_of_arguments(order));
  auto on_end = [order](const ChangeResult& end) {
    pending_order_ends().push_back({order, end});
  };
  if (is_blank_at_start() && scenario_->orders[order] != OrderKind::found)
    node.machine.learn_acceptors(visible_set());
  if (scenario_->orders[order] == OrderKind::found)
    node.machine.found(founding_set(order), std::move(change), on_end, node.clock, order_timeout);
  else
    node.machine.change(std::move(change), on_end, node.clock, order_timeout);
  after_proposer(index);
}

}  // namespace emberdale
