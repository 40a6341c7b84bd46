// Runners as an outside list tells of them: the last good list, who is cold, whose zone has just been taken
// back. Kept by the master alone. Without I/O, clock or threads.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "emberdale/messages.hpp"
#include "emberdale/placement_map.hpp"
#include "emberdale/routing_table.hpp"
#include "emberdale/runner_health_monitor.hpp"

namespace emberdale {

// One runner in one life: another start of it has another name.
struct ListedRunner {
  RunnerName name;
  std::string http;
  PoolName pool;
  ZoneName zone;
  RegionName region;
  std::int64_t slots = 0;
  bool is_leaving = false;
  Duration warmup_left{0};
};

// Example:
//   RunnerList list; if (list.is_read_due(now)) read_from_outside();
//   list.take(runners, begun, now);  list.entries();  list.fill(statuses, pools, now);
class RunnerList {
 public:
  static constexpr Duration read_pace{900};
  // The list is this far behind at most: what it says of a zone taken back counts from then on.
  static constexpr Duration lag_allowed{1500};

  // True when the list is to be read (again). Example: if (list.is_read_due(now)) wish_read();
  bool is_read_due(TimePoint now);
  // A whole list, whose reading began at `begun`. An empty one is believed only the third time in a row.
  // Example: list.take(runners, begun, now)
  void take(std::vector<ListedRunner> runners, TimePoint begun, TimePoint now);
  void failed() { is_reading_ = false; }
  bool is_known() const { return is_known_; }
  // For the map, beside the runners that operators declare. Example: configuration.runners = list.entries();
  std::vector<RunnerEntry> entries() const;
  // What the list adds to the homes' probes: who is cold, slots, what a cold one bears a second.
  // Example: auto statuses = watch.statuses(); list.fill(statuses, pools, now);
  void fill(std::map<RunnerName, RunnerStatus>& statuses, const std::map<PoolName, RoutePool>& pools,
            TimePoint now) const;
  // Work may go to the zone again: its runners count as cold until the list has caught up.
  // Example: list.zone_taken_back({"a"}, now)
  void zone_taken_back(const ZoneName& zone, TimePoint now) { taken_back_[zone] = now; }
  // A term begins: nothing is known, and the list is read at once. Example: list.begin(now)
  void begin(TimePoint now);

 private:
  struct Listed {
    ListedRunner runner;
    TimePoint warming_up_until, listed;
  };
  std::map<RunnerName, Listed> runners_;
  std::map<ZoneName, TimePoint> taken_back_;
  TimePoint read_next_, read_until_;
  bool is_reading_ = false, is_known_ = false;
  int empty_lists_ = 0;
};

}  // namespace emberdale
