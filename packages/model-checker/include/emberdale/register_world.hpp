// A small world of the configuration register: real acceptors and proposers, their disks and the messages in flight.
// One step is one choice: a delivery, a timer, a crash. Worlds are copied cheaply: machines are shared until they act.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "emberdale/register_acceptor.hpp"
#include "emberdale/register_proposer.hpp"

namespace emberdale {

// What an order does to the register's state.
enum class OrderKind {
  append,          // adds its own mark
  claim_term,      // becomes master of the term after the one its proposer knows
  leader_append,   // adds its own mark while its proposer leads the term that it won
  replace_member,  // begins a joint change: a wiped store is readmitted, else the last member gives way to a spare
  finish_change,   // ends a joint change that is under way
  found,           // founds the register on the stores of its founding set
};

// A fault of the machines themselves, planted by the world between them, to show that the checker finds each.
enum class InjectedFault {
  none,
  forgets_promise,    // an acceptor's disk keeps no promise over a restart
  old_majority_only,  // votes of stores outside the old set are counted unasked
  keeps_wiped_store,  // a wiped store comes back under its old identity
};
std::optional<InjectedFault> injected_fault(const std::string& name);

// How often each kind of event may come about on one path: with it, the space of states is finite.
struct EventBudget {
  int timers = 0, polls = 0, duplicates = 0, restarts = 0, wipes = 0, proposer_restarts = 0, give_ups = 0;
};

struct RegisterScenario {
  int members = 3, spares = 0, proposers = 2;
  std::vector<OrderKind> orders{OrderKind::append};
  std::vector<int> placed_at;  // proposer of each order; empty: in turn
  // Not empty: all stores are blank at the start, and order i is to found the register on the stores of these members,
  // if it is of that kind. The others learn the set from whichever store holds a value.
  std::vector<std::vector<int>> founding_sets;
  bool is_in_sequence = false;  // each order starts once the one before it has ended
  // A proposer's requests reach some acceptors and are answered at once, or are lost: far fewer states, so that
  // longer paths fit.
  bool is_round_atomic = false;
  bool is_sync_separate = false;  // a write reaches the disk in a step of its own
  EventBudget budget;
  InjectedFault fault = InjectedFault::none;
};

class RegisterWorld {
 public:
  enum class ActionKind {
    exchange,
    deliver,
    duplicate,
    start_order,
    fire_timer,
    poll,
    sync,
    restart,
    wipe,
    restart_proposer,
    give_up
  };
  struct Action {
    ActionKind kind;
    std::size_t subject;        // index of the message, order, proposer or acceptor; for an exchange, the proposer's
    std::uint32_t reached = 0;  // of an exchange: a bit for each acceptor that is reached
  };

  explicit RegisterWorld(const RegisterScenario& scenario);

  // Everything that may happen next, always in the same sequence.
  std::vector<Action> actions() const;
  void step(const Action& action);
  std::string describe(const Action& action) const;

  // The first invariant that this world breaks; empty: none.
  const std::string& violation() const { return violation_; }
  // What the last step brought about, in words: ends of orders, states that were learned.
  const std::vector<std::string>& events() const { return events_; }
  std::uint64_t fingerprint() const;
  // From here on, without more faults, every bare majority commits and still has all that was acknowledged; empty:
  // that is so. Example: world.check_majorities()
  std::string check_majorities() const;

 private:
  struct AcceptorNode;
  struct ProposerNode;
  struct InFlightMessage {
    std::size_t from, to;  // acceptors first, then proposers
    std::shared_ptr<const Message> message;
    std::uint64_t print = 0;  // fingerprint_of_message(): without the request id and the store
  };
  struct Acknowledged {
    int order;
    std::int64_t version;
  };
  // What was ever observed on this path.
  struct History {
    std::map<std::int64_t, std::uint64_t> values;         // by version: learned or chosen
    std::map<std::int64_t, std::string> masters;          // by term
    std::map<std::int64_t, std::string> leading_writers;  // by term: whose writes as a leader were chosen
    std::vector<Acknowledged> acknowledged;
    std::set<int> refused;
    FleetState newest;  // the newest that anyone learned
  };

  bool is_symmetric() const;
  std::size_t acceptor_count() const { return acceptors_.size(); }
  AcceptorNode& change_acceptor(std::size_t index);
  ProposerNode& change_proposer(std::size_t index);
  const Address& address_of(std::size_t machine) const;
  bool may_start(std::size_t order) const;
  std::size_t proposer_of(std::size_t order) const;
  void add_deliveries(std::vector<Action>& list) const;
  void add_exchanges(std::vector<Action>& list) const;
  void deliver(const InFlightMessage& sent);
  void exchange(std::size_t proposer, std::uint32_t reached);
  std::vector<InFlightMessage> take_in_flight(const std::function<bool(const InFlightMessage&)>& is_meant);
  void pass_time(std::size_t proposer, Duration time);
  void poll(std::size_t proposer);
  void start_order(std::size_t order);
  Change change_of(std::size_t order) const;
  std::uint64_t fingerprint_of_arguments(std::size_t order) const;
  Change replacement() const;
  bool is_blank_at_start() const { return !scenario_->founding_sets.empty(); }
  std::vector<AcceptorEntry> founding_set(std::size_t order) const;
  // The replica set that some store's value names; empty while all are blank.
  std::vector<AcceptorEntry> visible_set() const;
  void after_acceptor(std::size_t index);
  void after_proposer(std::size_t index);
  void send(std::size_t from, std::vector<OutboundMessage> outbound_messages);
  bool grant_without_delivery(std::size_t from, const Message& message);
  void sync(std::size_t index);
  void restart(std::size_t index);
  void wipe(std::size_t index);
  void restart_proposer(std::size_t index);
  void drop_messages_without_effect();
  void observe_orders(std::size_t proposer);
  void observe_state(std::size_t proposer);
  void observe_value(const FleetState& state, const std::string& bytes, const std::string& where);
  void observe_chosen(std::size_t acceptor);
  void check_acknowledged();
  bool is_majority(const std::vector<std::size_t>& living) const;
  std::string check_majority(const std::vector<std::size_t>& living) const;
  bool adds_mark(int order) const;
  void fail(const std::string& reason);
  std::uint64_t fingerprint_of(const InFlightMessage& sent) const;

  std::shared_ptr<const RegisterScenario> scenario_;
  std::vector<std::shared_ptr<AcceptorNode>> acceptors_;  // shared by copies of a world: change_acceptor() parts them
  std::vector<std::shared_ptr<ProposerNode>> proposers_;
  std::vector<InFlightMessage> in_flight_;
  std::set<std::size_t> started_, ended_;
  EventBudget budget_left_;
  std::shared_ptr<const History> history_;
  std::string violation_;
  std::vector<std::string> events_;
};

}  // namespace emberdale
