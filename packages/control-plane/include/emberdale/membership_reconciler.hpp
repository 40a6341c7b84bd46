// Minds the set of core machines without an operator: watches when each copy last answered here, finds
// newcomers, and says which change of the set is due. CoreSet carries it out. Without I/O, clock or threads.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "emberdale/register_proposer.hpp"

namespace emberdale {

// A change of the set that is due, with words for the journal.
struct SetChange {
  Change change;
  std::string kind, detail;
};

// Example:
//   MembershipReconciler reconciler(proposer, self, Dice(1)); reconciler.start(now);
//   reconciler.see_daemons(heard, now); reconciler.on_message(from, message, now); reconciler.on_timer(now);
//   if (auto due = reconciler.due_change(now)) proposer.change(due->change, ...);
class MembershipReconciler {
 public:
  MembershipReconciler(const RegisterProposer& proposer, Address self, RandomGenerator random)
      : proposer_(proposer), self_(std::move(self)), random_(random), ask_(first_ask(random_)) {}

  void start(Moment now) { timer_at_ = awake_since_ = now; }
  // Daemons that were heard of: those outside the set are asked for their stores, at most once a second each.
  void see_daemons(const std::vector<DaemonEntry>& daemons, Moment now);
  void on_message(const Address& from, const Message& message, Moment now);
  // After a pause (a frozen process, a machine that slept) silences are counted anew. Example: reconciler.on_timer(now)
  void on_timer(Moment now);
  // This daemon has just founded the fleet: who is there by now is added without the usual wait.
  void on_founded(Moment now) { founded_at_ = now; }
  // What the set needs now, if anything: a newcomer for a silent copy, one more copy, or a dead member less.
  std::optional<SetChange> due_change(Moment now);
  std::vector<Sending> take_out() { return std::exchange(out_, {}); }

 private:
  struct Newcomer {
    StoreId store;
    Moment since, heard;
    bool may_join = false;
    int overtaken = 0;  // how often a write was made to get past its data
  };
  struct Answered {
    StoreId store;
    Moment at;
  };
  Span silence(const AcceptorEntry& entry, Moment now) const;
  bool is_in_set(const Address& address) const;

  const RegisterProposer& proposer_;
  Address self_;
  RandomGenerator random_;
  Integer ask_;
  Moment timer_at_, awake_since_, founded_at_{-100000};
  std::map<Address, Answered> answered_;
  std::map<Address, Moment> member_since_;  // as seen here: before that, nobody was asked regularly
  std::map<Address, Newcomer> newcomers_;
  std::map<Address, Moment> asked_;
  std::map<Address, ZoneName> zones_;
  std::vector<Sending> out_;
};

}  // namespace emberdale
