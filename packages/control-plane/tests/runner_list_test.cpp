// The runner list of service discovery: which runners warm up and for how long, and what a bad list may not do.
#include "emberdale/runner_list.hpp"

#include <gtest/gtest.h>

#include "emberdale/draining_runner_watch.hpp"

namespace emberdale {
namespace {

const TimePoint start{100000};

TimePoint after(std::int64_t duration_ms) { return start + Duration{duration_ms}; }

ListedRunner listed(const std::string& name, const std::string& zone = "a", std::int64_t warmup_left = 0) {
  ListedRunner runner;
  runner.name.text = name;
  runner.http = name + ":80";
  runner.pool.text = "models";
  runner.zone.text = zone;
  runner.region.text = "north";
  runner.slots = 64;
  runner.warmup_left = Duration{warmup_left};
  return runner;
}

std::map<PoolName, RoutePool> pools(double warmup_requests_per_s = 45) {
  RoutePool pool;
  pool.name.text = "models";
  pool.warmup_requests_per_s = warmup_requests_per_s;
  return {{pool.name, pool}};
}

RunnerList begun() {
  RunnerList list;
  list.begin(start);
  return list;
}

RunnerStatus status_of(const RunnerList& list, const std::string& name, TimePoint now,
                       std::map<RunnerName, RunnerStatus> statuses = {}, double warmup_requests_per_s = 45) {
  list.fill(statuses, pools(warmup_requests_per_s), now);
  return statuses.at(RunnerName{name});
}

bool is_warming_up(const RunnerList& list, const std::string& name, TimePoint now) {
  return status_of(list, name, now).is_warming_up;
}

std::map<RunnerName, RunnerStatus> probed(const std::string& name, bool is_reachable, bool is_warming_up) {
  RunnerStatus status;
  status.name.text = name;
  status.is_reachable = is_reachable;
  status.is_warming_up = is_warming_up;
  return {{status.name, status}};
}

TEST(RunnerList, ItsEntriesAreThoseOfTheList) {
  RunnerList list = begun();
  EXPECT_FALSE(list.is_known());
  ListedRunner leaving = listed("r2", "b");
  leaving.is_leaving = true;
  ListedRunner nameless = listed(""), nowhere = listed("r3");
  nowhere.http.clear();
  list.take({listed("r1"), leaving, nameless, nowhere}, start, after(10));
  EXPECT_TRUE(list.is_known());
  auto entries = list.entries();
  ASSERT_EQ(entries.size(), 2u);  // without a name or an address there is nothing to send to
  EXPECT_EQ(
      entries[0].name.text + entries[0].http + entries[0].pool.text + entries[0].zone.text + entries[0].region.text,
      "r1r1:80modelsanorth");
  EXPECT_FALSE(entries[0].is_leaving);
  EXPECT_TRUE(entries[1].is_leaving);
  list.take({listed("r1")}, after(900), after(910));
  EXPECT_EQ(list.entries().size(), 1u);
}

TEST(RunnerList, WarmupByTheListCountsFromTheBeginOfItsReading) {
  RunnerList list = begun();
  list.take({listed("r1", "a", 3000), listed("r2")}, after(0), after(400));
  EXPECT_TRUE(is_warming_up(list, "r1", after(2999)));
  EXPECT_FALSE(is_warming_up(list, "r1", after(3000)));
  EXPECT_FALSE(is_warming_up(list, "r2", after(400)));
  // The list lags: one that says less does not end it sooner, one that says more makes it longer.
  list.take({listed("r1", "a", 0)}, after(900), after(910));
  EXPECT_TRUE(is_warming_up(list, "r1", after(2999)));
  list.take({listed("r1", "a", 5000)}, after(1800), after(1810));
  EXPECT_TRUE(is_warming_up(list, "r1", after(6799)));
  EXPECT_FALSE(is_warming_up(list, "r1", after(6800)));
}

TEST(RunnerList, WarmupByAProbeAndNeverInAPoolWithoutWarmup) {
  RunnerList list = begun();
  list.take({listed("r1", "a", 0)}, start, start);
  EXPECT_FALSE(status_of(list, "r1", start, probed("r1", true, false)).is_warming_up);
  RunnerStatus cold = status_of(list, "r1", start, probed("r1", true, true));
  EXPECT_TRUE(cold.is_warming_up);
  EXPECT_EQ(cold.capacity, 64);
  EXPECT_EQ(cold.allowance, 45);
  EXPECT_FALSE(status_of(list, "r1", start, probed("r1", true, true), 0).is_warming_up);
  RunnerList early = begun();
  early.take({listed("r1", "a", 3000)}, start, start);
  EXPECT_FALSE(status_of(early, "r1", start, {}, 0).is_warming_up);
}

TEST(RunnerList, AListedRunnerIsReachableUnlessAProbeSaysOtherwise) {
  RunnerList list = begun();
  ListedRunner bare = listed("r2");
  bare.slots = 0;
  list.take({listed("r1"), bare}, start, start);
  EXPECT_TRUE(status_of(list, "r1", start).is_reachable);
  EXPECT_FALSE(status_of(list, "r1", start, probed("r1", false, false)).is_reachable);
  EXPECT_GT(status_of(list, "r2", start).capacity, 0);  // without slots in the list
  std::map<RunnerName, RunnerStatus> statuses = probed("unlisted", true, false);
  list.fill(statuses, pools(), start);
  EXPECT_EQ(statuses.size(), 3u);
}

TEST(RunnerList, ARestoredZoneCountsAsWarmingUpUntilTheListHasCaughtUp) {
  RunnerList list = begun();
  list.take({listed("r1", "a"), listed("r2", "b")}, start, start);
  list.zone_taken_back(ZoneName{"a"}, after(100));
  EXPECT_TRUE(is_warming_up(list, "r1", after(100)));
  EXPECT_FALSE(is_warming_up(list, "r2", after(100)));
  // A reading that began too early may still show the state before, whenever it ends.
  TimePoint caught_up = after(100) + RunnerList::longest_lag;
  list.take({listed("r1", "a"), listed("r2", "b")}, TimePoint{caught_up.value - 1}, after(5000));
  EXPECT_TRUE(is_warming_up(list, "r1", after(5000)));
  list.take({listed("r1", "a", 2000), listed("r2", "b")}, caught_up, after(5100));
  EXPECT_TRUE(is_warming_up(list, "r1", caught_up + Duration{1999}));  // now by the list itself
  EXPECT_FALSE(is_warming_up(list, "r1", caught_up + Duration{2000}));
}

TEST(RunnerList, AnEmptyListIsAcceptedOnlyTheThirdTimeInARow) {
  RunnerList list = begun();
  list.take({listed("r1")}, start, start);
  for (int round = 0; round < 2; ++round) {
    list.take({}, start, start);
    list.take({}, start, start);
    EXPECT_EQ(list.entries().size(), 1u);
    if (round == 0)
      list.take({listed("r1")}, start, start);  // the count begins anew
  }
  list.take({}, start, start);
  EXPECT_TRUE(list.entries().empty());
  // Where nothing was listed, nothing is lost by believing it.
  RunnerList fresh = begun();
  fresh.take({}, start, start);
  EXPECT_TRUE(fresh.is_known());
}

TEST(RunnerList, AFailedReadingKeepsTheLastGoodListAndTheNextComesAtItsInterval) {
  RunnerList list = begun();
  ASSERT_TRUE(list.is_read_due(start));
  list.take({listed("r1")}, start, after(100));
  EXPECT_FALSE(list.is_read_due(TimePoint{(start + RunnerList::read_interval).value - 1}));
  ASSERT_TRUE(list.is_read_due(start + RunnerList::read_interval));
  list.failed();
  EXPECT_TRUE(list.is_known());
  EXPECT_EQ(list.entries().size(), 1u);
  TimePoint failed_at = start + RunnerList::read_interval;
  EXPECT_FALSE(list.is_read_due(failed_at));  // not at once: the list's calls are counted
  EXPECT_TRUE(list.is_read_due(failed_at + RunnerList::read_interval));
}

TEST(RunnerList, AReadingThatNeverEndsIsStartedAgain) {
  RunnerList list = begun();
  ASSERT_TRUE(list.is_read_due(start));
  EXPECT_FALSE(list.is_read_due(after(2999)));
  EXPECT_TRUE(list.is_read_due(after(3000)));
  EXPECT_FALSE(list.is_read_due(after(3001)));
}

TEST(RunnerList, ANewTermBeginsWithoutAListAndReadsAtOnce) {
  RunnerList list = begun();
  ASSERT_TRUE(list.is_read_due(start));
  list.take({listed("r1", "a", 60000)}, start, start);
  list.zone_taken_back(ZoneName{"a"}, start);
  list.take({}, start, start);
  list.take({}, start, start);
  ASSERT_TRUE(list.is_read_due(after(900)));  // a reading is under way
  list.begin(after(1000));
  EXPECT_FALSE(list.is_known());
  EXPECT_TRUE(list.entries().empty());
  EXPECT_TRUE(list.is_read_due(after(1000)));
  list.take({listed("r1")}, after(1000), after(1000));
  EXPECT_FALSE(is_warming_up(list, "r1", after(1000)));
  list.take({}, after(1000), after(1000));  // the empty lists of before don't count
  EXPECT_EQ(list.entries().size(), 1u);
}

PlacementMap map_with_runner(const std::string& name) {
  PlacementMap map;
  RunnerRow row;
  row.name.text = name;
  row.state = RunnerState::warm;
  map.runners.push_back(row);
  return map;
}

// An empty list is more likely a fault of service discovery than the end of all runners: marks stand meanwhile.
TEST(DrainingRunnerWatch, AnEmptyListLeavesTheMarksOfTheLastOne) {
  ListedRunner leaving;
  leaving.name.text = "r1";
  leaving.is_leaving = true;
  DrainingRunnerWatch watch;
  PlacementMap map = map_with_runner("r1");
  TimePoint read_at{1000};
  EXPECT_EQ(watch.take({leaving}, read_at).size(), 1u);
  EXPECT_EQ(watch.due_blocks(map, read_at).size(), 1u);
  TimePoint empty_at = read_at + DrainingRunnerWatch::read_interval;
  watch.take({}, empty_at);
  EXPECT_EQ(watch.due_blocks(map, empty_at).size(), 1u);
  TimePoint lapsed_at = read_at + DrainingRunnerWatch::reading_lifetime + Duration{1};
  EXPECT_TRUE(watch.due_blocks(map, lapsed_at).empty());
}

}  // namespace
}  // namespace emberdale
