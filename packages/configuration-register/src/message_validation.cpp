#include "emberdale/message_validation.hpp"

#include <algorithm>

#include "emberdale/avro_codec.hpp"

namespace emberdale {
namespace {

constexpr std::size_t max_reported = 1024;  // peers and reasons that are reported; all are counted
constexpr std::size_t proposer_name_bound = 256;
constexpr std::size_t detail_bound = 200;

bool is_sound_set(const std::vector<AcceptorEntry>& set) {
  std::set<StoreId> stores;
  for (const auto& entry : set)
    if (entry.store.empty() || entry.address.empty() || !stores.insert(entry.store).second)
      return false;
  return true;
}

// Names in a detail are the sender's: only so much of them is reported, and nothing that breaks a line.
std::string printable(std::string detail) {
  detail.resize(std::min(detail.size(), detail_bound));
  for (char& letter : detail)
    if (letter < ' ' || letter > '~')
      letter = '?';
  return detail;
}

// Why no register can hold this under the ballot; empty if it can.
std::string implausibility(const FleetState& state, const Ballot& ballot) {
  if (state.fleet_name.empty())
    return "it names no fleet";
  if (state.acceptors.empty() || !is_sound_set(state.acceptors) || !is_sound_set(state.next_acceptors))
    return "its set of copies is not sound";
  if (state.version < 0 || state.version / proposers_per_number > ballot.number)
    return "version " + std::to_string(state.version) + " is above any that was given by ballot " +
           std::to_string(ballot.number);
  if (state.term < 0 || state.term > state.version)  // each term is one change, and so a version
    return "term " + std::to_string(state.term) + " is above any that was given by version " +
           std::to_string(state.version);
  if (state.minimum_version.term > state.term)
    return "it holds maps of term " + std::to_string(state.minimum_version.term) + " in term " +
           std::to_string(state.term);
  return "";
}

}  // namespace

const char* reason_name(InvalidInput reason) {
  switch (reason) {
    case InvalidInput::ballot_out_of_range:
      return "ballot_out_of_range";
    case InvalidInput::ballot_of_another:
      return "ballot_of_another";
    case InvalidInput::ballot_too_far:
      return "ballot_too_far";
    case InvalidInput::value_unreadable:
      return "value_unreadable";
    case InvalidInput::value_of_other_fleet:
      return "value_of_other_fleet";
    case InvalidInput::value_implausible:
      return "value_implausible";
    case InvalidInput::sender_unknown:
      return "sender_unknown";
    case InvalidInput::unexpected_response:
      return "not_as_asked";
  }
  return "unknown";
}

std::optional<InvalidInput> check_ballot(const Ballot& ballot) {
  bool is_sound = ballot.number >= 1 && ballot.number <= highest_ballot && !ballot.proposer.empty() &&
                  ballot.proposer.text.size() <= proposer_name_bound;
  return is_sound ? std::nullopt : std::optional(InvalidInput::ballot_out_of_range);
}

std::optional<InvalidInput> check_ballot_step(const Ballot& ballot, const Ballot& highest) {
  if (auto fault = check_ballot(ballot))
    return fault;
  bool is_too_far = highest != Ballot{} && ballot.number - highest.number > highest_ballot_step;
  return is_too_far ? std::optional(InvalidInput::ballot_too_far) : std::nullopt;
}

CheckedValue check_value(const Bytes& value, const Ballot& ballot, const std::string& fleet) {
  auto state = decode_state(value.data);
  if (!state)
    return {InvalidInput::value_unreadable, state.reason, {}};
  if (!fleet.empty() && state->fleet_name != fleet)
    return {InvalidInput::value_of_other_fleet, "it is of '" + state->fleet_name + "', not '" + fleet + "'", {}};
  std::string reason = implausibility(*state, ballot);
  if (!reason.empty())
    return {InvalidInput::value_implausible, reason, {}};
  return {std::nullopt, "", std::move(*state)};
}

void RefusedMessages::add(const Address& from, InvalidInput reason, const std::string& detail) {
  ++counts_[reason];
  ++total_;
  if (reported_.size() < max_reported && reported_.insert({from, reason}).second)
    news_.push_back({from, reason, printable(detail)});
}

}  // namespace emberdale
