#include "emberdale/invariants.hpp"

#include <gtest/gtest.h>

#include <set>
#include <thread>
#include <vector>

using namespace emberdale;

TEST(InvariantCounters, CountChecksAndViolations) {
  InvariantCounters counters;
  counters.record(Invariant::runner_list_fresh, true, {});
  counters.record(Invariant::runner_list_fresh, false, {0, {}, TimePoint{5000}, 4000, 3000});
  counters.record(Invariant::runner_list_fresh, false, {0, {}, TimePoint{9000}, 4000, 3000});
  EXPECT_EQ(counters.checks(Invariant::runner_list_fresh), 3);
  EXPECT_EQ(counters.violations(Invariant::runner_list_fresh), 2);
  EXPECT_EQ(counters.checks(Invariant::attempts_within_limit), 0);
}

TEST(InvariantCounters, NameTwoMetricsForEachInvariant) {
  InvariantCounters counters;
  counters.record(Invariant::attempts_within_limit, false, {1, "model-1", TimePoint{1}, 3, 2});
  auto metrics = counters.counters();
  EXPECT_EQ(metrics.size(), 2 * invariant_count);
  EXPECT_EQ(metrics.at("invariant_attempts_within_limit"), 1);
  EXPECT_EQ(metrics.at("invariant_attempts_within_limit_checks"), 1);
  EXPECT_EQ(metrics.at("invariant_no_attempt_after_caller_departed"), 0);
}

TEST(InvariantCounters, HaveANameForEveryInvariant) {
  std::set<std::string> names;
  for (std::size_t i = 0; i < invariant_count; ++i)
    names.insert(to_string(static_cast<Invariant>(i)));
  EXPECT_EQ(names.size(), invariant_count);
  EXPECT_EQ(names.count("unknown"), 0u);
}

TEST(InvariantCounters, LoseNothingBetweenThreads) {
  constexpr int thread_count = 4, records = 10000;
  InvariantCounters counters;
  std::vector<std::thread> threads;
  for (int i = 0; i < thread_count; ++i)
    threads.emplace_back([&] {
      for (int record = 0; record < records; ++record)
        counters.record(Invariant::runner_list_fresh, record % 2 == 0, {});
    });
  for (auto& thread : threads)
    thread.join();
  EXPECT_EQ(counters.checks(Invariant::runner_list_fresh), thread_count * records);
  EXPECT_EQ(counters.violations(Invariant::runner_list_fresh), thread_count * records / 2);
}
