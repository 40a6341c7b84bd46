// The set of replicas that keep the register: created once, repaired when a machine comes back with an empty disk,
// changed on an operator's request, or as the reconciler says. A change goes by joint consensus: the next set is
// written first, and then put in the place of the old one. Without I/O, clock or threads.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "emberdale/change_status.hpp"
#include "emberdale/event_journal.hpp"
#include "emberdale/membership_reconciler.hpp"
#include "emberdale/register_proposer.hpp"

namespace emberdale {

// How a request to create the register, or to replace a core machine, has ended.
struct ReplicaSetOutcome {
  ChangeStatus status = ChangeStatus::unknown;
  std::string reason;
};
using ReplicaSetDone = std::function<void(const ReplicaSetOutcome&)>;

inline constexpr const char* already_bootstrapped_reason = "a fleet is known here already: it is never founded again";

class ReplicaSetManager {
 public:
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
  // The next timer looks for a due change without waiting for its turn.
  void hurry() { repair_next_ = TimePoint{0}; }
  // From now on the reconciler decides on changes of the set, and due changes are looked for several times a second.
  void set_reconciler(MembershipReconciler& reconciler) { reconciler_ = &reconciler; }
  // Creates the register on blank core machines, once.
  void bootstrap(const std::string& fleet, const std::vector<Address>& cores, ReplicaSetDone done, TimePoint now);
  // Puts an empty core machine in the place of another.
  void replace(const Address& old_address, const Address& new_address, ReplicaSetDone done, TimePoint now);

  void on_message(const Address& from, const Message& message, TimePoint now);
  // The register's state has changed: a replacement may be complete.
  void on_state();
  void on_timer(TimePoint now);
  std::vector<OutboundMessage> drain_outbound() { return std::exchange(out_, {}); }
  // True once after a bootstrap: the register can be read.
  bool drain_bootstrapped() { return std::exchange(was_bootstrapped_, false); }

 private:
  // A bootstrap under way. It is granted by all cores or by none: `value` is the same for each of them.
  struct Bootstrap {
    std::string fleet;
    std::vector<Address> cores;
    std::map<Address, StoreId> stores;  // of the cores that have answered that they are blank
    std::set<StoreId> granted;
    Bytes value;  // the first state, encoded; empty until all stores are known
    TimePoint deadline;
    ReplicaSetDone done;
    std::int64_t request_id = 0;
    bool was_sent() const { return !value.data.empty(); }
  };
  // A replacement under way.
  struct Replacement {
    Address old_address, new_address;
    StoreId new_store;  // known once the new machine has answered
    TimePoint deadline;
    ReplicaSetDone done;
    std::int64_t request_id = 0;
    bool is_proposed = false;  // the change was handed to the register
  };
  void on(const Address& from, const ReadResponse& response, TimePoint now);
  void on(const Address& from, const BootstrapResponse& response, TimePoint now);
  template <class Other>
  void on(const Address&, const Other&, TimePoint) {}
  void continue_bootstrap(const Address& from, const ReadResponse& response);
  void send_bootstrap_requests();
  void end_bootstrap(ChangeStatus status, const std::string& reason);
  void propose_replacement(const ReadResponse& response, TimePoint now);
  void on_replacement_end(const ChangeResult& end);
  void end_replacement(ChangeStatus status, const std::string& reason);
  bool is_replacement_complete() const;
  void observe_store(const Address& from, const ReadResponse& response);
  void expire_requests(TimePoint now);
  Duration repair_interval();
  void repair(TimePoint now);
  std::optional<SetChange> due_change(TimePoint now);
  std::optional<SetChange> due_readmission(TimePoint now) const;

  RegisterProposer& proposer_;
  EventJournal& journal_;
  DaemonRole role_;
  bool has_acceptor_;
  MembershipReconciler* reconciler_ = nullptr;  // of the same daemon, so it lives as long; nullptr: operators decide
  RandomGenerator random_;
  std::int64_t last_request_id_;
  std::optional<Bootstrap> bootstrap_;
  std::optional<Replacement> replacement_;
  // Replicas' addresses that answer as another store, which may take the place of the one in the set.
  std::map<Address, StoreId> renewed_stores_;
  bool is_repairing_ = false;  // a change of the set is being written
  bool was_bootstrapped_ = false;
  TimePoint repair_next_;
  std::vector<OutboundMessage> out_;
};

}  // namespace emberdale
