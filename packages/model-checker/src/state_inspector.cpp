#include "state_inspector.hpp"

#include "emberdale/avro_codec.hpp"

namespace emberdale {
namespace {
constexpr std::int64_t far_off = 1000000;  // a deadline so far ahead is reached only when the order is given up

void add_set(Fingerprint& print, const std::vector<AcceptorEntry>& set) {
  print.add(set.size());
  for (const auto& entry : set)
    print.add(entry.store.text).add(entry.address.text);
}
}  // namespace

ProposerFingerprint StateInspector::print(const RegisterProposer& proposer, TimePoint clock, std::size_t acceptors,
                                          const std::function<std::size_t(const StoreId&)>& place, bool is_symmetric) {
  Fingerprint own;
  std::vector<Fingerprint> each(acceptors);
  // A store that is named by its acceptor's index stands in that acceptor's part; the life of the store is its suffix.
  auto incarnation_of = [](const StoreId& store) {
    return store.text.substr(store.text.find('-'));
  };
  if (!is_symmetric) {
    add_set(own, proposer.acceptors_);
    add_set(own, proposer.next_acceptors_);
  }
  own.add(proposer.highest_seen_).add(proposer.has_state_ ? 1 : 0).add(proposer.state_ballot_);
  own.add(proposer.state_bytes_.data).add(proposer.queued_changes_.size());
  own.add(static_cast<std::uint64_t>(proposer.split_reads_in_a_row_));
  own.add(proposer.current_ ? 1 : 0);
  if (proposer.current_) {
    const auto& round = *proposer.current_;
    std::int64_t left = (round.change.deadline - clock).value;
    own.add(static_cast<std::uint64_t>(round.phase))
        .add(round.ballot)
        .add(round.highest_ballot)
        .add(round.found_value.data);
    // What is proposed follows from the value found and the job.
    for (const auto& entry : round.change.founding_set)
      own.add(entry.store.text);
    own.add(round.is_carrying_found ? 1 : 0).add(round.change.was_accept_sent ? 1 : 0).add(round.change.done ? 1 : 0);
    own.add(static_cast<std::uint64_t>(std::min(left, far_off))).add(static_cast<std::uint64_t>(round.result.kind));
    for (const auto& ballot : round.seen_ballots)
      own.add(ballot);
    for (const auto& store : round.granted)
      each[place(store)].add(1).add(incarnation_of(store));
    // Which base a store holds decides about deltas alone, and the values here are far too small for these.
    for (const auto& store : round.recipients)
      each[place(store)].add(3).add(incarnation_of(store));
  }
  own.add(proposer.read_ ? 1 : 0);
  if (proposer.read_) {
    const auto& read = *proposer.read_;
    own.add(read.highest_ballot).add(read.started_at == proposer.confirmed_at_ ? 1 : 0);
    own.add(read.request_id == proposer.confirmed_read_ ? 1 : 0).add(read.is_finished ? 1 : 0);
    if (!is_symmetric) {
      add_set(own, read.acceptors);
      add_set(own, read.next_acceptors);
    }
    for (const auto& [store, ballot] : read.ballots)
      each[place(store)].add(2).add(incarnation_of(store)).add(ballot);
  }
  own.add(proposer.wants_full_value_ ? 1 : 0);
  for (const auto& [ballot, state] : proposer.read_states_)
    own.add(ballot).add(encode_state(state));
  ProposerFingerprint result;
  result.own = own.value();
  for (const auto& print : each)
    result.per_acceptor.push_back(print.value());
  return result;
}

std::uint64_t StateInspector::print(const RegisterAcceptor& acceptor) {
  Fingerprint print;
  for (const auto* record : {&acceptor.latest_, &acceptor.synced_})
    print.add(record->promised).add(record->accepted).add(record->value.data);
  print.add(acceptor.previous_ballot_);  // a read's answer may be a delta from it
  for (const auto& write : acceptor.pending_writes_)
    print.add(write.after.promised)
        .add(write.after.accepted)
        .add(write.response.to.text)
        .add(write.response.message.index());
  return print.value();
}

RequestClass StateInspector::request_class(const RegisterProposer& proposer, std::int64_t ask) {
  if (proposer.current_ && proposer.current_->request_id == ask)
    return RequestClass::round;
  return proposer.read_ && proposer.read_->request_id == ask ? RequestClass::read : RequestClass::stale;
}

}  // namespace emberdale
