// A replica of the register: the acceptor of CASPaxos (Rystsov, "CASPaxos: Replicated State Machines without logs").
//
// A state machine without I/O, clock or threads: the owner writes what drain_writes() gives to its log, syncs, calls
// synced(), and then sends what drain_outbound() gives. Not safe for use by several threads at once.
#pragma once
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "emberdale/message_validation.hpp"
#include "emberdale/messages.hpp"

namespace emberdale {

// A record that has to be on disk before the response that waits for it is sent.
struct LogWrite {
  std::int64_t token = 0;
  std::string record;
};

// Example:
//   RegisterAcceptor acceptor(StoreId{"s1"});
//   acceptor.restore(records_from_disk);
//   acceptor.on_message(from, message, now);
//   for (auto& write : acceptor.drain_writes()) {
//     log.append({write.record});
//     log.sync();
//     acceptor.synced(write.token);
//   }
//   for (auto& outbound : acceptor.drain_outbound())
//     send(outbound);
class RegisterAcceptor {
 public:
  explicit RegisterAcceptor(StoreId store) : store_(std::move(store)) {}

  // Replays records of the log in order. Fails, and changes nothing, if one can't be read, was written by a newer
  // version, or holds another register's value.
  Outcome<bool> restore(const std::vector<std::string>& records);

  // Handles the requests of proposers and readers; false if the message is another one.
  bool on_message(const Address& from, const Message& message, TimePoint now);

  // The write of that token, and all before it, are on disk: their responses may be sent.
  void synced(std::int64_t token);
  // The disk refused the write of that token: neither it nor any write after it is ever answered.
  void refused(std::int64_t token);

  // The records to write, in order.
  std::vector<LogWrite> drain_writes();
  // The messages to send, in order.
  std::vector<OutboundMessage> drain_outbound();

  // The synced state as one record, for a snapshot of the log.
  std::string snapshot() const;

  bool is_blank() const { return synced_.accepted == Ballot{}; }
  const StoreId& store() const { return store_; }
  // The synced value, and its ballot.
  const FleetState& state() const { return state_; }
  const Ballot& accepted() const { return synced_.accepted; }
  // Writes that wait for the disk.
  std::size_t unsynced() const { return pending_writes_.size(); }
  // Requests that were dropped because too many writes waited.
  std::int64_t dropped() const { return dropped_; }
  // Messages of peers that were refused as invalid.
  const RefusedMessages& refusals() const { return refusals_; }
  RefusedMessages& refusals() { return refusals_; }

 private:
  friend class StateInspector;  // the model checker fingerprints the whole state

  // A record on its way to disk, with the response that waits for it.
  struct PendingWrite {
    std::int64_t token;
    AcceptorRecord after;
    std::optional<FleetState> state;  // the decoded value, if it is a new one
    OutboundMessage response;
    std::size_t size = 0;  // of the encoded record, in bytes
  };

  // Handlers of messages; the generic one is for messages that are not this class's.
  template <class Other>
  bool handle(const Address&, const Other&, TimePoint) {
    return false;
  }
  bool handle(const Address& from, const Prepare& prepare, TimePoint now);
  bool handle(const Address& from, const Accept& accept, TimePoint now);
  bool handle(const Address& from, const ReadRequest& read, TimePoint now);
  bool handle(const Address& from, const BootstrapRequest& request, TimePoint now);

  void on_prepare(const Address& from, const Prepare& prepare);
  void on_accept(const Address& from, const Accept& accept);
  void on_read(const Address& from, const ReadRequest& read, TimePoint now);
  void on_bootstrap_request(const Address& from, const BootstrapRequest& request);
  // Whether too many writes wait for one more; counts the request as dropped.
  bool is_backlogged();
  // The value that an Accept carries or describes; nothing if the base of its delta is not held here.
  std::optional<Bytes> decode_value(const Accept& accept) const;
  // Puts the value into the response: as a delta if the reader holds the value before it.
  void add_value(const Ballot& known, ReadResponse& response);
  // Queues the record and its response. `state` is the decoded value where the record brings a new one; otherwise the
  // record names the ballot of the value that it stands on.
  void write(AcceptorRecord after, std::optional<FleetState> state, OutboundMessage response);

  StoreId store_;
  AcceptorRecord latest_;   // with what is still being written; proposers are answered from it
  AcceptorRecord synced_;   // what is on disk; readers are answered from it
  FleetState state_;        // decoded synced_.value
  Ballot previous_ballot_;  // of the value before the synced one, which most readers hold
  Bytes previous_value_;
  std::optional<Bytes> delta_;               // from the previous value to the synced one, made when first needed
  std::optional<Bytes> digest_;              // SHA-256 of the synced value, made with the delta
  std::deque<PendingWrite> pending_writes_;  // by token
  std::int64_t last_token_ = 0;
  std::int64_t dropped_ = 0;
  std::size_t unsynced_bytes_ = 0;  // sum of the pending records' sizes
  std::vector<LogWrite> writes_;
  std::vector<OutboundMessage> out_;
  std::map<Address, TimePoint> last_heard_;  // of each control daemon that has read here
  std::optional<TimePoint> listening_since_;
  RefusedMessages refusals_;
};

}  // namespace emberdale
