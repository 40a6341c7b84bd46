#include "soak_judge.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace emberdale::soak {
namespace {

// Between the end of a run and the end of its response at the client.
constexpr Duration answer_slack{200};
// Between the kill of a process and the record of it.
constexpr Duration kill_slack{500};
constexpr Duration contact_time{5000};  // ContactMs of the platform

std::string ms_text(Duration time) { return std::to_string(time.value) + " ms"; }

class Judge {
 public:
  explicit Judge(const SoakRecords& records) : records_(records) {}

  Verdict judge() {
    for (const auto& call : records_.calls)
      calls_[call.id] = &call;
    for (const auto& [name, runner] : records_.runners)
      for (const auto& run : runner.runs)
        judge_run(run, runner);
    return std::move(verdict_);
  }

 private:
  void judge_run(const RunRecord& run, const RunnerRecords& runner) {
    ++verdict_.runs;
    auto entry = calls_.find(run.call);
    if (entry == calls_.end())
      return add("unknown request", run, "no client sent it");
    const CallRecord& call = *entry->second;
    if (++runs_of_call_[run.call] == 2 && !call.is_repeatable)
      add("run twice", run, "it is not repeatable");
    if (call.outcome == CallOutcome::refused)
      add("run although refused", run, "its client was told that it never ran");
    if (!call.is_whole)
      add("run although cut short", run, "its client left before the end of the request");
    judge_answer(call, run);
    judge_departure(call, run, runner);
    judge_drain(call, run, runner);
  }

  // A call that a runner has run to its end gets its response, also on a connection that has served others before, and
  // while the daemon stops in order.
  void judge_answer(const CallRecord& call, const RunRecord& run) {
    bool is_run_whole = run.how == RunEnd::finished && run.ended && *run.ended + answer_slack <= call.ended;
    if (call.outcome != CallOutcome::unreachable || !is_run_whole)
      return;
    // A kill is recorded once the process has ended: its clients may see that before.
    Interval time{call.begun, call.ended + kill_slack};
    bool is_daemon_disturbed = is_disturbed(call.daemon, {TroubleKind::kill_daemon, TroubleKind::stop_daemon}, time);
    bool is_runner_disturbed = is_disturbed(run.runner, {TroubleKind::kill_runner, TroubleKind::stop_runner}, time);
    if (is_daemon_disturbed || is_runner_disturbed || was_ended_by_force(call.daemon, time))
      return;
    std::string connection = call.is_on_kept_connection ? "a kept connection" : "the connection";
    add("answer lost", run, call.daemon + " closed " + connection + " without a response");
  }

  // Whether a daemon that was to stop in order was killed within that time, because it had not ended.
  bool was_ended_by_force(const std::string& daemon, const Interval& time) const {
    return std::any_of(records_.troubles.begin(), records_.troubles.end(), [&](const TroubleRecord& trouble) {
      bool is_end_within = time.from <= trouble.time.until && trouble.time.until <= time.until;
      return trouble.target == daemon && trouble.kind == TroubleKind::terminate_daemon && is_end_within;
    });
  }

  void judge_departure(const CallRecord& call, const RunRecord& run, const RunnerRecords& runner) {
    if (!call.left_at)
      return;
    TimePoint end = end_of(run);
    if (end <= *call.left_at)
      return;
    Duration limit = widened(departure_limit, runner, {*call.left_at, end});
    TimePoint judged_until = std::min(end, *call.left_at + limit);
    if (is_disturbed(call.daemon, {TroubleKind::stop_daemon}, {call.begun, judged_until})) {
      ++verdict_.departed_left_out;
      return;
    }
    ++verdict_.departed_runs;
    Duration late = end - *call.left_at;
    verdict_.worst_departure = std::max(verdict_.worst_departure, late);
    if (late <= limit)
      return;
    if (*call.left_at + limit < run.begun)
      add("sent after the client left", run,
          "begun " + ms_text(run.begun - *call.left_at) + " after it left " + call.daemon);
    else
      add("run on after the client left", run, "ended " + ms_text(late) + " after it left " + call.daemon);
  }

  void judge_drain(const CallRecord& call, const RunRecord& run, const RunnerRecords& runner) {
    for (const auto& drain : records_.drains) {
      if (drain.runner != run.runner || run.begun < drain.time.from || drain.time.until < run.begun)
        continue;
      Duration late = run.begun - drain.time.from;
      Interval time{drain.time.from, run.begun};
      Duration unheard = stopped_within(drain.control, time);
      // A daemon that is cut off or stopped is not in touch with those who know of the mark.
      bool is_out_of_touch = is_disturbed(call.daemon, {TroubleKind::stop_daemon, TroubleKind::cut_daemon}, time) ||
                             was_core_unsettled(time);
      if (!is_out_of_touch)
        verdict_.worst_drain = std::max(verdict_.worst_drain, late);
      if (late <= Duration{widened(drain_limit, runner, time).value + unheard.value})
        continue;
      if (is_out_of_touch)
        ++verdict_.drained_left_out;
      else
        add("sent to a draining runner", run, "begun " + ms_text(late) + " after the mark, by " + call.daemon);
    }
  }

  // A run that a killed runner left open ended with the runner.
  TimePoint end_of(const RunRecord& run) const {
    if (run.ended)
      return *run.ended;
    TimePoint end = records_.read_at;
    for (const auto& trouble : records_.troubles)
      if (trouble.kind == TroubleKind::kill_runner && trouble.target == run.runner && run.begun <= trouble.time.from)
        end = std::min(end, trouble.time.from);
    return end;
  }

  bool is_disturbed(const std::string& daemon, const std::vector<TroubleKind>& kinds, const Interval& time) const {
    return std::any_of(records_.troubles.begin(), records_.troubles.end(), [&](const TroubleRecord& trouble) {
      return trouble.target == daemon && std::find(kinds.begin(), kinds.end(), trouble.kind) != kinds.end() &&
             trouble.time.from <= time.until && time.from <= trouble.time.until;
    });
  }

  // No daemon is in touch until the whole core has been back for so long.
  bool was_core_unsettled(const Interval& time) const {
    return std::any_of(records_.troubles.begin(), records_.troubles.end(), [&](const TroubleRecord& trouble) {
      return trouble.is_of_all_cores && trouble.time.from <= time.until &&
             time.from <= trouble.time.until + contact_time;
    });
  }

  Duration widened(Duration limit, const RunnerRecords& runner, const Interval& time) const {
    Duration of_runner = overlap(runner.pauses, time.from, time.until);
    Duration of_soak = overlap(records_.pauses, time.from, time.until);
    return {limit.value + of_runner.value + of_soak.value};
  }

  // How long the daemon was stopped within the time.
  Duration stopped_within(const std::string& daemon, const Interval& time) const {
    std::vector<Interval> stops;
    for (const auto& trouble : records_.troubles)
      if (trouble.target == daemon && trouble.kind == TroubleKind::stop_daemon)
        stops.push_back(trouble.time);
    return overlap(stops, time.from, time.until);
  }

  void add(const std::string& rule, const RunRecord& run, const std::string& what) {
    verdict_.violations.push_back(
        {rule, run.call + " at " + run.runner + ", begun at " + std::to_string(run.begun.value) + ": " + what});
  }

  const SoakRecords& records_;
  std::map<std::string, const CallRecord*> calls_;
  std::map<std::string, int> runs_of_call_;
  Verdict verdict_;
};

}  // namespace

Verdict judge(const SoakRecords& records) { return Judge(records).judge(); }

}  // namespace emberdale::soak
