// Checks of what peers send to the register's copies and proposers. A message that fails one is refused: it is counted
// by reason, told once for each peer and reason, and changes nothing.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "emberdale/messages.hpp"

namespace emberdale {

enum class InvalidInput {
  ballot_out_of_range,   // no number that a proposer gives, or no proposer
  ballot_of_another,     // a Prepare whose ballot names another proposer than its sender
  ballot_too_far,        // so far above the highest known that none can have given it
  value_unreadable,      // cut short, spoiled, or written by a newer version
  value_of_other_fleet,  // of another register
  value_implausible,     // a term or version above any that was given, or no sound set of copies
  sender_unknown,        // from a store or address that was not asked
  unexpected_response,   // an answer that does not fit what was asked
};
// Example: reason_name(InvalidInput::value_unreadable) == "value_unreadable"
const char* reason_name(InvalidInput reason);

// A ballot number of no proposer: one more could not be counted up for ever after.
constexpr std::int64_t highest_ballot = std::int64_t{1} << 62;
// Proposers count one up from the highest that they saw. A store that was away for a year at a thousand ballots a
// second lacks fewer than this.
constexpr std::int64_t highest_ballot_step = std::int64_t{1} << 40;
// Proposers that may use one ballot number: each of them can add one version to the register with it.
constexpr std::int64_t proposers_per_number = 4096;

// Whether the ballot is one that a proposer gives. Example: !check_ballot(Ballot{7, Address{"a"}})
std::optional<InvalidInput> check_ballot(const Ballot& ballot);
// ... and not too far above the highest one known; a blank one sets no bound.
// Example: !check_ballot_step(Ballot{7, Address{"a"}}, highest_seen)
std::optional<InvalidInput> check_ballot_step(const Ballot& ballot, const Ballot& highest);

// The register's value as a message carried it, or why it is refused.
struct CheckedValue {
  std::optional<InvalidInput> fault;
  std::string detail;
  FleetState state;
};
// Reads the value that was proposed under the ballot. `fleet`: the register's own; empty if none is known yet.
// Example: auto checked = check_value(accept.value, accept.ballot, state.fleet); if (checked.fault) refuse(..);
CheckedValue check_value(const Bytes& value, const Ballot& ballot, const std::string& fleet);

// The first message of its peer and reason that was refused.
struct RefusedMessage {
  Address from;
  InvalidInput reason;
  std::string detail;
};

// What was refused here. Example:
//   refusals.add(from, *fault, ""); for (auto& refused : refusals.drain_updates()) journal.append(..);
class RefusedMessages {
 public:
  void add(const Address& from, InvalidInput reason, const std::string& detail);
  std::vector<RefusedMessage> drain_updates() { return std::exchange(news_, {}); }
  const std::map<InvalidInput, std::int64_t>& counts() const { return counts_; }
  std::int64_t total() const { return total_; }

 private:
  std::map<InvalidInput, std::int64_t> counts_;
  std::int64_t total_ = 0;
  std::set<std::pair<Address, InvalidInput>> reported_;
  std::vector<RefusedMessage> news_;
};

}  // namespace emberdale
