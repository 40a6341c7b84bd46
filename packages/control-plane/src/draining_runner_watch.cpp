#include "emberdale/draining_runner_watch.hpp"

#include <utility>

#include "emberdale/freshness_times.hpp"

namespace emberdale {

std::vector<RunnerName> DrainingRunnerWatch::take(const std::vector<ListedRunner>& runners, TimePoint now) {
  reads_.ended();
  if (runners.empty())
    return {};  // more likely a fault than the end of all runners: what the last one said stands for its lifetime
  read_at_ = now;
  std::set<RunnerName> draining;
  std::vector<RunnerName> added;
  for (const auto& runner : runners) {
    if (!runner.is_leaving || runner.name.empty())
      continue;
    draining.insert(runner.name);
    if (draining_.count(runner.name) == 0)
      added.push_back(runner.name);
  }
  draining_ = std::move(draining);
  return added;
}

std::vector<RunnerName> DrainingRunnerWatch::due_blocks(const PlacementMap& map, TimePoint now) {
  if (now - read_at_ > reading_lifetime)
    draining_.clear();
  std::vector<RunnerName> due;
  if (draining_.empty() || now < blocks_next_)
    return due;
  for (const auto& row : map.runners)
    if (row.state != RunnerState::draining && draining_.count(row.name) != 0)
      due.push_back(row.name);
  if (!due.empty())
    blocks_next_ = now + block_interval;
  return due;
}

}  // namespace emberdale
