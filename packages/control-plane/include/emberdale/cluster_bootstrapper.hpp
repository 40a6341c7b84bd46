// Creates the register without an operator, at the first start of the whole system: a majority of the seeds decides the
// first state by the register's own two rounds. docs/design.md, "One process a machine", says which stores vote, and
// docs/control-safety.md, "The founding", shows why no two first states are chosen. Without I/O, clock or threads.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "emberdale/event_journal.hpp"
#include "emberdale/founding_electorate.hpp"
#include "emberdale/register_proposer.hpp"

namespace emberdale {

class ClusterBootstrapper {
 public:
  // `most_lost_stores`: how many machines may lose their disks at the same time.
  ClusterBootstrapper(RegisterProposer& proposer, EventJournal& journal, Address self,
                      const std::vector<Address>& seeds, std::size_t most_lost_stores, RandomGenerator random);

  // Begins if this daemon is a seed; any other does nothing, ever.
  void start(TimePoint now);
  void on_message(const Address& from, const Message& message, TimePoint now);
  void on_timer(TimePoint now);
  std::vector<OutboundMessage> drain_outbound() { return std::exchange(out_, {}); }
  // True once, when the first state is known to be chosen.
  bool drain_bootstrapped() { return std::exchange(was_bootstrapped_, false); }
  // Still waits for the seeds, or for the rounds of the first state.
  bool is_at_work() const { return phase_ == Phase::asking || phase_ == Phase::founding; }

 private:
  enum class Phase {
    idle,      // not started, or no seed
    asking,    // the seeds are asked whether they are blank
    founding,  // the rounds of the first state are under way
    over       // the register exists, by this daemon's hand or not
  };
  // The last answer of a seed.
  struct SeedAnswer {
    StoreId store;  // empty: it keeps no store
    bool is_blank = false;
    TimePoint heard;
  };
  void on(const Address& from, const ReadResponse& response, TimePoint now);
  template <class Other>
  void on(const Address&, const Other&, TimePoint) {}
  void forget_old_answers(TimePoint now);
  void observe_answers(TimePoint now);
  // The stores that the first state would name, as far as they are known now; empty where it can't be founded on them.
  std::vector<AcceptorEntry> founding_set() const;
  bool has_answer_of_all() const { return answers_.size() == seeds_.size(); }
  bool may_begin(TimePoint now) const;
  void begin_founding(TimePoint now);
  void on_founding_end(const ChangeResult& end, TimePoint now);
  void send_read_requests();

  RegisterProposer& proposer_;
  EventJournal& journal_;
  Address self_;
  std::set<Address> seeds_;
  FoundingElectorate electorate_;
  std::size_t most_lost_stores_;
  RandomGenerator random_;
  std::int64_t request_id_;
  Phase phase_ = Phase::idle;
  std::map<Address, SeedAnswer> answers_;      // recent ones
  std::optional<TimePoint> complete_since_;    // all seeds have been answering that they are blank
  std::optional<TimePoint> sufficient_since_;  // a majority of them has
  bool is_own_proposal_ = false;               // the last round proposed this daemon's first state
  bool was_bootstrapped_ = false;
  TimePoint started_, request_next_;
  std::int64_t smaller_seeds_ = 0;
  std::vector<OutboundMessage> out_;
};

}  // namespace emberdale
