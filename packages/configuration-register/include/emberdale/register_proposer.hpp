// Changes and reads of the register: the proposer of CASPaxos (Rystsov, "CASPaxos: Replicated State Machines without
// logs"), two rounds at a majority of the replicas, from any control daemon.
//
// A state machine without I/O, clock or threads: the owner brings messages and the time, and sends what
// drain_outbound() gives. Not safe for use by several threads at once. All times are in milliseconds.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "emberdale/message_validation.hpp"
#include "emberdale/messages.hpp"

namespace emberdale {

// What a change makes of the state it finds.
struct ChangeDecision {
  enum class Kind {
    apply,         // the state becomes `state`
    refuse,        // nothing changes, for `reason`
    already_there  // the change is in the state already
  };
  Kind kind = Kind::refuse;
  FleetState state;    // for apply
  std::string reason;  // for refuse
};
// The function of a compare-and-set ("change function" of CASPaxos). It may be called several times, on other states.
using Change = std::function<ChangeDecision(const FleetState&)>;

// How a change ended.
struct ChangeResult {
  enum class Kind {
    committed,    // chosen by a majority, or already there
    refused,      // certain: it is not in the register and never will be
    no_majority,  // certain: no Accept was ever sent
    unknown       // it may be in the register or not
  };
  Kind kind = Kind::unknown;
  FleetState state;    // as committed (committed), or as found (refused)
  std::string reason;  // unless committed
};

// Whether the stores that answered are a majority of the replica set, and of the next one while a joint change is under
// way (`next` is not empty).
bool has_majority(const std::vector<AcceptorEntry>& acceptors, const std::vector<AcceptorEntry>& next,
                  const std::set<StoreId>& answered);

// Whether both sets name the same replicas at the same addresses, in whatever order.
bool is_same_set(const std::vector<AcceptorEntry>& a, const std::vector<AcceptorEntry>& b);

// Example:
//   RegisterProposer proposer(self, RandomGenerator(1));
//   proposer.learn_acceptors(response.acceptors);
//   proposer.change(change, [](const ChangeResult& result) { ... }, now, Duration{3000});
//   proposer.poll(now, role, false);
//   proposer.on_message(from, message, now);
//   proposer.on_timer(now);
//   for (auto& outbound : proposer.drain_outbound())
//     send(outbound);
class RegisterProposer {
 public:
  RegisterProposer(Address self, RandomGenerator random)
      : self_(std::move(self)), random_(random), last_request_id_(first_request_id(random_)) {}

  // The replica set as a peer names it: adopted while none is known; else its addresses are asked as well once the
  // known set has confirmed nothing for a while, since it may have been replaced as a whole.
  void learn_acceptors(const std::vector<AcceptorEntry>& acceptors);

  // Queues a change; one is under way at a time. `done` is called exactly once, also when `timeout` has passed; it may
  // be null.
  void change(Change change, std::function<void(const ChangeResult&)> done, TimePoint now, Duration timeout);

  // Queues the founding of the register: the same two rounds at a majority of these stores, which may all be blank;
  // `change` is called with a state of version 0 if they are. Without a state only; ends as refused if there is one. A
  // majority of the set must be a majority of all that may ever vote on a founding. `done` as above.
  void found(const std::vector<AcceptorEntry>& stores, Change change, std::function<void(const ChangeResult&)> done,
             TimePoint now, Duration timeout);

  // Begins a read in place of the one in flight and returns its number; numbers of one incarnation only grow.
  // `wants_contacts`: also asks when each replica last received a message of each daemon.
  std::int64_t poll(TimePoint now, DaemonRole role, bool wants_contacts);
  // Whether a read is in flight that may yet be answered in time: another would only take its place.
  bool is_reading(TimePoint now) const;

  // Handles the responses of replicas; false if the message is another one.
  bool on_message(const Address& from, const Message& message, TimePoint now);
  // Ends what is overdue. To be called every few tens of milliseconds.
  void on_timer(TimePoint now);
  // The messages to send, in order.
  std::vector<OutboundMessage> drain_outbound();

  bool has_state() const { return has_state_; }
  // The newest state that is known to be chosen; its bytes; and its ballot.
  const FleetState& state() const { return state_; }
  const Bytes& state_bytes() const { return state_bytes_; }
  const Ballot& ballot() const { return state_ballot_; }
  // Start of the read that proved the state to be the newest.
  TimePoint confirmed_at() const { return confirmed_at_; }
  // Number of the read in flight, or of the last one; 0 if there was none.
  std::int64_t last_read() const { return read_ ? read_->request_id : 0; }
  // Number of the newest read that a majority has answered alike. Unlike a time it tells a read that was begun before
  // an event from one that was begun after it within the same millisecond.
  std::int64_t confirmed_read() const { return confirmed_read_; }
  // Start of the newest read that a majority has answered, whether or not they held the same value.
  TimePoint reached_at() const { return reached_at_; }
  const std::vector<AcceptorEntry>& acceptors() const { return acceptors_; }
  // How long each daemon has not been heard by any of a majority of replicas; empty if not known. Under the empty
  // address stands how long all of them have been listening.
  const std::optional<std::map<Address, Duration>>& silences() const { return silences_; }
  // Start of the read that brought the silences.
  TimePoint silences_at() const { return silences_at_; }
  // Changes that are queued or under way.
  std::size_t changes_in_hand() const { return queued_changes_.size() + (current_ ? 1 : 0); }

  // How often something has happened since the start.
  struct Counts {
    std::int64_t rounds = 0;     // first rounds begun
    std::int64_t conflicts = 0;  // responses that a higher ballot stood in the way
    std::int64_t committed = 0;
    std::int64_t unknown = 0;
    std::int64_t repaired = 0;  // stale replicas that a read has repaired
    std::int64_t reads = 0;
    // Of the Accepts that were sent: as deltas, with the whole value, and the bytes of both.
    std::int64_t deltas = 0;
    std::int64_t whole_values = 0;
    std::int64_t value_bytes = 0;
  };
  const Counts& counts() const { return counts_; }
  // Messages of peers that were refused as invalid.
  const RefusedMessages& refusals() const { return refusals_; }
  RefusedMessages& refusals() { return refusals_; }

 private:
  friend class StateInspector;  // the model checker fingerprints the whole state

  struct QueuedChange {
    Change change;
    std::function<void(const ChangeResult&)> done;
    TimePoint deadline;
    bool was_accept_sent = false;               // it may be chosen: past its deadline the outcome is unknown
    std::vector<AcceptorEntry> founding_set{};  // of a founding: the stores that are asked first; else empty
  };

  // The change that is under way: tries of two rounds each, with a higher ballot each time.
  struct Round {
    enum class Phase { backing_off, preparing, accepting };

    QueuedChange change;
    Phase phase = Phase::backing_off;
    std::int64_t request_id = 0;  // of the requests of this phase; responses to others are late
    bool is_founding() const { return !change.founding_set.empty(); }
    Ballot ballot;
    TimePoint phase_end;
    int tries = 0;
    std::set<StoreId> recipients;  // of the requests of this phase: others may not answer
    std::set<StoreId> granted;
    // The highest ballot among the promises of all tries, and its value.
    Ballot highest_ballot;
    FleetState found_state;
    Bytes found_value;
    std::map<StoreId, Ballot> held_ballots;  // what each store that promised holds
    std::set<Ballot> seen_ballots;           // accepted ballots among the promises, and the highest known before
    // The value found is carried through unchanged first; then the change begins anew.
    bool is_carrying_found = false;
    // What the second round carries, and how the change ends if it is chosen.
    FleetState proposed;
    Bytes value;
    ChangeResult result;
  };

  // The read in flight, or the last one.
  struct Read {
    std::int64_t request_id = 0;
    TimePoint started_at;
    std::set<Address> recipients;
    std::map<StoreId, Ballot> ballots;     // the accepted ballot of each store that answered
    std::map<StoreId, Address> addresses;  // where each of them was
    // The highest of the ballots, and the replica sets that its value names.
    Ballot highest_ballot;
    std::vector<AcceptorEntry> acceptors;
    std::vector<AcceptorEntry> next_acceptors;
    // Of each store: the time since it last heard each daemon, and since when it has been listening.
    std::map<StoreId, std::map<Address, Duration>> contacts;
    std::map<StoreId, Duration> uptimes;
    bool wants_contacts = false;
    bool is_finished = false;  // a majority has answered alike, or the read is of no more use
  };

  // Handlers of messages; the generic one is for messages that are not this class's.
  template <class Other>
  bool handle(const Address&, const Other&, TimePoint) {
    return false;
  }
  bool handle(const Address& from, const Promise& promise, TimePoint now);
  bool handle(const Address& from, const Accepted& accepted, TimePoint now);
  bool handle(const Address& from, const ReadResponse& response, TimePoint now);

  // --- changes (register_proposer_rounds.cpp) ---
  void expire_queued_changes(TimePoint now);
  void start_next_change(TimePoint now);
  void begin_prepare(TimePoint now);
  // Waits for a random time that grows with the tries, so that rivals don't collide for ever.
  void back_off(TimePoint now);
  void begin_accept(TimePoint now);
  // Calls the change on the state found and sets what is proposed and how the change ends. False if the change ends
  // without a second round, since what was found is known to be chosen.
  bool decide_change(TimePoint now);
  void finish_change(ChangeResult result, TimePoint now);
  void on_promise(const Address& from, const Promise& promise, TimePoint now);
  void on_accepted(const Address& from, const Accepted& accepted, TimePoint now);
  // Whether the response comes from a store that was asked, and its ballot fits; raises the highest ballot seen.
  bool accept_round_response(const Address& from, const StoreId& store, bool granted, const Ballot& promised);
  // Reads the value of a promise that is newer than those before it; false if it is refused.
  bool read_promised_value(const Address& from, const Promise& promise);
  // Sends each store the new value, as a delta where the store holds the value before it.
  void send_accepts(const std::vector<AcceptorEntry>& stores);
  // Sends the whole value to a store that lacks the base of a delta, also once the others have decided.
  void send_full_value(const Address& from, const Accepted& accepted);
  void send_each(const std::vector<AcceptorEntry>& stores, const std::function<Message(const StoreId&)>& make);
  // The same for a phase of the round: its responses are accepted from these stores alone.
  void send_request_to_each(const std::vector<AcceptorEntry>& stores,
                            const std::function<Message(const StoreId&)>& make);

  // --- reads (register_proposer_reads.cpp) ---
  void on_read_response(const Address& from, const ReadResponse& response, TimePoint now);
  std::optional<InvalidInput> check_read_response(const Address& from, const ReadResponse& response) const;
  // Keeps the value of a response until its ballot is known to be chosen, whichever read it answers; false if the value
  // is refused.
  bool store_read_value(const Address& from, const ReadResponse& response);
  // The value that a response carries or describes; empty if it brings none that can be used.
  Bytes decode_read_value(const ReadResponse& response);
  // Looks whether a majority has answered, and whether it has answered alike.
  void evaluate_read(TimePoint now);
  void follow_newer_set(const Read& read);
  void collect_silences(const Read& read);
  void resolve_split_read(const Read& read, TimePoint now);
  // False if the value of the read's ballot is not known here: the next read asks for it where it is.
  bool adopt_read_value(const Read& read);
  void repair_stale_replicas(Read& read);

  // Takes the state as chosen if it is newer than the one known, which was proven newest at `proven_from`.
  void adopt_state(const Ballot& ballot, const FleetState& state, TimePoint proven_from);
  // The replicas of the present and of the next set.
  std::vector<AcceptorEntry> all_acceptors() const;

  Address self_;
  RandomGenerator random_;
  // The replica set, as the newest state names it or, before there is one, as peers do.
  std::vector<AcceptorEntry> acceptors_;
  std::vector<AcceptorEntry> next_acceptors_;
  Address newer_value_address_;         // of a replica that holds a newer value than is known here; may be empty
  std::set<Address> hinted_addresses_;  // where peers say replicas are
  Ballot highest_seen_;                 // ballots of this proposer are above it
  bool has_state_ = false;
  FleetState state_;
  Bytes state_bytes_;  // encoded state_
  Ballot state_ballot_;
  TimePoint confirmed_at_{-1};
  TimePoint reached_at_{-1};
  std::optional<Round> current_;
  std::deque<QueuedChange> queued_changes_;
  std::optional<Read> read_;
  std::int64_t confirmed_read_ = 0;
  std::map<Ballot, FleetState> read_states_;  // newer than state_; a ballot names one value, whichever read brought it
  int split_reads_in_a_row_ = 0;              // majorities that did not answer alike
  bool wants_full_value_ = false;             // a delta did not fit: the next read asks for the whole value
  std::optional<std::map<Address, Duration>> silences_;
  TimePoint silences_at_{-1};
  std::int64_t last_request_id_;
  std::vector<OutboundMessage> out_;
  Counts counts_;
  RefusedMessages refusals_;
};

}  // namespace emberdale
