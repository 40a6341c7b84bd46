// Founds a fleet without an operator: on the very first start, the smallest of the seeds does it once all of
// them have answered that they are blank. docs/design.md, "One process a machine", says why it can't come
// twice. Without I/O, clock or threads.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "emberdale/event_journal.hpp"
#include "emberdale/register_proposer.hpp"

namespace emberdale {

// Example:
//   ClusterBootstrapper founder(proposer, journal, self, seeds, Dice(1)); founder.start(now);
//   founder.on_message(from, message, now); founder.on_timer(now); for (auto& s : founder.drain_outbound()) send(s);
class ClusterBootstrapper {
 public:
  ClusterBootstrapper(RegisterProposer& proposer, EventJournal& journal, Address self, std::vector<Address> seeds,
                      RandomGenerator random);

  // Begins if this daemon is the smallest of the seeds; else it does nothing, ever. Example: founder.start(now)
  void start(TimePoint now);
  void on_message(const Address& from, const Message& message, TimePoint now);
  void on_timer(TimePoint now);
  std::vector<OutboundMessage> drain_outbound() { return std::exchange(out_, {}); }
  // True once, when a majority holds the founding. Example: if (founder.drain_bootstrapped()) poll();
  bool drain_bootstrapped() { return std::exchange(was_bootstrapped_, false); }
  // Still asking, or carrying the founding to the last seed. Example: founder.is_at_work()
  bool is_at_work() const { return phase_ == Phase::asking || phase_ == Phase::founding; }

 private:
  enum class Phase { idle, asking, founding, over };
  struct Blank {
    StoreId store;
    TimePoint heard;
  };
  void on_read(const Address& from, const ReadResponse& response, TimePoint now);
  void on_bootstrapped(const BootstrapResponse& response, TimePoint now);
  void begin_bootstrap(TimePoint now);
  void send_bootstrap_request();

  RegisterProposer& proposer_;
  EventJournal& journal_;
  Address self_;
  std::set<Address> seeds_;
  RandomGenerator random_;
  std::int64_t ask_;
  Phase phase_ = Phase::idle;
  std::map<Address, Blank> blanks_;
  std::vector<AcceptorEntry> acceptors_;  // as founded
  std::set<StoreId> granted_, answered_;
  Bytes value_;
  bool was_bootstrapped_ = false;
  TimePoint started_, request_next_;
  std::vector<OutboundMessage> out_;
};

}  // namespace emberdale
