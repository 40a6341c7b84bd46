// One copy of the register: an acceptor of two rounds, without I/O, clock or threads.
#pragma once
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "emberdale/message_validation.hpp"
#include "emberdale/messages.hpp"

namespace emberdale {

// What to write before any answer may leave: the shell writes `record`, syncs, then calls synced(token).
struct LogWrite {
  std::int64_t token = 0;
  std::string record;
};

// Example:
//   RegisterAcceptor acceptor(StoreId{"s1"}); acceptor.restore(records_from_disk);
//   acceptor.on_message(from, message, now);   // fills `writes` and `out`
//   for (auto& wish : acceptor.drain_writes()) { disk.append(wish.record); disk.sync(); acceptor.synced(wish.token); }
class RegisterAcceptor {
 public:
  explicit RegisterAcceptor(StoreId store) : store_(std::move(store)) {}

  // Replays records of the log in order. Refused with a reason, and nothing is taken over, if one can't be read, was
  // written by a newer version or holds another register's value. Example: acceptor.restore(opening.records)
  Outcome<bool> restore(const std::vector<std::string>& records);

  // Takes the register's messages; others are left alone (returns false).
  bool on_message(const Address& from, const Message& message, TimePoint now);

  // The write of that token (and all before it) is on disk. Example: acceptor.synced(3)
  void synced(std::int64_t token);
  // The write of that token was refused by the disk: its answer is never sent.
  void refused(std::int64_t token);

  std::vector<LogWrite> drain_writes();
  std::vector<OutboundMessage> drain_outbound();

  // The whole state as one record, for a snapshot. Example: log.snapshot(acceptor.picture())
  std::string picture() const;

  bool is_blank() const { return synced_.accepted == Ballot{}; }
  const StoreId& store() const { return store_; }
  const FleetState& state() const { return state_; }  // of the synced value
  const Ballot& accepted() const { return synced_.accepted; }
  // Writes that wait for the disk, and asks that were left unanswered since too many did.
  std::size_t unsynced() const { return held_.size(); }
  std::int64_t dropped() const { return dropped_; }
  const RefusedMessages& refusals() const { return refusals_; }
  RefusedMessages& refusals() { return refusals_; }  // bad input from peers

 private:
  friend class StateInspector;  // the model checker fingerprints the whole state
  struct Held {
    std::int64_t token;
    AcceptorRecord after;
    std::optional<FleetState> state;  // of the value, if it is a new one
    OutboundMessage answer;
    std::size_t size = 0;  // of its record
  };
  bool is_backlogged();
  void on_prepare(const Address& from, const Prepare& prepare);
  void on_accept(const Address& from, const Accept& accept);
  void on_read(const Address& from, const ReadRequest& read, TimePoint now);
  // The value that an Accept carries or describes; nothing if its base is not held here.
  std::optional<Bytes> whole_value(const Accept& accept) const;
  // Puts the value into the answer: the delta alone if the asker holds the value before it.
  void add_value(const Ballot& known, ReadResponse& response);
  void on_bootstrap_request(const Address& from, const BootstrapRequest& bootstrap_request);
  // `state`: the decoded value, where the record brings a new one; else the record names the value it stands on.
  void write(AcceptorRecord after, std::optional<FleetState> state, OutboundMessage answer);

  StoreId store_;
  AcceptorRecord ahead_;   // with what is still being written
  AcceptorRecord synced_;  // what is on disk: reads answer from here
  FleetState state_;
  Ballot previous_ballot_;  // the value before the synced one, which most askers hold
  Bytes previous_value_;
  std::optional<Bytes> delta_, digest_;  // from the previous value to the synced one, once asked for
  std::deque<Held> held_;
  std::int64_t last_token_ = 0, dropped_ = 0;
  std::size_t unsynced_bytes_ = 0;
  std::vector<LogWrite> writes_;
  std::vector<OutboundMessage> out_;
  std::map<Address, TimePoint> heard_;
  std::optional<TimePoint> awake_since_;
  RefusedMessages refusals_;
};

}  // namespace emberdale
