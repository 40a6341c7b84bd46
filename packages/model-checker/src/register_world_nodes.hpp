// What the parts of RegisterWorld share: its machines, their names and the times that its steps pass.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "emberdale/fingerprint.hpp"
#include "emberdale/register_world.hpp"
#include "state_inspector.hpp"

namespace emberdale {

inline constexpr TimePoint acceptor_clock{0};    // acceptors tell the time only for heartbeats, which are not modelled
inline constexpr Duration past_any_phase{3000};  // further ahead than any phase or pause of a round lasts
inline constexpr Duration order_timeout{1000000000};  // further ahead than all timers of a path together
inline constexpr Duration past_any_order_timeout{2000000000};
inline constexpr Duration past_any_read{2500};  // from here on a reader asks every copy that it ever heard of
inline constexpr int probe_rounds = 30;

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
  ProposerFingerprint print{};
};

// How an order ended, as the callback of its proposer was told.
struct OrderEnd {
  std::size_t order;
  ChangeResult end;
};
// Where the callbacks of the machine that acts now leave their ends: a copied machine keeps no pointer to its world.
std::vector<OrderEnd>& pending_order_ends();

// --- names ---
std::string mark_of(std::size_t order);
std::size_t order_of(const std::string& mark);
StoreId store_of(std::size_t acceptor, int incarnation);
std::size_t acceptor_of(const StoreId& store);
// The part of a store's id that tells it from earlier stores of the same acceptor.
std::string incarnation_of(const StoreId& store);
Address acceptor_address(std::size_t index);
Address proposer_address(std::size_t index);

// --- states and the changes that orders make ---
bool holds_mark(const FleetState& state, const std::string& mark);
bool holds_store(const std::vector<AcceptorEntry>& set, const StoreId& store);
ChangeDecision append(const FleetState& state, const std::string& mark, std::int64_t term);
ChangeDecision claim(const FleetState& state, std::int64_t expected, const Address& self);
ChangeDecision finish_joint_change(const FleetState& state);
ChangeDecision found(const FleetState& state, const std::vector<AcceptorEntry>& set);

// --- messages ---
std::string show(const Message& message);
// What matters of a message beside its request id and the acceptor at one end of it.
std::uint64_t fingerprint_of_message(const Message& message);
// 0 for a message that carries no request id.
std::int64_t request_id_of(const Message& message);
// The store that a prepare or an accept is meant for; null for other messages.
const StoreId* addressed_store(const Message& message);
// Whether a response asks for more, also when the round it belongs to is over.
bool needs_more(const Message& message);

}  // namespace emberdale
