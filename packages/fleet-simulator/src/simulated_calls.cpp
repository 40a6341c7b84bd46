// Callers, their calls, and what becomes of each at the runners.
#include <algorithm>

#include "emberdale/fleet_simulation.hpp"

namespace emberdale {

void FleetSimulation::ask_call() {
  if (!has_calls_)
    return;
  at(now_ + crowd_.gap(random_), [this] { ask_call(); });
  std::vector<std::string> daemons = names("data");
  if (crowd_.south_share >= 0) {
    std::string wanted = random_.chance(crowd_.south_share) ? "south" : "north";
    daemons.erase(
        std::remove_if(daemons.begin(), daemons.end(), [&](const auto& name) { return node(name).region != wanted; }),
        daemons.end());
  }
  const std::string daemon =
      daemons[static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(daemons.size())))];
  ++tally_.asked;
  CallIndex index = ++last_call_;
  CallRecord& call = calls_[index];
  call.begun = now_;
  call.daemon = daemon;
  Node& target = node(daemon);
  call.wish = crowd_.next(random_, target.region);
  if (!target.is_up)
    return end_call(index, "no_daemon");
  ArrivingCall arriving;
  arriving.id.text = "call-" + std::to_string(index);
  arriving.method = "POST";
  arriving.path = call.wish.path;
  arriving.prefix = call.wish.prefix;
  if (!call.wish.home.empty())
    arriving.headers["x-home-region"] = is_home_misread ? target.region : call.wish.home;
  on_node(daemon, [this, arriving, index](Node& awake) {
    refresh_dispatcher(awake);
    if (auto refusal = awake.dispatcher->admit(arriving, clock(awake), index))
      end_finally(*refusal);
    flush_dispatcher(awake);
  });
}

// Whether a warm runner with room was in reach of the call's daemon, where the call may run.
bool FleetSimulation::has_room(const CallRecord& call) const {
  const std::string pool = call.wish.path == "/record" ? "records" : "models";
  const Node& daemon = node(call.daemon);
  if (daemon.is_frozen || !daemon.is_up)
    return false;
  return std::any_of(runners_.begin(), runners_.end(), [&](const auto& entry) {
    const SimulatedRunner& runner = entry.second;
    return runner.pool == pool && runner.is_up && !runner.is_hung && !runner.is_warming_up(now_) &&
           runner.running * 2 < runner.capacity && runner.region == daemon.region && !watch_.is_barred(runner.name) &&
           !network_.is_cut(daemon.name, runner.name);
  });
}

void FleetSimulation::end_call(CallIndex index, const std::string& outcome, const std::string& reason) {
  CallRecord& call = calls_.at(index);
  if (call.is_over)
    return;
  call.is_over = true;
  if (outcome == "served")
    ++tally_.served;
  else if (outcome == "refused")
    ++tally_.refused;
  else if (outcome == "refused_no_grant")
    ++tally_.refused_no_grant;
  else if (outcome == "unknown")
    ++tally_.unknown;
  else if (outcome == "misdirected")
    ++tally_.misdirected;
  else
    ++tally_.no_daemon;
  if (!reason.empty())
    ++tally_.reasons[reason];
  bool is_refused = outcome.rfind("refused", 0) == 0;
  if (is_refused && has_room(call))
    ++tally_.avoidable;
  if (is_refused || outcome == "misdirected")
    watch_.refused(now_, index, call.wish.is_repeatable);
}

void FleetSimulation::end_finally(const FinalResponse& act) {
  trace(TraceEvent::call_refused, act.call, act.code, act.may_have_run, act.retry_after.value);
  bool wants_grant = act.reason.find("proven current") != std::string::npos;
  end_call(act.call,
           act.may_have_run  ? "unknown"
           : act.code == 421 ? "misdirected"
           : wants_grant     ? "refused_no_grant"
                             : "refused",
           act.code == 421 ? "" : act.reason);
}

void FleetSimulation::flush_dispatcher(Node& target) {
  for (const auto& act : target.dispatcher->drain_attempts())
    run_send(target.name, act);
  for (const auto& act : target.dispatcher->drain_final_responses())
    end_finally(act);
}

void FleetSimulation::run_send(const std::string& daemon, const CallAttempt& act) {
  Node& sender = node(daemon);
  SimulatedRunner& runner = runners_.at(act.runner.text);
  CallRecord& call = calls_.at(act.call);
  trace(TraceEvent::call_sent, act.call, daemon, runner.name, act.incarnation, act.is_retry);
  watch_.sent(now_, {act.call, daemon, runner.name, runner.region, call.wish.home, sender.data->view()->config_revision,
                     act.is_retry});
  std::int64_t incarnation = sender.incarnation;
  auto finish = [this, daemon, incarnation, act](AttemptResult end) {
    on_node(daemon, [this, daemon, incarnation, act, end](Node& awake) {
      if (awake.incarnation != incarnation)
        return;
      if (end.outcome == AttemptOutcome::completed)
        end_call(act.call, "served");
      if (end.outcome == AttemptOutcome::lost && is_lost_call_resent)
        run_send(daemon, act);
      refresh_dispatcher(awake);
      awake.dispatcher->on_attempt_finished(end, clock(awake));
      flush_dispatcher(awake);
    });
  };
  std::int64_t wait = sender.region == runner.region ? 1 : shape_.far_delay;
  std::int64_t deadline = now_ + (act.deadline - clock(sender)).value;
  auto report = [this, index = act.call](const SimulatedRunner& from, AttemptOutcome kind, const std::string& reason) {
    AttemptResult end;
    end.call = index;
    end.outcome = kind;
    end.reason = reason;
    end.has_report = kind == AttemptOutcome::completed || kind == AttemptOutcome::refused;
    end.incarnation = from.incarnation;
    end.load = from.running;
    end.capacity = from.capacity;
    end.is_warming_up = from.is_warming_up(now_);
    return end;
  };
  auto vanish = [this, deadline, finish, report, runner = act.runner.text] {
    at(std::max(now_, deadline), [this, finish, report, runner] {
      finish(report(runners_.at(runner), AttemptOutcome::lost, "no answer within the deadline"));
    });
  };
  bool is_cut = network_.is_cut(daemon, act.runner.text);
  at(now_ + wait, [this, act, wait, deadline, finish, report, vanish, is_cut, daemon] {
    SimulatedRunner& target = runners_.at(act.runner.text);
    if (is_cut || (target.is_up && target.is_hung))
      return vanish();
    if (!target.is_up)
      return finish(report(target, AttemptOutcome::not_sent, "no link"));
    bool is_warming_up = target.is_warming_up(now_);
    std::string refusal = target.take(now_, act.incarnation, !is_incarnation_check_off);
    // What a runner refuses as too much while it is cold was a flood, whether or not it could fend it off.
    if (is_warming_up && refusal != "incarnation")
      watch_.asked_while_warming_up(now_, target.name, target.running + (refusal.empty() ? 0 : 1), target.allowance);
    if (!refusal.empty()) {
      ++figures_.refused_by_runner;
      return finish(report(target, AttemptOutcome::refused, refusal));
    }
    const CallRecord& record = calls_.at(act.call);
    watch_.ran(now_, act.call, record.wish.is_repeatable);
    std::int64_t work_generation = target.work_generation;
    std::int64_t service = record.wish.service_ms * (is_warming_up ? 2 : 1);
    if (record.wish.is_streaming)  // its first piece is out: from here on no other runner may go on with it
      at(now_ + wait + 20, [this, daemon, index = act.call, incarnation = node(daemon).incarnation] {
        on_node(daemon, [incarnation, index](Node& awake) {
          if (awake.incarnation == incarnation)
            awake.dispatcher->on_stream_event(index);
        });
      });
    at(now_ + service, [this, act, wait, deadline, finish, report, vanish, work_generation] {
      SimulatedRunner& done = runners_.at(act.runner.text);
      if (done.work_generation != work_generation) {
        later(wait, [this, act, finish, report] {
          finish(report(runners_.at(act.runner.text), AttemptOutcome::lost, "link broke"));
        });
        return;
      }
      if (done.is_hung)
        return vanish();
      done.finish();
      bool is_late = now_ + wait > deadline;
      auto end = report(done, is_late ? AttemptOutcome::lost : AttemptOutcome::completed,
                        is_late ? "no answer within the deadline" : "");
      later(wait, [finish, end] { finish(end); });
    });
  });
}

void FleetSimulation::hang_runner(const std::string& name) { runners_.at(name).is_hung = true; }

}  // namespace emberdale
