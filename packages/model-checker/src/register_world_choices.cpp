// The choices of a register world: which there are, what each is called, and what it does.
#include <algorithm>
#include <tuple>

#include "register_world_nodes.hpp"

namespace emberdale {

std::size_t RegisterWorld::proposer_of(std::size_t order) const {
  if (order < scenario_->placed_at.size())
    return static_cast<std::size_t>(scenario_->placed_at[order]);
  return order % proposers_.size();
}

bool RegisterWorld::may_start(std::size_t order) const {
  if (started_.count(order) != 0)
    return false;
  if (scenario_->is_in_sequence && order > 0 && ended_.count(order - 1) == 0)
    return false;
  for (std::size_t earlier = 0; earlier < order; ++earlier)
    if (proposer_of(earlier) == proposer_of(order) && started_.count(earlier) == 0)
      return false;
  if (scenario_->orders[order] == OrderKind::found)
    return true;
  if (is_blank_at_start() && visible_set().empty())
    return false;
  if (scenario_->orders[order] == OrderKind::leader_append)
    return proposers_[proposer_of(order)]->won_term > 0;
  if (scenario_->orders[order] == OrderKind::replace_member)
    return static_cast<bool>(replacement());
  return true;
}

void RegisterWorld::add_deliveries(std::vector<Action>& list) const {
  std::set<std::tuple<std::size_t, std::size_t, std::uint64_t>> listed;
  for (std::size_t i = 0; i < in_flight_.size(); ++i) {
    if (!listed.insert({in_flight_[i].from, in_flight_[i].to, fingerprint_of(in_flight_[i])}).second)
      continue;
    list.push_back({ActionKind::deliver, i});
    if (budget_left_.duplicates > 0)
      list.push_back({ActionKind::duplicate, i});
  }
}

void RegisterWorld::add_exchanges(std::vector<Action>& list) const {
  for (std::size_t i = 0; i < proposers_.size(); ++i) {
    std::uint32_t asked = 0;
    for (const auto& sent : in_flight_)
      if (sent.from == acceptor_count() + i)
        asked |= std::uint32_t{1} << sent.to;
    for (std::uint32_t reached = 1; reached <= asked; ++reached)
      if ((reached & ~asked) == 0)
        list.push_back({ActionKind::exchange, i, reached});
  }
}

std::vector<RegisterWorld::Action> RegisterWorld::actions() const {
  std::vector<Action> list;
  if (scenario_->is_round_atomic)
    add_exchanges(list);
  else
    add_deliveries(list);
  for (std::size_t i = 0; i < scenario_->orders.size(); ++i)
    if (may_start(i))
      list.push_back({ActionKind::start_order, i});
  for (std::size_t i = 0; i < proposers_.size(); ++i) {
    bool is_busy = StateInspector::is_round_open(proposers_[i]->machine);
    if (is_busy && budget_left_.timers > 0)
      list.push_back({ActionKind::fire_timer, i});
    if (is_busy && budget_left_.give_ups > 0)
      list.push_back({ActionKind::give_up, i});
    if (budget_left_.polls > 0)
      list.push_back({ActionKind::poll, i});
    if (budget_left_.proposer_restarts > 0)
      list.push_back({ActionKind::restart_proposer, i});
  }
  for (std::size_t i = 0; i < acceptors_.size(); ++i) {
    if (!acceptors_[i]->unsynced.empty())
      list.push_back({ActionKind::sync, i});
    if (budget_left_.restarts > 0)
      list.push_back({ActionKind::restart, i});
    if (budget_left_.wipes > 0)
      list.push_back({ActionKind::wipe, i});
  }
  return list;
}

std::string RegisterWorld::describe(const Action& action) const {
  auto receipt = [&] {
    const InFlightMessage& chosen = in_flight_[action.subject];
    return address_of(chosen.to).text + " receives from " + address_of(chosen.from).text + ": " + show(*chosen.message);
  };
  switch (action.kind) {
    case ActionKind::exchange: {
      std::string words = proposer_address(action.subject).text + " reaches";
      for (std::size_t i = 0; i < acceptor_count(); ++i)
        words += (action.reached >> i & 1) != 0 ? " " + acceptor_address(i).text : "";
      for (const auto& sent : in_flight_)
        if (sent.from == acceptor_count() + action.subject && (action.reached >> sent.to & 1) != 0)
          return words + ": " + show(*sent.message);
      return words;
    }
    case ActionKind::deliver:
      return receipt();
    case ActionKind::duplicate:
      return receipt() + " (and it stays in flight)";
    case ActionKind::start_order:
      return proposer_address(proposer_of(action.subject)).text + " starts " + mark_of(action.subject);
    case ActionKind::fire_timer:
      return "the timer of " + proposer_address(action.subject).text + " fires";
    case ActionKind::poll:
      return proposer_address(action.subject).text + " polls the register";
    case ActionKind::sync:
      return "the disk of " + acceptor_address(action.subject).text + " syncs";
    case ActionKind::restart:
      return acceptor_address(action.subject).text + " crashes and restarts";
    case ActionKind::wipe:
      return acceptor_address(action.subject).text + " is wiped and restarts";
    case ActionKind::restart_proposer:
      return proposer_address(action.subject).text + " crashes and restarts";
    case ActionKind::give_up:
      return proposer_address(action.subject).text + " gives its order up";
  }
  return "";
}

// The timer of a proposer fires after the time that has passed. With atomic rounds, its requests are lost.
void RegisterWorld::pass_time(std::size_t proposer, Duration time) {
  ProposerNode& node = change_proposer(proposer);
  node.clock = node.clock + time;
  if (scenario_->is_round_atomic)
    take_in_flight([&](const InFlightMessage& sent) { return sent.from == acceptor_count() + proposer; });
  node.machine.on_timer(node.clock);
  after_proposer(proposer);
}

void RegisterWorld::poll(std::size_t proposer) {
  ProposerNode& node = change_proposer(proposer);
  node.clock = node.clock + past_any_read;
  node.read_begun = node.clock;
  node.read_floor = 0;
  for (const auto& acknowledged : history_->acknowledged)
    node.read_floor = std::max(node.read_floor, acknowledged.version);
  node.machine.poll(node.clock, DaemonRole::core, false);
  after_proposer(proposer);
}

void RegisterWorld::step(const Action& action) {
  events_.clear();
  switch (action.kind) {
    case ActionKind::exchange:
      exchange(action.subject, action.reached);
      break;
    case ActionKind::deliver: {
      InFlightMessage sent = in_flight_[action.subject];
      in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(action.subject));
      deliver(sent);
      break;
    }
    case ActionKind::duplicate:
      --budget_left_.duplicates;
      deliver(InFlightMessage(in_flight_[action.subject]));
      break;
    case ActionKind::start_order:
      start_order(action.subject);
      break;
    case ActionKind::fire_timer:
      --budget_left_.timers;
      pass_time(action.subject, past_any_phase);
      break;
    case ActionKind::give_up:
      --budget_left_.give_ups;
      pass_time(action.subject, past_any_order_timeout);
      break;
    case ActionKind::poll:
      --budget_left_.polls;
      poll(action.subject);
      break;
    case ActionKind::sync:
      sync(action.subject);
      break;
    case ActionKind::restart:
      --budget_left_.restarts;
      restart(action.subject);
      break;
    case ActionKind::wipe:
      --budget_left_.wipes;
      wipe(action.subject);
      break;
    case ActionKind::restart_proposer:
      --budget_left_.proposer_restarts;
      restart_proposer(action.subject);
      break;
  }
  drop_messages_without_effect();
}

}  // namespace emberdale
