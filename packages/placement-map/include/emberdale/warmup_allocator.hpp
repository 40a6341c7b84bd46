// Slow-start quotas: how many requests each data daemon may send to a runner that is warming up, from map to map.
// What one daemon was granted is granted to another only when the first can no longer use it, so that at no moment
// the daemons together send more than the runner's allowance. Without I/O, clock or threads.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "emberdale/messages.hpp"

namespace emberdale {

// The grants of all runners that are warming up, at the master.
// Example:
//   WarmupAllocator shares;
//   shares.begin_term(last_map, true, now);
//   row.warmup_grants = shares.share(row, {"d1"}, {"d1", "d2"}, now);
class WarmupAllocator {
 public:
  // A data daemon uses a grant only while the publisher of its slice has heard the master within this time...
  static constexpr Duration lease{2000};
  // ...so after this long nothing is used any more of what was revoked, or of what the master of the previous term
  // may have granted without this one knowing.
  static constexpr Duration settling_time{2500};
  // Daemons of other regions are granted something only if the runner's own region has had none for this long.
  static constexpr Duration local_daemon_timeout{4000};

  // Begins a term, with the grants of the newest map known. If another master may have led before, grants are not
  // raised before the settling time has passed.
  void begin_term(const PlacementMap& last_map, bool has_previous_term, TimePoint now);
  // Divides the allowance of one runner among data daemons, as evenly as the grants in use permit. The sum never
  // exceeds the allowance, also if what revoked daemons may still use and what the runner still works on is added.
  // `local` are the daemons of the runner's region, `all` those of every region.
  std::vector<WarmupGrant> share(const RunnerRow& row, const std::vector<std::string>& local,
                                 const std::vector<std::string>& all, TimePoint now);
  // Forgets the grants of a runner that has warmed up.
  void forget(const RunnerName& runner) { runners_.erase(runner); }

 private:
  // A grant that a daemon may still use until the settling time has passed.
  struct RevokedGrant {
    std::int64_t requests = 0;
    TimePoint revoked_at;
  };
  // The grants of one incarnation of a runner, by daemon.
  struct Runner {
    std::int64_t incarnation = 0;
    std::map<std::string, std::int64_t> granted;
    std::map<std::string, RevokedGrant> revoked;
    TimePoint local_daemon_seen_at{-1000000};
  };
  static std::int64_t revoke_grants_except(const std::vector<std::string>& daemons, Runner& runner, TimePoint now);
  static std::int64_t limit_grants(std::int64_t allowance, Runner& runner);
  static std::int64_t sum_of_revoked(Runner& runner, TimePoint now);
  static void grant_evenly(std::int64_t requests, const std::vector<std::string>& ranked, Runner& runner);

  std::map<RunnerName, Runner> runners_;
  bool has_previous_term_ = false;
  TimePoint term_began_at_;
};

}  // namespace emberdale
