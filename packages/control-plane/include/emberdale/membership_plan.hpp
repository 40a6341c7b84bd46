// Which replicas the register should have: pure functions of what is known of members and learners.
// Without I/O, clock or state.
#pragma once
#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "emberdale/messages.hpp"

namespace emberdale {

// How many losses the set of replicas has to bear.
struct MembershipPolicy {
  std::size_t lost_machines = 1;  // how many machines may be lost at the same time

  // 2f + 1, from three to nine: an even set bears no more losses than the odd one below it, and needs one vote more.
  std::size_t wanted_members() const { return std::clamp(lost_machines, std::size_t{1}, std::size_t{4}) * 2 + 1; }
};

// A replica that votes, as the deciding daemon sees it.
struct MemberView {
  AcceptorEntry entry;
  ZoneName zone;
  bool is_answering = false;  // it answered the deciding daemon just now, as the store that the set names
  bool is_dead = false;       // silent for long enough to be replaced
  bool is_long_dead = false;  // silent for long enough to leave the set without a successor
};

// A store outside the set that answers and may be admitted.
struct LearnerView {
  AcceptorEntry entry;
  ZoneName zone;
  bool is_synced = false;    // it holds the newest value that is known to be chosen
  bool is_awaited = false;   // it has been there for long enough to grow the set
  bool is_answering = true;  // it answered the deciding daemon just now
};

// A change of the set: which replicas are removed, and which are added.
struct MembershipChange {
  std::vector<AcceptorEntry> removed, added;
  std::string kind;  // of the event that records it, such as "replacing", "adding", "dropping"

  std::vector<AcceptorEntry> applied_to(const std::vector<AcceptorEntry>& set) const;
  std::string detail() const;
};

// Replaces members that are dead by learners: as many as there are learners for.
std::optional<MembershipChange> plan_replacement(const std::vector<MemberView>& members,
                                                 const std::vector<LearnerView>& learners);
// Hands the place of one member, which is about to stop, over to a learner. Without a learner the member is dropped
// from an even set that is larger than wanted, and else stays.
std::optional<MembershipChange> plan_hand_over(const AcceptorEntry& leaver, const std::vector<MemberView>& members,
                                               const std::vector<LearnerView>& learners,
                                               const MembershipPolicy& policy);
// Grows the set towards the wanted size, to odd sizes alone, while every member answers.
std::optional<MembershipChange> plan_growth(const std::vector<MemberView>& members,
                                            const std::vector<LearnerView>& learners, const MembershipPolicy& policy);
// Drops members that are long dead where that lowers the majority: to an odd size, and to three at least.
std::optional<MembershipChange> plan_drop(const std::vector<MemberView>& members);

// Whether a majority of the set, and of the set after the change, answered the deciding daemon just now: a change that
// begins otherwise might need machines that are lost.
bool is_borne_by_living(const MembershipChange& change, const std::vector<MemberView>& members,
                        const std::vector<LearnerView>& learners);

}  // namespace emberdale
