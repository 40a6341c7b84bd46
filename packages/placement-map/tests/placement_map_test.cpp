#include "emberdale/placement_map.hpp"
#include "emberdale/warmup_shares.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>

#include "emberdale/placement_slices.hpp"

using namespace emberdale;

TEST(PlacementMap, TheSharesOfAColdRunnerNeverExceedWhatItBears) {
  EXPECT_TRUE(rc::check([](const std::string& name) {
    auto allowance = *rc::gen::inRange<std::int64_t>(0, 20);
    auto count = *rc::gen::inRange(0, 12);
    std::vector<std::string> daemons;
    for (int i = 0; i < count; ++i)
      daemons.push_back("d" + std::to_string(i));
    std::int64_t sum = 0;
    for (const auto& grant : split_allowance(name, allowance, daemons))
      sum += grant.requests;
    RC_ASSERT(sum == (count == 0 ? 0 : allowance));
  }));
}

TEST(PlacementMap, LosingOneNameMovesOnlyItsOwnShare) {
  std::vector<std::string> names{"a", "b", "c", "d", "e"};
  for (int i = 0; i < 200; ++i) {
    std::string key = "key " + std::to_string(i), first = rendezvous_rank(key, names).front();
    std::string after = rendezvous_rank(key, {"a", "b", "d", "e"}).front();
    if (first != "c") {
      EXPECT_EQ(after, first);
    }
  }
}

namespace {
PlacementMap some_map(std::int64_t number, RandomGenerator& random) {
  PlacementMap map;
  map.version = {1, number};
  map.config_revision = number;
  for (int i = 0; i < 6; ++i) {
    if (random.chance(0.3))
      continue;
    RunnerRow row;
    row.name.text = "r" + std::to_string(i);
    row.pool.text = "p";
    row.load = random.below(3);
    map.runners.push_back(row);
  }
  return map;
}
}  // namespace

TEST(MapSlices, ASubscriberEndsWithTheHomesRowsThroughLossAndNeverGoesBack) {
  EXPECT_TRUE(rc::check([](std::uint64_t seed) {
    RandomGenerator random(seed);
    SlicePublisher homes[2];
    SliceReplica holder;
    Address self{"d"};
    PlacementMap newest;
    MapVersion last;
    auto subscribe = [&](int home) {
      Subscribe ask;
      ask.topics.push_back({"pool:p", holder.version()});
      homes[home].on_subscribe(self, ask, TimePoint{0});
    };
    auto bring = [&](double loss) {
      for (auto& home : homes)
        for (auto& message : home.drain_outbound())
          if (!random.chance(loss))
            holder.apply(std::get<SliceUpdate>(message.message));
      RC_ASSERT(!(holder.version() < last));
      last = holder.version();
    };
    for (std::int64_t number = 1; number <= 30; ++number) {
      newest = some_map(number, random);
      homes[0].on_map(newest, TimePoint{0});
      if (random.chance(0.6))
        homes[1].on_map(newest, TimePoint{0});  // the other home lags now and then
      if (random.chance(0.5))
        subscribe(static_cast<int>(random.below(2)));
      bring(0.4);
    }
    for (int i = 0; i < 2; ++i) {
      subscribe(0);
      bring(0);
    }
    RC_ASSERT(holder.version() == newest.version);
    RC_ASSERT(holder.rows() == slice_rows(newest, "pool:p"));
  }));
}

TEST(MapSlices, OnlyWhatChangedIsSentAgain) {
  SlicePublisher home;
  RandomGenerator random(1);
  PlacementMap map = some_map(1, random);
  map.runners.clear();
  for (int i = 0; i < 50; ++i) {
    RunnerRow row;
    row.name.text = "r" + std::to_string(i);
    row.pool.text = "p";
    map.runners.push_back(row);
  }
  home.on_map(map, TimePoint{0});
  Subscribe ask;
  ask.topics.push_back({"pool:p", {}});
  home.on_subscribe(Address{"d"}, ask, TimePoint{0});
  EXPECT_EQ(home.rows_sent(), 50);
  map.version = {1, 2};
  map.runners[7].load = 5;
  home.on_map(map, TimePoint{0});
  EXPECT_EQ(home.rows_sent(), 51);
}

TEST(WarmupShares, AShareIsGivenOnOnlyWhenItsHolderCanNoLongerUseIt) {
  auto sum = [](const std::vector<WarmupGrant>& grants) {
    std::int64_t calls = 0;
    for (const auto& grant : grants)
      calls += grant.requests;
    return calls;
  };
  auto held_by = [](const std::vector<WarmupGrant>& grants, const std::string& daemon) {
    for (const auto& grant : grants)
      if (grant.daemon.text == daemon)
        return grant.requests;
    return std::int64_t{0};
  };
  RunnerRow row;
  row.name.text = "m1";
  row.incarnation = 7;
  row.allowance = 2;
  WarmupShares shares;
  shares.begin(PlacementMap{}, false, TimePoint{0});
  auto first = shares.share(row, {"d1", "d2"}, {"d1", "d2", "d3"}, TimePoint{0});
  EXPECT_EQ(sum(first), 2);
  // More daemons come: who has a share keeps it.
  auto more = shares.share(row, {"d1", "d2", "d4", "d5"}, {"d1", "d2", "d3", "d4", "d5"}, TimePoint{100});
  EXPECT_EQ(held_by(more, "d1"), held_by(first, "d1"));
  EXPECT_EQ(held_by(more, "d2"), held_by(first, "d2"));
  // One goes silent: its lease is waited for, and longer while the runner still works on something.
  EXPECT_EQ(sum(shares.share(row, {"d2", "d4"}, {"d2", "d3", "d4"}, TimePoint{5000})), held_by(first, "d2"));
  std::int64_t lapsed = 5000 + WarmupShares::settling.value;
  EXPECT_EQ(sum(shares.share(row, {"d2", "d4"}, {"d2", "d3", "d4"}, TimePoint{lapsed - 1})), held_by(first, "d2"));
  row.load = 1;
  EXPECT_EQ(sum(shares.share(row, {"d2", "d4"}, {"d2", "d3", "d4"}, TimePoint{lapsed})), held_by(first, "d2"));
  row.load = 0;
  EXPECT_EQ(sum(shares.share(row, {"d2", "d4"}, {"d2", "d3", "d4"}, TimePoint{lapsed + 50})), 2);
  // A new life of the runner: nothing of the old one counts.
  row.incarnation = 8;
  EXPECT_EQ(sum(shares.share(row, {"d4"}, {"d2", "d3", "d4"}, TimePoint{8000})), 2);
  // Alive, but no longer among those who get some: its lease is waited for.
  auto moved = shares.share(row, {"d2"}, {"d2", "d3", "d4"}, TimePoint{9000});
  EXPECT_EQ(sum(moved), 0);
  EXPECT_EQ(sum(shares.share(row, {"d2"}, {"d2", "d3", "d4"}, TimePoint{9000 + WarmupShares::settling.value})), 2);
}

TEST(WarmupShares, ANewTermGivesNothingThatTheElderMayHaveGiven) {
  RunnerRow row;
  row.name.text = "m1";
  row.incarnation = 7;
  row.allowance = 2;
  WarmupShares shares;
  shares.begin(PlacementMap{}, true, TimePoint{0});
  EXPECT_TRUE(shares.share(row, {"d1"}, {"d1"}, TimePoint{100}).empty());
  EXPECT_EQ(shares.share(row, {"d1"}, {"d1"}, TimePoint{0} + WarmupShares::settling).size(), 1u);
}
