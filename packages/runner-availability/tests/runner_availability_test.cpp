// What a daemon knows of the list of runners: own readings, reports, and how old they are on its own clock.
#include "emberdale/runner_availability.hpp"

#include <gtest/gtest.h>

namespace emberdale {
namespace {

const RunnerName one{"one"}, two{"two"};
const Address receiver{"receiver"};

ListReading reading(std::int64_t begun_at, std::set<RunnerName> in_service, std::set<RunnerName> draining) {
  return {TimePoint{begun_at}, std::move(in_service), std::move(draining)};
}

TEST(AvailabilityTracker, AMarkCountsFromTheLastReadingWithoutIt) {
  AvailabilityTracker tracker;
  EXPECT_TRUE(tracker.take(reading(100, {one, two}, {})));
  EXPECT_TRUE(tracker.take(reading(1000, {two}, {one})));
  EXPECT_TRUE(tracker.take(reading(1900, {two}, {one})));
  ASSERT_EQ(tracker.current().unavailable.size(), 1u);
  EXPECT_EQ(tracker.current().unavailable.at(one), TimePoint{100});
  EXPECT_EQ(tracker.current().age(TimePoint{2000}), Duration{100});
}

TEST(AvailabilityTracker, AReadingThatWasHeldUpAndAnEmptyOneChangeNothing) {
  AvailabilityTracker tracker;
  EXPECT_TRUE(tracker.take(reading(1000, {two}, {one})));
  EXPECT_FALSE(tracker.take(reading(900, {one, two}, {})));
  EXPECT_FALSE(tracker.take(reading(1100, {}, {})));
  EXPECT_EQ(tracker.current().unavailable.count(one), 1u);
  EXPECT_EQ(*tracker.current().read_at, TimePoint{1000});
}

TEST(AvailabilityTracker, ARunnerThatIsListedNoMoreStaysUnavailableForAWhile) {
  AvailabilityTracker tracker;
  tracker.take(reading(0, {one, two}, {}));
  for (std::int64_t at = 1000; at <= 16000; at += 1000) {
    tracker.take(reading(at, {two}, {}));
    EXPECT_EQ(tracker.current().unavailable.count(one), 1u) << at;
  }
  tracker.take(reading(17000, {two}, {}));
  EXPECT_TRUE(tracker.current().unavailable.empty());
}

TEST(AvailabilityTracker, ARunnerWhoseMarkIsTakenBackIsAvailable) {
  AvailabilityTracker tracker;
  tracker.take(reading(1000, {two}, {one}));
  tracker.take(reading(2000, {one, two}, {}));
  EXPECT_TRUE(tracker.current().unavailable.empty());
}

// A reader that has just started knows nothing of runners that the list showed as draining before.
TEST(AvailabilityTracker, WhatAReaderHasSaidOutlivesAReaderThatDoesNotKnowIt) {
  AvailabilityTracker reader, started_later, tracker;
  reader.take(reading(1000, {two}, {one}));
  started_later.take(reading(2000, {two}, {}));
  AvailabilityReporter reporter, later_reporter;
  tracker.take(reporter.report_for(receiver, 1100, false, reader, TimePoint{1100}), TimePoint{1100});
  tracker.take(later_reporter.report_for(receiver, 2100, false, started_later, TimePoint{2100}), TimePoint{2100});
  EXPECT_EQ(*tracker.current().read_at, TimePoint{2000});
  EXPECT_EQ(tracker.current().unavailable.count(one), 1u);
}

TEST(AvailabilityTracker, ARunnerThatIsReportedAsRestoredIsAvailable) {
  AvailabilityTracker reader, tracker;
  AvailabilityReporter reporter;
  reader.take(reading(1000, {two}, {one}));
  tracker.take(reporter.report_for(receiver, 1100, false, reader, TimePoint{1100}), TimePoint{1100});
  reader.take(reading(2000, {one, two}, {}));
  tracker.take(reporter.report_for(receiver, 2100, false, reader, TimePoint{2100}), TimePoint{2100});
  EXPECT_TRUE(tracker.current().unavailable.empty());
}

// The reporter's clock has nothing to do with the receiver's; the way back may take any time.
TEST(AvailabilityReporter, AgesCountBackFromTheReceiversRequest) {
  AvailabilityTracker reader, tracker;
  reader.take(reading(50000, {one, two}, {}));
  reader.take(reading(50900, {two}, {one}));
  AvailabilityReporter reporter;
  AvailabilityReport report = reporter.report_for(receiver, 700, false, reader, TimePoint{51000});
  EXPECT_TRUE(tracker.take(report, TimePoint{5000}));
  EXPECT_EQ(*tracker.current().read_at, TimePoint{600});
  EXPECT_EQ(tracker.current().unavailable.at(one), TimePoint{-300});
}

TEST(AvailabilityReporter, RunnersGoAlongOnceAndAgainWhenTheyWereLost) {
  AvailabilityTracker reader, tracker;
  reader.take(reading(1000, {two}, {one}));
  AvailabilityReporter reporter;
  reporter.report_for(receiver, 0, false, reader, TimePoint{1100});  // is lost on its way
  reader.take(reading(1900, {two}, {one}));
  AvailabilityReport second = reporter.report_for(receiver, 900, false, reader, TimePoint{2000});
  EXPECT_TRUE(second.omits_runners);
  EXPECT_FALSE(tracker.take(second, TimePoint{950}));
  EXPECT_TRUE(tracker.lacks_runners());
  EXPECT_FALSE(tracker.current().read_at);
  AvailabilityReport third = reporter.report_for(receiver, 960, true, reader, TimePoint{2050});
  EXPECT_TRUE(tracker.take(third, TimePoint{1000}));
  EXPECT_FALSE(tracker.lacks_runners());
  EXPECT_EQ(tracker.current().unavailable.count(one), 1u);
}

TEST(AvailabilityTracker, AnOlderReportChangesNothing) {
  AvailabilityTracker reader, lagging, tracker;
  reader.take(reading(2000, {two}, {one}));
  lagging.take(reading(1000, {one, two}, {}));
  AvailabilityReporter reporter, lagging_reporter;
  EXPECT_TRUE(tracker.take(reporter.report_for(receiver, 3000, false, reader, TimePoint{2100}), TimePoint{3100}));
  EXPECT_FALSE(
      tracker.take(lagging_reporter.report_for(receiver, 3000, false, lagging, TimePoint{2100}), TimePoint{3100}));
  EXPECT_EQ(tracker.current().unavailable.count(one), 1u);
}

TEST(AvailabilityTracker, AReportWithoutAReadingSaysNothing) {
  AvailabilityTracker reader, tracker;
  AvailabilityReporter reporter;
  EXPECT_FALSE(tracker.take(reporter.report_for(receiver, 0, false, reader, TimePoint{100}), TimePoint{100}));
  EXPECT_FALSE(tracker.lacks_runners());
  EXPECT_FALSE(tracker.current().read_at);
}

}  // namespace
}  // namespace emberdale
