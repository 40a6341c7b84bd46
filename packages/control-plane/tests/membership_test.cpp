// The replica set as machines leave, are lost and come: learners, succession, its size and its rate of change.
// Virtual time, many seeds.
#include <iostream>

#include "support/machine_fleet.hpp"

namespace emberdale {
namespace {

struct LeaverCase {
  std::int64_t successor_ran_for, loss_after;
};

// Of three machines one is stopped in order, and another loses its power after it has ended.
// Gives the time from that loss to the next edit that is acknowledged; 15 s at most are waited for.
std::int64_t outage_after_leaver(std::uint64_t seed, const LeaverCase& tried, bool does_leave_in_order) {
  MachineFleet fleet(seed);
  auto names = bring_up(fleet, 3);
  fleet.delay = seed % 2 == 0 ? 1 : 30;  // one way: within a zone, or between regions
  std::size_t leaver = seed % 3;
  fleet.add("new", fleet.at(names[leaver]).zone.text, false);
  fleet.start("new", false);
  fleet.run(tried.successor_ran_for);
  if (does_leave_in_order)
    fleet.stop(names[leaver]);
  else
    fleet.kill(names[leaver]);
  EXPECT_TRUE(fleet.run_until([&] { return !fleet.at(names[leaver]).is_up; }, 8000)) << fleet.trace();
  fleet.run(tried.loss_after);
  std::string second = names[(leaver + 1 + seed / 3 % 2) % 3];
  fleet.power_cut(second);
  std::int64_t lost_at = fleet.now();
  fleet.edit_until_done(15000);
  std::int64_t outage = fleet.now() - lost_at;
  for (const auto& name : {names[leaver], second})
    fleet.start(name, false);
  EXPECT_TRUE(fleet.edit_until_done(15000)) << fleet.trace();
  fleet.expect_nothing_lost("new");
  return outage;
}

// How often the set changes while time passes, and whether the living had a majority all the time.
struct Watched {
  int changes = 0;
  std::int64_t without_majority = 0;  // ms
};
Watched watch(MachineFleet& fleet, std::int64_t ms, const std::function<void()>& act = nullptr) {
  Watched watched;
  const std::int64_t step = 25;
  auto set = fleet.newest_state().acceptors;
  for (std::int64_t end = fleet.now() + ms; fleet.now() < end;) {
    if (act)
      act();
    fleet.run(step);
    if (!fleet.has_live_majority())
      watched.without_majority += step;
    auto found = fleet.newest_state().acceptors;
    bool is_same = std::equal(set.begin(), set.end(), found.begin(), found.end(),
                              [](const auto& a, const auto& b) { return a.store == b.store; });
    watched.changes += is_same ? 0 : 1;
    set = std::move(found);
  }
  return watched;
}

AcceptorEntry entry(const std::string& name) { return AcceptorEntry{StoreId{"store-" + name}, Address{name}}; }

MemberView member(const std::string& name, const std::string& zone, bool is_living = true) {
  MemberView view;
  view.entry = entry(name);
  view.zone.text = zone;
  view.is_answering = is_living;
  view.is_dead = view.is_long_dead = !is_living;
  return view;
}

LearnerView learner(const std::string& name, const std::string& zone) {
  LearnerView view;
  view.entry = entry(name);
  view.zone.text = zone;
  view.is_awaited = true;
  return view;
}

std::string show(const std::optional<MembershipChange>& change) {
  return change ? change->kind + " " + change->detail() : "nothing";
}

TEST(MembershipPlan, TheWantedSizeIsOddAndToleratesTheLosses) {
  for (std::size_t lost : {0u, 1u, 2u, 3u, 4u, 50u}) {
    std::size_t size = MembershipPolicy{lost}.wanted_members();
    EXPECT_EQ(size % 2, 1u);
    EXPECT_GE(size, 3u);
    EXPECT_LE(size, 9u);
    if (lost <= 4) {
      EXPECT_GE(size - lost, size / 2 + 1);
    }
  }
}

TEST(MembershipPlan, TheSetGrowsToOddSizesOnlyAndOverZones) {
  std::vector<MemberView> three{member("a0", "a"), member("b0", "b"), member("c0", "c")};
  EXPECT_EQ(show(plan_growth(three, {learner("a1", "a"), learner("b1", "b")}, {1})), "nothing");
  EXPECT_EQ(show(plan_growth(three, {learner("a1", "a")}, {2})), "nothing");
  EXPECT_EQ(show(plan_growth(three, {learner("a1", "a"), learner("a2", "a"), learner("b1", "b")}, {2})),
            "adding a1 b1");
  EXPECT_EQ(show(plan_growth({member("a0", "a")}, {learner("b0", "b")}, {1})), "nothing");
  EXPECT_EQ(show(plan_growth({member("a0", "a"), member("b0", "b")}, {learner("c0", "c")}, {1})), "adding c0");
  three[1].is_answering = false;
  EXPECT_EQ(show(plan_growth(three, {learner("a1", "a"), learner("b1", "b")}, {2})), "nothing");
}

TEST(MembershipPlan, ASuccessorKeepsTheMembersSpreadOverZones) {
  std::vector<MemberView> members{member("a0", "a"), member("b0", "b"), member("c0", "c", false)};
  std::vector<LearnerView> learners{learner("a1", "a"), learner("c1", "c")};
  EXPECT_EQ(show(plan_replacement(members, learners)), "replacing c0 by c1");
  EXPECT_EQ(show(plan_replacement(members, {learner("a1", "a")})), "replacing c0 by a1");
  EXPECT_EQ(show(plan_replacement(members, {})), "nothing");
  EXPECT_EQ(show(plan_hand_over(entry("b0"), members, learners, {1})), "handing over b0 by a1");
  EXPECT_EQ(show(plan_hand_over(entry("b0"), members, {}, {1})), "nothing");
  std::vector<MemberView> four{member("a0", "a"), member("a1", "a"), member("b0", "b"), member("c0", "c")};
  EXPECT_EQ(show(plan_hand_over(entry("b0"), four, {}, {1})), "dropping b0");
  EXPECT_EQ(show(plan_hand_over(entry("b0"), four, {}, {2})), "nothing");
}

TEST(MembershipPlan, DeadMembersAreRemovedOnlyIfTheMajorityGetsSmaller) {
  std::vector<MemberView> five{member("a", "a"), member("b", "b"), member("c", "c"), member("d", "d"),
                               member("e", "e", false)};
  EXPECT_EQ(show(plan_drop(five)), "nothing");
  five[3] = member("d", "d", false);
  EXPECT_EQ(show(plan_drop(five)), "dropping d e");
  five[2] = member("c", "c", false);
  EXPECT_EQ(show(plan_drop(five)), "nothing");
  std::vector<MemberView> four{member("a", "a"), member("b", "b"), member("c", "c"), member("d", "d", false)};
  EXPECT_EQ(show(plan_drop(four)), "dropping d");
  std::vector<MemberView> three{member("a", "a"), member("b", "b"), member("c", "c", false)};
  EXPECT_EQ(show(plan_drop(three)), "nothing");
}

// Whatever is planned for whatever has been lost: where it may begin, the living alone are a majority of both sets.
TEST(MembershipPlan, NoChangeThatMayBeginNeedsLostMachines) {
  RandomGenerator random(7);
  int begun = 0;
  for (int round = 0; round < 20000; ++round) {
    std::vector<MemberView> members;
    std::vector<LearnerView> learners;
    std::set<StoreId> living;
    std::vector<AcceptorEntry> set;
    std::int64_t member_count = 1 + random.below(9), learner_count = random.below(4);
    for (std::int64_t i = 0; i < member_count; ++i) {
      members.push_back(member("m" + std::to_string(i), std::string(1, static_cast<char>('a' + random.below(3))),
                               random.chance(0.6)));
      set.push_back(members.back().entry);
      if (members.back().is_answering)
        living.insert(members.back().entry.store);
    }
    for (std::int64_t i = 0; i < learner_count; ++i) {
      learners.push_back(learner("l" + std::to_string(i), "a"));
      learners.back().is_answering = random.chance(0.7);
      if (learners.back().is_answering)
        living.insert(learners.back().entry.store);
    }
    MembershipPolicy policy{static_cast<std::size_t>(random.below(5))};
    for (const auto& change : {plan_replacement(members, learners), plan_hand_over(set[0], members, learners, policy),
                               plan_growth(members, learners, policy), plan_drop(members)}) {
      if (!change || !is_borne_by_living(*change, members, learners))
        continue;
      ++begun;
      auto next = change->applied_to(set);
      EXPECT_TRUE(has_majority(set, next, living)) << show(change);
      EXPECT_TRUE(has_majority(next, {}, living)) << show(change);
      EXPECT_EQ(next.size(), set.size() - change->removed.size() + change->added.size());
    }
  }
  EXPECT_GT(begun, 1000);
}

// The loss that follows a leaver finds the leaver's successor in its place, however soon it comes.
TEST(Membership, AStoppingMemberIsReplacedBeforeItEnds) {
  for (const LeaverCase& tried : {LeaverCase{4000, 100}, LeaverCase{4000, 1000}, LeaverCase{4000, 3000},
                                  LeaverCase{9000, 100}, LeaverCase{9000, 3000}, LeaverCase{12000, 6000}}) {
    std::int64_t longest = 0, without_majority = 0;
    for (std::uint64_t seed = 1; seed <= seed_count / 3; ++seed) {
      std::int64_t outage = outage_after_leaver(seed, tried, true);
      longest = std::max(longest, outage);
      EXPECT_LT(outage, seed % 2 == 0 ? 8000 : 9000);  // the election takes longer over slow connections
      without_majority += outage >= 15000 ? 1 : 0;
    }
    std::cout << "successor ran for " << tried.successor_ran_for << " ms, loss " << tried.loss_after
              << " ms after the leaver's end: longest outage " << longest << " ms, without a majority in "
              << without_majority << " of " << seed_count / 3 << " seeds\n";
    EXPECT_EQ(without_majority, 0);
  }
}

// Beside a full set a newcomer is a learner: it has no vote, but receives each value. What comes first, the leaver or
// the loss, and how long it was there, makes no difference.
TEST(Membership, ANewcomerBesideAFullSetIsALearner) {
  for (std::uint64_t seed = 1; seed <= seed_count / 3; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    MachineFleet fleet(seed);
    auto names = bring_up(fleet, 3);
    fleet.add("new", "b", false);
    fleet.start("new", false);
    Watched watched = watch(fleet, 14000);
    EXPECT_EQ(watched.changes, 0) << fleet.trace();
    EXPECT_TRUE(fleet.has_set("new", names)) << fleet.trace();
    EXPECT_TRUE(fleet.edit_until_done(4000));
    EXPECT_TRUE(fleet.run_until([&] { return fleet.is_synced_learner("new", names[0]); }, 2000)) << fleet.trace();
    fleet.kill(names[seed % 3]);
    EXPECT_TRUE(fleet.run_until([&] { return fleet.is_member("new", "new"); }, 4500)) << fleet.trace();
    fleet.power_cut(names[(seed + 1) % 3]);
    EXPECT_TRUE(fleet.edit_until_done(15000)) << fleet.trace();
    fleet.expect_nothing_lost("new");
    if (HasFailure())
      return;
  }
}

// A machine that is stopped and started again, without a successor, ends as quickly as before and keeps its place.
TEST(Membership, WithoutALearnerAStoppingMemberEndsAtOnce) {
  for (std::uint64_t seed = 1; seed <= seed_count / 3; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    MachineFleet fleet(seed);
    auto names = bring_up(fleet, 3);
    for (const auto& name : names) {
      std::int64_t stopped_at = fleet.now();
      fleet.stop(name);
      EXPECT_TRUE(fleet.run_until([&] { return !fleet.at(name).is_up; }, 8000));
      EXPECT_LE(fleet.now() - stopped_at, 320) << fleet.trace();
      fleet.run(1000);
      fleet.start(name, false);
      EXPECT_TRUE(fleet.run_until([&] { return fleet.is_settled(names); }, 8000)) << fleet.trace();
    }
    fleet.expect_nothing_lost(names[0]);
    if (HasFailure())
      return;
  }
}

// Six machines are stopped and started again in turn: the learner takes each place, and no one is added back
// while it ends.
TEST(Membership, ARollingRestartOfSixNeverLosesTheMajority) {
  for (std::uint64_t seed = 1; seed <= seed_count / 3; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    MachineFleet fleet(seed);
    auto names = bring_up(fleet, 6);
    fleet.run(2000);
    for (const auto& name : names) {
      std::int64_t stopped_at = fleet.now();
      fleet.stop(name);
      EXPECT_TRUE(fleet.run_until([&] { return !fleet.at(name).is_up; }, 8000));
      EXPECT_LE(fleet.now() - stopped_at, 1500) << fleet.trace();
      EXPECT_FALSE(fleet.is_member(name, fleet.running().front())) << fleet.trace();
      EXPECT_EQ(watch(fleet, 1000).without_majority, 0) << fleet.trace();
      EXPECT_FALSE(fleet.is_member(name, fleet.running().front())) << fleet.trace();
      fleet.start(name, false);
      EXPECT_TRUE(fleet.run_until([&] { return fleet.is_settled(names); }, 9000)) << fleet.trace();
    }
    EXPECT_TRUE(fleet.edit_until_done(4000));
    fleet.expect_nothing_lost(names[0]);
    if (HasFailure())
      return;
  }
}

// Members that see each other silent, though others hear both, are not swapped back and forth.
TEST(Membership, MembersWithPassingFaultsAreNotSwappedBackAndForth) {
  enum class Kind { one_way_cuts, cut_connections, slow_disk, short_pauses, long_pauses };
  for (Kind kind :
       {Kind::one_way_cuts, Kind::cut_connections, Kind::slow_disk, Kind::short_pauses, Kind::long_pauses}) {
    int most = 0;
    std::int64_t without_majority = 0;
    for (std::uint64_t seed = 1; seed <= seed_count / 8; ++seed) {
      SCOPED_TRACE("kind " + std::to_string(static_cast<int>(kind)) + " seed " + std::to_string(seed));
      MachineFleet fleet(seed);
      auto names = bring_up(fleet, 3);
      for (const char* zone : {"a", "b"}) {
        fleet.add(std::string("new-") + zone, zone, false);
        fleet.start(std::string("new-") + zone, false);
      }
      fleet.run(3000);
      auto& random = fleet.random();
      std::string one = names[seed % 3], other = names[(seed + 1) % 3];
      if (kind == Kind::one_way_cuts) {
        fleet.cut_one_way(one, other);
        fleet.cut_one_way(other, names[(seed + 2) % 3]);
      }
      if (kind == Kind::cut_connections)
        fleet.cut_connection(one, other);
      if (kind == Kind::slow_disk)
        fleet.at(one).extra_disk_ms = 3000;
      std::int64_t next_pause = fleet.now();
      Watched watched = watch(fleet, 60000, [&] {
        if (kind < Kind::short_pauses || fleet.now() < next_pause)
          return;
        std::int64_t length = kind == Kind::short_pauses ? 500 + random.below(1500) : 2600 + random.below(2000);
        std::string paused = names[static_cast<std::size_t>(random.below(3))];
        fleet.freeze(paused, true);
        fleet.later(length, [&fleet, paused] { fleet.freeze(paused, false); });
        next_pause = fleet.now() + length + 500 + random.below(1000);
      });
      most = std::max(most, watched.changes);
      if (kind < Kind::short_pauses)
        without_majority = std::max(without_majority, watched.without_majority);
      fleet.heal();
      fleet.at(one).extra_disk_ms = 0;
      fleet.run(6000);
      EXPECT_TRUE(fleet.edit_until_done(15000)) << fleet.trace();
      fleet.expect_nothing_lost(one);
    }
    std::cout << "kind " << static_cast<int>(kind) << ": most changes of the set in 60 s " << most
              << ", longest without a living majority " << without_majority << " ms\n";
    EXPECT_EQ(without_majority, 0);
    EXPECT_LE(most, kind == Kind::short_pauses || kind == Kind::slow_disk ? 0 : kind == Kind::long_pauses ? 15 : 6);
  }
}

// Machines leave in order, die, freeze, lose their disks or are replaced, in any order, while no more than the policy
// allows are away at once (a machine counts as away for a while after it is back): the living always have a majority.
TEST(Membership, NoSequenceOfLossesAndChangesLosesTheMajority) {
  for (int count : {3, 6}) {
    std::int64_t longest = 0;
    for (std::uint64_t seed = 1; seed <= seed_count / 5; ++seed) {
      SCOPED_TRACE(std::to_string(count) + " machines seed " + std::to_string(seed));
      MachineFleet fleet(seed);
      auto names = bring_up(fleet, count);
      const std::int64_t catch_up = count == 3 ? 4000 : 6000;
      auto& random = fleet.random();
      for (int round = 0; round < 10; ++round) {
        std::size_t which = static_cast<std::size_t>(random.below(static_cast<std::int64_t>(names.size())));
        std::string name = names[which], fresh = "new" + std::to_string(round);
        std::int64_t kind = random.below(5), away = random.below(5000);
        std::int64_t without_majority = 0;
        bool comes_first = kind == 3 && random.chance(0.5);  // the successor is there before its forerunner goes
        if (kind >= 3)
          fleet.add(fresh, fleet.at(name).zone.text, false);
        if (comes_first) {
          fleet.start(fresh, false);
          without_majority += watch(fleet, 1500 + random.below(10000)).without_majority;
        }
        if (kind == 0)
          fleet.power_cut(name);
        if (kind == 1)
          fleet.freeze(name, true);
        if (kind == 2) {
          fleet.power_cut(name);
          fleet.wipe(name);
        }
        if (kind == 3)
          fleet.stop(name);
        if (kind == 4)
          fleet.kill(name);
        without_majority += watch(fleet, comes_first ? random.below(500) : away).without_majority;
        if (kind == 1)
          fleet.freeze(name, false);
        else if (kind <= 2)
          fleet.start(name, false);
        else if (!comes_first)
          fleet.start(fresh, false);
        if (kind >= 3)
          names[which] = fresh;
        without_majority += watch(fleet, catch_up).without_majority;
        longest = std::max(longest, without_majority);
        EXPECT_EQ(without_majority, 0) << "round " << round << " kind " << kind << " " << name << "\n" << fleet.trace();
        if (HasFailure())
          return;
      }
      EXPECT_TRUE(fleet.edit_until_done(15000)) << fleet.trace();
      fleet.expect_nothing_lost(fleet.running().front());
    }
    std::cout << count << " machines: longest without a living majority " << longest << " ms\n";
  }
}

// Control daemons without a disk keep no replica: they may be seeds, bootstrap the fleet, lead it, and decide on the
// set.
TEST(Membership, MachinesWithoutADiskTakePartWithoutAReplica) {
  for (std::size_t diskless : {0u, 2u})
    for (std::uint64_t seed = 1; seed <= seed_count / 3; ++seed) {
      SCOPED_TRACE("diskless " + std::to_string(diskless) + " seed " + std::to_string(seed));
      MachineFleet fleet(seed);
      auto names = fleet.add_many(6);
      fleet.at(names[diskless]).has_disk = false;
      for (const auto& name : names)
        fleet.start(name, true);
      auto stores = names;
      stores.erase(stores.begin() + static_cast<std::ptrdiff_t>(diskless));
      auto is_whole = [&] {
        return !fleet.master().empty() && fleet.has_wanted_set(names[diskless], stores);
      };
      EXPECT_TRUE(fleet.run_until(is_whole, 12000)) << fleet.trace();
      EXPECT_EQ(fleet.bootstraps(), 1) << fleet.trace();
      fleet.run(2000);
      // A lost replica is replaced, whoever leads; the loss of one more leaves a majority.
      std::string lost = fleet.is_member(stores[0], names[diskless]) ? stores[0] : stores[1];
      fleet.power_cut(lost);
      stores.erase(std::find(stores.begin(), stores.end(), lost));
      EXPECT_TRUE(fleet.run_until([&] { return fleet.has_wanted_set(names[diskless], stores); }, 9000))
          << fleet.trace();
      EXPECT_TRUE(fleet.has_live_majority());
      EXPECT_TRUE(fleet.edit_until_done(15000)) << fleet.trace();
      fleet.expect_nothing_lost(names[diskless]);
      if (HasFailure())
        return;
    }
}

// Two disks in each of three zones, and two machines or one zone may be lost: five replicas, two a zone at most.
TEST(Membership, TwoDisksAZoneTolerateTheLossOfTwoMachinesOrOfAZone) {
  for (bool is_zone_lost : {false, true})
    for (std::uint64_t seed = 1; seed <= seed_count / 3; ++seed) {
      SCOPED_TRACE("seed " + std::to_string(seed));
      MachineFleet fleet(seed);
      auto names = bring_up(fleet, 6);
      ASSERT_EQ(fleet.newest_state().acceptors.size(), 5u) << fleet.trace();
      std::size_t first = static_cast<std::size_t>(fleet.random().below(3)), second = first + 3;
      if (!is_zone_lost)
        second = 3 + (first + 1) % 3;
      fleet.power_cut(names[first]);
      fleet.power_cut(names[second]);
      Watched watched = watch(fleet, 6000);
      EXPECT_EQ(watched.without_majority, 0) << fleet.trace();
      EXPECT_TRUE(fleet.edit_until_done(15000)) << fleet.trace();
      fleet.expect_nothing_lost(fleet.running().front());
      if (HasFailure())
        return;
    }
}

}  // namespace
}  // namespace emberdale
