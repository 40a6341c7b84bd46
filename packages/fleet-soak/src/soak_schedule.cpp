#include "soak_schedule.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace emberdale::soak {
namespace {

constexpr int courses = 3;  // troubles at the same time
constexpr Duration calm_at_start{1500}, calm_at_end{2500};
constexpr std::int64_t gap_spread_ms = 900;
constexpr std::int64_t shortest_trouble_ms = 500, trouble_spread_ms = 6000;
constexpr std::int64_t most_cut_peers = 5;
// How often a daemon that stops in order begins a series: the data daemons stop one after the other.
constexpr double series_share = 0.4;
constexpr std::int64_t shortest_series_gap_ms = 300, series_gap_spread_ms = 1200;
constexpr double all_cores_share = 0.4;  // of kills of a core machine
constexpr std::int64_t shortest_kill_of_all_ms = 200, kill_of_all_spread_ms = 800;
constexpr double core_share = 0.3, data_share = 0.5;  // of daemons that are troubled; the rest are edge daemons

constexpr TroubleKind kinds[] = {TroubleKind::kill_daemon,    TroubleKind::terminate_daemon, TroubleKind::stop_daemon,
                                 TroubleKind::hang_up_daemon, TroubleKind::kill_runner,      TroubleKind::stop_runner,
                                 TroubleKind::crowd_daemon,   TroubleKind::cut_daemon};

const std::string& draw_name(const std::vector<std::string>& names, RandomGenerator& random) {
  return names[static_cast<std::size_t>(random.below(static_cast<std::int64_t>(names.size())))];
}

bool is_at_runner(TroubleKind kind) { return kind == TroubleKind::kill_runner || kind == TroubleKind::stop_runner; }

class ScheduleDrawing {
 public:
  ScheduleDrawing(const SoakTargets& targets, std::uint64_t seed, Duration length)
      : targets_(targets), random_(seed), end_{length.value - calm_at_end.value} {}

  // Draws the next trouble for the course that is free first, until the end.
  std::vector<PlannedTrouble> draw() {
    std::vector<Duration> free_at(courses, calm_at_start);
    for (;;) {
      auto course = std::min_element(free_at.begin(), free_at.end());
      PlannedTrouble trouble = draw_trouble(*course);
      if (end_ < trouble.ends)
        return std::move(troubles_);
      *course = trouble.ends;
      bool is_kill_of_all = trouble.kind == TroubleKind::kill_daemon && is_core(trouble.target) &&
                            targets_.can_lose_all_cores && random_.chance(all_cores_share);
      if (is_kill_of_all)
        add_kill_of_all(trouble);
      else if (is_free(trouble))
        troubles_.push_back(trouble);
      bool may_begin_series =
          trouble.kind == TroubleKind::terminate_daemon || trouble.kind == TroubleKind::hang_up_daemon;
      if (may_begin_series && random_.chance(series_share))
        add_series(trouble);
    }
  }

 private:
  PlannedTrouble draw_trouble(Duration free_at) {
    PlannedTrouble trouble;
    trouble.kind = kinds[random_.below(static_cast<std::int64_t>(std::size(kinds)) - (targets_.can_be_cut ? 0 : 1))];
    trouble.target = is_at_runner(trouble.kind) ? draw_name(targets_.runners, random_) : draw_daemon();
    trouble.begins = Duration{free_at.value + random_.below(gap_spread_ms)};
    trouble.ends = Duration{trouble.begins.value + shortest_trouble_ms + random_.below(trouble_spread_ms)};
    if (trouble.kind == TroubleKind::cut_daemon)
      draw_cut(trouble);
    return trouble;
  }

  // Troubles of the other courses go on meanwhile. Core machines have theirs one after the other.
  void add_series(const PlannedTrouble& first) {
    PlannedTrouble next = first;
    next.is_of_series = true;
    const bool is_of_cores = is_core(first.target);
    const Duration step{is_of_cores ? first.ends.value - first.begins.value : 0};
    for (const auto& name : is_of_cores ? targets_.cores : targets_.data) {
      Duration gap{step.value + shortest_series_gap_ms + random_.below(series_gap_spread_ms)};
      next.target = name;
      next.begins = next.begins + gap;
      next.ends = next.ends + gap;
      if (next.ends <= end_ && is_free(next))
        troubles_.push_back(next);
    }
  }

  // Their disks survive, and they are back within a second.
  void add_kill_of_all(PlannedTrouble trouble) {
    trouble.is_of_all_cores = true;
    trouble.ends = Duration{trouble.begins.value + shortest_kill_of_all_ms + random_.below(kill_of_all_spread_ms)};
    if (!is_free(trouble))
      return;
    for (const auto& name : targets_.cores) {
      trouble.target = name;
      troubles_.push_back(trouble);
    }
  }

  std::string draw_daemon() {
    if (random_.chance(core_share))
      return draw_name(targets_.cores, random_);
    bool is_data = random_.chance(data_share) || targets_.edges.empty();
    return draw_name(is_data ? targets_.data : targets_.edges, random_);
  }

  void draw_cut(PlannedTrouble& trouble) {
    std::int64_t direction = random_.below(3);
    trouble.cuts_in = direction != 0;
    trouble.cuts_out = direction != 1;
    for (std::int64_t count = 1 + random_.below(most_cut_peers); count > 0; --count)
      trouble.peers.push_back(draw_name(random_.chance(core_share) ? targets_.cores : targets_.edges, random_));
  }

  // One trouble at a time for a process, and for the core machines: two of three lost is another promise.
  bool is_free(const PlannedTrouble& trouble) const {
    return std::none_of(troubles_.begin(), troubles_.end(), [&](const PlannedTrouble& other) {
      bool is_same = other.target == trouble.target || (is_core(other.target) && is_core(trouble.target));
      return is_same && trouble.begins <= other.ends && other.begins <= trouble.ends;
    });
  }

  bool is_core(const std::string& name) const {
    return std::find(targets_.cores.begin(), targets_.cores.end(), name) != targets_.cores.end();
  }

  const SoakTargets& targets_;
  RandomGenerator random_;
  const Duration end_;
  std::vector<PlannedTrouble> troubles_;
};

}  // namespace

std::vector<PlannedTrouble> draw_schedule(const SoakTargets& targets, std::uint64_t seed, Duration length) {
  return ScheduleDrawing(targets, seed, length).draw();
}

std::string to_string(TroubleKind kind) {
  switch (kind) {
    case TroubleKind::kill_daemon:
      return "kill daemon";
    case TroubleKind::terminate_daemon:
      return "terminate daemon";
    case TroubleKind::stop_daemon:
      return "stop daemon";
    case TroubleKind::hang_up_daemon:
      return "hang up daemon";
    case TroubleKind::cut_daemon:
      return "cut daemon";
    case TroubleKind::kill_runner:
      return "kill runner";
    case TroubleKind::stop_runner:
      return "stop runner";
    case TroubleKind::crowd_daemon:
      return "crowd daemon";
  }
  return "";
}

nlohmann::json schedule_document(const std::vector<PlannedTrouble>& troubles) {
  auto list = nlohmann::json::array();
  for (const auto& trouble : troubles)
    list.push_back({{"kind", to_string(trouble.kind)},
                    {"target", trouble.target},
                    {"begins_ms", trouble.begins.value},
                    {"ends_ms", trouble.ends.value},
                    {"peers", trouble.peers},
                    {"cuts_in", trouble.cuts_in},
                    {"cuts_out", trouble.cuts_out},
                    {"all_cores", trouble.is_of_all_cores}});
  return list;
}

}  // namespace emberdale::soak
