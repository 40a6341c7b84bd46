#include "trial_report.hpp"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>

#include "emberdale/linearizability.hpp"

namespace emberdale {
namespace {

using Json = nlohmann::json;
using Counts = std::map<std::string, std::int64_t>;

// Limits of the invariants, in ms.
constexpr std::int64_t old_plan_limit_ms = 3000;
constexpr std::int64_t leaving_limit_ms = 5000;
constexpr std::int64_t evacuation_slack_ms = 500;

// A call that a runner has executed, as its record names it.
struct Execution {
  std::string call, runner;
  std::int64_t at = 0;  // wall clock, ms
  std::int64_t config_revision = 0;
};

// The records of all runners.
struct ExecutionRecords {
  std::vector<Execution> executions;
  Counts refusals;  // by kind
};

ExecutionRecords read_execution_records(const FleetOfProcesses& fleet) {
  ExecutionRecords records;
  for (const auto& [name, process] : fleet.processes()) {
    if (process.role != "model" && process.role != "record")
      continue;
    std::ifstream file(fleet.folder() + "/ledger-" + name);
    for (std::string line; std::getline(file, line);) {
      std::stringstream fields(line);
      std::string kind, own_name, running, mode;
      Execution execution;
      fields >> kind >> execution.call >> own_name >> execution.runner >> execution.at >> running >> mode >>
          execution.config_revision;
      if (kind == "run")
        records.executions.push_back(execution);
      else
        ++records.refusals[kind];
    }
  }
  return records;
}

// The outcome of each call as its caller saw it, and the calls that were not served by the second of the load.
struct CallerOutcomes {
  std::map<std::string, std::string> by_call;
  std::map<std::int64_t, std::map<std::string, int>> not_served;
};

CallerOutcomes read_outcomes(const FleetOfProcesses& fleet) {
  CallerOutcomes outcomes;
  std::ifstream file(fleet.folder() + "/outcomes");
  std::string id, kind, outcome;
  std::int64_t sent_at = 0;
  while (file >> id >> kind >> outcome >> sent_at) {
    outcomes.by_call[id] = outcome;
    if (outcome != "served")
      ++outcomes.not_served[sent_at / 1000][outcome];
  }
  return outcomes;
}

Counts sum_metrics(const FleetOfProcesses& fleet, const std::string& role, const std::string& path) {
  Counts sums;
  for (const auto& [name, process] : fleet.processes()) {
    if (process.role != role || process.id <= 0)
      continue;
    auto text = fleet.page(process.http, path);
    if (!text)
      continue;
    std::stringstream stream(*text);
    for (std::string line; std::getline(stream, line);) {
      if (line.empty() || line[0] == '#')
        continue;
      auto gap = line.find(' ');
      sums[line.substr(0, gap)] += std::atoll(line.c_str() + gap);
    }
  }
  return sums;
}

// Ids of calls are KIND.HOME.NUMBER; home is "free" for a call that may run anywhere.
bool is_repeatable(const std::string& call) {
  return call.rfind("slot-confirmation", 0) == 0 || call.rfind("receipt-lookup", 0) == 0;
}

std::string home_of(const std::string& call) {
  auto first = call.find('.'), second = call.find('.', first + 1);
  return call.substr(first + 1, second - first - 1);
}

struct ExecutionViolations {
  std::int64_t twice = 0, after_refusal = 0, abroad = 0, in_evacuated_zone = 0;
  std::int64_t by_old_plan = 0, worst_old_plan_ms = 0, for_leaving_runner = 0;
};

// Compares each execution with what the trial observed and with what the callers were told.
class ExecutionChecker {
 public:
  ExecutionChecker(const FleetOfProcesses& fleet, const TrialObservations& observations, const CallerOutcomes& outcomes)
      : processes_(fleet.processes()), observations_(observations), outcomes_(outcomes) {}

  void check(const Execution& execution) {
    check_plan(execution);
    check_blocked_runners(execution);
    check_repetition(execution);
    check_place(execution);
  }
  const ExecutionViolations& violations() const { return violations_; }

 private:
  void check_plan(const Execution& execution) {
    for (const auto& acknowledged : observations_.acknowledged) {
      std::int64_t late = execution.at - acknowledged.at;
      if (execution.config_revision >= acknowledged.config_revision || late <= 0)
        continue;
      violations_.worst_old_plan_ms = std::max(violations_.worst_old_plan_ms, late);
      violations_.by_old_plan += late > old_plan_limit_ms;
    }
  }

  void check_blocked_runners(const Execution& execution) {
    for (const auto& blocked : observations_.blocked)
      violations_.for_leaving_runner += execution.runner == blocked.runner &&
                                        execution.at > blocked.notified_at + leaving_limit_ms &&
                                        execution.at < blocked.until;
  }

  void check_repetition(const Execution& execution) {
    int number = ++executions_[execution.call];
    if (is_repeatable(execution.call))
      return;
    violations_.twice += number == 2;
    auto outcome = outcomes_.by_call.find(execution.call);
    violations_.after_refusal += outcome != outcomes_.by_call.end() && outcome->second == "refused";
  }

  void check_place(const Execution& execution) {
    auto runner = processes_.find(execution.runner);
    std::string zone = runner == processes_.end() ? "" : runner->second.zone;
    std::string region = runner == processes_.end() ? "" : runner->second.region;
    std::string home = home_of(execution.call);
    violations_.abroad += home != "free" && home != region;
    const Evacuation& evacuation = observations_.evacuation;
    violations_.in_evacuated_zone += evacuation.in_force_at > 0 && zone == evacuation.zone &&
                                     execution.at > evacuation.in_force_at + evacuation_slack_ms &&
                                     execution.at < evacuation.restored_at;
  }

  const std::map<std::string, FleetProcess>& processes_;
  const TrialObservations& observations_;
  const CallerOutcomes& outcomes_;
  std::map<std::string, int> executions_;  // by call
  ExecutionViolations violations_;
};

struct HistoryReport {
  bool is_linearizable = false;
  Json figures;
};

// Reads everything once more, then checks all that the operators of the trial did and were told.
HistoryReport check_operators_history(FleetOfProcesses& fleet) {
  for (const char* kind : {"serving-plans", "zone-orders", "runners"})
    fleet.client({"get", kind});
  std::ifstream file(fleet.history_file());
  auto recorded = history::read_history(file);
  if (!recorded)
    return {false, {{"unreadable", recorded.reason}}};
  auto started = std::chrono::steady_clock::now();
  history::HistoryVerdict verdict = history::check_history(*recorded);
  auto took = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - started);
  return {verdict.verdict == history::Verdict::linearizable,
          {{"calls", verdict.operations},
           {"states", verdict.states},
           {"took_us", took.count()},
           {"verdict", history::report(verdict)}}};
}

// The counters of all model runners: hits and misses of the prefix cache, and the highest peak while warming up.
struct RunnerCounts {
  std::int64_t prefix_hits = 0, prefix_misses = 0, warmup_peak = 0;
};

RunnerCounts read_runner_counts(const FleetOfProcesses& fleet) {
  RunnerCounts sum;
  for (const auto& [name, process] : fleet.processes()) {
    if (process.role != "model")
      continue;
    auto text = fleet.page(process.http, "/counts");
    Json counts = text ? Json::parse(*text, nullptr, false) : Json();
    if (!counts.is_object())
      continue;
    sum.prefix_hits += counts.value("prefix_hits", 0);
    sum.prefix_misses += counts.value("prefix_misses", 0);
    sum.warmup_peak = std::max<std::int64_t>(sum.warmup_peak, counts.value("cold_peak", 0));
  }
  return sum;
}

void add_violations(Json& result, const ExecutionViolations& found, const TrialObservations& observations,
                    std::int64_t warmup_excess) {
  result["breaks"] = {{"wrong answers", result["callers"]["wrong"]},
                      {"run twice", found.twice},
                      {"run after refusal", found.after_refusal},
                      {"homed work abroad", found.abroad},
                      {"new work in the emptied zone once in force", found.in_evacuated_zone},
                      {"sent by an old plan 3 s after a newer one was acknowledged", found.by_old_plan},
                      {"new work for a leaving runner 5 s after we were told", found.for_leaving_runner},
                      {"rivals both acknowledged", observations.rival_pairs_both_acknowledged},
                      {"wrong answers to the crowd", observations.surges_with_wrong_responses},
                      {"cold runner asked above its allowance", warmup_excess}};
}

void add_daemon_counts(Json& result, const FleetOfProcesses& fleet) {
  Counts data = sum_metrics(fleet, "data", "/emberdale/metrics");
  Counts control = sum_metrics(fleet, "edge", "/metrics");
  result["data_daemons"] = data;
  std::int64_t sends = data["emberdale_data_sends"], retries = data["emberdale_data_retries"];
  result["retry_share"] = sends == 0 ? 0.0 : static_cast<double>(retries) / static_cast<double>(sends);
  result["control_maps_published"] = control["emberdale_control_maps_published"];
}

void add_history(Json& result, FleetOfProcesses& fleet) {
  HistoryReport history = check_operators_history(fleet);
  result["history"] = history.figures;
  result["breaks"]["operators' calls without an order that explains them"] = history.is_linearizable ? 0 : 1;
}

}  // namespace

Json report_trial(Trial& trial) {
  FleetOfProcesses& fleet = trial.fleet();
  const TrialObservations& observations = trial.observations();
  const TrialOptions& options = trial.options();
  Json callers;
  std::ifstream(fleet.folder() + "/callers.json") >> callers;
  Json result{{"deployment", options.deployment},
              {"seconds", options.seconds},
              {"rate", options.rate},
              {"events", observations.events},
              {"callers", callers}};
  ExecutionRecords records = read_execution_records(fleet);
  CallerOutcomes outcomes = read_outcomes(fleet);
  for (const auto& [second, kinds] : outcomes.not_served)
    result["not_served_by_second"].push_back({{"second", second}, {"calls", kinds}});
  ExecutionChecker checker(fleet, observations, outcomes);
  for (const auto& execution : records.executions)
    checker.check(execution);
  std::int64_t warmup_excess = records.refusals["refuse-cold"];
  result["runs"] = records.executions.size();
  result["run_refusals"] = records.refusals;
  add_daemon_counts(result, fleet);
  result["oldest_plan_after_an_acknowledgement_ms"] = checker.violations().worst_old_plan_ms;
  result["edits_acknowledged"] = observations.acknowledged.size();
  add_violations(result, checker.violations(), observations, warmup_excess);
  RunnerCounts runners = read_runner_counts(fleet);
  result["prefix"] = {{"hits", runners.prefix_hits}, {"misses", runners.prefix_misses}};
  result["cold_peak_of_any_runner"] = runners.warmup_peak;
  add_history(result, fleet);
  return result;
}

bool has_no_violation(const Json& report) {
  const Json& violations = report.at("breaks");
  return std::all_of(violations.begin(), violations.end(), [](const Json& number) { return number == 0; });
}

}  // namespace emberdale
