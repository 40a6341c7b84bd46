// Runners as service discovery lists them: the last good list, which of them are warming up, and whose zone was
// restored just now. Used by the master alone. Without I/O, clock or threads.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "emberdale/messages.hpp"
#include "emberdale/placement_map.hpp"
#include "emberdale/routing_table.hpp"
#include "emberdale/runner_health_monitor.hpp"

namespace emberdale {

// One incarnation of a runner: another start of it has another name.
struct ListedRunner {
  RunnerName name;
  std::string http;  // IP:PORT
  PoolName pool;
  ZoneName zone;
  RegionName region;
  std::int64_t slots = 0;  // how many requests it runs at once; 0: not said
  bool is_leaving = false;
  Duration warmup_left{0};
};

// When the list is to be read: at an interval, and again when a read does not end.
class ListReadSchedule {
 public:
  explicit ListReadSchedule(Duration interval) : interval_(interval) {}
  // True when a read is due. It counts as begun.
  bool is_due(TimePoint now);
  // The read under way has ended, well or not.
  void ended() { is_reading_ = false; }
  // The next read is due at once; one under way does not count any more.
  void restart(TimePoint now);

 private:
  Duration interval_;
  TimePoint next_;
  TimePoint until_;  // a read that has not ended by then is begun anew
  bool is_reading_ = false;
};

class RunnerList {
 public:
  static constexpr Duration read_interval{900};
  // The list is this far behind at most: what it says of a zone that was restored counts from then on.
  static constexpr Duration longest_lag{1500};

  // True when the list is to be read now. The read counts as begun.
  bool is_read_due(TimePoint now) { return reads_.is_due(now); }
  // A whole list, whose reading began at `begun`. An empty one is believed only the third time in a row.
  void take(std::vector<ListedRunner> runners, TimePoint begun, TimePoint now);
  // The read has failed: the last list stands.
  void failed() { reads_.ended(); }
  // Whether a list was read in this term.
  bool is_known() const { return is_known_; }
  // The listed runners, as the map is worked out from them.
  std::vector<RunnerEntry> entries() const;
  // Adds what the list says to the results of probes: who is warming up, slots, and what a runner that is warming up
  // bears a second.
  void fill(std::map<RunnerName, RunnerStatus>& statuses, const std::map<PoolName, RoutePool>& pools,
            TimePoint now) const;
  // Work may go to the zone again: its runners count as warming up until the list has caught up.
  void zone_taken_back(const ZoneName& zone, TimePoint now) { restored_zones_[zone] = now; }
  // A term begins: nothing is known, and the list is read at once.
  void begin(TimePoint now);

 private:
  struct Listed {
    ListedRunner runner;
    TimePoint warming_up_until;
    TimePoint listed;  // when it was listed first
  };
  Listed listed(ListedRunner runner, TimePoint begun, TimePoint now) const;
  RunnerStatus status_of(const Listed& listed, const RunnerStatus* probed, double warmup_requests_per_s,
                         TimePoint now) const;

  std::map<RunnerName, Listed> runners_;
  std::map<ZoneName, TimePoint> restored_zones_;
  ListReadSchedule reads_{read_interval};
  bool is_known_ = false;
  int empty_lists_ = 0;  // in a row
};

}  // namespace emberdale
