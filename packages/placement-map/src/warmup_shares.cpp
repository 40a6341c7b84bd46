#include "emberdale/warmup_shares.hpp"

#include <algorithm>

#include "emberdale/placement_map.hpp"

namespace emberdale {

void WarmupShares::begin(const PlacementMap& known, bool has_elder, TimePoint now) {
  runners_.clear();
  for (const auto& row : known.runners) {
    if (row.state != RunnerState::warming_up)
      continue;
    Runner& runner = runners_[row.name];
    runner.incarnation = row.incarnation;
    for (const auto& grant : row.warmup_grants)
      runner.held[grant.daemon.text] = grant.requests;
  }
  has_elder_ = has_elder;
  began_ = now;
}

std::vector<WarmupGrant> WarmupShares::share(const RunnerRow& row, const std::vector<std::string>& near,
                                             const std::vector<std::string>& all, TimePoint now) {
  Runner& runner = runners_[row.name];
  // What was given for a former life is void: the runner refuses calls meant for it.
  bool is_new_incarnation = runner.incarnation != row.incarnation;
  if (is_new_incarnation) {
    runner = Runner{};
    runner.incarnation = row.incarnation;
  }
  if (!near.empty() || is_new_incarnation)
    runner.near_seen = now;
  bool has_near = !near.empty() || now - runner.near_seen < near_patience;
  std::vector<std::string> ranked = rendezvous_rank(row.name.text, has_near ? near : all);
  std::int64_t kept = 0, freed = 0;
  for (auto entry = runner.held.begin(); entry != runner.held.end();) {
    if (std::find(ranked.begin(), ranked.end(), entry->first) == ranked.end()) {
      // It may use the share for one lease yet: also one that is silent here, for it may have started anew
      // and have the map from its home before we hear of it.
      freed += entry->second;
      runner.taken_back[entry->first] = {entry->second, now};
      entry = runner.held.erase(entry);
      continue;
    }
    entry->second = std::min(entry->second, row.allowance - kept);
    kept += entry->second;
    ++entry;
  }
  std::int64_t in_use = 0;
  for (auto entry = runner.taken_back.begin(); entry != runner.taken_back.end();) {
    if (now - entry->second.second < settling)
      in_use += (entry++)->second.first;
    else
      entry = runner.taken_back.erase(entry);
  }
  // Calls of a daemon that went silent may still run: as much as the runner reports is held back.
  std::int64_t spare = row.allowance - kept - in_use -
                       (is_new_incarnation ? 0 : std::min(row.load, std::max(freed, row.allowance - kept)));
  bool may_give = !has_elder_ || now - began_ >= settling;
  for (std::int64_t round = 0; may_give && spare > 0 && !ranked.empty(); ++round)
    for (const auto& daemon : ranked) {
      auto held = runner.held.find(daemon);
      if (spare <= 0 || (held != runner.held.end() && held->second > round))
        continue;
      ++runner.held[daemon];
      --spare;
    }
  std::vector<WarmupGrant> grants;
  for (const auto& daemon : ranked) {
    auto held = runner.held.find(daemon);
    if (held != runner.held.end() && held->second > 0)
      grants.push_back({Address{daemon}, held->second});
  }
  return grants;
}

}  // namespace emberdale
