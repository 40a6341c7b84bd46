#include "soak.hpp"

#include <signal.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <thread>
#include <utility>

#include "emberdale/program_settings.hpp"
#include "pause_monitor.hpp"
#include "plain_http.hpp"
#include "soak_clients.hpp"

namespace emberdale::soak {
namespace {

using Json = nlohmann::json;

constexpr Duration page_patience{500};
constexpr Duration poll_interval{50};
constexpr int signal_status = 128;  // of a process that a signal ended, beside its number
constexpr Duration recovery_limit{30000};
constexpr Duration setup_time{300};      // from the start of a process until it handles signals, on a busy machine
constexpr Duration settling_time{2000};  // after the last client, so that the last runs end
constexpr Duration invariants_interval{1000};
constexpr std::int64_t fewest_departed_runs = 10;  // with fewer, the soak has shown nothing

void sleep_until(TimePoint time) {
  auto left = std::max<std::int64_t>(0, (time - steady_now()).value);
  std::this_thread::sleep_for(std::chrono::milliseconds(left));
}

// One step of the schedule: a trouble begins or ends.
struct Step {
  Duration at;
  std::size_t trouble = 0;
  bool is_begin = false;
};

std::vector<Step> steps_of(const std::vector<PlannedTrouble>& schedule) {
  std::vector<Step> steps;
  for (std::size_t i = 0; i < schedule.size(); ++i) {
    steps.push_back({schedule[i].begins, i, true});
    steps.push_back({schedule[i].ends, i, false});
  }
  std::stable_sort(steps.begin(), steps.end(), [](const Step& a, const Step& b) { return a.at < b.at; });
  return steps;
}

bool is_runner(const std::string& role) { return role == "model" || role == "record"; }

}  // namespace

Soak::Soak(SoakFace& face, SoakOptions options)
    : face_(face),
      options_(std::move(options)),
      fleet_(face.fleet()),
      schedule_(draw_schedule(face.targets(), options_.seed, options_.length)) {
  std::ofstream(options_.folder + "/schedule.json") << schedule_document(schedule_).dump(2) << "\n";
}

SoakReport Soak::run() {
  std::string reason = face_.bring_up(options_.seed);
  if (!reason.empty())
    return {{{"start", "the fleet did not come up: " + reason}}, {}};
  {
    PauseMonitor monitor([this](const Interval& pause) { records_.pauses.push_back(pause); });
    SoakOperators operators(face_, addresses({"core", "edge"}), face_.targets().runners, options_.seed);
    SoakClients clients(face_, addresses({"data"}), options_.seed);
    play();
    if (!wait_until_whole())
      violations_.push_back({"recovery", "not every data daemon serves after the last trouble"});
    records_.calls = clients.stop();
    operators_ = operators.stop();
    records_.drains = operators_.drains;
    sleep_until(steady_now() + settling_time);
  }
  read_records();
  for (const auto& name : fleet_.names({"core", "edge", "data"}))
    read_invariants(name);
  for (const auto& name : fleet_.names({"core", "edge", "data"}))
    invariants_.read_log(name, options_.folder + "/" + name + ".log");
  SoakReport report = this->report();
  for (const auto& name : fleet_.stop())
    report.violations.push_back({"clean stop", name});
  return report;
}

void Soak::play() {
  TimePoint start = steady_now(), next_reading = start;
  records_.troubles.resize(schedule_.size());
  for (const Step& step : steps_of(schedule_)) {
    for (; next_reading < start + step.at; next_reading = next_reading + invariants_interval) {
      sleep_until(next_reading);
      for (const auto& name : fleet_.names({"core", "edge", "data"}))
        if (steady_now() < start + step.at)
          read_invariants(name);
    }
    sleep_until(start + step.at);
    if (step.is_begin)
      begin(schedule_[step.trouble], records_.troubles[step.trouble]);
    else
      end(schedule_[step.trouble], records_.troubles[step.trouble]);
  }
  sleep_until(start + options_.length);
}

void Soak::begin(const PlannedTrouble& trouble, TroubleRecord& record) {
  record = {trouble.kind, trouble.target, {steady_now(), {}}, trouble.is_of_all_cores};
  switch (trouble.kind) {
    case TroubleKind::kill_daemon:
      read_invariants(trouble.target);
      kill(trouble.target, false);
      record.time.from = steady_now();
      break;
    case TroubleKind::terminate_daemon:
      read_invariants(trouble.target);
      terminate(trouble.target);
      break;
    case TroubleKind::kill_runner:
      kill(trouble.target, false);
      record.time.from = steady_now();
      break;
    case TroubleKind::hang_up_daemon:
      fleet_.signal(trouble.target, SIGHUP);
      break;
    case TroubleKind::stop_daemon:
    case TroubleKind::stop_runner:
      fleet_.signal(trouble.target, SIGSTOP);
      break;
    case TroubleKind::cut_daemon:
      cut(trouble, true);
      break;
    case TroubleKind::crowd_daemon:
      crowds_[trouble.target] =
          std::make_unique<Crowd>(fleet_.at(trouble.target).http, options_.crowd_connections, options_.seed);
      break;
  }
}

void Soak::end(const PlannedTrouble& trouble, TroubleRecord& record) {
  switch (trouble.kind) {
    case TroubleKind::terminate_daemon:
      kill(trouble.target, true);  // where it is not done with what was in progress
      start(trouble.target);
      break;
    case TroubleKind::kill_daemon:
    case TroubleKind::kill_runner:
      start(trouble.target);
      break;
    case TroubleKind::hang_up_daemon:
      fleet_.signal(trouble.target, SIGHUP);
      break;
    case TroubleKind::stop_daemon:
    case TroubleKind::stop_runner:
      fleet_.signal(trouble.target, SIGCONT);
      break;
    case TroubleKind::cut_daemon:
      cut(trouble, false);
      break;
    case TroubleKind::crowd_daemon:
      crowds_.erase(trouble.target);
      break;
  }
  record.time.until = steady_now();
}

void Soak::kill(const std::string& name, bool may_have_ended) {
  int status = fleet_.end(name, SIGKILL);
  bool is_killed = status == signal_status + SIGKILL;
  bool is_done = may_have_ended && status == 0;
  bool is_ended_at_start = may_have_ended && status == signal_status + SIGTERM && terminated_at_start_.count(name) != 0;
  if (!is_killed && !is_done && !is_ended_at_start)
    violations_.push_back({"crash", name + " had ended with " + std::to_string(status)});
}

void Soak::start(const std::string& name) {
  fleet_.begin(name);
  started_at_[name] = steady_now();
  terminated_at_start_.erase(name);
}

// A process that is told to stop before it has set up its signals is ended by the system, which is in order.
void Soak::terminate(const std::string& name) {
  auto started = started_at_.find(name);
  bool is_starting = started != started_at_.end() && steady_now() - started->second < setup_time;
  if (is_starting)
    terminated_at_start_.insert(name);
  fleet_.signal(name, SIGTERM);
}

void Soak::cut(const PlannedTrouble& trouble, bool is_cut) {
  Json fault{{"clear", true}};
  if (is_cut) {
    fault = {{"cut_in", trouble.cuts_in}, {"cut_out", trouble.cuts_out}, {"siblings", Json::array()}};
    for (const auto& peer : trouble.peers)
      fault["siblings"].push_back(fleet_.at(peer).link);
  }
  const FleetProcess& process = fleet_.at(trouble.target);
  exchange(process.http, request_text("POST", face_.faults_path(process), "", fault.dump()), page_patience);
}

void Soak::read_invariants(const std::string& daemon) {
  const FleetProcess& process = fleet_.at(daemon);
  std::string request = request_text("GET", face_.metrics_path(process), "", "");
  auto page = exchange(face_.metrics_address(process), request, page_patience);
  if (page)
    invariants_.read_page(daemon, page->body);
}

bool Soak::wait_until_whole() {
  TimePoint deadline = steady_now() + recovery_limit;
  auto gateways = fleet_.names({"data"});
  bool is_whole = false;
  while (!is_whole && steady_now() < deadline) {
    is_whole = std::all_of(gateways.begin(), gateways.end(),
                           [this](const std::string& name) { return face_.is_ready(fleet_.at(name)); });
    std::this_thread::sleep_for(std::chrono::milliseconds(poll_interval.value));
  }
  return is_whole;
}

void Soak::read_records() {
  for (const auto& [name, process] : fleet_.processes())
    if (is_runner(process.role))
      records_.runners[name] = read_runner_records(options_.folder + "/ledger-" + name, name);
  records_.read_at = steady_now();
}

std::vector<ProcessAddress> Soak::addresses(const std::vector<std::string>& roles) const {
  std::vector<ProcessAddress> list;
  for (const auto& name : fleet_.names(roles)) {
    const FleetProcess& process = fleet_.processes().at(name);
    list.push_back({process.name, process.http, process.region});
  }
  return list;
}

SoakReport Soak::report() {
  Verdict verdict = judge(records_);
  SoakReport report;
  report.violations = std::move(verdict.violations);
  report.violations.insert(report.violations.end(), violations_.begin(), violations_.end());
  for (const auto& finding : operators_.lost_changes)
    report.violations.push_back({"acknowledged configuration", finding});
  for (const auto& [name, count] : invariants_.violations())
    report.violations.push_back({"invariant of a daemon", name + " " + std::to_string(count)});
  for (const auto& [name, count] : invariants_.short_of_descriptors())
    report.violations.push_back({"descriptors", name + " had " + std::to_string(count) + " open"});
  if (verdict.departed_runs < fewest_departed_runs)
    report.violations.push_back(
        {"too little judged", std::to_string(verdict.departed_runs) + " runs of clients that left"});
  std::map<std::string, int> outcomes;
  for (const auto& call : records_.calls)
    ++outcomes[to_string(call.outcome)];
  Duration paused = overlap(records_.pauses, TimePoint{}, records_.read_at);
  report.figures = {{"seed", options_.seed},
                    {"start", face_.start_description()},
                    {"troubles", schedule_.size()},
                    {"calls", outcomes},
                    {"runs", verdict.runs},
                    {"departed_runs", verdict.departed_runs},
                    {"departed_left_out", verdict.departed_left_out},
                    {"worst_departure_ms", verdict.worst_departure.value},
                    {"worst_drain_ms", verdict.worst_drain.value},
                    {"drains", records_.drains.size()},
                    {"drained_left_out", verdict.drained_left_out},
                    {"edits_acknowledged", operators_.acknowledged},
                    {"reads", operators_.reads},
                    {"answers_unread", operators_.unread},
                    {"invariant_checks", invariants_.checks()},
                    {"most_resident_bytes", invariants_.most_resident_bytes()},
                    {"soak_paused_ms", paused.value}};
  return report;
}

}  // namespace emberdale::soak
