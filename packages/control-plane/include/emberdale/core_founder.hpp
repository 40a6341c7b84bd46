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
//   CoreFounder founder(proposer, journal, self, seeds, Dice(1)); founder.start(now);
//   founder.on_message(from, message, now); founder.on_timer(now); for (auto& s : founder.take_out()) send(s);
class CoreFounder {
 public:
  CoreFounder(RegisterProposer& proposer, EventJournal& journal, Address self, std::vector<Address> seeds,
              RandomGenerator random);

  // Begins if this daemon is the smallest of the seeds; else it does nothing, ever. Example: founder.start(now)
  void start(Moment now);
  void on_message(const Address& from, const Message& message, Moment now);
  void on_timer(Moment now);
  std::vector<Sending> take_out() { return std::exchange(out_, {}); }
  // True once, when a majority holds the founding. Example: if (founder.take_founded()) poll();
  bool take_founded() { return std::exchange(was_founded_, false); }
  // Still asking, or carrying the founding to the last seed. Example: founder.is_at_work()
  bool is_at_work() const { return phase_ == Phase::asking || phase_ == Phase::founding; }

 private:
  enum class Phase { idle, asking, founding, over };
  struct Blank {
    StoreId store;
    Moment heard;
  };
  void on_read(const Address& from, const ReadAnswer& answer, Moment now);
  void on_founded(const FoundAnswer& answer, Moment now);
  void begin_founding(Moment now);
  void send_found();

  RegisterProposer& proposer_;
  EventJournal& journal_;
  Address self_;
  std::set<Address> seeds_;
  RandomGenerator random_;
  Integer ask_;
  Phase phase_ = Phase::idle;
  std::map<Address, Blank> blanks_;
  std::vector<AcceptorEntry> acceptors_;  // as founded
  std::set<StoreId> granted_, answered_;
  Bytes value_;
  bool was_founded_ = false;
  Moment started_, ask_next_;
  std::vector<Sending> out_;
};

}  // namespace emberdale
