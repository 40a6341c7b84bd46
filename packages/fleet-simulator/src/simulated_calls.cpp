// The simulated clients, their calls, and what becomes of each call at the runners.
#include <algorithm>

#include "emberdale/fleet_simulation.hpp"

namespace emberdale {
namespace {

constexpr std::int64_t first_event_ms = 20;  // until a streaming call has sent its first event
constexpr const char* deadline_reason = "no answer within the deadline";

}  // namespace

void CallCounters::add(const CallCounters& other) {
  arrived += other.arrived;
  served += other.served;
  refused += other.refused;
  refused_no_grant += other.refused_no_grant;
  unknown += other.unknown;
  no_daemon += other.no_daemon;
  misdirected += other.misdirected;
  avoidable += other.avoidable;
  for (const auto& [reason, number] : other.reasons)
    reasons[reason] += number;
}

void FleetSimulation::start_call() {
  if (!has_calls_)
    return;
  at(now_ + load_generator_.next_interval(random_), [this] { start_call(); });
  std::vector<std::string> daemons = names("data");
  if (load_generator_.south_share >= 0) {
    std::string wanted = random_.chance(load_generator_.south_share) ? "south" : "north";
    daemons.erase(
        std::remove_if(daemons.begin(), daemons.end(), [&](const auto& name) { return node(name).region != wanted; }),
        daemons.end());
  }
  const std::string daemon =
      daemons[static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(daemons.size())))];
  ++call_counters_.arrived;
  CallIndex index = ++last_call_;
  PendingCall& call = calls_[index];
  call.daemon = daemon;
  Node& target = node(daemon);
  call.request = load_generator_.next(random_, target.region);
  if (!target.is_up)
    return end_call(index, CallOutcome::no_daemon);
  ArrivingCall arriving;
  arriving.id.text = "call-" + std::to_string(index);
  arriving.method = "POST";
  arriving.path = call.request.path;
  arriving.prefix = call.request.prefix;
  if (!call.request.home.empty())
    arriving.headers["x-home-region"] = is_home_misread ? target.region : call.request.home;
  on_node(daemon, [this, arriving, index](Node& awake) {
    refresh_dispatcher(awake);
    if (auto refusal = awake.dispatcher->admit(arriving, clock(awake), index))
      end_finally(*refusal);
    flush_dispatcher(awake);
  });
}

// Whether a warm runner with room was in reach of the call's daemon, where the call may run.
bool FleetSimulation::has_room(const PendingCall& call) const {
  const std::string pool = call.request.path == "/record" ? "records" : "models";
  const Node& daemon = node(call.daemon);
  if (daemon.is_frozen || !daemon.is_up)
    return false;
  return std::any_of(runners_.begin(), runners_.end(), [&](const auto& entry) {
    const SimulatedRunner& runner = entry.second;
    return runner.pool == pool && runner.is_up && !runner.is_hung && !runner.is_warming_up(now_) &&
           runner.running * 2 < runner.capacity && runner.region == daemon.region &&
           !checker_.is_blocked(runner.name) && !network_.is_cut(daemon.name, runner.name);
  });
}

void FleetSimulation::count(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::served:
      ++call_counters_.served;
      break;
    case CallOutcome::refused:
      ++call_counters_.refused;
      break;
    case CallOutcome::refused_no_grant:
      ++call_counters_.refused_no_grant;
      break;
    case CallOutcome::unknown:
      ++call_counters_.unknown;
      break;
    case CallOutcome::misdirected:
      ++call_counters_.misdirected;
      break;
    case CallOutcome::no_daemon:
      ++call_counters_.no_daemon;
      break;
  }
}

void FleetSimulation::end_call(CallIndex index, CallOutcome outcome, const std::string& reason) {
  PendingCall& call = calls_.at(index);
  if (call.is_finished)
    return;
  call.is_finished = true;
  count(outcome);
  if (!reason.empty())
    ++call_counters_.reasons[reason];
  bool is_refused = outcome == CallOutcome::refused || outcome == CallOutcome::refused_no_grant;
  if (is_refused && has_room(call))
    ++call_counters_.avoidable;
  if (is_refused || outcome == CallOutcome::misdirected)
    checker_.on_call_refused(now_, index, call.request.is_repeatable);
}

void FleetSimulation::end_finally(const FinalAct& act) {
  trace(TraceEvent::call_refused, act.call, act.code, act.may_have_run, act.retry_after.value);
  bool wants_grant = act.reason.find("proven current") != std::string::npos;
  bool is_misdirected = act.code == 421;
  CallOutcome outcome = act.may_have_run ? CallOutcome::unknown
                        : is_misdirected ? CallOutcome::misdirected
                        : wants_grant    ? CallOutcome::refused_no_grant
                                         : CallOutcome::refused;
  end_call(act.call, outcome, is_misdirected ? "" : act.reason);
}

void FleetSimulation::flush_dispatcher(Node& target) {
  for (const auto& act : target.dispatcher->take_sends())
    run_send(target.name, act);
  for (const auto& act : target.dispatcher->take_finals())
    end_finally(act);
}

void FleetSimulation::run_send(const std::string& daemon, const SendAct& act) {
  Node& sender = node(daemon);
  SimulatedRunner& runner = runners_.at(act.runner.text);
  PendingCall& call = calls_.at(act.call);
  trace(TraceEvent::call_sent, act.call, daemon, runner.name, act.incarnation, act.is_retry);
  checker_.on_call_sent(now_, {act.call, daemon, runner.name, runner.region, call.request.home,
                               sender.data->view()->config_revision, act.is_retry});
  Attempt attempt{act, daemon, sender.incarnation, sender.region == runner.region ? 1 : shape_.far_delay,
                  now_ + (act.deadline - clock(sender)).value};
  bool is_cut = network_.is_cut(daemon, act.runner.text);
  at(now_ + attempt.travel_ms, [this, attempt, is_cut] { arrive_at_runner(attempt, is_cut); });
}

void FleetSimulation::arrive_at_runner(const Attempt& attempt, bool is_cut) {
  SimulatedRunner& runner = runners_.at(attempt.send.runner.text);
  if (is_cut || (runner.is_up && runner.is_hung))
    return lose_attempt(attempt);
  if (!runner.is_up)
    return end_attempt(attempt, report_of(attempt, runner, SendEndKind::unsent, "no link"));
  bool is_warming_up = runner.is_warming_up(now_);
  std::string refusal = runner.start_call(now_, attempt.send.incarnation, !is_incarnation_check_off);
  // What a runner refuses as too much while it warms up was an overload, whether or not it could refuse it.
  if (is_warming_up && refusal != "incarnation")
    checker_.on_request_while_warming_up(now_, runner.name, runner.running + (refusal.empty() ? 0 : 1),
                                         runner.allowance);
  if (!refusal.empty()) {
    ++figures_.refused_by_runner;
    return end_attempt(attempt, report_of(attempt, runner, SendEndKind::refused, refusal));
  }
  run_at_runner(attempt, runner, is_warming_up);
}

void FleetSimulation::run_at_runner(const Attempt& attempt, const SimulatedRunner& runner, bool is_warming_up) {
  const GeneratedCall& request = calls_.at(attempt.send.call).request;
  checker_.on_call_started(now_, attempt.send.call, request.is_repeatable);
  std::int64_t service_ms = request.service_ms * (is_warming_up ? 2 : 1);
  if (request.is_streaming)  // its first event is out: from here on no other runner may go on with it
    at(now_ + attempt.travel_ms + first_event_ms,
       [this, daemon = attempt.daemon, call = attempt.send.call, incarnation = node(attempt.daemon).incarnation] {
         on_node(daemon, [incarnation, call](Node& awake) {
           if (awake.incarnation == incarnation)
             awake.dispatcher->first_piece(call);
         });
       });
  at(now_ + service_ms,
     [this, attempt, work_generation = runner.work_generation] { complete_at_runner(attempt, work_generation); });
}

void FleetSimulation::complete_at_runner(const Attempt& attempt, std::int64_t work_generation) {
  SimulatedRunner& runner = runners_.at(attempt.send.runner.text);
  if (runner.work_generation != work_generation) {
    later(attempt.travel_ms, [this, attempt] {
      end_attempt(attempt, report_of(attempt, runners_.at(attempt.send.runner.text), SendEndKind::lost, "link broke"));
    });
    return;
  }
  if (runner.is_hung)
    return lose_attempt(attempt);
  runner.finish();
  bool is_late = now_ + attempt.travel_ms > attempt.deadline;
  SendEnd end =
      report_of(attempt, runner, is_late ? SendEndKind::lost : SendEndKind::answered, is_late ? deadline_reason : "");
  later(attempt.travel_ms, [this, attempt, end] { end_attempt(attempt, end); });
}

// No response ever comes: the daemon gives up at the deadline.
void FleetSimulation::lose_attempt(const Attempt& attempt) {
  at(std::max(now_, attempt.deadline), [this, attempt] {
    end_attempt(attempt, report_of(attempt, runners_.at(attempt.send.runner.text), SendEndKind::lost, deadline_reason));
  });
}

SendEnd FleetSimulation::report_of(const Attempt& attempt, const SimulatedRunner& runner, SendEndKind kind,
                                   const std::string& reason) const {
  SendEnd end;
  end.call = attempt.send.call;
  end.kind = kind;
  end.reason = reason;
  end.has_report = kind == SendEndKind::answered || kind == SendEndKind::refused;
  end.incarnation = runner.incarnation;
  end.load = runner.running;
  end.capacity = runner.capacity;
  end.is_warming_up = runner.is_warming_up(now_);
  return end;
}

void FleetSimulation::end_attempt(const Attempt& attempt, const SendEnd& end) {
  on_node(attempt.daemon, [this, attempt, end](Node& awake) {
    if (awake.incarnation != attempt.daemon_incarnation)
      return;
    if (end.kind == SendEndKind::answered)
      end_call(attempt.send.call, CallOutcome::served);
    if (end.kind == SendEndKind::lost && is_lost_call_resent)
      run_send(attempt.daemon, attempt.send);
    refresh_dispatcher(awake);
    awake.dispatcher->on_attempt_finished(end, clock(awake));
    flush_dispatcher(awake);
  });
}

void FleetSimulation::hang_runner(const std::string& name) { runners_.at(name).is_hung = true; }

}  // namespace emberdale
