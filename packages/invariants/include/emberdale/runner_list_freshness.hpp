// The invariant that the master's list of runners is fresh: it reads service discovery often enough while it may.
// Without I/O, clock or threads.
#pragma once
#include <optional>

#include "emberdale/invariants.hpp"

namespace emberdale {

// Watches the interval from one complete reading of the list to the next. An interval is excused if the daemon was not
// allowed to read (it does not lead, or has no quorum), if it was suspended, or if a reading failed or was not answered
// in time: then the last list stands by design.
class RunnerListFreshness {
 public:
  static constexpr Duration longest_interval{3000};
  static constexpr Duration longest_answer{1000};          // a reading that takes longer excuses the interval
  static constexpr Duration longest_timer_interval{1000};  // the process was suspended for longer

  explicit RunnerListFreshness(InvariantCounters& counters = process_invariants()) : counters_(&counters) {}

  // Called on every timer; `may_read` is true while this daemon leads and may read the list.
  void on_timer(bool may_read, TimePoint now);
  void on_reading_begun(TimePoint now) { reading_since_ = now; }
  // Complete, or failed on the way.
  void on_reading_ended(bool is_complete, TimePoint now);

  // Since the last complete reading; nothing if there was none.
  std::optional<Duration> age(TimePoint now) const;

 private:
  void check(TimePoint now);

  InvariantCounters* counters_;
  std::optional<TimePoint> last_timer_at_, complete_at_, reading_since_;
  bool is_excused_ = true;    // until the first complete reading
  bool is_recorded_ = false;  // the violation of this interval has been counted
};

}  // namespace emberdale
