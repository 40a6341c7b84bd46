// The digest of a day: the same for the same seed, another for another seed; nothing of it is lost.
#include "emberdale/trace_digest.hpp"

#include <gtest/gtest.h>

#include "emberdale/random_scenario.hpp"

namespace emberdale {
namespace {

ScenarioPlan traced_day() {
  ScenarioPlan plan;
  plan.length = Duration{3000};
  plan.shape.calls_per_second = 30;
  plan.shape.is_traced = true;
  return plan;
}

std::string digest_of(const std::string& first, const std::string& second) {
  TraceDigest trace;
  trace.record(TraceEvent::disk_write, 1200, first, second);
  return trace.digest();
}

TEST(TraceDigest, DependsOnKindTimeFieldsAndTheirBounds) {
  EXPECT_EQ(digest_of("a0", "record"), digest_of("a0", "record"));
  EXPECT_NE(digest_of("a0", "record"), digest_of("a0", "recorD"));
  EXPECT_NE(digest_of("a0", "record"), digest_of("a0r", "ecord"));
  TraceDigest later, other_kind;
  later.record(TraceEvent::disk_write, 1201, "a0", "record");
  other_kind.record(TraceEvent::disk_snapshot, 1200, "a0", "record");
  EXPECT_NE(later.digest(), digest_of("a0", "record"));
  EXPECT_NE(other_kind.digest(), digest_of("a0", "record"));
}

TEST(TraceDigest, KeepsEventsBeyondOneBlock) {
  std::string many_bytes(1 << 20, 'x');
  TraceDigest one, other;
  one.record(TraceEvent::disk_write, 1, "first");
  other.record(TraceEvent::disk_write, 1, "other");
  for (TraceDigest* trace : {&one, &other})
    trace->record(TraceEvent::disk_write, 2, many_bytes);
  EXPECT_NE(one.digest(), other.digest());
}

TEST(TraceDigest, SameSeedGivesTheSameDigestAndAnotherSeedAnother) {
  std::string digest = run_random_scenario(1, traced_day()).trace_digest;
  EXPECT_EQ(digest.size(), 64u);
  EXPECT_EQ(digest, run_random_scenario(1, traced_day()).trace_digest);
  EXPECT_NE(digest, run_random_scenario(2, traced_day()).trace_digest);
}

TEST(TraceDigest, ADayThatIsNotTracedHasNoneAndRunsAlike) {
  ScenarioPlan untraced = traced_day();
  untraced.shape.is_traced = false;
  FaultInjectionResult without = run_random_scenario(3, untraced), with = run_random_scenario(3, traced_day());
  EXPECT_EQ(without.trace_digest, "");
  EXPECT_EQ(without.event_log, with.event_log);
  EXPECT_EQ(without.calls.arrived, with.calls.arrived);
}

}  // namespace
}  // namespace emberdale
