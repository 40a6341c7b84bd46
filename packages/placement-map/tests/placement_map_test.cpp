// Tests of rendezvous hashing, of the slices of the placement map, and of slow-start quotas.
#include "emberdale/placement_map.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>

#include "emberdale/placement_slices.hpp"
#include "emberdale/warmup_allocator.hpp"

namespace emberdale {
namespace {

TEST(PlacementMap, TheGrantsOfARunnerThatWarmsUpNeverExceedItsAllowance) {
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

TEST(PlacementMap, TheLossOfANameMovesOnlyItsOwnKeys) {
  std::vector<std::string> names{"a", "b", "c", "d", "e"};
  for (int i = 0; i < 200; ++i) {
    std::string key = "key " + std::to_string(i), first = rendezvous_rank(key, names).front();
    std::string after = rendezvous_rank(key, {"a", "b", "d", "e"}).front();
    if (first != "c") {
      EXPECT_EQ(after, first);
    }
  }
}

// A map of term 1 with a random part of six runners.
PlacementMap random_map(std::int64_t number, RandomGenerator& random) {
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

TEST(PlacementSlices, AReplicaConvergesInSpiteOfLossAndNeverGoesBack) {
  EXPECT_TRUE(rc::check([](std::uint64_t seed) {
    RandomGenerator random(seed);
    SlicePublisher publishers[2];
    SliceReplica replica;
    Address self{"d"};
    PlacementMap newest;
    MapVersion last;
    auto subscribe = [&](int publisher) {
      Subscribe request;
      request.topics.push_back({"pool:p", replica.version()});
      publishers[publisher].on_subscribe(self, request, TimePoint{0});
    };
    auto deliver = [&](double loss) {
      for (auto& publisher : publishers)
        for (auto& outbound : publisher.drain_outbound())
          if (!random.chance(loss))
            replica.apply(std::get<SliceUpdate>(outbound.message));
      RC_ASSERT(!(replica.version() < last));
      last = replica.version();
    };
    for (std::int64_t number = 1; number <= 30; ++number) {
      newest = random_map(number, random);
      publishers[0].on_map(newest, TimePoint{0});
      if (random.chance(0.6))
        publishers[1].on_map(newest, TimePoint{0});  // the other publisher lags now and then
      if (random.chance(0.5))
        subscribe(static_cast<int>(random.below(2)));
      deliver(0.4);
    }
    for (int i = 0; i < 2; ++i) {
      subscribe(0);
      deliver(0);
    }
    RC_ASSERT(replica.version() == newest.version);
    RC_ASSERT(replica.rows() == slice_rows(newest, "pool:p"));
  }));
}

TEST(PlacementSlices, OnlyChangedRowsAreSentAgain) {
  SlicePublisher publisher;
  RandomGenerator random(1);
  PlacementMap map = random_map(1, random);
  map.runners.clear();
  for (int i = 0; i < 50; ++i) {
    RunnerRow row;
    row.name.text = "r" + std::to_string(i);
    row.pool.text = "p";
    map.runners.push_back(row);
  }
  publisher.on_map(map, TimePoint{0});
  Subscribe request;
  request.topics.push_back({"pool:p", {}});
  publisher.on_subscribe(Address{"d"}, request, TimePoint{0});
  EXPECT_EQ(publisher.rows_sent(), 50);
  map.version = {1, 2};
  map.runners[7].load = 5;
  publisher.on_map(map, TimePoint{0});
  EXPECT_EQ(publisher.rows_sent(), 51);
}

TEST(WarmupAllocator, AGrantPassesToAnotherOnlyWhenItsHolderCanNoLongerUseIt) {
  auto sum = [](const std::vector<WarmupGrant>& grants) {
    std::int64_t requests = 0;
    for (const auto& grant : grants)
      requests += grant.requests;
    return requests;
  };
  auto granted_to = [](const std::vector<WarmupGrant>& grants, const std::string& daemon) {
    for (const auto& grant : grants)
      if (grant.daemon.text == daemon)
        return grant.requests;
    return std::int64_t{0};
  };
  RunnerRow row;
  row.name.text = "m1";
  row.incarnation = 7;
  row.allowance = 2;
  WarmupAllocator shares;
  shares.begin_term(PlacementMap{}, false, TimePoint{0});
  auto first = shares.share(row, {"d1", "d2"}, {"d1", "d2", "d3"}, TimePoint{0});
  EXPECT_EQ(sum(first), 2);
  // More daemons come: those that have a grant keep it.
  auto more = shares.share(row, {"d1", "d2", "d4", "d5"}, {"d1", "d2", "d3", "d4", "d5"}, TimePoint{100});
  EXPECT_EQ(granted_to(more, "d1"), granted_to(first, "d1"));
  EXPECT_EQ(granted_to(more, "d2"), granted_to(first, "d2"));
  // One goes silent: its lease is waited for, and longer while the runner still works on something.
  EXPECT_EQ(sum(shares.share(row, {"d2", "d4"}, {"d2", "d3", "d4"}, TimePoint{5000})), granted_to(first, "d2"));
  std::int64_t lapsed = 5000 + WarmupAllocator::settling_time.value;
  EXPECT_EQ(sum(shares.share(row, {"d2", "d4"}, {"d2", "d3", "d4"}, TimePoint{lapsed - 1})), granted_to(first, "d2"));
  row.load = 1;
  EXPECT_EQ(sum(shares.share(row, {"d2", "d4"}, {"d2", "d3", "d4"}, TimePoint{lapsed})), granted_to(first, "d2"));
  row.load = 0;
  EXPECT_EQ(sum(shares.share(row, {"d2", "d4"}, {"d2", "d3", "d4"}, TimePoint{lapsed + 50})), 2);
  // A new incarnation of the runner: nothing of the previous one counts.
  row.incarnation = 8;
  EXPECT_EQ(sum(shares.share(row, {"d4"}, {"d2", "d3", "d4"}, TimePoint{8000})), 2);
  // Alive, but no longer among those that are granted something: its lease is waited for.
  auto moved = shares.share(row, {"d2"}, {"d2", "d3", "d4"}, TimePoint{9000});
  EXPECT_EQ(sum(moved), 0);
  EXPECT_EQ(sum(shares.share(row, {"d2"}, {"d2", "d3", "d4"}, TimePoint{9000 + WarmupAllocator::settling_time.value})),
            2);
}

TEST(WarmupAllocator, ANewTermGrantsNothingThatThePreviousMasterMayHaveGranted) {
  RunnerRow row;
  row.name.text = "m1";
  row.incarnation = 7;
  row.allowance = 2;
  WarmupAllocator shares;
  shares.begin_term(PlacementMap{}, true, TimePoint{0});
  EXPECT_TRUE(shares.share(row, {"d1"}, {"d1"}, TimePoint{100}).empty());
  EXPECT_EQ(shares.share(row, {"d1"}, {"d1"}, TimePoint{0} + WarmupAllocator::settling_time).size(), 1u);
}

}  // namespace
}  // namespace emberdale
