// The invariants of a register world, checked after each step.
#include <algorithm>

#include "emberdale/avro_codec.hpp"
#include "register_world_nodes.hpp"

namespace emberdale {

void RegisterWorld::fail(const std::string& reason) {
  if (violation_.empty())
    violation_ = reason;
}

void RegisterWorld::observe_orders(std::size_t proposer) {
  auto ends = std::exchange(pending_order_ends(), {});
  if (ends.empty())
    return;
  auto history = std::make_shared<History>(*history_);
  for (const auto& [order, end] : ends) {
    ended_.insert(order);
    bool is_committed = end.kind == ChangeResult::Kind::committed;
    bool is_refused = end.kind == ChangeResult::Kind::refused || end.kind == ChangeResult::Kind::no_majority;
    events_.push_back(mark_of(order) + (is_committed
                                            ? " is acknowledged at version " + std::to_string(end.state.version)
                                        : is_refused ? " is refused: " + end.reason
                                                     : " ends with an unknown outcome"));
    if (is_refused)
      history->refused.insert(static_cast<int>(order));
    if (!is_committed)
      continue;
    history->acknowledged.push_back({static_cast<int>(order), end.state.version});
    if (scenario_->orders[order] == OrderKind::claim_term)
      change_proposer(proposer).won_term = end.state.term;
  }
  history_ = history;
  check_acknowledged();
}

void RegisterWorld::observe_state(std::size_t proposer) {
  ProposerNode& node = change_proposer(proposer);
  if (!node.machine.has_state())
    return;
  const FleetState& state = node.machine.state();
  std::string name = proposer_address(proposer).text;
  if (state.version < node.seen_version)
    fail("at " + name + " the version goes back from " + std::to_string(node.seen_version) + " to " +
         std::to_string(state.version));
  if (state.term < node.seen_term)
    fail("at " + name + " the term goes back from " + std::to_string(node.seen_term) + " to " +
         std::to_string(state.term));
  bool is_new_version = state.version != node.seen_version;
  node.seen_version = state.version;
  node.seen_term = state.term;
  if (node.read_floor >= 0 && node.machine.confirmed_at() == node.read_begun) {
    if (state.version < node.read_floor)
      fail("a confirmed read at " + name + " shows version " + std::to_string(state.version) + ", but " +
           std::to_string(node.read_floor) + " was acknowledged before it began");
    node.read_floor = -1;
  }
  if (!is_new_version)
    return;
  events_.push_back(name + " learns version " + std::to_string(state.version));
  observe_value(state, encode_state(state), name + " learned");
}

void RegisterWorld::observe_value(const FleetState& state, const std::string& bytes, const std::string& where) {
  auto history = std::make_shared<History>(*history_);
  std::string version = "version " + std::to_string(state.version);
  std::uint64_t print = stable_hash(bytes);
  if (history->values.insert({state.version, print}).first->second != print)
    fail(where + " another value of " + version + " than was chosen before");
  if (state.term > 0 && history->masters.insert({state.term, state.master.text}).first->second != state.master.text)
    fail(where + " a second master of term " + std::to_string(state.term));
  std::set<std::string> marks;
  for (const auto& done : state.completed_changes) {
    std::size_t order = order_of(done.change_id);
    if (!marks.insert(done.change_id).second)
      fail(where + " " + version + ", in which " + done.change_id + " was applied twice");
    if (history->refused.count(static_cast<int>(order)) != 0)
      fail(where + " " + version + " with " + done.change_id + ", which was refused");
    std::string writer = proposer_address(proposer_of(order)).text;
    if (done.config_revision > 0 &&
        history->leading_writers.insert({done.config_revision, writer}).first->second != writer)
      fail(where + " " + version + ": two leaders wrote in term " + std::to_string(done.config_revision));
  }
  if (history->newest.version < state.version)
    history->newest = state;
  history_ = history;
}

void RegisterWorld::observe_chosen(std::size_t acceptor) {
  const RegisterAcceptor& machine = acceptors_[acceptor]->machine;
  const FleetState& state = machine.state();
  std::set<StoreId> holders;
  for (const auto& node : acceptors_)
    if (node->machine.accepted() == machine.accepted())
      holders.insert(node->machine.store());
  if (has_majority(state.acceptors, state.next_acceptors, holders))
    observe_value(state, StateInspector::value(machine).data, "a majority holds");
  check_acknowledged();
}

// Every majority of the newest known set holds all that was acknowledged: the highest value that the stores up to
// some ballot hold is what a proposer finds that is answered by just these.
void RegisterWorld::check_acknowledged() {
  const FleetState& newest = history_->newest;
  if (history_->acknowledged.empty())
    return;
  for (const auto& highest : acceptors_) {
    std::set<StoreId> answering;
    for (const auto& node : acceptors_)
      if (!(highest->machine.accepted() < node->machine.accepted()))
        answering.insert(node->machine.store());
    if (answering.count(highest->machine.store()) == 0 ||
        !has_majority(newest.acceptors, newest.next_acceptors, answering))
      continue;
    const FleetState& found = highest->machine.state();
    for (const auto& [order, version] : history_->acknowledged) {
      std::string mark = mark_of(static_cast<std::size_t>(order));
      if (found.version < version || (adds_mark(order) && !holds_mark(found, mark)))
        fail(mark + ", acknowledged at version " + std::to_string(version) +
             ", is lost to a majority that holds version " + std::to_string(found.version));
    }
  }
}

std::string RegisterWorld::check_majorities() const {
  for (std::size_t subset = 1; subset < (std::size_t{1} << acceptors_.size()); ++subset) {
    std::vector<std::size_t> living;
    for (std::size_t i = 0; i < acceptors_.size(); ++i)
      if ((subset >> i & 1) != 0)
        living.push_back(i);
    if (!is_majority(living))
      continue;
    std::string violation = check_majority(living);
    if (!violation.empty())
      return violation;
  }
  return "";
}

// Whether the acceptors are a majority of the newest known sets and, where one of them holds a joint change that was
// begun, of both its sets.
bool RegisterWorld::is_majority(const std::vector<std::size_t>& living) const {
  std::set<StoreId> stores;
  for (std::size_t index : living)
    stores.insert(acceptors_[index]->machine.store());
  if (!has_majority(history_->newest.acceptors, history_->newest.next_acceptors, stores))
    return false;
  return std::all_of(living.begin(), living.end(), [&](std::size_t index) {
    const FleetState& held = acceptors_[index]->machine.state();
    return held.acceptors.empty() || has_majority(held.acceptors, held.next_acceptors, stores);
  });
}

namespace {

using AcceptorsByAddress = std::map<Address, RegisterAcceptor>;

// Delivers what the proposer sends to those acceptors that are there, and their responses to it, until it sends nothing
// more or the order has ended.
void exchange_until_quiet(RegisterProposer& proposer, const Address& proposer_address, AcceptorsByAddress& acceptors,
                          TimePoint now, const std::optional<ChangeResult>& end) {
  for (auto requests = proposer.drain_outbound(); !requests.empty() && !end; requests = proposer.drain_outbound())
    for (const auto& request : requests) {
      auto target = acceptors.find(request.to);
      if (target == acceptors.end())
        continue;
      target->second.on_message(proposer_address, request.message, acceptor_clock);
      for (const auto& write : target->second.drain_writes())
        target->second.synced(write.token);
      for (const auto& response : target->second.drain_outbound())
        proposer.on_message(request.to, response.message, now);
    }
}

// Appends the mark by a new proposer at the acceptors; nothing: the order does not end within the bound of rounds.
std::optional<ChangeResult> append_at(AcceptorsByAddress& acceptors, const std::vector<AcceptorEntry>& known_set,
                                      const std::string& mark) {
  Address judge_address{"judge"};
  RegisterProposer judge(judge_address, RandomGenerator(1));
  judge.learn_acceptors(known_set);
  std::optional<ChangeResult> end;
  TimePoint now{0};
  judge.change([mark](const FleetState& state) { return append(state, mark, 0); },
               [&end](const ChangeResult& ended) { end = ended; }, now, order_timeout);
  for (int round = 0; round < probe_rounds && !end; ++round) {
    exchange_until_quiet(judge, judge_address, acceptors, now, end);
    now = now + past_any_phase;
    judge.on_timer(now);
  }
  return end;
}

}  // namespace

std::string RegisterWorld::check_majority(const std::vector<std::size_t>& living) const {
  AcceptorsByAddress machines;
  std::string names;
  for (std::size_t index : living) {
    RegisterAcceptor machine(acceptors_[index]->machine.store());
    machine.restore({acceptors_[index]->disk});
    machines.emplace(acceptor_address(index), std::move(machine));
    names += " " + acceptor_address(index).text;
  }
  std::optional<ChangeResult> end = append_at(machines, history_->newest.acceptors, mark_of(scenario_->orders.size()));
  if (!end || end->kind != ChangeResult::Kind::committed)
    return "the majority" + names + " can't commit any more";
  for (const auto& [order, version] : history_->acknowledged) {
    std::string mark = mark_of(static_cast<std::size_t>(order));
    if (end->state.version <= version || (adds_mark(order) && !holds_mark(end->state, mark)))
      return mark + " was acknowledged, and the majority" + names + " has lost it";
  }
  return "";
}

// Whether the order adds its own mark to the state.
bool RegisterWorld::adds_mark(int order) const {
  OrderKind kind = scenario_->orders[static_cast<std::size_t>(order)];
  return kind == OrderKind::append || kind == OrderKind::leader_append;
}

}  // namespace emberdale
