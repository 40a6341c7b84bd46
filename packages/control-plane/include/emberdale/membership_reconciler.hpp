// Keeps the set of replicas as the policy wants it, without an operator: watches when each replica last answered
// here, keeps learners synced, and says which change of the set is due. ReplicaSetManager carries it out. Without I/O,
// clock or threads.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "emberdale/membership_plan.hpp"
#include "emberdale/register_proposer.hpp"

namespace emberdale {

// A change of the set that is due, with words for the journal.
struct SetChange {
  Change change;
  std::string kind, detail;
};

// Who may decide that a replica is dead: the master alone, or any member while no master is known.
struct DecisionRight {
  enum class Kind { none, master, leaderless };
  Kind kind = Kind::none;
  std::int64_t term = 0;  // the write is refused once the register is in another term
};

// Example:
//   MembershipReconciler reconciler(proposer, self, policy, RandomGenerator(1)); reconciler.start(now);
//   reconciler.set_right(right); reconciler.observe_daemons(heard, now); reconciler.on_message(from, message, now);
//   reconciler.on_timer(now); if (auto due = reconciler.due_change(now)) proposer.change(due->change, ...);
class MembershipReconciler {
 public:
  MembershipReconciler(const RegisterProposer& proposer, DaemonEntry self, MembershipPolicy policy,
                       RandomGenerator random)
      : proposer_(proposer), self_(std::move(self)), policy_(policy), random_(random), ask_(first_request_id(random_)) {
    zones_[self_.address] = self_.zone;
  }

  void start(TimePoint now) { timer_at_ = awake_since_ = now; }
  void set_right(const DecisionRight& right) { right_ = right; }
  // Daemons that were heard of: those outside the set are asked for their stores, at most once a second each.
  void observe_daemons(const std::vector<DaemonEntry>& daemons, TimePoint now);
  void on_message(const Address& from, const Message& message, TimePoint now);
  // No one listens at that address any more: its store is no learner until it answers again.
  void on_refused(const Address& peer) { learners_.erase(peer); }
  // After a pause (a frozen process, a machine that slept) silences are counted anew. Example: reconciler.on_timer(now)
  void on_timer(TimePoint now);
  // This daemon has just founded the fleet: who is there by now is added without the usual wait.
  void on_bootstrapped(TimePoint now) { bootstrapped_at_ = now; }

  // This daemon is about to end. From now on the only change due is to hand its own place over; who may take it is
  // asked anew, at once. Example: reconciler.begin_leaving(now)
  void begin_leaving(TimePoint now);
  // Whether this daemon's store is still in the set, or its successor does not hold the newest value yet.
  bool is_handing_over(TimePoint now) const;

  // What the set needs now, if anything.
  std::optional<SetChange> due_change(TimePoint now);
  // A replica's machine answers as another store: its disk is gone. The new store is admitted in the old one's place,
  // by any member, if the living bear that. Example: reconciler.readmission(entry, StoreId{"fresh"}, now)
  std::optional<SetChange> readmission(const AcceptorEntry& wiped, const StoreId& fresh, TimePoint now) const;
  std::vector<OutboundMessage> drain_outbound() { return std::exchange(out_, {}); }

 private:
  struct Learner {
    StoreId store;
    TimePoint since, heard;
    Ballot accepted;
    TimePoint joinable_at;     // when its data were last not above what is chosen here
    int overtaken = 0;         // how often a write was made to get past its data, or its promise
    bool is_refusing = false;  // it has promised a ballot above the chosen one
  };
  struct Answered {
    StoreId store;
    Ballot accepted;
    TimePoint at;
  };
  Duration silence(const AcceptorEntry& entry, TimePoint now) const;
  Duration reported_silence(const Address& address, TimePoint now) const;
  bool is_in_set(const Address& address) const;
  std::vector<MemberView> members(TimePoint now) const;
  std::vector<LearnerView> learners(TimePoint now) const;
  std::optional<MembershipChange> plan(TimePoint now) const;
  std::optional<SetChange> due_overtaking(TimePoint now);
  SetChange guarded(const MembershipChange& planned, const DecisionRight& right) const;
  bool may_join(const Learner& learner) const;
  void on_accepted(const Address& from, const Accepted& accepted);
  void sync_learner(const Address& address, const Learner& learner);
  void watch_set(TimePoint now);

  const RegisterProposer& proposer_;
  DaemonEntry self_;
  MembershipPolicy policy_;
  RandomGenerator random_;
  std::int64_t ask_;
  DecisionRight right_;
  bool is_leaving_ = false;
  TimePoint leaving_since_;
  std::vector<StoreId> successors_;  // who was asked to take this daemon's place
  TimePoint timer_at_, awake_since_, bootstrapped_at_{-100000};
  std::vector<AcceptorEntry> watched_set_;
  TimePoint set_changed_at_{-100000};
  std::map<Address, Answered> answered_;
  std::map<Address, TimePoint> member_since_;  // as seen here: before that, nobody was asked regularly
  std::map<Address, Learner> learners_;
  std::map<Address, TimePoint> asked_;
  std::map<Address, ZoneName> zones_;
  std::vector<OutboundMessage> out_;
};

}  // namespace emberdale
