// The counts of messages that went over a bound.
#include "emberdale/message_limits.hpp"

#include <gtest/gtest.h>

using emberdale::LimitCounters;
using emberdale::LimitFault;

TEST(LimitCounters, CountEachReaderAndFaultByItself) {
  LimitCounters counters;
  counters.record("health", LimitFault::body_too_large);
  counters.record("health", LimitFault::body_too_large);
  counters.record("health", LimitFault::too_slow);
  counters.record("runner", LimitFault::head_too_large);
  EXPECT_EQ(counters.count("health", LimitFault::body_too_large), 2);
  EXPECT_EQ(counters.count("health", LimitFault::too_slow), 1);
  EXPECT_EQ(counters.count("health", LimitFault::head_too_large), 0);
  EXPECT_EQ(counters.count("runner", LimitFault::head_too_large), 1);
}

TEST(LimitCounters, MetricsShowADeclaredReaderBeforeItsFirstFault) {
  LimitCounters counters;
  counters.declare("front");
  counters.record("front", LimitFault::too_slow);
  auto shown = counters.counters();
  EXPECT_EQ(shown.size(), 3U);
  EXPECT_EQ(shown["over_limit_front_too_slow"], 1);
  EXPECT_EQ(shown["over_limit_front_body_too_large"], 0);
}
