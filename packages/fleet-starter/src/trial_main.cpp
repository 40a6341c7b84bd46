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
#include "emberdale/linearizability.hpp"
#include "emberdale/program_settings.hpp"

using namespace emberdale;
using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

static const char usage[] =
    R"(emberdale-fleet-trial: serves the brief's mix while the master is killed, a runner comes back
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
  --faults LIST       Any of the names below, comma separated; or all, or none [default: master,runner,zone].
  -h --help           Show this.

Faults: master and runner (killed, back), zone (emptied and taken back), freeze (master and a data daemon),)"
    R"( core (wiped),
cut (the master's links, one way), split (the core), corecut (the core from everyone), delay (all links), pulled (a
runner marked and killed at short notice), hung (a runner), rivals (operators), rapid (edits), crowd, rolling
(restarts), zonelost, regionlost, coremove (a core machine at a new address), disk (slow, stalled, full), total (loss).
)";

namespace {

std::int64_t wall_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

struct Run {
  std::string call, runner, mode;
  std::int64_t at = 0, running = 0, config = 0;
};

// What was acknowledged when, and what each mark should have kept away: compared with the ledgers afterwards.
struct Acknowledged {
  std::int64_t at = 0, config = 0;
};
struct Barred {
  std::string runner;
  std::int64_t told = 0, until = 0;
};

struct Ledgers {
  std::vector<Run> runs;
  std::map<std::string, std::int64_t> refusals;
};

Ledgers read_ledgers(const FleetOfProcesses& fleet) {
  Ledgers ledgers;
  for (const auto& [name, process] : fleet.processes()) {
    if (process.role != "model" && process.role != "record")
      continue;
    std::ifstream stream(fleet.folder() + "/ledger-" + name);
    std::string line;
    while (std::getline(stream, line)) {
      std::stringstream words(line);
      std::string act, call, own;
      Run run;
      words >> act >> call >> own >> run.runner >> run.at >> run.running >> run.mode >> run.config;
      run.call = call;
      if (act == "run")
        ledgers.runs.push_back(run);
      else
        ++ledgers.refusals[act];
    }
  }
  return ledgers;
}

std::map<std::string, std::int64_t> sum_metrics(const FleetOfProcesses& fleet, const std::string& role,
                                                const std::string& path) {
  std::map<std::string, std::int64_t> sums;
  for (const auto& [name, process] : fleet.processes()) {
    if (process.role != role || process.id <= 0)
      continue;
    auto text = fleet.page(process.http, path);
    if (!text)
      continue;
    std::stringstream stream(*text);
    std::string line;
    while (std::getline(stream, line)) {
      if (line.empty() || line[0] == '#')
        continue;
      auto gap = line.find(' ');
      sums[line.substr(0, gap)] += std::atoll(line.c_str() + gap);
    }
  }
  return sums;
}

struct HistoryEnd {
  bool is_linearizable = false;
  Json figures;
};

// Reads everything back once more, then judges all that the trial's operators did and were told.
HistoryEnd judge_history(FleetOfProcesses& fleet) {
  for (const char* kind : {"serving-plans", "zone-orders", "runners"})
    fleet.client({"get", kind});
  std::ifstream file(fleet.history_file());
  auto recorded = history::read_history(file);
  if (!recorded)
    return {false, {{"unreadable", recorded.reason}}};
  auto began = Clock::now();
  history::HistoryVerdict verdict = history::check_history(*recorded);
  auto took = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - began);
  return {verdict.verdict == history::Verdict::linearizable,
          {{"calls", verdict.operations},
           {"states", verdict.states},
           {"took_us", took.count()},
           {"verdict", history::report(verdict)}}};
}

}  // namespace

int main(int count, char** words) {
  auto arguments = docopt::docopt(usage, {words + 1, words + count}, true, "emberdale-fleet-trial 0.1");
  std::string deployment = arguments["--deployment"].asString();
  std::string self = words[0];
  std::string programs =
      arguments["--programs"].isString() ? arguments["--programs"].asString() : self.substr(0, self.rfind('/'));
  double seconds = std::atof(arguments["--seconds"].asString().c_str());
  std::string rate = arguments["--rate"].isString() ? arguments["--rate"].asString()
                     : deployment == "caspian"      ? "200"
                                                    : "300";
  std::string faults = arguments["--faults"].asString();
  auto is_wanted = [&](const std::string& fault) {
    return ("," + faults + ",").find("," + fault + ",") != std::string::npos;
  };
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
  auto since = [&](Clock::time_point start) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
  };
  events.push_back({{"event", "fleet serves"}, {"took_ms", since(began)}});

  std::string report_file = fleet.folder() + "/callers.json";
  pid_t callers = fleet.start_program(
      {programs + "/emberdale-caller-stand-in", "--deployment", deployment, "--gateways", fleet.gateways(), "--rate",
       rate, "--seconds", std::to_string(seconds), "--seed", arguments["--seed"].asString(), "--report", report_file,
       "--outcomes", fleet.folder() + "/outcomes"},
      fleet.folder() + "/callers.log");
  auto start = Clock::now();
  auto wait_until = [&](double share) {
    std::this_thread::sleep_until(start + std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000 * share)));
  };

  std::int64_t evacuated_at = 0, taken_back_at = 0;
  std::string evacuated_zone = "b";
  auto note = [&](Json event) {
    event["at_ms"] = since(start);
    events.push_back(std::move(event));
  };
  auto pause = [](int ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
  };
  auto new_master_after = [&](const std::string& was, Clock::time_point from) {
    std::string next;
    while (((next = fleet.master_name()).empty() || next == was) && since(from) < 30000)
      pause(20);
    return std::make_pair(next, since(from));
  };
  auto serving = [&] {
    int count = 0;
    for (const auto& [name, process] : fleet.processes()) {
      if (process.role != "data" || process.id <= 0)
        continue;
      auto health = fleet.page(process.http, "/emberdale/health");
      if (health && health->find("\"serving\"") != std::string::npos)
        ++count;
    }
    return count;
  };
  std::vector<Acknowledged> acks;
  std::vector<Barred> holds;
  std::int64_t rivals_both = 0, crowd_wrong = 0;
  const std::string plan_name = deployment == "caspian" ? "manifest-check" : "dispute-check";
  auto remember = [&](const ProgramEnd& ended) {
    auto mark = ended.out.find("\"config_revision\":");
    if (mark != std::string::npos)
      acks.push_back({wall_ms(), std::atoll(ended.out.c_str() + mark + 18)});
  };
  auto patch_plan = [&](int deadline, const std::string& version) {
    std::string file = fleet.folder() + "/patch-" + std::to_string(deadline) + ".json";
    std::ofstream(file) << Json{{"horizon_ms", deadline}}.dump();
    std::vector<std::string> words{"patch", "serving-plans", plan_name, file};
    if (!version.empty())
      words.insert(words.end(), {"--if-match", version});
    return fleet.client(words);
  };
  auto edit_plan = [&](int deadline) {
    auto ended = patch_plan(deadline, "");
    if (ended.status == 0)
      remember(ended);
    return ended.status == 0;
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
  acts.push_back(
      {"zone", [&] {
         auto ordered = Clock::now();
         auto ended = fleet.client({"evacuate", evacuated_zone, "--wait"});
         evacuated_at = wall_ms();
         note({{"event", "zone emptied"}, {"client_status", ended.status}, {"in_force_after_ms", since(ordered)}});
         pause(static_cast<int>(seconds * 60));
         taken_back_at = wall_ms();
         ordered = Clock::now();
         ended = fleet.client({"take-back", evacuated_zone, "--wait"});
         note({{"event", "zone taken back"}, {"client_status", ended.status}, {"in_force_after_ms", since(ordered)}});
       }});
  acts.push_back(
      {"freeze", [&] {
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
                      if (!fleet_picture.is_object() || !log)
                        continue;
                      std::ifstream identity(fleet.folder() + "/data-b0-core/identity");
                      std::string bytes((std::istreambuf_iterator<char>(identity)), {});
                      for (const auto& entry : fleet_picture["acceptors"])
                        if (!bytes.empty() && bytes.find(entry["store"].get<std::string>()) != std::string::npos)
                          is_admitted = true;
                    }
                    note({{"event", "core machine b0 killed, wiped and started"},
                          {"admitted_again", is_admitted},
                          {"after_ms", since(lost)}});
                  }});
  acts.push_back(
      {"cut", [&] {
         // The leader leases reach no one, though it hears all: a one-way cut.
         std::string master = fleet.master_name();
         Json all = Json::array();
         for (const auto& [name, process] : fleet.processes())
           if (!process.link.empty() && name != master)
             all.push_back(process.link);
         auto cut = Clock::now();
         fleet.post(fleet.at(master).http, "/v1/faults", Json{{"siblings", all}, {"cut_out", true}}.dump());
         auto [next, took] = new_master_after(master, cut);
         fleet.post(fleet.at(master).http, "/v1/faults", R"({"clear":true})");
         note(
             {{"event", "master's links cut one way"}, {"was", master}, {"next", next}, {"new_master_after_ms", took}});
       }});
  acts.push_back({"total", [&] {
                    auto lost = Clock::now();
                    for (const auto& [name, process] : fleet.processes())
                      if (process.role == "core" || process.role == "edge" || process.role == "data")
                        fleet.end(name, SIGKILL);
                    pause(500);
                    auto back = Clock::now();
                    for (const auto& [name, process] : fleet.processes())
                      fleet.begin(name);
                    while (serving() < 9 && since(back) < 30000)
                      pause(50);
                    note({{"event", "every daemon killed and started again"},
                          {"all_serving_after_ms", since(back)},
                          {"down_ms", since(lost) - since(back)}});
                  }});
  const std::vector<std::string> cores = fleet.names({"core"}), others = fleet.names({"edge", "data"});
  acts.push_back({"split", [&] {
                    fleet.fault(cores, cores, {{"cut_out", true}, {"cut_in", true}});
                    auto ordered = Clock::now();
                    bool is_done = edit_plan(3100 + static_cast<int>(acks.size()));
                    note({{"event", "core machines split from each other"},
                          {"edit_acknowledged", is_done},
                          {"edit_took_ms", since(ordered)},
                          {"serving_in_it", serving()}});
                    pause(2500);
                    fleet.clear_faults();
                  }});
  acts.push_back({"corecut", [&] {
                    fleet.fault(cores, others, {{"cut_out", true}, {"cut_in", true}});
                    pause(6000);
                    note({{"event", "core cut off from every other daemon for 6 s"}, {"serving_in_it", serving()}});
                    fleet.clear_faults();
                    pause(1000);
                  }});
  acts.push_back({"delay", [&] {
                    auto all = fleet.names({"core", "edge", "data"});
                    fleet.fault(all, all, {{"delay_ms", 120}});
                    pause(3000);
                    auto ordered = Clock::now();
                    bool is_done = edit_plan(3300 + static_cast<int>(acks.size()));
                    note({{"event", "every link 120 ms slower"},
                          {"edit_acknowledged", is_done},
                          {"edit_took_ms", since(ordered)},
                          {"serving_in_it", serving()}});
                    fleet.clear_faults();
                  }});
  acts.push_back({"pulled", [&] {
                    Barred hold{"model-3", wall_ms(), 0};
                    auto ended = fleet.client({"mark-leaving", "model-3"});
                    if (ended.status == 0)
                      remember(ended);
                    pause(800);
                    fleet.end("model-3", SIGKILL);
                    pause(6000);
                    fleet.begin("model-3");
                    pause(700);
                    hold.until = wall_ms();
                    if (ended.status == 0)
                      holds.push_back(hold);
                    auto freed = fleet.client({"mark-staying", "model-3"});
                    note({{"event", "runner model-3 marked, killed 0.8 s later, back after 6 s"},
                          {"mark_status", ended.status},
                          {"freed_status", freed.status}});
                  }});
  acts.push_back({"hung", [&] {
                    fleet.signal("model-4", SIGSTOP);
                    pause(4000);
                    fleet.signal("model-4", SIGCONT);
                    note({{"event", "runner model-4 hung for 4 s"}});
                  }});
  acts.push_back(
      {"rivals", [&] {
         int both = 0, one = 0, none = 0;
         for (int i = 0; i < 6; ++i) {
           auto shown = fleet.client({"get", "serving-plans", plan_name});
           Json plan = Json::parse(shown.out, nullptr, false);
           if (!plan.is_object())
             continue;
           std::string version = std::to_string(plan.value("version", 0));
           ProgramEnd ends[2];
           std::thread first([&] { ends[0] = patch_plan(2000 + i, version); }),
               second([&] { ends[1] = patch_plan(2100 + i, version); });
           first.join();
           second.join();
           for (const auto& ended : ends)
             if (ended.status == 0)
               remember(ended);
           int done = (ends[0].status == 0) + (ends[1].status == 0);
           ++(done == 2 ? both : done == 1 ? one : none);
         }
         rivals_both += both;
         note({{"event", "six pairs of rival edits"}, {"both_acknowledged", both}, {"one", one}, {"none", none}});
       }});
  acts.push_back(
      {"rapid", [&] {
         auto ordered = Clock::now();
         int done = 0;
         for (int i = 0; i < 8; ++i)
           done += edit_plan(4000 + i);
         note({{"event", "eight edits one after the other"}, {"acknowledged", done}, {"took_ms", since(ordered)}});
       }});
  acts.push_back({"crowd", [&] {
                    std::string file = fleet.folder() + "/crowd.json";
                    pid_t crowd = fleet.start_program(
                        {programs + "/emberdale-caller-stand-in", "--deployment", deployment, "--gateways",
                         fleet.gateways(), "--rate", std::to_string(2 * std::atoi(rate.c_str())), "--seconds", "4",
                         "--seed", "77777", "--moving", "0.5", "--report", file},
                        fleet.folder() + "/crowd.log");
                    crowd_wrong += fleet.wait_program(crowd) != 0;
                    Json seen;
                    std::ifstream(file) >> seen;
                    note({{"event", "three times the rate for 4 s, half of it from moved callers"}, {"crowd", seen}});
                  }});
  acts.push_back(
      {"rolling", [&] {
         std::vector<std::string> late;
         for (const char* role : {"data", "edge", "core"})
           for (const auto& name : fleet.names({role})) {
             if (fleet.at(name).id <= 0)
               continue;
             auto asked = Clock::now();
             fleet.end(name, SIGTERM);
             if (since(asked) > 9000)
               late.push_back(name);
             fleet.begin(name);
             auto back = Clock::now();
             while (serving() < 9 && since(back) < 10000)
               pause(50);
           }
         note({{"event", "every daemon restarted in turn by SIGTERM"}, {"slow_to_stop", late}, {"serving", serving()}});
       }});
  auto lose = [&](const std::string& what, const std::function<bool(const FleetProcess&)>& is_there) {
    std::vector<std::string> lost;
    for (const auto& [name, process] : fleet.processes())
      if (process.id > 0 && is_there(process))
        lost.push_back(name);
    for (const auto& name : lost)
      fleet.end(name, SIGKILL);
    pause(3000);
    int in_it = serving();
    for (const auto& name : lost)
      fleet.begin(name);
    auto back = Clock::now();
    while (serving() < 9 && since(back) < 30000)
      pause(50);
    note({{"event", what + " killed for 3 s and started again"},
          {"processes", lost.size()},
          {"serving_in_it", in_it},
          {"all_serving_after_ms", since(back)}});
  };
  acts.push_back({"zonelost", [&] {
                    lose("zone b", [](const FleetProcess& process) { return process.zone == "b"; });
                  }});
  acts.push_back({"regionlost", [&] {
                    lose("region of zone c", [](const FleetProcess& process) { return process.zone == "c"; });
                  }});
  acts.push_back({"coremove", [&] {
                    fleet.end("c0-core", SIGKILL);
                    fleet.add_core("c0-core", "c9-core");
                    fleet.begin("c9-core");
                    pause(1500);
                    auto ended = fleet.client({"replace-core", fleet.at("c0-core").link, fleet.at("c9-core").link});
                    // The new copy counts: with it and one other, edits go on.
                    fleet.end("a0-core", SIGKILL);
                    auto ordered = Clock::now();
                    bool is_done = edit_plan(3500);
                    note({{"event", "core machine c0 lost for good, c9 put in its place, then a0 killed"},
                          {"client_status", ended.status},
                          {"edit_acknowledged", is_done},
                          {"edit_took_ms", since(ordered)}});
                    fleet.begin("a0-core");
                    pause(1000);
                  }});
  acts.push_back({"disk", [&] {
                    for (const char* disk : {"slow", "stalled", "full"}) {
                      fleet.post(fleet.at("b0-core").http, "/v1/faults", Json{{"disk", disk}, {"disk_ms", 250}}.dump());
                      auto ordered = Clock::now();
                      bool is_done = edit_plan(3600 + static_cast<int>(acks.size()));
                      auto took = since(ordered);
                      pause(1500);
                      note({{"event", std::string("disk of b0 ") + disk},
                            {"edit_acknowledged", is_done},
                            {"edit_took_ms", took},
                            {"serving_in_it", serving()}});
                      fleet.post(fleet.at("b0-core").http, "/v1/faults", R"({"disk":"good"})");
                      pause(500);
                    }
                  }});
  std::vector<std::function<void()>> wanted;
  for (const auto& [name, act] : acts)
    if (is_wanted(name) || faults == "all")
      wanted.push_back(act);
  for (std::size_t i = 0; i < wanted.size(); ++i) {
    wait_until(0.1 + 0.85 * static_cast<double>(i) / static_cast<double>(wanted.size()));
    wanted[i]();
  }
  int callers_status = fleet.wait_program(callers);

  Json report;
  std::ifstream(report_file) >> report;
  Json result{
      {"deployment", deployment}, {"seconds", seconds}, {"rate", rate}, {"events", events}, {"callers", report}};
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
    if (outcome != "served")
      ++not_served[asked_at / 1000][outcome];
  }
  for (const auto& [second, kinds] : not_served)
    result["not_served_by_second"].push_back({{"second", second}, {"calls", kinds}});
  std::int64_t twice = 0, after_refusal = 0, abroad = 0, in_evacuated = 0;
  std::int64_t by_old_plan = 0, worst_old_plan = 0, for_leaving = 0;
  for (const auto& run : ledgers.runs) {
    for (const auto& ack : acks)
      if (run.config < ack.config && run.at > ack.at) {
        worst_old_plan = std::max(worst_old_plan, run.at - ack.at);
        by_old_plan += run.at > ack.at + 3000;
      }
    for (const auto& hold : holds)
      for_leaving += run.runner == hold.runner && run.at > hold.told + 5000 && run.at < hold.until;
    bool is_repeatable = run.call.rfind("slot-confirmation", 0) == 0 || run.call.rfind("receipt-lookup", 0) == 0;
    int number = ++runs_of[run.call];
    if (!is_repeatable && number == 2)
      ++twice;
    if (outcome_of[run.call] == "refused" && !is_repeatable)
      ++after_refusal;
    auto first = run.call.find('.'), second = run.call.find('.', first + 1);
    std::string home = run.call.substr(first + 1, second - first - 1);
    if (home != "free" && home != region_of[run.runner])
      ++abroad;
    if (evacuated_at > 0 && zone_of[run.runner] == evacuated_zone && run.at > evacuated_at + 500 &&
        run.at < taken_back_at)
      ++in_evacuated;
  }
  std::int64_t warmup_excess = ledgers.refusals["refuse-cold"];
  auto data = sum_metrics(fleet, "data", "/emberdale/metrics");
  auto control = sum_metrics(fleet, "edge", "/metrics");
  result["runs"] = ledgers.runs.size();
  result["run_refusals"] = ledgers.refusals;
  result["data_daemons"] = data;
  result["retry_share"] = data["emberdale_data_sends"] == 0 ? 0.0
                                                            : static_cast<double>(data["emberdale_data_retries"]) /
                                                                  static_cast<double>(data["emberdale_data_sends"]);
  result["oldest_plan_after_an_acknowledgement_ms"] = worst_old_plan;
  result["edits_acknowledged"] = acks.size();
  result["control_maps_published"] = control["emberdale_control_maps_published"];
  result["breaks"] = {{"wrong answers", report["wrong"]},
                      {"run twice", twice},
                      {"run after refusal", after_refusal},
                      {"homed work abroad", abroad},
                      {"new work in the emptied zone once in force", in_evacuated},
                      {"sent by an old plan 3 s after a newer one was acknowledged", by_old_plan},
                      {"new work for a leaving runner 5 s after we were told", for_leaving},
                      {"rivals both acknowledged", rivals_both},
                      {"wrong answers to the crowd", crowd_wrong},
                      {"cold runner asked above its allowance", warmup_excess}};
  std::int64_t hits = 0, misses = 0, warmup_peak = 0;
  for (const auto& [name, process] : fleet.processes()) {
    if (process.role != "model")
      continue;
    auto text = fleet.page(process.http, "/counts");
    Json counts = text ? Json::parse(*text, nullptr, false) : Json();
    if (!counts.is_object())
      continue;
    hits += counts.value("prefix_hits", 0);
    misses += counts.value("prefix_misses", 0);
    warmup_peak = std::max<std::int64_t>(warmup_peak, counts.value("cold_peak", 0));
  }
  result["prefix"] = {{"hits", hits}, {"misses", misses}};
  result["cold_peak_of_any_runner"] = warmup_peak;
  HistoryEnd history_end = judge_history(fleet);
  result["history"] = history_end.figures;
  result["breaks"]["operators' calls without an order that explains them"] = history_end.is_linearizable ? 0 : 1;
  auto late = fleet.stop();
  result["not_stopped_cleanly"] = late;
  std::ofstream(fleet.folder() + "/trial.json") << result.dump(2) << "\n";
  std::cout << result.dump(2) << std::endl;
  bool is_good = callers_status == 0 && late.empty();
  for (const auto& [name, number] : result["breaks"].items())
    if (number != 0)
      is_good = false;
  return is_good ? 0 : 1;
}
