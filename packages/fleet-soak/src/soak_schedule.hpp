// The troubles of one soak, drawn from its seed: several courses at the same time, so that troubles overlap.
#pragma once
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "soak_records.hpp"

namespace emberdale::soak {

// What may be troubled.
struct SoakTargets {
  std::vector<std::string> cores, edges, data, runners;
  bool can_be_cut = true;           // whether daemons take cuts of their peer connections
  bool can_lose_all_cores = false;  // whether all core machines may be killed at the same time
};

// One trouble; times count from the begin of the load.
struct PlannedTrouble {
  TroubleKind kind = TroubleKind::kill_daemon;
  std::string target;
  Duration begins, ends;
  std::vector<std::string> peers;  // towards which a cut daemon is cut
  bool cuts_in = false, cuts_out = false;
  bool is_of_all_cores = false;  // each of them has it at the same time
  bool is_of_series = false;     // beside the courses
};

// Example: auto troubles = draw_schedule(targets, 7, Duration{25000});
std::vector<PlannedTrouble> draw_schedule(const SoakTargets& targets, std::uint64_t seed, Duration length);

std::string to_string(TroubleKind kind);
// For the log folder. Example: schedule_document(troubles).dump(2)
nlohmann::json schedule_document(const std::vector<PlannedTrouble>& troubles);

}  // namespace emberdale::soak
