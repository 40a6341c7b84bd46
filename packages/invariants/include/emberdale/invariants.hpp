// The invariants of the code that are checked while it runs, and the counters of their checks and violations.
#pragma once
#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "emberdale/small_types.hpp"

namespace emberdale {

// What must always hold; docs/invariants.md says where each one is checked.
enum class Invariant {
  no_attempt_after_caller_departed,   // once a caller's departure was reported, no attempt of its call starts
  departed_caller_attempt_cancelled,  // and the attempt in flight is cancelled within a bound
  no_attempt_to_unavailable_runner,   // no attempt starts to a runner that the sender's view does not show in service
  runner_list_fresh,                  // a master that may read service discovery does so within a bound
  attempts_within_limit,              // no call is attempted more often than its route allows
  no_attempt_after_deadline,          // no attempt starts once the deadline of its call has passed
  list_age_bounded,  // no attempt starts by a reading of the list older than a bound, unless nobody can say more
  gateway_evidence_bounded,  // no directory answer names a data daemon of which nothing was heard for a bound
};
constexpr std::size_t invariant_count = 8;

// The name of the invariant's counters and log lines. Example: to_string(Invariant::runner_list_fresh) ==
// "runner_list_fresh"
const char* to_string(Invariant invariant);

// What a check was about. Views and numbers only, so that a check that holds costs no memory.
struct InvariantContext {
  std::int64_t call = 0;    // index of the call; 0: the check is about no single call
  std::string_view runner;  // empty: about no runner
  TimePoint now;
  std::int64_t measured = 0, bound = 0;  // ms or attempts; 0 where there is nothing to measure
};

// Counts checks and violations. Safe for use by several threads.
//
// Use: counters.record(Invariant::attempts_within_limit, attempts <= limit, {index, runner.text, now, attempts,
// limit});
class InvariantCounters {
 public:
  // Counts a check; one that does not hold is counted as a violation, the first of each invariant is logged as an
  // error.
  void record(Invariant invariant, bool holds, const InvariantContext& context);
  std::int64_t checks(Invariant invariant) const { return entry(invariant).checks; }
  std::int64_t violations(Invariant invariant) const { return entry(invariant).violations; }
  // For metrics: the violations of each invariant as "invariant_NAME", its checks as "invariant_NAME_checks".
  std::map<std::string, std::int64_t> counters() const;

 private:
  struct Entry {
    std::atomic<std::int64_t> checks{0}, violations{0};
  };
  const Entry& entry(Invariant invariant) const { return entries_[static_cast<std::size_t>(invariant)]; }

  std::array<Entry, invariant_count> entries_;
};

// The counters of this process, which the checkers use unless they are given others. Every test program fails if one of
// its tests adds a violation to them (packages/invariants/tests/support).
InvariantCounters& process_invariants();

}  // namespace emberdale
