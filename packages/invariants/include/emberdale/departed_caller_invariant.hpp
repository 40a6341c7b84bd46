// The invariant of callers that have left: nothing new is sent for them, and what is in flight is cancelled.
// Without I/O, clock or threads.
#pragma once
#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <vector>

#include "emberdale/invariants.hpp"

namespace emberdale {

// Told by a relay what it does for its calls. Keeps one entry for each open call. For use by one thread.
//
// Use: on_call_opened(index); on_attempt_started(index, now); on_attempt_ended(index, now); on_call_closed(index);
//      on_caller_departed(index, now) where a departure is reported, and check(now) now and then.
class DepartedCallerInvariant {
 public:
  // From the report of a departure until the attempt in flight is cancelled.
  static constexpr Duration longest_cancellation{100};

  explicit DepartedCallerInvariant(InvariantCounters& counters = process_invariants()) : counters_(&counters) {}

  void on_call_opened(std::int64_t call) { open_calls_[call] = {}; }
  // The attempt becomes the call's current one. A call that is closed or was never opened has no caller any more.
  void on_attempt_started(std::int64_t call, TimePoint now);
  // The current attempt was cancelled or its result has come; ignored if the call has none.
  void on_attempt_ended(std::int64_t call, TimePoint now);
  // The caller's connection was reported closed. The first report counts.
  void on_caller_departed(std::int64_t call, TimePoint now);
  // The call is over. If its caller departed, its attempt is still watched until it has ended.
  void on_call_closed(std::int64_t call);
  // Finds attempts of departed callers that are overdue. Costs nothing while none is in flight.
  void check(TimePoint now);

  std::size_t tracked_calls() const { return open_calls_.size(); }

 private:
  struct CallState {
    bool has_attempt = false, is_closed = false;
    std::optional<TimePoint> departed_at;
  };
  void record_cancellation(std::int64_t call, TimePoint departed_at, TimePoint now);

  InvariantCounters* counters_;
  absl::flat_hash_map<std::int64_t, CallState> open_calls_;
  std::vector<std::int64_t> uncancelled_;  // calls whose caller departed during an attempt that has not ended
};

}  // namespace emberdale
