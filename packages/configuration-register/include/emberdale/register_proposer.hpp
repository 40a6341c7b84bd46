// Changes and reads of the register: two rounds at a majority, from any control daemon.
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
struct Verdict {
  enum class Kind { apply, refuse, already_there };
  Kind kind = Kind::refuse;
  FleetState state;    // for apply
  std::string reason;  // for refuse
};
using Change = std::function<Verdict(const FleetState&)>;

// How a change ended. `refused` is certain: it is not in the register and never will be.
struct ChangeEnd {
  enum class Kind { committed, refused, no_majority, unknown };
  Kind kind = Kind::unknown;
  FleetState state;  // as committed (committed), or as found (refused)
  std::string reason;
};

// Whether the stores that answered are a majority of the set, and of the next set while one is
// being joined. Example: has_majority(state.acceptors, state.next_acceptors, {StoreId{"s1"}, StoreId{"s2"}})
bool has_majority(const std::vector<AcceptorEntry>& acceptors, const std::vector<AcceptorEntry>& next,
                  const std::set<StoreId>& answered);

// Example:
//   RegisterProposer proposer(self, RandomGenerator(1)); proposer.learn_acceptors(from_a_ping_answer);
//   proposer.change([](const FleetState& s) { ... }, [](const ChangeEnd& end) { ... }, now, Duration{3000});
//   proposer.poll(now);            // refreshes state() by a majority read, mends stale copies
//   proposer.on_message(from, message, now); proposer.on_timer(now); for (auto& s : proposer.drain_outbound()) send(s);
class RegisterProposer {
 public:
  RegisterProposer(Address self, RandomGenerator random)
      : self_(std::move(self)), random_(random), last_request_id_(first_request_id(random_)) {}

  // The set as others tell of it: taken while none is known, else asked as well when the known one has not
  // answered for a while (it may have been replaced whole). Example: proposer.learn_acceptors(answer.acceptors)
  void learn_acceptors(const std::vector<AcceptorEntry>& acceptors);
  void change(Change change, std::function<void(const ChangeEnd&)> done, TimePoint now, Duration patience);
  // Begins a read in place of the one in flight, and returns its number: numbers of one life only grow.
  std::int64_t poll(TimePoint now, DaemonRole role, bool wants_heard);
  // Whether a read is in flight that may yet be answered in time: another would only take its place.
  bool is_reading(TimePoint now) const;
  bool on_message(const Address& from, const Message& message, TimePoint now);
  void on_timer(TimePoint now);
  std::vector<OutboundMessage> drain_outbound();

  bool has_state() const { return has_state_; }
  const FleetState& state() const { return state_; }         // the newest state known to be chosen
  const Bytes& state_bytes() const { return state_bytes_; }  // the same state, encoded
  const Ballot& ballot() const { return state_ballot_; }
  TimePoint confirmed_at() const { return confirmed_at_; }  // start of the read that proved it newest
  std::int64_t last_read() const { return read_ ? read_->ask : 0; }
  // Number of the newest read that a majority has answered alike. Unlike a time it tells a question that was asked
  // before an event from one that was asked after it within the same millisecond.
  std::int64_t confirmed_read() const { return confirmed_read_; }
  // Start of the newest read that a majority has answered, whether or not they held the same value.
  TimePoint reached_at() const { return reached_at_; }
  const std::vector<AcceptorEntry>& acceptors() const { return acceptors_; }
  // Silence of each edge daemon as a majority of copies reports it; empty when not known.
  const std::optional<std::map<Address, Duration>>& silences() const { return silences_; }
  TimePoint silences_at() const { return silences_at_; }  // start of the read that told them
  std::size_t changes_in_hand() const { return waiting_.size() + (current_ ? 1 : 0); }

  struct Counts {
    std::int64_t rounds = 0, conflicts = 0, committed = 0, unknown = 0, repaired = 0, reads = 0;
    std::int64_t deltas = 0, whole_values = 0, value_bytes = 0;  // of Accepts
  };
  const Counts& counts() const { return counts_; }
  const RefusedMessages& refusals() const { return refusals_; }
  RefusedMessages& refusals() { return refusals_; }  // bad input from peers

 private:
  friend class StateInspector;  // the model checker fingerprints the whole state
  struct Job {
    Change change;
    std::function<void(const ChangeEnd&)> done;
    TimePoint deadline;
    bool was_accept_sent = false;
  };
  struct Round {
    Job job;
    enum class Phase { pausing, preparing, accepting } phase = Phase::pausing;
    std::int64_t ask = 0;
    Ballot ballot;
    TimePoint phase_end;
    int tries = 0;
    std::set<StoreId> asked, granted;
    Ballot highest;
    FleetState found;  // the value of the highest ballot
    Bytes found_value_bytes;
    std::map<StoreId, Ballot> held;  // what each store that promised holds
    std::set<Ballot> seen;           // accepted ballots among the promises, and the highest known before
    bool is_carrying = false;        // what was found is carried through unchanged first, then the job begins anew
    // What the accept round carries, and how the job ends if it is chosen.
    FleetState proposed;
    Bytes value;
    ChangeEnd end;
  };
  struct Read {
    std::int64_t ask = 0;
    TimePoint begun;
    std::set<Address> asked;
    std::map<StoreId, Ballot> answers;
    std::map<StoreId, Address> places;
    Ballot highest;
    std::vector<AcceptorEntry> acceptors, next;
    std::map<StoreId, std::map<Address, Duration>> heard;
    std::map<StoreId, Duration> awake;
    bool wants_heard = false;
    bool is_over = false;  // settled, or of no more use
  };
  void start_next(TimePoint now);
  void begin_prepare(TimePoint now);
  void pause(TimePoint now);
  void begin_accept(TimePoint now);
  void finish(ChangeEnd end, TimePoint now);
  void adopt(const Ballot& ballot, const FleetState& state, TimePoint proven_from);
  void settle_read(TimePoint now);
  bool keep_value(const Address& from, const ReadResponse& response);
  void on_promise(const Address& from, const Promise& promise, TimePoint now);
  void on_accepted(const Address& from, const Accepted& accepted, TimePoint now);
  void on_read_answer(const Address& from, const ReadResponse& response, TimePoint now);
  // Whether the answer of a round comes from a store that was asked, and its ballot fits; raises the highest seen.
  bool takes_round_answer(const Address& from, const StoreId& store, bool granted, const Ballot& promised);
  // Reads the value of a promise that is newer than the ones before it; false if it is refused.
  bool take_promised_value(const Address& from, const Promise& promise);
  // Sends each store the new value, as a delta where it holds the one before it.
  void send_accepts(const std::vector<AcceptorEntry>& stores);
  void send_whole(const Address& from, const Accepted& accepted);
  // The value that an answer carries or describes; empty if it brings none that can be used.
  Bytes value_in(const ReadResponse& response);
  std::optional<InvalidInput> check_read_answer(const Address& from, const ReadResponse& response) const;
  std::vector<AcceptorEntry> everyone() const;
  void send_each(const std::vector<AcceptorEntry>& stores, const std::function<Message(const StoreId&)>& make);
  // The same, of the round: its answers are taken from these stores alone.
  void send_request_to_each(const std::vector<AcceptorEntry>& stores,
                            const std::function<Message(const StoreId&)>& make);

  Address self_;
  RandomGenerator random_;
  std::vector<AcceptorEntry> acceptors_, next_acceptors_;
  Address value_at_;         // a copy that holds a newer value than is known here
  std::set<Address> hints_;  // where others say copies are
  Ballot highest_seen_;
  bool has_state_ = false;
  FleetState state_;
  Bytes state_bytes_;
  Ballot state_ballot_;
  TimePoint confirmed_at_{-1}, reached_at_{-1};
  std::optional<Round> current_;
  std::deque<Job> waiting_;
  std::optional<Read> read_;
  std::int64_t confirmed_read_ = 0;
  // Newer than the state; a ballot names one value, whichever read brought it.
  std::map<Ballot, FleetState> read_states_;
  int split_reads_ = 0;
  bool wants_whole_ = false;  // a delta did not fit: the next read asks for the whole value
  std::optional<std::map<Address, Duration>> silences_;
  TimePoint silences_at_{-1};
  std::int64_t last_request_id_;
  std::vector<OutboundMessage> out_;
  Counts counts_;
  RefusedMessages refusals_;
};

}  // namespace emberdale
