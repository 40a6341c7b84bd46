#include "emberdale/warmup_allocator.hpp"

#include <algorithm>

#include "emberdale/placement_map.hpp"

namespace emberdale {

void WarmupAllocator::begin_term(const PlacementMap& last_map, bool has_previous_term, TimePoint now) {
  runners_.clear();
  for (const auto& row : last_map.runners) {
    if (row.state != RunnerState::warming_up)
      continue;
    Runner& runner = runners_[row.name];
    runner.incarnation = row.incarnation;
    for (const auto& grant : row.warmup_grants)
      runner.granted[grant.daemon.text] = grant.requests;
  }
  has_previous_term_ = has_previous_term;
  term_began_at_ = now;
}

// Revokes the grants of all other daemons and gives their sum. A daemon may use its grant for one lease yet, also one
// that is silent here: it may have restarted and have received the map from its publisher before this daemon hears of
// it.
std::int64_t WarmupAllocator::revoke_grants_except(const std::vector<std::string>& daemons, Runner& runner,
                                                   TimePoint now) {
  std::int64_t revoked = 0;
  for (auto entry = runner.granted.begin(); entry != runner.granted.end();) {
    const auto& [daemon, requests] = *entry;
    if (std::find(daemons.begin(), daemons.end(), daemon) != daemons.end()) {
      ++entry;
      continue;
    }
    revoked += requests;
    runner.revoked[daemon] = {requests, now};
    entry = runner.granted.erase(entry);
  }
  return revoked;
}

// Lowers grants until their sum is within the allowance, and gives that sum.
std::int64_t WarmupAllocator::limit_grants(std::int64_t allowance, Runner& runner) {
  std::int64_t sum = 0;
  for (auto& [daemon, requests] : runner.granted) {
    requests = std::min(requests, allowance - sum);
    sum += requests;
  }
  return sum;
}

// The sum of the revoked grants that may still be in use; forgets the others.
std::int64_t WarmupAllocator::sum_of_revoked(Runner& runner, TimePoint now) {
  std::int64_t sum = 0;
  for (auto entry = runner.revoked.begin(); entry != runner.revoked.end();) {
    if (now - entry->second.revoked_at >= settling_time) {
      entry = runner.revoked.erase(entry);
      continue;
    }
    sum += entry->second.requests;
    ++entry;
  }
  return sum;
}

// Grants one request after the other, each to the first daemon of the ranking that has the fewest.
void WarmupAllocator::grant_evenly(std::int64_t requests, const std::vector<std::string>& ranked, Runner& runner) {
  if (ranked.empty())
    return;
  for (std::int64_t level = 0; requests > 0; ++level) {
    for (const auto& daemon : ranked) {
      auto granted = runner.granted.find(daemon);
      bool is_above_level = granted != runner.granted.end() && granted->second > level;
      if (requests <= 0 || is_above_level)
        continue;
      ++runner.granted[daemon];
      --requests;
    }
  }
}

std::vector<WarmupGrant> WarmupAllocator::share(const RunnerRow& row, const std::vector<std::string>& local,
                                                const std::vector<std::string>& all, TimePoint now) {
  Runner& runner = runners_[row.name];
  // What was granted for a previous incarnation is void: the runner refuses requests meant for it.
  bool is_new_incarnation = runner.incarnation != row.incarnation;
  if (is_new_incarnation) {
    runner = Runner{};
    runner.incarnation = row.incarnation;
  }
  if (!local.empty() || is_new_incarnation)
    runner.local_daemon_seen_at = now;
  bool has_local_daemons = !local.empty() || now - runner.local_daemon_seen_at < local_daemon_timeout;
  std::vector<std::string> ranked = rendezvous_rank(row.name.text, has_local_daemons ? local : all);

  std::int64_t newly_revoked = revoke_grants_except(ranked, runner, now);
  std::int64_t kept = limit_grants(row.allowance, runner);
  std::int64_t still_in_use = sum_of_revoked(runner, now);
  // Requests of a daemon that was lost may still run: as much as the runner reports is held back.
  std::int64_t held_back = is_new_incarnation ? 0 : std::min(row.load, std::max(newly_revoked, row.allowance - kept));
  std::int64_t spare = row.allowance - kept - still_in_use - held_back;
  bool may_raise = !has_previous_term_ || now - term_began_at_ >= settling_time;
  if (may_raise)
    grant_evenly(spare, ranked, runner);

  std::vector<WarmupGrant> grants;
  for (const auto& daemon : ranked) {
    auto granted = runner.granted.find(daemon);
    if (granted != runner.granted.end() && granted->second > 0)
      grants.push_back({Address{daemon}, granted->second});
  }
  return grants;
}

}  // namespace emberdale
