// Faults of processes, machines and disks in a trial.
#include <signal.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "trial.hpp"

namespace emberdale {
namespace {

using Json = nlohmann::json;

constexpr int return_limit_ms = 30000;   // until every data daemon serves again
constexpr int restart_limit_ms = 10000;  // the same after the restart of a single daemon
constexpr std::int64_t clean_stop_limit_ms = 9000;
constexpr std::int64_t admission_limit_ms = 20000;

}  // namespace

void Trial::kill_master() {
  std::string master = fleet_.master_name();
  auto killed = Clock::now();
  fleet_.end(master, SIGKILL);
  NewMaster next = wait_for_new_master(master, killed);
  note({{"event", "master killed"}, {"was", master}, {"next", next.name}, {"new_master_after_ms", next.after_ms}});
  fleet_.begin(master);
}

void Trial::kill_runner() {
  fleet_.end("model-2", SIGKILL);
  pause(500);
  fleet_.begin("model-2");
  note({{"event", "runner model-2 killed and started again cold"}});
}

void Trial::freeze_master_and_data_daemon() {
  std::string master = fleet_.master_name();
  auto frozen = Clock::now();
  fleet_.signal(master, SIGSTOP);
  fleet_.signal("a1-data", SIGSTOP);
  NewMaster next = wait_for_new_master(master, frozen);
  note({{"event", "master and a1-data frozen"},
        {"was", master},
        {"next", next.name},
        {"new_master_after_ms", next.after_ms}});
  ProgramEnd ended = fleet_.client({"get", "serving-plans"});
  fleet_.signal("a1-data", SIGCONT);
  fleet_.signal(master, SIGCONT);
  pause(1500);
  note({{"event", "both woken"}, {"master", fleet_.master_name()}, {"read_status", ended.status}});
}

void Trial::wipe_core() {
  auto lost = Clock::now();
  fleet_.end("b0-core", SIGKILL);
  std::filesystem::remove_all(fleet_.folder() + "/data-b0-core");
  pause(1000);
  fleet_.begin("b0-core");
  bool is_admitted = false;
  while (!is_admitted && ms_since(lost) < admission_limit_ms) {
    pause(100);
    is_admitted = is_core_member("a0-core", "b0-core");
  }
  note({{"event", "core machine b0 killed, wiped and started"},
        {"admitted_again", is_admitted},
        {"after_ms", ms_since(lost)}});
}

// Whether the core daemon runs, and the fleet as another one shows it names its store.
bool Trial::is_core_member(const std::string& observer, const std::string& core) {
  auto text = fleet_.page(fleet_.at(observer).http, "/v1/fleet");
  Json shown = text ? Json::parse(*text, nullptr, false) : Json();
  auto health = fleet_.page(fleet_.at(core).http, "/health");
  if (!shown.is_object() || !health)
    return false;
  std::ifstream identity(fleet_.folder() + "/data-" + core + "/identity");
  std::string bytes((std::istreambuf_iterator<char>(identity)), {});
  for (const auto& entry : shown["acceptors"])
    if (!bytes.empty() && bytes.find(entry["store"].get<std::string>()) != std::string::npos)
      return true;
  return false;
}

void Trial::restart_all() {
  auto lost = Clock::now();
  for (const auto& name : fleet_.names({"core", "edge", "data"}))
    fleet_.end(name, SIGKILL);
  pause(500);
  auto back = Clock::now();
  for (const auto& [name, process] : fleet_.processes())
    fleet_.begin(name);
  wait_until_all_serve(back, return_limit_ms);
  note({{"event", "every daemon killed and started again"},
        {"all_serving_after_ms", ms_since(back)},
        {"down_ms", ms_since(lost) - ms_since(back)}});
}

void Trial::hang_runner() {
  fleet_.signal("model-4", SIGSTOP);
  pause(4000);
  fleet_.signal("model-4", SIGCONT);
  note({{"event", "runner model-4 hung for 4 s"}});
}

void Trial::restart_in_turn() {
  std::vector<std::string> late;
  for (const char* role : {"data", "edge", "core"})
    for (const auto& name : fleet_.names({role})) {
      if (fleet_.at(name).id <= 0)
        continue;
      auto stopped = Clock::now();
      fleet_.end(name, SIGTERM);
      if (ms_since(stopped) > clean_stop_limit_ms)
        late.push_back(name);
      fleet_.begin(name);
      wait_until_all_serve(Clock::now(), restart_limit_ms);
    }
  note(
      {{"event", "every daemon restarted in turn by SIGTERM"}, {"slow_to_stop", late}, {"serving", serving_daemons()}});
}

void Trial::lose_processes(const std::string& what, const std::string& zone) {
  std::vector<std::string> lost;
  for (const auto& [name, process] : fleet_.processes())
    if (process.id > 0 && process.zone == zone)
      lost.push_back(name);
  for (const auto& name : lost)
    fleet_.end(name, SIGKILL);
  pause(3000);
  int serving_meanwhile = serving_daemons();
  for (const auto& name : lost)
    fleet_.begin(name);
  auto back = Clock::now();
  wait_until_all_serve(back, return_limit_ms);
  note({{"event", what + " killed for 3 s and started again"},
        {"processes", lost.size()},
        {"serving_in_it", serving_meanwhile},
        {"all_serving_after_ms", ms_since(back)}});
}

void Trial::lose_zone() { lose_processes("zone b", "b"); }

void Trial::lose_region() { lose_processes("region of zone c", "c"); }

void Trial::move_core() {
  fleet_.end("c0-core", SIGKILL);
  fleet_.add_core("c0-core", "c9-core");
  fleet_.begin("c9-core");
  pause(1500);
  ProgramEnd ended = fleet_.client({"replace-core", fleet_.at("c0-core").link, fleet_.at("c9-core").link});
  // The new replica counts: with it and one other, edits go on.
  fleet_.end("a0-core", SIGKILL);
  auto requested = Clock::now();
  bool is_done = edit_plan(3500);
  note({{"event", "core machine c0 lost for good, c9 put in its place, then a0 killed"},
        {"client_status", ended.status},
        {"edit_acknowledged", is_done},
        {"edit_took_ms", ms_since(requested)}});
  fleet_.begin("a0-core");
  pause(1000);
}

void Trial::fail_disk() {
  for (const char* disk : {"slow", "stalled", "full"}) {
    fleet_.post(fleet_.at("b0-core").http, "/v1/faults", Json{{"disk", disk}, {"disk_ms", 250}}.dump());
    auto requested = Clock::now();
    bool is_done = edit_plan(3600 + static_cast<int>(observations_.acknowledged.size()));
    auto took = ms_since(requested);
    pause(1500);
    note({{"event", std::string("disk of b0 ") + disk},
          {"edit_acknowledged", is_done},
          {"edit_took_ms", took},
          {"serving_in_it", serving_daemons()}});
    fleet_.post(fleet_.at("b0-core").http, "/v1/faults", R"({"disk":"good"})");
    pause(500);
  }
}

}  // namespace emberdale
