// Who may send how much to a cold runner, from map to map: what one daemon held is given to another only
// when the first can no longer use it. Without I/O, clock or threads.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "emberdale/messages.hpp"

namespace emberdale {

// Example:
//   WarmupShares shares; shares.begin(old_map, now);
//   row.grants = shares.share(row, {"d1"}, {"d1", "d2"}, now);   // of the runner's region, and all heard of
class WarmupShares {
 public:
  // A data daemon uses a share only while its home has heard the master within this time...
  static constexpr Duration lease{2000};
  // ...and a new term gives out nothing that the elder may have given to another before this has passed.
  static constexpr Duration settling{2500};
  static constexpr Duration near_patience{4000};

  // A term begins with what the last map known said. Example: shares.begin(map, now)
  void begin(const PlacementMap& known, bool has_elder, TimePoint now);
  // The shares of one cold runner; their sum never exceeds its allowance, nor does what is still under way
  // from daemons that had some add to it. Daemons of other regions get some only where the runner's own has
  // long had none. Example: shares.share(row, near, all, now)
  std::vector<WarmupGrant> share(const RunnerRow& row, const std::vector<std::string>& near,
                                 const std::vector<std::string>& all, TimePoint now);
  // A runner that is warm needs no shares. Example: shares.forget(row.name)
  void forget(const RunnerName& runner) { runners_.erase(runner); }

 private:
  struct Runner {
    std::int64_t incarnation = 0;
    std::map<std::string, std::int64_t> held;
    std::map<std::string, std::pair<std::int64_t, TimePoint>> taken_back;  // and when: its holder may still use it
    TimePoint near_seen{-1000000};
  };
  std::map<RunnerName, Runner> runners_;
  bool has_elder_ = false;
  TimePoint began_;
};

}  // namespace emberdale
