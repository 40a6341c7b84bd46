// What operators and callers do in a trial: evacuations, marks, edits at odds with each other, surges of load.
#include <signal.h>

#include <cstdlib>
#include <fstream>
#include <thread>

#include "trial.hpp"

namespace emberdale {
namespace {

using Json = nlohmann::json;

constexpr int rival_pairs = 6;
constexpr int quick_edits = 8;
constexpr const char* surge_seed = "77777";

}  // namespace

void Trial::evacuate_zone() {
  Evacuation& evacuation = observations_.evacuation;
  auto requested = Clock::now();
  ProgramEnd ended = fleet_.client({"evacuate", evacuation.zone, "--wait"});
  evacuation.in_force_at = wall_clock_ms();
  note({{"event", "zone emptied"}, {"client_status", ended.status}, {"in_force_after_ms", ms_since(requested)}});
  pause(static_cast<int>(options_.seconds * 60));
  evacuation.restored_at = wall_clock_ms();
  requested = Clock::now();
  ended = fleet_.client({"take-back", evacuation.zone, "--wait"});
  note({{"event", "zone taken back"}, {"client_status", ended.status}, {"in_force_after_ms", ms_since(requested)}});
}

void Trial::remove_runner_early() {
  BlockedRunner blocked{"model-3", wall_clock_ms(), 0};
  ProgramEnd marked = fleet_.client({"mark-leaving", "model-3"});
  if (marked.status == 0)
    remember_acknowledgement(marked);
  pause(800);
  fleet_.end("model-3", SIGKILL);
  pause(6000);
  fleet_.begin("model-3");
  pause(700);
  blocked.until = wall_clock_ms();
  if (marked.status == 0)
    observations_.blocked.push_back(blocked);
  ProgramEnd freed = fleet_.client({"mark-staying", "model-3"});
  note({{"event", "runner model-3 marked, killed 0.8 s later, back after 6 s"},
        {"mark_status", marked.status},
        {"freed_status", freed.status}});
}

// Two edits at once, on the same version; returns how many of them were acknowledged.
int Trial::make_rival_pair(int number, const std::string& version) {
  ProgramEnd ends[2];
  std::thread first([&] { ends[0] = patch_plan(2000 + number, version); });
  std::thread second([&] { ends[1] = patch_plan(2100 + number, version); });
  first.join();
  second.join();
  int acknowledged = 0;
  for (const auto& ended : ends)
    if (ended.status == 0) {
      remember_acknowledgement(ended);
      ++acknowledged;
    }
  return acknowledged;
}

void Trial::make_rival_edits() {
  int pairs_by_acknowledged[3] = {0, 0, 0};
  for (int i = 0; i < rival_pairs; ++i) {
    ProgramEnd shown = fleet_.client({"get", "serving-plans", plan_name_});
    Json plan = Json::parse(shown.out, nullptr, false);
    if (plan.is_object())
      ++pairs_by_acknowledged[make_rival_pair(i, std::to_string(plan.value("version", 0)))];
  }
  observations_.rival_pairs_both_acknowledged += pairs_by_acknowledged[2];
  note({{"event", "six pairs of rival edits"},
        {"both_acknowledged", pairs_by_acknowledged[2]},
        {"one", pairs_by_acknowledged[1]},
        {"none", pairs_by_acknowledged[0]}});
}

void Trial::make_quick_edits() {
  auto requested = Clock::now();
  int done = 0;
  for (int i = 0; i < quick_edits; ++i)
    done += edit_plan(4000 + i);
  note({{"event", "eight edits one after the other"}, {"acknowledged", done}, {"took_ms", ms_since(requested)}});
}

void Trial::raise_load() {
  std::string file = fleet_.folder() + "/crowd.json";
  pid_t callers = fleet_.start_program(
      {options_.programs + "/emberdale-caller-stand-in", "--deployment", options_.deployment, "--gateways",
       fleet_.gateways(), "--rate", std::to_string(2 * std::atoi(options_.rate.c_str())), "--seconds", "4", "--seed",
       surge_seed, "--moving", "0.5", "--report", file},
      fleet_.folder() + "/crowd.log");
  observations_.surges_with_wrong_responses += fleet_.wait_program(callers) != 0;
  Json report;
  std::ifstream(file) >> report;
  note({{"event", "three times the rate for 4 s, half of it from moved callers"}, {"crowd", report}});
}

}  // namespace emberdale
