// The set of core machines that keep the register: founded once, mended when a machine comes back wiped,
// changed by one command when one is replaced, or by itself as its reconciler says. Without I/O, clock or threads.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "emberdale/event_journal.hpp"
#include "emberdale/membership_reconciler.hpp"
#include "emberdale/register_proposer.hpp"

namespace emberdale {

// Example:
//   CoreSet cores(proposer, journal, "core", true, Dice(1)); cores.found("caspian", addresses, done, now);
//   cores.on_message(from, message, now); cores.on_timer(now); for (auto& s : cores.take_out()) send(s);
class CoreSet {
 public:
  using Done = std::function<void(int code, const std::string& reason)>;
  CoreSet(RegisterProposer& proposer, EventJournal& journal, std::string role, bool has_acceptor,
          RandomGenerator random)
      : proposer_(proposer),
        journal_(journal),
        role_(std::move(role)),
        has_acceptor_(has_acceptor),
        random_(random),
        last_ask_(first_ask(random_)) {}

  void start(Moment now) {
    mend_next_ = now + (reconciler_ == nullptr ? Span{1000 + random_.below(1000)} : Span{random_.below(200)});
  }
  // Looked after at the next timer: what is due does not wait for its turn. Example: cores.hurry()
  void hurry() { mend_next_ = Moment{0}; }
  // From now on the set minds itself, and is looked after several times a second. Example:
  // cores.set_reconciler(reconciler)
  void set_reconciler(MembershipReconciler& reconciler) { reconciler_ = &reconciler; }
  // Founds a fleet on blank core machines, once. Example: cores.found("caspian", addresses, done, now)
  void found(const std::string& fleet, const std::vector<Address>& cores, Done done, Moment now);
  // Puts an empty core machine in the place of another. Example: cores.replace(old, fresh, done, now)
  void replace(const Address& old_address, const Address& new_address, Done done, Moment now);

  void on_message(const Address& from, const Message& message, Moment now);
  // The register's state has changed: a replacement may be whole. Example: cores.on_state()
  void on_state();
  void on_timer(Moment now);
  std::vector<Sending> take_out() { return std::exchange(out_, {}); }
  // True once after a founding: the register is there to be read. Example: if (cores.take_founded()) poll();
  bool take_founded() { return std::exchange(was_founded_, false); }

 private:
  struct Founding {
    std::string fleet;
    std::vector<Address> cores;
    std::map<Address, StoreId> stores;
    std::set<StoreId> granted;
    Bytes value;
    Moment deadline;
    Done done;
    Integer ask = 0;
  };
  struct Replacing {
    Address old_address, new_address;
    StoreId new_store;
    Moment deadline;
    Done done;
    Integer ask = 0;
    bool is_asked = false;
  };
  void on_read(const Address& from, const ReadAnswer& answer, Moment now);
  void on_founded(const Address& from, const FoundAnswer& answer, Moment now);
  void begin_replacing(const ReadAnswer& answer, Moment now);
  void end_replacing(const ChangeEnd& end);
  void end_founding(int code, const std::string& reason);
  void mend(Moment now);
  std::optional<SetChange> due_change(Moment now);
  std::optional<SetChange> due_readmission(Moment now) const;

  RegisterProposer& proposer_;
  EventJournal& journal_;
  std::string role_;
  bool has_acceptor_;
  MembershipReconciler* reconciler_ = nullptr;  // lives as long as the daemon
  RandomGenerator random_;
  Integer last_ask_;
  std::optional<Founding> founding_;
  std::optional<Replacing> replacing_;
  std::map<Address, StoreId> blank_stores_;
  bool is_mending_ = false, was_founded_ = false;
  Moment mend_next_;
  std::vector<Sending> out_;
};

}  // namespace emberdale
