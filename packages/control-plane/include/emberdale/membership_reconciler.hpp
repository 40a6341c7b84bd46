// Keeps the set of replicas as the policy wants it, without an operator: observes when each replica last answered here,
// keeps learners synced, and says which change of the set is due. ReplicaSetManager carries it out.
// Without I/O, clock or threads.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "emberdale/membership_plan.hpp"
#include "emberdale/register_proposer.hpp"

namespace emberdale {

// A change of the set that is due.
struct SetChange {
  Change change;
  std::string kind, detail;  // of the event that records it; no kind: it is not recorded
};

// Who may decide that a replica is dead: the master alone, or any member while no master is known.
struct DecisionRight {
  enum class Kind { none, master, leaderless };
  Kind kind = Kind::none;
  std::int64_t term = 0;  // the write is refused once the register is in another term
};

class MembershipReconciler {
 public:
  MembershipReconciler(const RegisterProposer& proposer, DaemonEntry self, MembershipPolicy policy,
                       RandomGenerator random)
      : proposer_(proposer),
        self_(std::move(self)),
        policy_(policy),
        random_(random),
        request_id_(first_request_id(random_)) {
    zones_[self_.address] = self_.zone;
  }

  void start(TimePoint now) { timer_at_ = awake_since_ = now; }
  void set_right(const DecisionRight& right) { right_ = right; }
  // Daemons that may keep a store: those outside the set are asked for it, at most once a second each.
  void observe_daemons(const std::vector<DaemonEntry>& daemons, TimePoint now);
  void on_message(const Address& from, const Message& message, TimePoint now);
  // Nobody listens at that address: its store is no learner until it answers again.
  void on_refused(const Address& peer) { learners_.erase(peer); }
  // After a pause (a stopped process, a machine that slept) silences are counted anew.
  void on_timer(TimePoint now);
  // This daemon has just created the register: who is there by now is added without the usual wait.
  void on_bootstrapped(TimePoint now) { bootstrapped_at_ = now; }

  // This daemon is about to stop. From now on the only change due is to hand its own place over; the possible
  // successors are asked anew, at once.
  void begin_leaving(TimePoint now);
  // Whether this daemon's store is still in the set, or its successor does not hold the newest value yet.
  bool is_handing_over(TimePoint now) const;

  // The change that the set needs now, if any.
  std::optional<SetChange> due_change(TimePoint now);
  // A replica's machine answers as another store: its disk is gone. The new store is admitted in the old one's place,
  // by any member, if enough replicas answer.
  std::optional<SetChange> readmission(const AcceptorEntry& wiped, const StoreId& fresh, TimePoint now) const;
  std::vector<OutboundMessage> drain_outbound() { return std::exchange(out_, {}); }

 private:
  // A store outside the set that answers.
  struct Learner {
    StoreId store;
    TimePoint since, heard;    // its first and its last answer
    Ballot accepted;           // of the value that it holds
    TimePoint joinable_at;     // when that was last not above what is chosen here
    int overtaken = 0;         // how often a write was made to get past its value, or its promise
    bool is_refusing = false;  // it has promised a ballot above the chosen one
  };
  // The last answer of a store, in the set or not.
  struct Answered {
    StoreId store;
    Ballot accepted;
    TimePoint at;
  };
  void on(const Address& from, const LeaveNotice& notice, TimePoint now);
  void on(const Address& from, const Accepted& accepted, TimePoint now);
  void on(const Address& from, const ReadResponse& response, TimePoint now);
  template <class Other>
  void on(const Address&, const Other&, TimePoint) {}
  bool is_request_due(const Address& address, TimePoint now) const;
  void observe_learner(const Address& from, const ReadResponse& response, TimePoint now);
  void sync_learner(const Address& address, const Learner& learner);
  bool may_join(const Learner& learner) const;
  void observe_set(TimePoint now);
  void forget_silent_learners(TimePoint now);
  void update_learners(TimePoint now);
  void forget_old_requests(TimePoint now);

  Duration silence(const AcceptorEntry& entry, TimePoint now) const;
  Duration reported_silence(const Address& address, TimePoint now) const;
  bool is_in_set(const Address& address) const;
  ZoneName zone_of(const Address& address) const;
  bool has_answered_as(const AcceptorEntry& entry) const;
  MemberView member_view(const AcceptorEntry& entry, TimePoint now) const;
  std::vector<MemberView> members(TimePoint now) const;
  std::vector<LearnerView> learners(TimePoint now) const;

  std::optional<MembershipChange> plan(TimePoint now) const;
  std::optional<MembershipChange> plan_own_hand_over(const std::vector<MemberView>& members,
                                                     const std::vector<LearnerView>& learners) const;
  std::optional<MembershipChange> plan_by_right(const std::vector<MemberView>& members,
                                                const std::vector<LearnerView>& learners, TimePoint now) const;
  std::optional<SetChange> due_overtaking(TimePoint now);
  SetChange guarded(const MembershipChange& planned, const DecisionRight& right) const;
  bool is_successor_unsynced(const AcceptorEntry& entry) const;

  const RegisterProposer& proposer_;
  DaemonEntry self_;
  MembershipPolicy policy_;
  RandomGenerator random_;
  std::int64_t request_id_;
  DecisionRight right_;
  bool is_leaving_ = false;
  TimePoint leaving_since_;
  std::vector<StoreId> successors_;  // stores that were proposed for this daemon's place
  TimePoint timer_at_;               // the last timer
  TimePoint awake_since_;            // the end of the last pause: no silence counts from before
  TimePoint bootstrapped_at_{-100000};
  std::vector<AcceptorEntry> observed_set_;
  TimePoint set_changed_at_{-100000};
  std::map<Address, Answered> answered_;
  std::map<Address, TimePoint> member_since_;  // as seen here: before that, nobody was asked regularly
  std::map<Address, Learner> learners_;
  std::map<Address, TimePoint> requested_at_;  // of the last request to a daemon outside the set
  std::map<Address, ZoneName> zones_;
  std::vector<OutboundMessage> out_;
};

}  // namespace emberdale
