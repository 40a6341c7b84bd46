#include "emberdale/register_world.hpp"

#include <algorithm>

#include "emberdale/avro_codec.hpp"
#include "state_inspector.hpp"

namespace emberdale {
namespace {

constexpr TimePoint acceptor_clock{0};          // acceptors tell the time only for heartbeats, which are not modelled
constexpr Duration past_any_phase{3000};        // further ahead than any phase or pause of a round lasts
constexpr Duration order_patience{1000000000};  // further ahead than all timers of a path together
constexpr Duration past_any_patience{2000000000};
constexpr Duration past_any_read{2500};  // from here on a reader asks every copy that it ever heard of
constexpr int probe_rounds = 30;

struct OrderEnd {
  std::size_t order;
  ChangeEnd end;
};
// Where the callbacks of the machine that acts now leave their ends: a copied machine keeps no pointer to its world.
thread_local std::vector<OrderEnd> order_ends;

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

bool holds_mark(const FleetState& state, const std::string& mark) {
  return std::any_of(state.completed_changes.begin(), state.completed_changes.end(),
                     [&](const auto& done) { return done.change_id == mark; });
}

bool holds_store(const std::vector<AcceptorEntry>& set, const StoreId& store) {
  return std::any_of(set.begin(), set.end(), [&](const auto& entry) { return entry.store == store; });
}

Verdict append(const FleetState& state, const std::string& mark, std::int64_t term) {
  if (holds_mark(state, mark))
    return {Verdict::Kind::already_there, {}, ""};
  FleetState next = state;
  next.completed_changes.push_back({mark, 0, term});
  return {Verdict::Kind::apply, next, ""};
}

Verdict claim(const FleetState& state, std::int64_t expected, const Address& self) {
  if (state.term == expected + 1 && state.master == self)
    return {Verdict::Kind::already_there, {}, ""};
  if (state.term != expected)
    return {Verdict::Kind::refuse, {}, "another term has begun"};
  FleetState next = state;
  next.term = expected + 1;
  next.master = self;
  return {Verdict::Kind::apply, next, ""};
}

Verdict finish_joint_change(const FleetState& state) {
  if (state.next_acceptors.empty())
    return {Verdict::Kind::already_there, {}, ""};
  FleetState next = state;
  next.acceptors = std::exchange(next.next_acceptors, {});
  return {Verdict::Kind::apply, next, ""};
}

std::string show(const Ballot& ballot) { return std::to_string(ballot.number) + "/" + ballot.proposer.text; }

std::string show_value(const Bytes& value) {
  auto state = decode_state(value.data);
  if (value.data.empty() || !state)
    return "no value";
  std::string text = "version " + std::to_string(state->version);
  if (state->term > 0)
    text += " term " + std::to_string(state->term) + " of " + state->master.text;
  for (const auto& done : state->completed_changes)
    text += " " + done.change_id;
  if (!state->next_acceptors.empty())
    text += " (joint change)";
  return "[" + text + "]";
}

std::string show(const Message& message) {
  if (const auto* prepare = std::get_if<Prepare>(&message))
    return "Prepare " + show(prepare->ballot);
  if (const auto* promise = std::get_if<Promise>(&message))
    return (promise->granted ? "Promise " : "refusal of a promise, promised ") + show(promise->promised) +
           (promise->granted ? " having accepted " + show(promise->accepted) + " " + show_value(promise->value) : "");
  if (const auto* accept = std::get_if<Accept>(&message))
    return "Accept " + show(accept->ballot) + " " + show_value(accept->value);
  if (const auto* accepted = std::get_if<Accepted>(&message))
    return (accepted->granted ? "Accepted " : "refusal of an accept, promised ") + show(accepted->promised);
  if (std::holds_alternative<ReadRequest>(message))
    return "ReadAsk";
  if (const auto* response = std::get_if<ReadResponse>(&message))
    return "ReadAnswer with " + show(response->accepted);
  return "message of kind " + std::to_string(message.index());
}

// What of a message matters beside its ask and the acceptor at one end of it.
std::uint64_t print_message(const Message& message) {
  Fingerprint print;
  print.add(message.index());
  if (const auto* prepare = std::get_if<Prepare>(&message))
    print.add(prepare->ballot).add(prepare->known_ballot).add(incarnation_of(prepare->store));
  if (const auto* promise = std::get_if<Promise>(&message))
    print.add(promise->granted ? 1 : 0)
        .add(promise->promised)
        .add(promise->accepted)
        .add(promise->value.data)
        .add(incarnation_of(promise->store));
  if (const auto* accept = std::get_if<Accept>(&message))
    print.add(accept->ballot).add(accept->value.data).add(incarnation_of(accept->store));
  if (const auto* accepted = std::get_if<Accepted>(&message))
    print.add(accepted->granted ? 1 : 0).add(accepted->promised).add(incarnation_of(accepted->store));
  if (const auto* request = std::get_if<ReadRequest>(&message))
    print.add(request->known_ballot);
  if (const auto* response = std::get_if<ReadResponse>(&message))
    print.add(response->accepted).add(response->base).add(response->value.data).add(incarnation_of(response->store));
  return print.value();
}

std::int64_t ask_of(const Message& message) {
  return std::visit(
      [](const auto& body) -> std::int64_t {
        using Body = std::decay_t<decltype(body)>;
        if constexpr (std::is_same_v<Body, Prepare> || std::is_same_v<Body, Promise> || std::is_same_v<Body, Accept> ||
                      std::is_same_v<Body, Accepted> || std::is_same_v<Body, ReadRequest> ||
                      std::is_same_v<Body, ReadResponse>)
          return body.request_id;
        return 0;
      },
      message);
}

const StoreId* addressed_store(const Message& message) {
  if (const auto* prepare = std::get_if<Prepare>(&message))
    return &prepare->store;
  if (const auto* accept = std::get_if<Accept>(&message))
    return &accept->store;
  return nullptr;
}

// Whether an answer asks for more, also when the round it belongs to is over.
bool asks_for_more(const Message& message) {
  const auto* accepted = std::get_if<Accepted>(&message);
  return accepted != nullptr && accepted->needs_full_value;
}

}  // namespace

std::optional<PlantedFault> planted_fault(const std::string& name) {
  if (name == "none")
    return PlantedFault::none;
  if (name == "forgets-promise")
    return PlantedFault::forgets_promise;
  if (name == "old-majority-only")
    return PlantedFault::old_majority_only;
  if (name == "keeps-wiped-store")
    return PlantedFault::keeps_wiped_store;
  return std::nullopt;
}

struct RegisterWorld::AcceptorNode {
  RegisterAcceptor machine;
  int incarnation = 0;
  std::string disk;                      // what is synced, as one record
  std::vector<std::int64_t> unsynced{};  // tokens of writes under way
  std::uint64_t print = 0;
};

struct RegisterWorld::ProposerNode {
  RegisterProposer machine;
  TimePoint clock{0};
  int incarnation = 0;
  std::int64_t won_term = 0, seen_version = 0, seen_term = 0;
  std::int64_t read_floor = -1;  // what the read under way must show at least; -1: it was checked
  TimePoint read_begun{-1};
  Fingerprint arguments{};  // what the orders that were started here took from the world at their start
  ProposerPrint print{};
};

RegisterWorld::RegisterWorld(const RegisterScenario& scenario)
    : scenario_(std::make_shared<RegisterScenario>(scenario)),
      left_(scenario.budget),
      history_(std::make_shared<History>()) {
  FleetState founding;
  founding.fleet_name = "model";
  founding.version = 1;
  for (int i = 0; i < scenario.members; ++i) {
    auto index = static_cast<std::size_t>(i);
    founding.acceptors.push_back({store_of(index, 0), acceptor_address(index)});
  }
  Bytes value{encode_state(founding)};
  for (int i = 0; i < scenario.members + scenario.spares; ++i) {
    auto index = static_cast<std::size_t>(i);
    AcceptorNode node{RegisterAcceptor(store_of(index, 0)), 0, ""};
    if (i < scenario.members) {
      node.machine.on_message(Address{"founder"}, BootstrapRequest{1, store_of(index, 0), value}, acceptor_clock);
      for (const auto& write : node.machine.drain_writes())
        node.machine.synced(write.token);
      node.machine.drain_outbound();
    }
    node.disk = node.machine.picture();
    node.print = StateInspector::print(node.machine);
    acceptors_.push_back(std::make_shared<AcceptorNode>(std::move(node)));
  }
  auto history = std::make_shared<History>();
  history->newest = founding;
  history->values[1] = stable_hash(value.data);
  history_ = history;
  for (int i = 0; i < scenario.proposers; ++i) {
    auto index = static_cast<std::size_t>(i);
    ProposerNode node{RegisterProposer(proposer_address(index), RandomGenerator(index + 1))};
    node.machine.learn_acceptors(founding.acceptors);
    proposers_.push_back(std::make_shared<ProposerNode>(std::move(node)));
    after_proposer(index);
  }
}

// --- choices ----------------------------------------------------------------------------------------

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
  if (scenario_->orders[order] == OrderKind::leader_append)
    return proposers_[proposer_of(order)]->won_term > 0;
  if (scenario_->orders[order] == OrderKind::replace_member)
    return static_cast<bool>(replacement());
  return true;
}

void RegisterWorld::add_deliveries(std::vector<Action>& list) const {
  std::set<std::tuple<std::size_t, std::size_t, std::uint64_t>> listed;
  for (std::size_t i = 0; i < letters_.size(); ++i) {
    if (!listed.insert({letters_[i].from, letters_[i].to, print_of(letters_[i])}).second)
      continue;
    list.push_back({ActionKind::deliver, i});
    if (left_.duplicates > 0)
      list.push_back({ActionKind::duplicate, i});
  }
}

void RegisterWorld::add_exchanges(std::vector<Action>& list) const {
  for (std::size_t i = 0; i < proposers_.size(); ++i) {
    std::uint32_t asked = 0;
    for (const auto& letter : letters_)
      if (letter.from == acceptor_count() + i)
        asked |= std::uint32_t{1} << letter.to;
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
    if (is_busy && left_.timers > 0)
      list.push_back({ActionKind::fire_timer, i});
    if (is_busy && left_.give_ups > 0)
      list.push_back({ActionKind::give_up, i});
    if (left_.polls > 0)
      list.push_back({ActionKind::poll, i});
    if (left_.proposer_restarts > 0)
      list.push_back({ActionKind::restart_proposer, i});
  }
  for (std::size_t i = 0; i < acceptors_.size(); ++i) {
    if (!acceptors_[i]->unsynced.empty())
      list.push_back({ActionKind::sync, i});
    if (left_.restarts > 0)
      list.push_back({ActionKind::restart, i});
    if (left_.wipes > 0)
      list.push_back({ActionKind::wipe, i});
  }
  return list;
}

std::string RegisterWorld::describe(const Action& action) const {
  auto letter = [&] {
    const Letter& chosen = letters_[action.subject];
    return address_of(chosen.to).text + " receives from " + address_of(chosen.from).text + ": " + show(*chosen.message);
  };
  switch (action.kind) {
    case ActionKind::exchange: {
      std::string words = proposer_address(action.subject).text + " reaches";
      for (std::size_t i = 0; i < acceptor_count(); ++i)
        words += (action.reached >> i & 1) != 0 ? " " + acceptor_address(i).text : "";
      for (const auto& sent : letters_)
        if (sent.from == acceptor_count() + action.subject && (action.reached >> sent.to & 1) != 0)
          return words + ": " + show(*sent.message);
      return words;
    }
    case ActionKind::deliver:
      return letter();
    case ActionKind::duplicate:
      return letter() + " (and it stays in flight)";
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

void RegisterWorld::step(const Action& action) {
  events_.clear();
  switch (action.kind) {
    case ActionKind::exchange:
      exchange(action.subject, action.reached);
      break;
    case ActionKind::deliver: {
      Letter letter = letters_[action.subject];
      letters_.erase(letters_.begin() + static_cast<std::ptrdiff_t>(action.subject));
      deliver(letter);
      break;
    }
    case ActionKind::duplicate:
      --left_.duplicates;
      deliver(Letter(letters_[action.subject]));
      break;
    case ActionKind::start_order:
      start_order(action.subject);
      break;
    case ActionKind::fire_timer:
    case ActionKind::give_up: {
      bool is_timer = action.kind == ActionKind::fire_timer;
      --(is_timer ? left_.timers : left_.give_ups);
      ProposerNode& node = change_proposer(action.subject);
      node.clock = node.clock + (is_timer ? past_any_phase : past_any_patience);
      if (scenario_->is_round_atomic)
        take_letters([&](const Letter& letter) { return letter.from == acceptor_count() + action.subject; });
      node.machine.on_timer(node.clock);
      after_proposer(action.subject);
      break;
    }
    case ActionKind::poll: {
      --left_.polls;
      ProposerNode& node = change_proposer(action.subject);
      node.clock = node.clock + past_any_read;
      node.read_begun = node.clock;
      node.read_floor = 0;
      for (const auto& acknowledged : history_->acknowledged)
        node.read_floor = std::max(node.read_floor, acknowledged.version);
      node.machine.poll(node.clock, DaemonRole::core, false);
      after_proposer(action.subject);
      break;
    }
    case ActionKind::sync:
      sync(action.subject);
      break;
    case ActionKind::restart:
      --left_.restarts;
      restart(action.subject);
      break;
    case ActionKind::wipe:
      --left_.wipes;
      wipe(action.subject);
      break;
    case ActionKind::restart_proposer:
      --left_.proposer_restarts;
      restart_proposer(action.subject);
      break;
  }
  drop_messages_without_effect();
}

// --- machines ---------------------------------------------------------------------------------------

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

void RegisterWorld::deliver(const Letter& letter) {
  if (letter.to < acceptor_count()) {
    change_acceptor(letter.to).machine.on_message(address_of(letter.from), *letter.message, acceptor_clock);
    after_acceptor(letter.to);
    return;
  }
  std::size_t index = letter.to - acceptor_count();
  ProposerNode& node = change_proposer(index);
  node.machine.on_message(address_of(letter.from), *letter.message, node.clock);
  after_proposer(index);
}

std::vector<RegisterWorld::Letter> RegisterWorld::take_letters(const std::function<bool(const Letter&)>& is_meant) {
  auto kept =
      std::stable_partition(letters_.begin(), letters_.end(), [&](const Letter& letter) { return !is_meant(letter); });
  std::vector<Letter> taken(kept, letters_.end());
  letters_.erase(kept, letters_.end());
  return taken;
}

void RegisterWorld::exchange(std::size_t proposer, std::uint32_t reached) {
  std::size_t machine = acceptor_count() + proposer;
  for (const auto& request : take_letters([&](const Letter& letter) { return letter.from == machine; }))
    if ((reached >> request.to & 1) != 0)
      deliver(request);
  for (const auto& answer : take_letters([&](const Letter& letter) { return letter.to == machine; }))
    deliver(answer);
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
  node.disk = node.machine.picture();
  auto out = node.machine.drain_outbound();
  node.print = StateInspector::print(node.machine);
  send(index, std::move(out));
  if (node.machine.accepted() != before)
    observe_chosen(index);
}

void RegisterWorld::restart(std::size_t index) {
  AcceptorNode& node = change_acceptor(index);
  auto record = decode_acceptor_record(node.disk);
  if (scenario_->fault == PlantedFault::forgets_promise)
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
  if (scenario_->fault != PlantedFault::keeps_wiped_store)
    ++node.incarnation;
  node.machine = RegisterAcceptor(store_of(index, node.incarnation));
  node.disk = node.machine.picture();
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
  letters_.erase(
      std::remove_if(letters_.begin(), letters_.end(), [&](const Letter& letter) { return letter.to == machine; }),
      letters_.end());
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
  for (auto& message : messages) {
    std::size_t to = 0;
    std::size_t machines = acceptor_count() + proposers_.size();
    while (to < machines && address_of(to) != message.to)
      ++to;
    if (to == machines)
      continue;
    if (answer_unasked(from, message.message))
      continue;
    std::uint64_t print = print_message(message.message);
    letters_.push_back({from, to, std::make_shared<const Message>(std::move(message.message)), print});
  }
}

// The planted fault of a proposer that needs the old majority alone: what it asks of a store that is not in the old
// set is granted on the way, and never arrives.
bool RegisterWorld::answer_unasked(std::size_t from, const Message& message) {
  if (scenario_->fault != PlantedFault::old_majority_only || from < acceptor_count())
    return false;
  std::size_t index = from - acceptor_count();
  const StoreId* store = addressed_store(message);
  if (store == nullptr || holds_store(proposers_[index]->machine.acceptors(), *store))
    return false;
  Message answer = Promise{ask_of(message), *store, true, Ballot{}, Ballot{}, Bytes{}};
  if (const auto* accept = std::get_if<Accept>(&message))
    answer = Accepted{accept->request_id, *store, true, accept->ballot};
  std::uint64_t print = print_message(answer);
  letters_.push_back({acceptor_of(*store), from, std::make_shared<const Message>(std::move(answer)), print});
  return true;
}

// --- orders -----------------------------------------------------------------------------------------

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
  return [old = *old, fresh = *fresh](const FleetState& state) -> Verdict {
    if (!state.next_acceptors.empty() || !holds_store(state.acceptors, old.store))
      return {Verdict::Kind::already_there, {}, ""};
    FleetState next = state;
    next.next_acceptors = state.acceptors;
    for (auto& entry : next.next_acceptors)
      if (entry.store == old.store)
        entry = fresh;
    return {Verdict::Kind::apply, next, ""};
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
      return [mark, self, term = node.won_term](const FleetState& state) -> Verdict {
        if (state.term != term || state.master != self)
          return {Verdict::Kind::refuse, {}, "master no more"};
        return append(state, mark, term);
      };
    case OrderKind::replace_member:
      return replacement();
    case OrderKind::finish_change:
      return finish_joint_change;
  }
  return nullptr;
}

// What an order's change keeps of the moment it was started: with it and the value found, what it proposes is known.
std::uint64_t RegisterWorld::print_arguments(std::size_t order) const {
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
  node.arguments.add(order).add(static_cast<std::uint64_t>(node.won_term)).add(print_arguments(order));
  node.machine.change(
      std::move(change),
      [order](const ChangeEnd& end) {
        order_ends.push_back({order, end});
      },
      node.clock, order_patience);
  after_proposer(index);
}

// --- invariants -------------------------------------------------------------------------------------

void RegisterWorld::fail(const std::string& reason) {
  if (violation_.empty())
    violation_ = reason;
}

void RegisterWorld::observe_orders(std::size_t proposer) {
  auto ends = std::exchange(order_ends, {});
  if (ends.empty())
    return;
  auto history = std::make_shared<History>(*history_);
  for (const auto& [order, end] : ends) {
    ended_.insert(order);
    bool is_committed = end.kind == ChangeEnd::Kind::committed;
    bool is_refused = end.kind == ChangeEnd::Kind::refused || end.kind == ChangeEnd::Kind::no_majority;
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
  bool is_news = state.version != node.seen_version;
  node.seen_version = state.version;
  node.seen_term = state.term;
  if (node.read_floor >= 0 && node.machine.confirmed_at() == node.read_begun) {
    if (state.version < node.read_floor)
      fail("a confirmed read at " + name + " shows version " + std::to_string(state.version) + ", but " +
           std::to_string(node.read_floor) + " was acknowledged before it began");
    node.read_floor = -1;
  }
  if (!is_news)
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
      auto kind = scenario_->orders[static_cast<std::size_t>(order)];
      bool has_mark = kind == OrderKind::append || kind == OrderKind::leader_append;
      std::string mark = mark_of(static_cast<std::size_t>(order));
      if (found.version < version || (has_mark && !holds_mark(found, mark)))
        fail(mark + ", acknowledged at version " + std::to_string(version) +
             ", is lost to a majority that holds version " + std::to_string(found.version));
    }
  }
}

std::string RegisterWorld::check_majorities() const {
  const FleetState& newest = history_->newest;
  std::size_t count = acceptors_.size();
  for (std::size_t subset = 1; subset < (std::size_t{1} << count); ++subset) {
    std::vector<std::size_t> living;
    std::set<StoreId> stores;
    for (std::size_t i = 0; i < count; ++i)
      if ((subset >> i & 1) != 0) {
        living.push_back(i);
        stores.insert(acceptors_[i]->machine.store());
      }
    bool is_enough = has_majority(newest.acceptors, newest.next_acceptors, stores);
    for (std::size_t index : living) {  // a change of the set that was begun needs a majority of both its sets
      const FleetState& held = acceptors_[index]->machine.state();
      is_enough = is_enough && (held.acceptors.empty() || has_majority(held.acceptors, held.next_acceptors, stores));
    }
    if (!is_enough)
      continue;
    std::string broken = check_majority(living);
    if (!broken.empty())
      return broken;
  }
  return "";
}

std::string RegisterWorld::check_majority(const std::vector<std::size_t>& living) const {
  Address judge_address{"judge"};
  std::map<Address, RegisterAcceptor> machines;
  std::string names;
  for (std::size_t index : living) {
    RegisterAcceptor machine(acceptors_[index]->machine.store());
    machine.restore({acceptors_[index]->disk});
    machines.emplace(acceptor_address(index), std::move(machine));
    names += " " + acceptor_address(index).text;
  }
  RegisterProposer judge(judge_address, RandomGenerator(1));
  judge.learn_acceptors(history_->newest.acceptors);
  std::optional<ChangeEnd> end;
  TimePoint now{0};
  std::string mark = mark_of(scenario_->orders.size());
  judge.change([mark](const FleetState& state) { return append(state, mark, 0); },
               [&end](const ChangeEnd& ended) { end = ended; }, now, order_patience);
  for (int round = 0; round < probe_rounds && !end; ++round) {
    for (auto asks = judge.drain_outbound(); !asks.empty() && !end; asks = judge.drain_outbound())
      for (const auto& ask : asks) {
        auto target = machines.find(ask.to);
        if (target == machines.end())
          continue;
        target->second.on_message(judge_address, ask.message, acceptor_clock);
        for (const auto& write : target->second.drain_writes())
          target->second.synced(write.token);
        for (const auto& answer : target->second.drain_outbound())
          judge.on_message(ask.to, answer.message, now);
      }
    now = now + past_any_phase;
    judge.on_timer(now);
  }
  if (!end || end->kind != ChangeEnd::Kind::committed)
    return "the majority" + names + " can't commit any more";
  for (const auto& [order, version] : history_->acknowledged) {
    auto kind = scenario_->orders[static_cast<std::size_t>(order)];
    bool has_mark = kind == OrderKind::append || kind == OrderKind::leader_append;
    std::string lost = mark_of(static_cast<std::size_t>(order));
    if (end->state.version <= version || (has_mark && !holds_mark(end->state, lost)))
      return lost + " was acknowledged, and the majority" + names + " has lost it";
  }
  return "";
}

// --- fingerprints -----------------------------------------------------------------------------------

// With one set of acceptors throughout, they differ only by their names: any two may be exchanged.
bool RegisterWorld::is_symmetric() const {
  return scenario_->spares == 0 && std::none_of(scenario_->orders.begin(), scenario_->orders.end(), [](OrderKind kind) {
           return kind == OrderKind::replace_member || kind == OrderKind::finish_change;
         });
}

std::uint64_t RegisterWorld::print_of(const Letter& letter) const {
  std::size_t proposer = std::max(letter.from, letter.to) - acceptor_count();
  AskClass ask = StateInspector::ask_class(proposers_[proposer]->machine, ask_of(*letter.message));
  return Fingerprint().add(letter.print).add(proposer).add(static_cast<std::uint64_t>(ask)).value();
}

void RegisterWorld::drop_messages_without_effect() {
  auto is_without_effect = [&](const Letter& letter) {
    if (letter.to < acceptor_count()) {
      const StoreId* store = addressed_store(*letter.message);
      if (store != nullptr)
        return *store != acceptors_[letter.to]->machine.store();
      const RegisterProposer& asker = proposers_[letter.from - acceptor_count()]->machine;
      return StateInspector::ask_class(asker, ask_of(*letter.message)) == AskClass::stale;
    }
    const RegisterProposer& asker = proposers_[letter.to - acceptor_count()]->machine;
    return StateInspector::ask_class(asker, ask_of(*letter.message)) == AskClass::stale &&
           !asks_for_more(*letter.message);
  };
  letters_.erase(std::remove_if(letters_.begin(), letters_.end(), is_without_effect), letters_.end());
}

std::uint64_t RegisterWorld::fingerprint() const {
  std::vector<std::vector<std::uint64_t>> mail(acceptors_.size());
  for (const auto& letter : letters_) {
    bool is_ask = letter.to < acceptor_count();
    mail[is_ask ? letter.to : letter.from].push_back(print_of(letter));
  }
  std::vector<std::uint64_t> parts;
  for (std::size_t i = 0; i < acceptors_.size(); ++i) {
    Fingerprint part;
    part.add(acceptors_[i]->print).add(static_cast<std::uint64_t>(acceptors_[i]->incarnation));
    for (const auto& proposer : proposers_)
      part.add(proposer->print.per_acceptor[i]);
    std::sort(mail[i].begin(), mail[i].end());
    for (std::uint64_t letter : mail[i])
      part.add(letter);
    parts.push_back(part.value());
  }
  if (is_symmetric())
    std::sort(parts.begin(), parts.end());
  Fingerprint whole;
  for (std::uint64_t part : parts)
    whole.add(part);
  for (const auto& proposer : proposers_) {
    whole.add(proposer->print.own).add(proposer->arguments.value()).add(static_cast<std::uint64_t>(proposer->won_term));
    whole.add(static_cast<std::uint64_t>(proposer->seen_version)).add(static_cast<std::uint64_t>(proposer->seen_term));
    whole.add(static_cast<std::uint64_t>(proposer->read_floor)).add(static_cast<std::uint64_t>(proposer->incarnation));
  }
  for (const auto* orders : {&started_, &ended_}) {
    whole.add(orders->size());
    for (std::size_t order : *orders)
      whole.add(order);
  }
  for (int left : {left_.timers, left_.polls, left_.duplicates, left_.restarts, left_.wipes, left_.proposer_restarts,
                   left_.give_ups})
    whole.add(static_cast<std::uint64_t>(left));
  for (const auto& [version, print] : history_->values)
    whole.add(static_cast<std::uint64_t>(version)).add(print);
  for (const auto& [order, version] : history_->acknowledged)
    whole.add(static_cast<std::uint64_t>(order)).add(static_cast<std::uint64_t>(version));
  for (int order : history_->refused)
    whole.add(static_cast<std::uint64_t>(order));
  whole.add(static_cast<std::uint64_t>(history_->newest.version));
  return whole.value();
}

}  // namespace emberdale
