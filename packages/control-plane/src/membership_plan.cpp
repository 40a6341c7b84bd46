#include "emberdale/membership_plan.hpp"

#include <algorithm>
#include <map>

namespace emberdale {
namespace {

constexpr std::size_t fewest_members = 3;

std::size_t majority_of(std::size_t size) { return size / 2 + 1; }

bool holds(const std::vector<AcceptorEntry>& set, const AcceptorEntry& wanted) {
  return std::any_of(set.begin(), set.end(),
                     [&](const auto& entry) { return entry.store == wanted.store && entry.address == wanted.address; });
}

std::vector<ZoneName> zones_without(const std::vector<MemberView>& members, const std::vector<AcceptorEntry>& removed) {
  std::vector<ZoneName> zones;
  for (const auto& member : members)
    if (!holds(removed, member.entry))
      zones.push_back(member.zone);
  return zones;
}

// The sum of the squares of the members in each zone. The lower, the more evenly they are spread, and the fewer are
// lost with one zone.
std::size_t concentration(const std::vector<ZoneName>& zones) {
  std::map<ZoneName, std::size_t> counts;
  for (const auto& zone : zones)
    ++counts[zone];
  std::size_t sum = 0;
  for (const auto& [zone, count] : counts)
    sum += count * count;
  return sum;
}

// The learner that spreads the set best over zones; among equals one that holds the newest value already.
const LearnerView* best_learner(const std::vector<ZoneName>& zones, const std::vector<LearnerView>& learners,
                                const std::vector<AcceptorEntry>& taken) {
  const LearnerView* best = nullptr;
  std::size_t best_concentration = 0;
  for (const auto& learner : learners) {
    if (holds(taken, learner.entry))
      continue;
    std::vector<ZoneName> with = zones;
    with.push_back(learner.zone);
    std::size_t concentration_with = concentration(with);
    bool is_better = best == nullptr || concentration_with < best_concentration ||
                     (concentration_with == best_concentration && learner.is_synced && !best->is_synced);
    if (!is_better)
      continue;
    best = &learner;
    best_concentration = concentration_with;
  }
  return best;
}

}  // namespace

std::vector<AcceptorEntry> MembershipChange::applied_to(const std::vector<AcceptorEntry>& set) const {
  std::vector<AcceptorEntry> next;
  for (const auto& entry : set)
    if (!holds(removed, entry))
      next.push_back(entry);
  next.insert(next.end(), added.begin(), added.end());
  std::sort(next.begin(), next.end(), [](const auto& a, const auto& b) { return a.address < b.address; });
  return next;
}

std::string MembershipChange::detail() const {
  std::string text;
  for (const auto& entry : removed)
    text += (text.empty() ? "" : " ") + entry.address.text;
  for (std::size_t i = 0; i < added.size(); ++i)
    text += std::string(text.empty() ? "" : i == 0 && !removed.empty() ? " by " : " ") + added[i].address.text;
  return text;
}

std::optional<MembershipChange> plan_replacement(const std::vector<MemberView>& members,
                                                 const std::vector<LearnerView>& learners) {
  MembershipChange change;
  change.kind = "replacing";
  for (const auto& member : members) {
    if (!member.is_dead || change.removed.size() == learners.size())
      continue;
    change.removed.push_back(member.entry);
  }
  std::vector<ZoneName> zones = zones_without(members, change.removed);
  for (std::size_t i = 0; i < change.removed.size(); ++i) {
    const LearnerView* learner = best_learner(zones, learners, change.added);
    zones.push_back(learner->zone);
    change.added.push_back(learner->entry);
  }
  if (change.removed.empty())
    return std::nullopt;
  return change;
}

std::optional<MembershipChange> plan_hand_over(const AcceptorEntry& leaver, const std::vector<MemberView>& members,
                                               const std::vector<LearnerView>& learners,
                                               const MembershipPolicy& policy) {
  MembershipChange change;
  change.removed = {leaver};
  const LearnerView* learner = best_learner(zones_without(members, change.removed), learners, {});
  if (learner != nullptr) {
    change.kind = "handing over";
    change.added = {learner->entry};
    return change;
  }
  bool is_spared = members.size() % 2 == 0 && members.size() > policy.wanted_members();
  if (!is_spared)
    return std::nullopt;
  change.kind = "dropping";
  return change;
}

std::optional<MembershipChange> plan_growth(const std::vector<MemberView>& members,
                                            const std::vector<LearnerView>& learners, const MembershipPolicy& policy) {
  bool is_each_answering = std::all_of(members.begin(), members.end(), [](const auto& m) { return m.is_answering; });
  if (!is_each_answering)
    return std::nullopt;
  std::vector<LearnerView> awaited;
  std::copy_if(learners.begin(), learners.end(), std::back_inserter(awaited),
               [](const auto& learner) { return learner.is_awaited; });
  std::size_t size = std::min(policy.wanted_members(), members.size() + awaited.size());
  size -= size % 2 == 0 ? 1 : 0;
  if (size <= members.size())
    return std::nullopt;
  MembershipChange change;
  change.kind = "adding";
  std::vector<ZoneName> zones = zones_without(members, {});
  while (zones.size() < size) {
    const LearnerView* learner = best_learner(zones, awaited, change.added);
    zones.push_back(learner->zone);
    change.added.push_back(learner->entry);
  }
  return change;
}

std::optional<MembershipChange> plan_drop(const std::vector<MemberView>& members) {
  std::size_t answering = 0;
  std::vector<AcceptorEntry> long_dead;
  for (const auto& member : members) {
    answering += member.is_answering ? 1 : 0;
    if (member.is_long_dead)
      long_dead.push_back(member.entry);
  }
  // An even set loses one, an odd set two: another number would leave the majority as large as it was.
  std::size_t count = members.size() % 2 == 0 ? 1 : 2;
  if (long_dead.size() < count || answering < fewest_members || members.size() < fewest_members + count)
    return std::nullopt;
  long_dead.resize(count);
  MembershipChange change;
  change.kind = "dropping";
  change.removed = std::move(long_dead);
  return change;
}

bool is_borne_by_living(const MembershipChange& change, const std::vector<MemberView>& members,
                        const std::vector<LearnerView>& learners) {
  std::size_t answering = 0, staying = 0, size = members.size() - change.removed.size() + change.added.size();
  for (const auto& member : members) {
    answering += member.is_answering ? 1 : 0;
    staying += member.is_answering && !holds(change.removed, member.entry) ? 1 : 0;
  }
  for (const auto& learner : learners)
    staying += learner.is_answering && holds(change.added, learner.entry) ? 1 : 0;
  return answering >= majority_of(members.size()) && staying >= majority_of(size);
}

}  // namespace emberdale
