// Opens and closes the maintenance windows of zone orders, at the master: each time by an edit like any other, durable
// and covered by a map. Without I/O, clock or threads.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "emberdale/messages.hpp"
#include "emberdale/serving_plans.hpp"
#include "emberdale/small_types.hpp"

namespace emberdale {

class WindowScheduler {
 public:
  // An edit that opens or closes the window of one zone order.
  struct Transition {
    ZoneName zone;
    bool opens = false;
    EditRequest request;
  };

  // The wall clock in seconds since 1970. No window moves before it is known.
  void set_wall_clock(std::int64_t seconds) { wall_seconds_ = seconds; }
  // The first window that is to be opened or closed now, if one is.
  std::optional<Transition> due_transition(const std::vector<ZoneOrder>& orders, std::int64_t state_version,
                                           TimePoint now) const;
  // The transition was handed to the register. A wall clock that jumps can move windows once in ten seconds at most.
  void on_started(TimePoint now);

 private:
  std::int64_t wall_seconds_ = 0;  // 0: not known
  TimePoint next_;
};

}  // namespace emberdale
