// A process that was paused (stopped, swapped out, a machine that slept) knows nothing of what came meanwhile. It reads
// the register before it feeds subscribers or publishes again. Without I/O, clock or threads.
#pragma once
#include <cstdint>
#include <optional>

#include "emberdale/small_types.hpp"

namespace emberdale {

class ResumeBarrier {
 public:
  void start(TimePoint now) { active_at_ = now; }
  // Called with each timer and message. The length of the pause if this is the first of them after one.
  std::optional<Duration> on_activity(TimePoint now);
  // After a pause: the register read that has to be confirmed before all goes on.
  void wait_for(std::int64_t register_read, TimePoint now);
  // Whether that read is still awaited. It is given up after a second: the process then goes on with what it has, and
  // says how old that is.
  bool is_waiting(std::int64_t confirmed_read, TimePoint now) const;

 private:
  TimePoint active_at_;             // the last timer or message
  TimePoint resumed_at_;            // the end of the last pause
  std::int64_t register_read_ = 0;  // the read that was started then; 0: there was no pause
};

}  // namespace emberdale
