// Runners that service discovery lists as draining, as a control daemon knows them without the master: who is to be
// blocked at data daemons because the map does not show it yet. That happens while no master leads, while the master is
// out of reach, and while it can't publish. A block only ever takes work away. Without I/O, clock or threads.
#pragma once
#include <set>
#include <vector>

#include "emberdale/placement_map.hpp"
#include "emberdale/runner_list.hpp"
#include "emberdale/small_types.hpp"

namespace emberdale {

// Example:
//   if (watch.is_read_due(now)) read_list();
//   watch.take(listed, now);
//   for (const auto& runner : watch.due_blocks(map, now)) send_block(runner);
class DrainingRunnerWatch {
 public:
  // Slower than the master's interval: while no master leads, all control daemons read the list.
  static constexpr Duration read_interval{1500};
  // What a reading said counts for so long.
  static constexpr Duration reading_lifetime{10000};

  // True when a daemon without a confirmed master is to read the list now. The read counts as begun.
  bool is_read_due(TimePoint now) { return reads_.is_due(now); }
  // A whole list. Gives the runners that it shows as draining and the one before did not.
  std::vector<RunnerName> take(const std::vector<ListedRunner>& runners, TimePoint now);
  // The read has failed: what the last one said stands.
  void failed() { reads_.ended(); }
  // The draining runners that the map still shows in service, each time that their blocks are to be sent (again).
  std::vector<RunnerName> due_blocks(const PlacementMap& map, TimePoint now);

 private:
  std::set<RunnerName> draining_;
  ListReadSchedule reads_{read_interval};
  TimePoint read_at_;
  TimePoint blocks_next_;
};

}  // namespace emberdale
