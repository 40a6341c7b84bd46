// The election times of fleets whose regions are 55 ms apart at most, as the users' platform runs them.
#pragma once
#include "emberdale/master_election.hpp"

namespace emberdale {

inline ElectionTimes near_regions() {
  ElectionTimes times;
  times.round_timeout = Duration{1000};
  times.ping_interval = Duration{350};
  times.join_timeout = Duration{800};
  times.heartbeat_interval = Duration{300};
  times.master_timeout = Duration{1300};
  times.quorum_timeout = Duration{2000};
  times.retry_delay = Duration{150};
  return times;
}

}  // namespace emberdale
