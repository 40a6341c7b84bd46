// How old an edit may be when the leader takes it in. An edit that names no version is bound by its age alone:
// its asker sends it again elsewhere after a while, and a copy that comes later than that could override what was
// acknowledged since. Without I/O, clock or threads.
#pragma once
#include <optional>

#include "emberdale/freshness_times.hpp"
#include "emberdale/messages.hpp"
#include "emberdale/small_types.hpp"

namespace emberdale {

// How long operators wait, and what a daemon does meanwhile. The defaults are for operators that wait for seconds.
struct EditTimes {
  // An edit without a version is taken in by the leader within this time of its arrival at a daemon, or never.
  Duration requester_timeout{7000};
  // How long a daemon without a leader keeps an edit that nobody has been sent yet.
  Duration leader_wait{7000};
  // How long it waits for the answer of a leader that was sent a copy; then the outcome is unknown.
  Duration response_timeout{6000 + late_ack_wait.value};
  // A daemon that has not reached a majority of the register for so long refuses edits and reads at once, and it sends
  // copies to none but the leader that it follows. Nothing: it waits, and tries the leader that the register names.
  std::optional<Duration> contact_limit;
};

// Whether an edit is bound by no version that can be current but once: "whatever is there" (-1), and "must not
// exist" (0), which is true again after a deletion. Example: is_bound_by_age(ask) for ask.expected == -1
bool is_bound_by_age(const EditRequest& request);

// An upper bound of the time since a copy's edit arrived at its daemon, by the leader's clock alone: the leader gave
// the stamp before that daemon sent the copy. Nothing: the copy has no stamp of the leader's present term.
// Example: age_bound(ask, TimePoint{5000}) == Duration{450} for ask.stamp == 4700 and ask.age == 150
std::optional<Duration> age_bound(const EditRequest& request, TimePoint leader_now);

// Finds out that this process did not run for a while: what it then reads may have waited in its sockets, and its
// asker may have gone elsewhere long ago.
// Example: pauses.on_timer(now); if (pauses.may_read_old_requests(now, proposer.reached_at())) refuse();
class PauseDetector {
 public:
  void start(TimePoint now) { last_timer_ = now; }
  void on_timer(TimePoint now);
  // `reached_at`: the start of the latest read that a majority of the register has answered.
  bool may_read_old_requests(TimePoint now, TimePoint reached_at) const;

 private:
  TimePoint last_timer_;
  std::optional<TimePoint> resumed_at_;
};

}  // namespace emberdale
