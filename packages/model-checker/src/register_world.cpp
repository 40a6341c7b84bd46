#include "emberdale/register_world.hpp"

#include <algorithm>

#include "emberdale/avro_codec.hpp"
#include "register_world_nodes.hpp"

namespace emberdale {

std::vector<OrderEnd>& pending_order_ends() {
  thread_local std::vector<OrderEnd> ends;
  return ends;
}

std::string mark_of(std::size_t order) { return "order-" + std::to_string(order); }

std::size_t order_of(const std::string& mark) { return static_cast<std::size_t>(std::stoi(mark.substr(6))); }

StoreId store_of(std::size_t acceptor, int incarnation) {
  return StoreId{"s" + std::to_string(acceptor) + "-" + std::to_string(incarnation)};
}

std::size_t acceptor_of(const StoreId& store) { return static_cast<std::size_t>(std::stoi(store.text.substr(1))); }

std::string incarnation_of(const StoreId& store) { return store.text.substr(store.text.find('-')); }

Address acceptor_address(std::size_t index) { return Address{"core-" + std::to_string(index)}; }

Address proposer_address(std::size_t index) {
  return Address{std::string("proposer-") + static_cast<char>('a' + index)};
}

std::optional<InjectedFault> injected_fault(const std::string& name) {
  if (name == "none")
    return InjectedFault::none;
  if (name == "forgets-promise")
    return InjectedFault::forgets_promise;
  if (name == "old-majority-only")
    return InjectedFault::old_majority_only;
  if (name == "keeps-wiped-store")
    return InjectedFault::keeps_wiped_store;
  return std::nullopt;
}

RegisterWorld::RegisterWorld(const RegisterScenario& scenario)
    : scenario_(std::make_shared<RegisterScenario>(scenario)),
      budget_left_(scenario.budget),
      history_(std::make_shared<History>()) {
  FleetState initial_state;
  initial_state.fleet_name = "model";
  initial_state.version = 1;
  for (int i = 0; i < scenario.members; ++i) {
    auto index = static_cast<std::size_t>(i);
    initial_state.acceptors.push_back({store_of(index, 0), acceptor_address(index)});
  }
  Bytes value{encode_state(initial_state)};
  for (int i = 0; i < scenario.members + scenario.spares; ++i) {
    auto index = static_cast<std::size_t>(i);
    AcceptorNode node{RegisterAcceptor(store_of(index, 0)), 0, ""};
    if (i < scenario.members && scenario.founding_sets.empty()) {
      node.machine.on_message(Address{"founder"}, BootstrapRequest{1, store_of(index, 0), value}, acceptor_clock);
      for (const auto& write : node.machine.drain_writes())
        node.machine.synced(write.token);
      node.machine.drain_outbound();
    }
    node.disk = node.machine.snapshot();
    node.print = StateInspector::print(node.machine);
    acceptors_.push_back(std::make_shared<AcceptorNode>(std::move(node)));
  }
  auto history = std::make_shared<History>();
  if (!is_blank_at_start()) {
    history->newest = initial_state;
    history->values[1] = stable_hash(value.data);
  }
  history_ = history;
  for (int i = 0; i < scenario.proposers; ++i) {
    auto index = static_cast<std::size_t>(i);
    ProposerNode node{RegisterProposer(proposer_address(index), RandomGenerator(index + 1))};
    node.machine.learn_acceptors(history_->newest.acceptors);
    proposers_.push_back(std::make_shared<ProposerNode>(std::move(node)));
    after_proposer(index);
  }
}

RegisterWorld::AcceptorNode& RegisterWorld::change_acceptor(std::size_t index) {
  if (acceptors_[index].use_count() > 1)  // another world stands on it
    acceptors_[index] = std::make_shared<AcceptorNode>(*acceptors_[index]);
  return *acceptors_[index];
}

RegisterWorld::ProposerNode& RegisterWorld::change_proposer(std::size_t index) {
  if (proposers_[index].use_count() > 1)
    proposers_[index] = std::make_shared<ProposerNode>(*proposers_[index]);
  return *proposers_[index];
}

const Address& RegisterWorld::address_of(std::size_t machine) const {
  thread_local std::map<std::size_t, Address> cores, proposers;
  if (machine < acceptor_count())
    return cores.insert({machine, acceptor_address(machine)}).first->second;
  std::size_t index = machine - acceptor_count();
  return proposers.insert({index, proposer_address(index)}).first->second;
}

void RegisterWorld::deliver(const InFlightMessage& sent) {
  if (sent.to < acceptor_count()) {
    change_acceptor(sent.to).machine.on_message(address_of(sent.from), *sent.message, acceptor_clock);
    after_acceptor(sent.to);
    return;
  }
  std::size_t index = sent.to - acceptor_count();
  ProposerNode& node = change_proposer(index);
  node.machine.on_message(address_of(sent.from), *sent.message, node.clock);
  after_proposer(index);
}

std::vector<RegisterWorld::InFlightMessage> RegisterWorld::take_in_flight(
    const std::function<bool(const InFlightMessage&)>& is_meant) {
  auto kept = std::stable_partition(in_flight_.begin(), in_flight_.end(),
                                    [&](const InFlightMessage& sent) { return !is_meant(sent); });
  std::vector<InFlightMessage> taken(kept, in_flight_.end());
  in_flight_.erase(kept, in_flight_.end());
  return taken;
}

void RegisterWorld::exchange(std::size_t proposer, std::uint32_t reached) {
  std::size_t machine = acceptor_count() + proposer;
  for (const auto& request : take_in_flight([&](const InFlightMessage& sent) { return sent.from == machine; }))
    if ((reached >> request.to & 1) != 0)
      deliver(request);
  for (const auto& response : take_in_flight([&](const InFlightMessage& sent) { return sent.to == machine; }))
    deliver(response);
}

void RegisterWorld::after_acceptor(std::size_t index) {
  AcceptorNode& node = change_acceptor(index);
  for (const auto& write : node.machine.drain_writes())
    node.unsynced.push_back(write.token);
  if (!scenario_->is_sync_separate && !node.unsynced.empty()) {
    sync(index);
    return;
  }
  auto out = node.machine.drain_outbound();
  node.print = StateInspector::print(node.machine);
  send(index, std::move(out));
}

void RegisterWorld::sync(std::size_t index) {
  AcceptorNode& node = change_acceptor(index);
  Ballot before = node.machine.accepted();
  node.machine.synced(node.unsynced.back());
  node.unsynced.clear();
  node.disk = node.machine.snapshot();
  auto out = node.machine.drain_outbound();
  node.print = StateInspector::print(node.machine);
  send(index, std::move(out));
  if (node.machine.accepted() != before)
    observe_chosen(index);
}

void RegisterWorld::restart(std::size_t index) {
  AcceptorNode& node = change_acceptor(index);
  auto record = decode_acceptor_record(node.disk);
  if (scenario_->fault == InjectedFault::forgets_promise)
    record->promised = record->accepted;
  node.machine = RegisterAcceptor(node.machine.store());
  auto restored = node.machine.restore({encode_acceptor_record(*record)});
  if (!restored)
    fail("a disk cannot be read again: " + restored.reason);
  node.unsynced.clear();
  node.print = StateInspector::print(node.machine);
}

void RegisterWorld::wipe(std::size_t index) {
  AcceptorNode& node = change_acceptor(index);
  if (scenario_->fault != InjectedFault::keeps_wiped_store)
    ++node.incarnation;
  node.machine = RegisterAcceptor(store_of(index, node.incarnation));
  node.disk = node.machine.snapshot();
  node.unsynced.clear();
  node.print = StateInspector::print(node.machine);
  check_acknowledged();
}

void RegisterWorld::restart_proposer(std::size_t index) {
  ProposerNode& node = change_proposer(index);
  int incarnation = node.incarnation + 1;
  auto seed = static_cast<std::uint64_t>(incarnation) * 1000 + index + 1;
  TimePoint clock = node.clock;
  node = ProposerNode{RegisterProposer(proposer_address(index), RandomGenerator(seed))};
  node.clock = clock;
  node.incarnation = incarnation;
  node.machine.learn_acceptors(history_->newest.acceptors);
  for (std::size_t order : started_)
    if (proposer_of(order) == index)
      ended_.insert(order);
  std::size_t machine = acceptor_count() + index;
  in_flight_.erase(std::remove_if(in_flight_.begin(), in_flight_.end(),
                                  [&](const InFlightMessage& sent) { return sent.to == machine; }),
                   in_flight_.end());
  after_proposer(index);
}

void RegisterWorld::after_proposer(std::size_t index) {
  ProposerNode& node = change_proposer(index);
  send(acceptor_count() + index, node.machine.drain_outbound());
  node.print = StateInspector::print(
      node.machine, node.clock, acceptor_count(), [](const StoreId& store) { return acceptor_of(store); },
      is_symmetric());
  observe_state(index);
  observe_orders(index);
}

void RegisterWorld::send(std::size_t from, std::vector<OutboundMessage> messages) {
  for (auto& outbound : messages) {
    std::size_t to = 0;
    std::size_t machines = acceptor_count() + proposers_.size();
    while (to < machines && address_of(to) != outbound.to)
      ++to;
    if (to == machines)
      continue;
    if (grant_without_delivery(from, outbound.message))
      continue;
    std::uint64_t print = fingerprint_of_message(outbound.message);
    in_flight_.push_back({from, to, std::make_shared<const Message>(std::move(outbound.message)), print});
  }
}

// The planted fault of a proposer that needs the old majority alone: what it asks of a store that is not in the old
// set is granted on the way, and never arrives.
bool RegisterWorld::grant_without_delivery(std::size_t from, const Message& message) {
  if (scenario_->fault != InjectedFault::old_majority_only || from < acceptor_count())
    return false;
  std::size_t index = from - acceptor_count();
  const StoreId* store = addressed_store(message);
  if (store == nullptr || holds_store(proposers_[index]->machine.acceptors(), *store))
    return false;
  Message response = Promise{request_id_of(message), *store, true, Ballot{}, Ballot{}, Bytes{}};
  if (const auto* accept = std::get_if<Accept>(&message))
    response = Accepted{accept->request_id, *store, true, accept->ballot};
  std::uint64_t print = fingerprint_of_message(response);
  in_flight_.push_back({acceptor_of(*store), from, std::make_shared<const Message>(std::move(response)), print});
  return true;
}

}  // namespace emberdale
