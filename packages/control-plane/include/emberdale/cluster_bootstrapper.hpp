// Creates the register without an operator: on the very first start the seed with the smallest address does it, once
// all seeds have answered that they are blank, or the next one where that has not done it for a time. docs/design.md,
// "One process a machine", shows why no two of them differ. Without I/O, clock or threads.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "emberdale/event_journal.hpp"
#include "emberdale/register_proposer.hpp"

namespace emberdale {

class ClusterBootstrapper {
 public:
  ClusterBootstrapper(RegisterProposer& proposer, EventJournal& journal, Address self, std::vector<Address> seeds,
                      RandomGenerator random);

  // Begins if this daemon is a seed; any other does nothing, ever.
  void start(TimePoint now);
  void on_message(const Address& from, const Message& message, TimePoint now);
  void on_timer(TimePoint now);
  std::vector<OutboundMessage> drain_outbound() { return std::exchange(out_, {}); }
  // True once, when a majority holds the first state.
  bool drain_bootstrapped() { return std::exchange(was_bootstrapped_, false); }
  // Still waits for the seeds, or carries the first state to the last of them.
  bool is_at_work() const { return phase_ == Phase::asking || phase_ == Phase::founding; }

 private:
  enum class Phase {
    idle,      // not started, or no seed
    asking,    // the seeds are asked whether they are blank
    founding,  // the first state is sent to the stores of the seeds
    over       // the register exists, by this daemon's hand or not
  };
  // The last answer of a blank seed.
  struct Blank {
    StoreId store;  // empty: it keeps no store
    TimePoint heard;
  };
  void on(const Address& from, const ReadResponse& response, TimePoint now);
  void on(const Address& from, const BootstrapResponse& response, TimePoint now);
  template <class Other>
  void on(const Address&, const Other&, TimePoint) {}
  bool are_all_blank(TimePoint now) const;
  bool may_begin(TimePoint now) const;
  void begin_bootstrap(TimePoint now);
  void send_read_requests();
  void send_bootstrap_requests();

  RegisterProposer& proposer_;
  EventJournal& journal_;
  Address self_;
  std::set<Address> seeds_;
  RandomGenerator random_;
  std::int64_t request_id_;
  Phase phase_ = Phase::idle;
  std::map<Address, Blank> blanks_;
  std::vector<AcceptorEntry> acceptors_;  // of the first state
  std::set<StoreId> granted_, answered_;  // stores that have accepted it, and that have answered at all
  Bytes value_;                           // the first state, encoded
  bool was_bootstrapped_ = false;
  TimePoint started_, request_next_;
  std::int64_t smaller_seeds_ = 0;
  std::optional<TimePoint> all_blank_since_;
  std::vector<OutboundMessage> out_;
};

}  // namespace emberdale
