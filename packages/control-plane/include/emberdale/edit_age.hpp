// How old a configuration change may be when the master takes it in. A change that names no version is bound by its age
// alone: its client sends it again elsewhere after a while, and a copy that comes later than that could override what
// was acknowledged since. Without I/O, clock or threads.
#pragma once
#include <optional>

#include "emberdale/freshness_times.hpp"
#include "emberdale/messages.hpp"
#include "emberdale/small_types.hpp"

namespace emberdale {

// How long operators wait, and what a daemon does meanwhile. The defaults are for operators that wait for seconds.
struct EditTimes {
  // The master takes a change without a version in within this time of its arrival at a daemon, or never.
  Duration requester_timeout{7000};
  // How long a daemon that knows no master keeps a change of which no copy is out.
  Duration leader_wait{7000};
  // How long it waits for the response of a master that was sent a copy; then the result is unknown.
  Duration response_timeout{6000 + late_ack_wait.value};
  // A daemon that has not reached a majority of the register for so long refuses changes and reads at once, and sends
  // copies only to the master that it follows. Nothing: it waits, and tries the master that the register names.
  std::optional<Duration> contact_limit;
};

// Whether a change is bound by its age: it names no version that can be current but once. That holds for "any version"
// (-1), and for "must not exist" (0), which is true again after a deletion.
bool is_bound_by_age(const EditRequest& request);

// An upper bound of the time since the change arrived at the daemon that sent this copy, by the master's clock alone:
// the master gave out the timestamp before that daemon sent the copy. Nothing: the copy has no timestamp of the
// master's present term.
std::optional<Duration> age_bound(const EditRequest& request, TimePoint leader_now);

// Finds out that this process did not run for a while. What it then reads may have waited in its sockets, and the
// client may have gone elsewhere long ago.
class PauseDetector {
 public:
  void start(TimePoint now) { last_timer_ = now; }
  void on_timer(TimePoint now);
  // `reached_at`: the start of the latest read that a majority of the register has answered.
  bool may_read_old_requests(TimePoint now, TimePoint reached_at) const;

 private:
  TimePoint last_timer_;
  std::optional<TimePoint> resumed_at_;  // the end of the last pause; nothing: there was none
};

}  // namespace emberdale
