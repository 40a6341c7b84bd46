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
//   ReplicaSetManager cores(proposer, journal, DaemonRole::core, true, Dice(1)); cores.found("caspian", addresses,
//   done, now); cores.on_message(from, message, now); cores.on_timer(now); for (auto& s : cores.drain_outbound())
//   send(s);
class ReplicaSetManager {
 public:
  using Done = std::function<void(int code, const std::string& reason)>;
  ReplicaSetManager(RegisterProposer& proposer, EventJournal& journal, DaemonRole role, bool has_acceptor,
                    RandomGenerator random)
      : proposer_(proposer),
        journal_(journal),
        role_(role),
        has_acceptor_(has_acceptor),
        random_(random),
        last_request_id_(first_request_id(random_)) {}

  void start(TimePoint now) {
    repair_next_ = now + (reconciler_ == nullptr ? Duration{1000 + random_.below(1000)} : Duration{random_.below(200)});
  }
  // Looked after at the next timer: what is due does not wait for its turn. Example: cores.hurry()
  void hurry() { repair_next_ = TimePoint{0}; }
  // From now on the set minds itself, and is looked after several times a second. Example:
  // cores.set_reconciler(reconciler)
  void set_reconciler(MembershipReconciler& reconciler) { reconciler_ = &reconciler; }
  // Founds a fleet on blank core machines, once. Example: cores.found("caspian", addresses, done, now)
  void found(const std::string& fleet, const std::vector<Address>& cores, Done done, TimePoint now);
  // Puts an empty core machine in the place of another. Example: cores.replace(old, fresh, done, now)
  void replace(const Address& old_address, const Address& new_address, Done done, TimePoint now);

  void on_message(const Address& from, const Message& message, TimePoint now);
  // The register's state has changed: a replacement may be whole. Example: cores.on_state()
  void on_state();
  void on_timer(TimePoint now);
  std::vector<OutboundMessage> drain_outbound() { return std::exchange(out_, {}); }
  // True once after a founding: the register is there to be read. Example: if (cores.drain_bootstrapped()) poll();
  bool drain_bootstrapped() { return std::exchange(was_bootstrapped_, false); }

 private:
  struct Bootstrap {
    std::string fleet;
    std::vector<Address> cores;
    std::map<Address, StoreId> stores;
    std::set<StoreId> granted;
    Bytes value;
    TimePoint deadline;
    Done done;
    std::int64_t ask = 0;
  };
  struct Replacing {
    Address old_address, new_address;
    StoreId new_store;
    TimePoint deadline;
    Done done;
    std::int64_t ask = 0;
    bool is_asked = false;
  };
  void on_read(const Address& from, const ReadResponse& response, TimePoint now);
  void on_bootstrapped(const Address& from, const BootstrapResponse& response, TimePoint now);
  void begin_replacing(const ReadResponse& response, TimePoint now);
  void end_replacing(const ChangeEnd& end);
  void end_bootstrap(int code, const std::string& reason);
  void repair(TimePoint now);
  std::optional<SetChange> due_change(TimePoint now);
  std::optional<SetChange> due_readmission(TimePoint now) const;

  RegisterProposer& proposer_;
  EventJournal& journal_;
  DaemonRole role_;
  bool has_acceptor_;
  MembershipReconciler* reconciler_ = nullptr;  // lives as long as the daemon
  RandomGenerator random_;
  std::int64_t last_request_id_;
  std::optional<Bootstrap> bootstrap_;
  std::optional<Replacing> replacing_;
  std::map<Address, StoreId> blank_stores_;
  bool is_repairing_ = false, was_bootstrapped_ = false;
  TimePoint repair_next_;
  std::vector<OutboundMessage> out_;
};

}  // namespace emberdale
