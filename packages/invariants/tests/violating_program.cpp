// A test program with a planted violation, which must fail; invariant-mode-test runs it.
#include <gtest/gtest.h>

#include "emberdale/invariants.hpp"

namespace emberdale {
namespace {

TEST(ViolatingProgram, AddsNoViolation) {
  process_invariants().record(Invariant::attempts_within_limit, true, {});
  EXPECT_EQ(process_invariants().violations(Invariant::attempts_within_limit), 0);
}

TEST(ViolatingProgram, AddsAViolation) {
  process_invariants().record(Invariant::attempts_within_limit, false, {7, "model-1", TimePoint{5}, 3, 2});
  EXPECT_EQ(process_invariants().violations(Invariant::attempts_within_limit), 1);
}

}  // namespace
}  // namespace emberdale
