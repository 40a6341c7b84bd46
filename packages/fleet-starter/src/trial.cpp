#include "trial.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>
#include <utility>

namespace emberdale {
namespace {

using Json = nlohmann::json;

constexpr int data_daemons = 9;
constexpr int new_master_limit_ms = 30000;
// Faults begin in this part of the load, so that its start and end are served in peace.
constexpr double first_fault_share = 0.1, faults_share = 0.85;

// An earlier run's records and registers in the folder would count as this one's.
std::string emptied(const std::string& folder) {
  std::filesystem::remove_all(folder);
  return folder;
}

bool contains_name(const std::string& list, const std::string& name) {
  return ("," + list + ",").find("," + name + ",") != std::string::npos;
}

}  // namespace

std::int64_t wall_clock_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Trial::Trial(TrialOptions options)
    : options_(std::move(options)),
      fleet_(options_.deployment, emptied(options_.folder), options_.programs),
      plan_name_(options_.deployment == "caspian" ? "manifest-check" : "dispute-check") {}

bool Trial::bring_up() {
  auto started = Clock::now();
  for (auto step : {&FleetOfProcesses::start_all, &FleetOfProcesses::found, &FleetOfProcesses::declare}) {
    auto done = (fleet_.*step)();
    if (!done) {
      std::cerr << done.reason << "\n";
      return false;
    }
  }
  observations_.events.push_back({{"event", "fleet serves"}, {"took_ms", ms_since(started)}});
  return true;
}

void Trial::start_load() {
  callers_ = fleet_.start_program(
      {options_.programs + "/emberdale-caller-stand-in", "--deployment", options_.deployment, "--gateways",
       fleet_.gateways(), "--rate", options_.rate, "--seconds", std::to_string(options_.seconds), "--seed",
       options_.seed, "--report", fleet_.folder() + "/callers.json", "--outcomes", fleet_.folder() + "/outcomes"},
      fleet_.folder() + "/callers.log");
  load_started_ = Clock::now();
}

void Trial::run() {
  start_load();
  std::vector<Fault> wanted = wanted_faults();
  for (std::size_t i = 0; i < wanted.size(); ++i) {
    wait_until(first_fault_share + faults_share * static_cast<double>(i) / static_cast<double>(wanted.size()));
    (this->*wanted[i].inject)();
  }
  observations_.callers_status = fleet_.wait_program(callers_);
}

// In this order; a trial injects those that its options name.
const std::vector<Trial::Fault>& Trial::faults() {
  static const std::vector<Fault> table{{"master", &Trial::kill_master},
                                        {"runner", &Trial::kill_runner},
                                        {"zone", &Trial::evacuate_zone},
                                        {"freeze", &Trial::freeze_master_and_data_daemon},
                                        {"core", &Trial::wipe_core},
                                        {"cut", &Trial::cut_master_one_way},
                                        {"total", &Trial::restart_all},
                                        {"split", &Trial::split_core},
                                        {"corecut", &Trial::cut_off_core},
                                        {"delay", &Trial::delay_connections},
                                        {"pulled", &Trial::remove_runner_early},
                                        {"hung", &Trial::hang_runner},
                                        {"rivals", &Trial::make_rival_edits},
                                        {"rapid", &Trial::make_quick_edits},
                                        {"crowd", &Trial::raise_load},
                                        {"rolling", &Trial::restart_in_turn},
                                        {"zonelost", &Trial::lose_zone},
                                        {"regionlost", &Trial::lose_region},
                                        {"coremove", &Trial::move_core},
                                        {"disk", &Trial::fail_disk}};
  return table;
}

std::vector<Trial::Fault> Trial::wanted_faults() const {
  std::vector<Fault> wanted;
  for (const auto& fault : faults())
    if (options_.faults == "all" || contains_name(options_.faults, fault.name))
      wanted.push_back(fault);
  return wanted;
}

void Trial::wait_until(double share_of_load) const {
  auto offset = static_cast<std::int64_t>(options_.seconds * 1000 * share_of_load);
  std::this_thread::sleep_until(load_started_ + std::chrono::milliseconds(offset));
}

std::int64_t Trial::ms_since(Clock::time_point start) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
}

void Trial::pause(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

void Trial::note(Json event) {
  event["at_ms"] = ms_since(load_started_);
  observations_.events.push_back(std::move(event));
}

Trial::NewMaster Trial::wait_for_new_master(const std::string& previous, Clock::time_point since) {
  std::string next = fleet_.master_name();
  while ((next.empty() || next == previous) && ms_since(since) < new_master_limit_ms) {
    pause(20);
    next = fleet_.master_name();
  }
  return {next, ms_since(since)};
}

int Trial::serving_daemons() {
  int count = 0;
  for (const auto& [name, process] : fleet_.processes()) {
    if (process.role != "data" || process.id <= 0)
      continue;
    auto health = fleet_.page(process.http, "/emberdale/health");
    if (health && health->find("\"serving\"") != std::string::npos)
      ++count;
  }
  return count;
}

void Trial::wait_until_all_serve(Clock::time_point since, int limit_ms) {
  while (serving_daemons() < data_daemons && ms_since(since) < limit_ms)
    pause(50);
}

void Trial::remember_acknowledgement(const ProgramEnd& ended) {
  static const std::string field = "\"config_revision\":";
  auto mark = ended.out.find(field);
  if (mark != std::string::npos)
    observations_.acknowledged.push_back({wall_clock_ms(), std::atoll(ended.out.c_str() + mark + field.size())});
}

// Sets the deadline of the plan; an empty version: whatever version it has.
ProgramEnd Trial::patch_plan(int deadline_ms, const std::string& expected_version) {
  std::string file = fleet_.folder() + "/patch-" + std::to_string(deadline_ms) + ".json";
  std::ofstream(file) << Json{{"horizon_ms", deadline_ms}}.dump();
  std::vector<std::string> arguments{"patch", "serving-plans", plan_name_, file};
  if (!expected_version.empty())
    arguments.insert(arguments.end(), {"--if-match", expected_version});
  return fleet_.client(arguments);
}

// Whether the edit was acknowledged.
bool Trial::edit_plan(int deadline_ms) {
  ProgramEnd ended = patch_plan(deadline_ms, "");
  if (ended.status == 0)
    remember_acknowledgement(ended);
  return ended.status == 0;
}

}  // namespace emberdale
