// Linked into every test program: a test that adds a violation to the counters of the process fails.
#include <gtest/gtest.h>

#include <array>

#include "emberdale/invariants.hpp"

namespace emberdale {
namespace {

class FailOnViolation : public testing::EmptyTestEventListener {
 public:
  void OnTestEnd(const testing::TestInfo&) override { report_new_violations(); }
  // Of threads that went on between the tests.
  void OnEnvironmentsTearDownStart(const testing::UnitTest&) override { report_new_violations(); }

 private:
  void report_new_violations() {
    for (std::size_t i = 0; i < invariant_count; ++i) {
      auto invariant = static_cast<Invariant>(i);
      std::int64_t violations = process_invariants().violations(invariant);
      if (violations > reported_[i])
        ADD_FAILURE() << "invariant violated: " << to_string(invariant) << ", " << violations - reported_[i]
                      << " times; the log says where";
      reported_[i] = violations;
    }
  }

  std::array<std::int64_t, invariant_count> reported_{};
};

// Before main: the listener is there for all tests.
[[maybe_unused]] const bool is_installed = [] {
  testing::UnitTest::GetInstance()->listeners().Append(new FailOnViolation);  // which owns it
  return true;
}();

}  // namespace
}  // namespace emberdale
