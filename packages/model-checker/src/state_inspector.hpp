// Reads the private state of the register's machines, to fingerprint it and to drop messages without effect.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "emberdale/fingerprint.hpp"
#include "emberdale/register_acceptor.hpp"
#include "emberdale/register_proposer.hpp"

namespace emberdale {

// Of which ask of a proposer a message is: all that matters of its number.
enum class RequestClass { stale, round, read };

// A proposer's state, split so that what names a store is kept with that store's acceptor.
struct ProposerFingerprint {
  std::uint64_t own = 0;
  std::vector<std::uint64_t> per_acceptor;
};

class StateInspector {
 public:
  // `place` gives the index of the acceptor that has, or once had, that store. `is_symmetric`: the sets of acceptors
  // are the same in every value, and are left out.
  static ProposerFingerprint print(const RegisterProposer& proposer, TimePoint clock, std::size_t acceptors,
                                   const std::function<std::size_t(const StoreId&)>& place, bool is_symmetric);
  static std::uint64_t print(const RegisterAcceptor& acceptor);
  static RequestClass request_class(const RegisterProposer& proposer, std::int64_t ask);
  static bool is_round_open(const RegisterProposer& proposer) { return proposer.current_.has_value(); }
  static const Bytes& value(const RegisterAcceptor& acceptor) { return acceptor.synced_.value; }
};

}  // namespace emberdale
