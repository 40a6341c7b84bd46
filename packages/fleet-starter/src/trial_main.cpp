// emberdale-fleet-trial: a deployment under load while things fail, with every answer checked.
#include <docopt/docopt.h>
#include <signal.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <set>
#include <sstream>
#include <thread>

#include "emberdale/fleet_of_processes.hpp"
#include "emberdale/program_settings.hpp"

using namespace emberdale;
using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

static const char usage[] = R"(emberdale-fleet-trial: serves the brief's mix while the master is killed, a runner comes back
cold and a zone is emptied and taken back; then counts what was served, refused and wrong.

Usage:
  emberdale-fleet-trial [options]

Options:
  --deployment NAME   caspian or kathmandu [default: caspian].
  --folder FOLDER     Data, logs and ledgers [default: fleet-trial].
  --programs FOLDER   Where the programs are; else beside this one.
  --seconds N         Length of the load [default: 40].
  --rate N            Calls each second; else the brief's.
  --seed N            Seed of the mix [default: 1].
  --faults LIST       Any of master,runner,zone,freeze,core,cut,total; or all, or none [default: master,runner,zone].
  -h --help           Show this.
)";

namespace {

std::int64_t wall_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

struct Run {
  std::string call, runner, mode;
  std::int64_t at = 0, running = 0;
};

struct Ledgers {
  std::vector<Run> runs;
  std::map<std::string, std::int64_t> refusals;
};

Ledgers read_ledgers(const FleetOfProcesses& fleet) {
  Ledgers ledgers;
  for (const auto& [name, process] : fleet.processes()) {
    if (process.role != "model" && process.role != "record") continue;
    std::ifstream stream(fleet.folder() + "/ledger-" + name);
    std::string line;
    while (std::getline(stream, line)) {
      std::stringstream words(line);
      std::string act, call, own;
      Run run;
      words >> act >> call >> own >> run.runner >> run.at >> run.running >> run.mode;
      run.call = call;
      if (act == "run") ledgers.runs.push_back(run);
      else ++ledgers.refusals[act];
    }
  }
  return ledgers;
}

std::map<std::string, std::int64_t> sum_metrics(const FleetOfProcesses& fleet, const std::string& role, const std::string& path) {
  std::map<std::string, std::int64_t> sums;
  for (const auto& [name, process] : fleet.processes()) {
    if (process.role != role || process.id <= 0) continue;
    auto text = fleet.page(process.http, path);
    if (!text) continue;
    std::stringstream stream(*text);
    std::string line;
    while (std::getline(stream, line)) {
      if (line.empty() || line[0] == '#') continue;
      auto gap = line.find(' ');
      sums[line.substr(0, gap)] += std::atoll(line.c_str() + gap);
    }
  }
  return sums;
}

}  // namespace

int main(int count, char** words) {
  auto arguments = docopt::docopt(usage, {words + 1, words + count}, true, "emberdale-fleet-trial 0.1");
  std::string deployment = arguments["--deployment"].asString();
  std::string self = words[0];
  std::string programs = arguments["--programs"].isString() ? arguments["--programs"].asString() : self.substr(0, self.rfind('/'));
  double seconds = std::atof(arguments["--seconds"].asString().c_str());
  std::string rate = arguments["--rate"].isString() ? arguments["--rate"].asString() : deployment == "caspian" ? "200" : "300";
  std::string faults = arguments["--faults"].asString();
  auto is_wanted = [&](const std::string& fault) { return faults.find(fault) != std::string::npos; };
  start_program("emberdale-fleet-trial");

  // A folder of its own for each run: ledgers and registers of an earlier one would count.
  std::string folder = arguments["--folder"].asString();
  std::filesystem::remove_all(folder);
  FleetOfProcesses fleet(deployment, folder, programs);
  auto began = Clock::now();
  for (auto step : {&FleetOfProcesses::start_all, &FleetOfProcesses::found, &FleetOfProcesses::declare}) {
    auto done = (fleet.*step)();
    if (!done) {
      std::cerr << done.reason << "\n";
      return 1;
    }
  }
  Json events = Json::array();
  auto since = [&](Clock::time_point start) { return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count(); };
  events.push_back({{"event", "fleet serves"}, {"took_ms", since(began)}});

  std::string report_file = fleet.folder() + "/callers.json";
  pid_t callers = fleet.start_program({programs + "/emberdale-caller-stand-in", "--deployment", deployment, "--gateways", fleet.gateways(), "--rate", rate,
                                       "--seconds", std::to_string(seconds), "--seed", arguments["--seed"].asString(), "--report", report_file,
                                       "--outcomes", fleet.folder() + "/outcomes"}, fleet.folder() + "/callers.log");
  auto start = Clock::now();
  auto wait_until = [&](double share) { std::this_thread::sleep_until(start + std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000 * share))); };

  std::int64_t emptied_at = 0, taken_back_at = 0;
  std::string emptied_zone = "b";
  auto note = [&](Json event) {
    event["at_ms"] = since(start);
    events.push_back(std::move(event));
  };
  auto pause = [](int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); };
  auto new_master_after = [&](const std::string& was, Clock::time_point from) {
    std::string next;
    while (((next = fleet.master_name()).empty() || next == was) && since(from) < 30000) pause(20);
    return std::make_pair(next, since(from));
  };
  auto serving = [&] {
    int count = 0;
    for (const auto& [name, process] : fleet.processes()) {
      if (process.role != "data" || process.id <= 0) continue;
      auto health = fleet.page(process.http, "/emberdale/health");
      if (health && health->find("\"serving\"") != std::string::npos) ++count;
    }
    return count;
  };
  std::vector<std::pair<std::string, std::function<void()>>> acts;
  acts.push_back({"master", [&] {
    std::string master = fleet.master_name();
    auto killed = Clock::now();
    fleet.end(master, SIGKILL);
    auto [next, took] = new_master_after(master, killed);
    note({{"event", "master killed"}, {"was", master}, {"next", next}, {"new_master_after_ms", took}});
    fleet.begin(master);
  }});
  acts.push_back({"runner", [&] {
    fleet.end("model-2", SIGKILL);
    pause(500);
    fleet.begin("model-2");
    note({{"event", "runner model-2 killed and started again cold"}});
  }});
  acts.push_back({"zone", [&] {
    auto ordered = Clock::now();
    auto ended = fleet.client({"evacuate", emptied_zone, "--wait"});
    emptied_at = wall_ms();
    note({{"event", "zone emptied"}, {"client_status", ended.status}, {"in_force_after_ms", since(ordered)}});
    pause(static_cast<int>(seconds * 60));
    taken_back_at = wall_ms();
    ordered = Clock::now();
    ended = fleet.client({"take-back", emptied_zone, "--wait"});
    note({{"event", "zone taken back"}, {"client_status", ended.status}, {"in_force_after_ms", since(ordered)}});
  }});
  acts.push_back({"freeze", [&] {
    std::string master = fleet.master_name();
    auto frozen = Clock::now();
    fleet.signal(master, SIGSTOP);
    fleet.signal("a1-data", SIGSTOP);
    auto [next, took] = new_master_after(master, frozen);
    note({{"event", "master and a1-data frozen"}, {"was", master}, {"next", next}, {"new_master_after_ms", took}});
    auto ended = fleet.client({"get", "serving-plans"});
    fleet.signal("a1-data", SIGCONT);
    fleet.signal(master, SIGCONT);
    pause(1500);
    note({{"event", "both woken"}, {"master", fleet.master_name()}, {"read_status", ended.status}});
  }});
  acts.push_back({"core", [&] {
    auto lost = Clock::now();
    fleet.end("b0-core", SIGKILL);
    std::filesystem::remove_all(fleet.folder() + "/data-b0-core");
    pause(1000);
    fleet.begin("b0-core");
    bool is_admitted = false;
    while (!is_admitted && since(lost) < 20000) {
      pause(100);
      auto text = fleet.page(fleet.at("a0-core").http, "/v1/fleet");
      Json fleet_picture = text ? Json::parse(*text, nullptr, false) : Json();
      auto log = fleet.page(fleet.at("b0-core").http, "/health");
      if (!fleet_picture.is_object() || !log) continue;
      std::ifstream identity(fleet.folder() + "/data-b0-core/identity");
      std::string bytes((std::istreambuf_iterator<char>(identity)), {});
      for (const auto& entry : fleet_picture["acceptors"])
        if (!bytes.empty() && bytes.find(entry["store"].get<std::string>()) != std::string::npos) is_admitted = true;
    }
    note({{"event", "core machine b0 killed, wiped and started"}, {"admitted_again", is_admitted}, {"after_ms", since(lost)}});
  }});
  acts.push_back({"cut", [&] {
    // The master's words reach no one, though it hears all: a one-way cut.
    std::string master = fleet.master_name();
    Json all = Json::array();
    for (const auto& [name, process] : fleet.processes())
      if (!process.link.empty() && name != master) all.push_back(process.link);
    auto cut = Clock::now();
    fleet.post(fleet.at(master).http, "/v1/faults", Json{{"siblings", all}, {"cut_out", true}}.dump());
    auto [next, took] = new_master_after(master, cut);
    fleet.post(fleet.at(master).http, "/v1/faults", R"({"clear":true})");
    note({{"event", "master's links cut one way"}, {"was", master}, {"next", next}, {"new_master_after_ms", took}});
  }});
  acts.push_back({"total", [&] {
    auto lost = Clock::now();
    for (const auto& [name, process] : fleet.processes())
      if (process.role == "core" || process.role == "edge" || process.role == "data") fleet.end(name, SIGKILL);
    pause(500);
    auto back = Clock::now();
    for (const auto& [name, process] : fleet.processes()) fleet.begin(name);
    while (serving() < 9 && since(back) < 30000) pause(50);
    note({{"event", "every daemon killed and started again"}, {"all_serving_after_ms", since(back)}, {"down_ms", since(lost) - since(back)}});
  }});
  std::vector<std::function<void()>> wanted;
  for (const auto& [name, act] : acts)
    if (is_wanted(name) || faults == "all") wanted.push_back(act);
  for (std::size_t i = 0; i < wanted.size(); ++i) {
    wait_until(0.1 + 0.85 * static_cast<double>(i) / static_cast<double>(wanted.size()));
    wanted[i]();
  }
  int callers_status = fleet.wait_program(callers);

  Json report;
  std::ifstream(report_file) >> report;
  Json result{{"deployment", deployment}, {"seconds", seconds}, {"rate", rate}, {"events", events}, {"callers", report}};
  std::map<std::string, std::string> region_of, zone_of;
  for (const auto& [name, process] : fleet.processes()) {
    region_of[name] = process.region;
    zone_of[name] = process.zone;
  }
  Ledgers ledgers = read_ledgers(fleet);
  std::map<std::string, int> runs_of;
  std::map<std::string, std::string> outcome_of;
  std::ifstream outcomes(fleet.folder() + "/outcomes");
  std::string id, kind, outcome;
  std::int64_t asked_at = 0;
  std::map<std::int64_t, std::map<std::string, int>> not_served;  // by second of the load
  while (outcomes >> id >> kind >> outcome >> asked_at) {
    outcome_of[id] = outcome;
    if (outcome != "served") ++not_served[asked_at / 1000][outcome];
  }
  for (const auto& [second, kinds] : not_served) result["not_served_by_second"].push_back({{"second", second}, {"calls", kinds}});
  std::int64_t twice = 0, after_refusal = 0, abroad = 0, in_emptied = 0;
  for (const auto& run : ledgers.runs) {
    bool is_repeatable = run.call.rfind("slot-confirmation", 0) == 0 || run.call.rfind("receipt-lookup", 0) == 0;
    int number = ++runs_of[run.call];
    if (!is_repeatable && number == 2) ++twice;
    if (outcome_of[run.call] == "refused" && !is_repeatable) ++after_refusal;
    auto first = run.call.find('.'), second = run.call.find('.', first + 1);
    std::string home = run.call.substr(first + 1, second - first - 1);
    if (home != "free" && home != region_of[run.runner]) ++abroad;
    if (emptied_at > 0 && zone_of[run.runner] == emptied_zone && run.at > emptied_at + 500 && run.at < taken_back_at) ++in_emptied;
  }
  std::int64_t cold_over = ledgers.refusals["refuse-cold"];
  auto data = sum_metrics(fleet, "data", "/emberdale/metrics");
  auto control = sum_metrics(fleet, "edge", "/metrics");
  result["runs"] = ledgers.runs.size();
  result["run_refusals"] = ledgers.refusals;
  result["data_daemons"] = data;
  result["retry_share"] = data["emberdale_data_sends"] == 0 ? 0.0 : static_cast<double>(data["emberdale_data_retries"]) / static_cast<double>(data["emberdale_data_sends"]);
  result["control_maps_published"] = control["emberdale_control_maps_published"];
  result["breaks"] = {{"wrong answers", report["wrong"]}, {"run twice", twice}, {"run after refusal", after_refusal}, {"homed work abroad", abroad},
                      {"new work in the emptied zone once in force", in_emptied}, {"cold runner asked above its allowance", cold_over}};
  std::int64_t hits = 0, misses = 0, cold_peak = 0;
  for (const auto& [name, process] : fleet.processes()) {
    if (process.role != "model") continue;
    auto text = fleet.page(process.http, "/counts");
    Json counts = text ? Json::parse(*text, nullptr, false) : Json();
    if (!counts.is_object()) continue;
    hits += counts.value("prefix_hits", 0);
    misses += counts.value("prefix_misses", 0);
    cold_peak = std::max<std::int64_t>(cold_peak, counts.value("cold_peak", 0));
  }
  result["prefix"] = {{"hits", hits}, {"misses", misses}};
  result["cold_peak_of_any_runner"] = cold_peak;
  auto late = fleet.stop();
  result["not_stopped_cleanly"] = late;
  std::ofstream(fleet.folder() + "/trial.json") << result.dump(2) << "\n";
  std::cout << result.dump(2) << std::endl;
  bool is_good = callers_status == 0 && late.empty();
  for (const auto& [name, number] : result["breaks"].items())
    if (number != 0 && name != "cold runner asked above its allowance") is_good = false;
  return is_good ? 0 : 1;
}
