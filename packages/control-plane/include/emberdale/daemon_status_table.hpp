// What each data daemon has applied, as its reports reach the master. Without I/O, clock or threads.
#pragma once
#include <map>
#include <vector>

#include "emberdale/messages.hpp"
#include "emberdale/small_types.hpp"

namespace emberdale {

class DaemonStatusTable {
 public:
  struct Received {
    DaemonStatus status;
    TimePoint reported_at;  // by this daemon's clock: the arrival less the report's age
  };

  // Keeps the report unless a newer one of the same daemon is known.
  void record(const DaemonStatus& status, TimePoint now);
  // Forgets daemons that have been silent for too long.
  void expire(TimePoint now);
  void clear() { received_.clear(); }

  const std::map<Address, Received>& all() const { return received_; }
  // The newest report of each daemon, with its present age.
  std::vector<DaemonStatus> statuses(TimePoint now) const;

 private:
  std::map<Address, Received> received_;
};

}  // namespace emberdale
