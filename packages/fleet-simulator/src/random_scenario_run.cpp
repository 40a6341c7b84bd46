// The course of a random scenario: bring the fleet up, inject faults, inject one last fault, check the recovery.
#include "random_scenario_run.hpp"

#include <algorithm>

#include "emberdale/linearizability.hpp"

namespace emberdale {
namespace {

constexpr std::int64_t wall_clock_at_start = 1796173200;  // seconds
constexpr Duration settling_time{9000};  // before a fault that is injected alone: no start is under way any more
constexpr std::int64_t single_fault_ms = 5000;
constexpr Duration single_fault_interval{10000};
constexpr std::int64_t shortest_fault_ms = 300;
constexpr std::int64_t usual_fault_ms = 3500, long_fault_ms = 12000;  // upper bounds beyond the shortest
constexpr Duration longest_fault{13000};
constexpr Duration recovery_limit{12000};
constexpr Duration edit_limit{45000};

}  // namespace

bool RandomScenario::bring_up() {
  fleet_.wall_seconds = wall_clock_at_start;
  if (!fleet_.found() || !fleet_.declare()) {
    fail("the fleet did not come up");
    return false;
  }
  if (plan_.inject_defect)
    plan_.inject_defect(fleet_);
  edges_ = fleet_.names("edge");
  data_daemons_ = fleet_.names("data");
  cores_ = fleet_.names("core");
  runners_ = fleet_.runner_names();
  if (!plan_.only.empty()) {
    fleet_.run(settling_time);
    fleet_.reset_call_counters();
  }
  return true;
}

FaultInjectionResult RandomScenario::run() {
  if (!bring_up())
    return std::move(result_);
  int weights = 0;
  for (const auto& fault : faults())
    weights += fault.weight;
  std::int64_t end = fleet_.now() + plan_.length.value;
  while (fleet_.now() < end) {
    if (plan_.only.empty())
      inject_at_random(weights);
    else
      inject_only(plan_.only);
    check_lost_core();
  }
  result_.calls = fleet_.call_counters();
  check_recovery();
  check_linearizability();
  finish_result();
  return std::move(result_);
}

void RandomScenario::inject_only(const std::string& name) {
  fault_duration_ = single_fault_ms;
  for (const auto& fault : faults())
    if (fault.name == name)
      inject(fault);
  fleet_.run(single_fault_interval);
}

// Injects one fault, or up to three at the same moment.
void RandomScenario::inject_at_random(int weights) {
  for (std::int64_t together = random_.chance(0.3) ? 2 + random_.below(2) : 1; together > 0; --together) {
    fault_duration_ = shortest_fault_ms + random_.below(random_.chance(0.15) ? long_fault_ms : usual_fault_ms);
    inject(pick_fault(faults(), weights));
  }
  fleet_.run(Duration{100 + random_.below(1800)});
}

// The faults before have ended; only the machines that this one took are started again.
void RandomScenario::inject_last_fault() {
  fault_duration_ = 1000 + random_.below(2000);
  static const std::vector<Fault> last_faults{{"last: total loss", 3, &RandomScenario::lose_all},
                                              {"last: zone lost", 2, &RandomScenario::lose_zone},
                                              {"last: region lost", 1, &RandomScenario::lose_region},
                                              {"last: master killed", 2, &RandomScenario::kill_master},
                                              {"last: many killed", 2, &RandomScenario::kill_many},
                                              {"last: core machine wiped", 1, &RandomScenario::wipe_core}};
  constexpr std::int64_t weights = 11;
  inject(pick_fault(last_faults, weights));
  fleet_.run(Duration{fault_duration_ + 1600});
}

// Allows the next loss of a disk once the core daemon that lost its own is a member again.
void RandomScenario::check_lost_core() {
  if (!lost_core_.empty() && fleet_.is_running(lost_core_) && is_admitted(lost_core_))
    lost_core_.clear();
}

// Nothing is repaired by hand: the fleet has to serve calls and take edits again by itself.
void RandomScenario::check_recovery() {
  log("the day ends");
  fleet_.run(longest_fault);
  check_lost_core();
  inject_last_fault();
  auto wanted = static_cast<std::int64_t>(data_daemons_.size());
  bool is_serving =
      fleet_.run_until([&] { return !fleet_.master().empty() && fleet_.serving_daemons() == wanted; }, recovery_limit);
  if (!is_serving)
    return fail("service did not return within 12 s");
  if (!edit_after_recovery())
    return fail("no edit was taken after the day");
  check_calls_after_recovery();
  if (!fleet_.compare_holdings())
    fail("the register can't be read after the day");
}

bool RandomScenario::edit_after_recovery() {
  for (const std::string zone : {"a", "b", "c"})
    if (!fleet_.edit_until_done("put", orders_kind, zone, R"({"state":"serving"})", edit_limit))
      return false;
  for (const auto& runner : runners_)
    fleet_.edit_until_done("patch", runners_kind, runner, R"({"leaving":false})", edit_limit);
  return true;
}

void RandomScenario::check_calls_after_recovery() {
  fleet_.run(Duration{4000});
  fleet_.reset_call_counters();
  fleet_.run(Duration{3000});
  const CallCounters& calls = fleet_.call_counters();
  std::int64_t turned_away = calls.refused + calls.refused_no_grant + calls.unknown + calls.no_daemon;
  bool is_served = turned_away * 50 <= calls.arrived && calls.served * 2 >= calls.arrived;
  if (is_served)
    return;
  std::string reasons;
  for (const auto& [reason, number] : calls.reasons)
    reasons += ", " + std::to_string(number) + " " + reason;
  fail("calls are not served after the day",
       std::to_string(turned_away) + " of " + std::to_string(calls.arrived) + " turned away" + reasons);
}

// Whether some order of all edits and reads of the operators explains the responses that they got.
void RandomScenario::check_linearizability() {
  history::HistoryVerdict verdict = history::check_history(fleet_.operators_calls());
  if (verdict.verdict == history::Verdict::not_linearizable)
    fail("the operators' calls are not linearizable", history::report(verdict));
  if (verdict.verdict == history::Verdict::undecided)
    fail("the operators' calls can't be judged", history::report(verdict));
  log(history::report(verdict));
}

void RandomScenario::finish_result() {
  result_.count_edits(edits_);
  for (const auto& violation : fleet_.violations())
    result_.violations.push_back(violation);
  auto figures = fleet_.figures();
  event_log_ << "acked " << result_.acknowledged_edits << " refused " << result_.refused_edits << " unknown "
             << result_.unknown_edits << " worst old plan " << figures.worst_old_plan_ms << " worst leaving "
             << figures.worst_leaving_ms << ", from the ask " << figures.worst_notification_ms << ", retries "
             << figures.retries << " of " << figures.sends << ", reads " << fleet_.invariant_checker().reads() << "\n";
  result_.event_log = event_log_.str();
}

void RandomScenario::fail(const std::string& rule, const std::string& detail) {
  result_.violations.push_back({fleet_.now(), rule, detail.empty() ? fleet_.why_silent() : detail});
}

std::string RandomScenario::trace_digest(const FaultInjectionResult& result) {
  std::string fleet_digest = fleet_.trace_digest();
  if (fleet_digest.empty())
    return "";
  TraceDigest digest;
  digest.record(TraceEvent::totals, fleet_.now(), fleet_digest, result.acknowledged_edits, result.refused_edits,
                result.unknown_edits, result.violations.size());
  const CallCounters& calls = result.calls;
  digest.record(TraceEvent::totals, fleet_.now(), calls.arrived, calls.served, calls.refused, calls.refused_no_grant,
                calls.unknown, calls.no_daemon, calls.misdirected, calls.avoidable);
  std::vector<std::int64_t> by_reason;  // sorted by number, since the reasons' wording may change
  for (const auto& [reason, number] : calls.reasons)
    by_reason.push_back(number);
  std::sort(by_reason.begin(), by_reason.end());
  for (std::int64_t number : by_reason)
    digest.record(TraceEvent::totals, fleet_.now(), number);
  for (const auto& fault : faults())
    digest.record(TraceEvent::totals, fleet_.now(),
                  result.injected.count(fault.name) ? result.injected.at(fault.name) : 0,
                  result.effects.count(fault.name) ? result.effects.at(fault.name) : 0);
  return digest.digest();
}

FaultInjectionResult run_random_scenario(std::uint64_t seed, const ScenarioPlan& plan) {
  RandomScenario scenario(seed, plan);
  FaultInjectionResult result = scenario.run();
  result.trace_digest = scenario.trace_digest(result);
  return result;
}

}  // namespace emberdale
