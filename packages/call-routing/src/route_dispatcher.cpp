// Attempts of routed calls: sending, retries, and what follows from their results.
#include "emberdale/route_dispatcher.hpp"

#include <algorithm>

namespace emberdale {
namespace {

constexpr Duration slow_start_wait{1000};  // no warming runner is used for so long after the start
constexpr int max_unsent_attempts = 3;
constexpr Duration unreachable_ejection_time{1500}, refused_connection_ejection_time{700}, reset_ejection_time{250},
    wrong_incarnation_ejection_time{4000}, full_ejection_time{60};

std::int64_t max_attempts(const Route& route) { return std::max<std::int64_t>(1, route.max_sends); }

}  // namespace

RouteDispatcher::RouteDispatcher(RouteDispatcherSettings settings)
    : settings_(std::move(settings)),
      selector_({settings_.self, settings_.region, settings_.zone, settings_.region_ms}) {}

void RouteDispatcher::update_view(std::shared_ptr<const RoutingView> view, TimePoint now) {
  view_ = std::move(view);
  if (!started_at_)
    started_at_ = now;
  for (auto entry = endpoints_.begin(); entry != endpoints_.end();) {
    const EndpointState& endpoint = entry->second;
    bool is_unused = endpoint.in_flight() == 0 && !endpoint.has_recent_attempt(now);  // else it may return, warming up
    if (view_->runners.count(entry->first) == 0 && is_unused)
      entry = endpoints_.erase(entry);
    else
      ++entry;
  }
  admit_awaiting_view(now);
  dispatch_queued(now);
}

void RouteDispatcher::update_sending_knowledge(SendingKnowledge sending) {
  auto before = std::exchange(sending_, std::move(sending)).unavailable;
  if (before == sending_.unavailable)
    return;
  for (const auto& [name, marked_at] : *sending_.unavailable) {
    auto endpoint = endpoints_.find(name);
    if (before->count(name) != 0 || endpoint == endpoints_.end() || !endpoint->second.last_attempt_at())
      continue;
    counts_.drain_delay.record(*endpoint->second.last_attempt_at() - marked_at);
  }
}

void RouteDispatcher::record_delays(const RunnerName& runner, TimePoint now) {
  if (sending_.list_age.read_at)
    counts_.list_age_at_send.record(now - *sending_.list_age.read_at);
  counts_.excused_sends += sending_.list_age.is_fresh(now) ? 0 : 1;
  auto marked = sending_.unavailable->find(runner);
  if (marked != sending_.unavailable->end())
    counts_.drain_delay.record(now - marked->second);
}

std::optional<RunnerName> RouteDispatcher::select_endpoint(const Call& call, TimePoint now) {
  if (!sending_.list_age.may_send(now))
    return std::nullopt;  // the call waits for a newer reading of the list
  bool may_use_warming_runners = now < warming_up_until_ && started_at_ && now - *started_at_ >= slow_start_wait;
  return selector_.select(call.selection, call.route->homes, {*view_, endpoints_, may_use_warming_runners, now});
}

bool RouteDispatcher::try_send(Call& call, TimePoint now) {
  auto runner = select_endpoint(call, now);
  if (!runner && !call.selection.tried.empty() && !call.is_retry()) {
    call.selection.tried.clear();
    runner = select_endpoint(call, now);
  }
  if (!runner)
    return false;
  const RunnerRow& row = view_->runners.at(*runner);
  call.uncached_tokens = endpoints_[*runner].start_attempt(call.selection.prompt, now);
  call.runner = *runner;
  call.is_sent = true;
  call.last_received_at = now;
  ++call.attempt_number;
  check_attempt(call, now);
  record_delays(*runner, now);
  counts_.read_tokens += call.uncached_tokens;
  counts_.kept_tokens += call.selection.tokens_in - std::min(call.selection.tokens_in, call.uncached_tokens);
  if (row.state == RunnerState::warming_up)
    ++counts_.warmup_sends;
  if (row.region != settings_.region)
    ++counts_.far_sends;
  ++counts_.sends;
  if (call.attempt_number == 1)
    retry_budget(call.selection.pool).earn();
  attempts_.push_back({call.index, call.attempt_number, row.name, row.http_address, call.route->is_repeatable,
                       call.route->is_streaming, call.route->rank, call.deadline, call.resume_after});
  return true;
}

// Counts what must hold of the attempt that starts; changes nothing else.
void RouteDispatcher::check_attempt(const Call& call, TimePoint now) {
  AttemptBudget budget{call.attempt_number - call.unsent_attempts, max_attempts(*call.route), call.deadline};
  leaving_runner_invariant_.on_attempt_started(call.index, call.runner, view_->runners, now);
  attempt_budget_invariant_.on_attempt_started(call.index, budget, now);
  list_age_invariant_.on_attempt_started(call.index, call.runner, sending_.list_age, now);
}

void RouteDispatcher::release_endpoint(Call& call) {
  if (!call.is_sent)
    return;
  call.is_sent = false;
  endpoints_[call.runner].finish_attempt(call.uncached_tokens, call.has_event_from_attempt);
  call.has_event_from_attempt = false;
}

// The call whose current attempt this is; null if that attempt is over.
RouteDispatcher::Call* RouteDispatcher::find_attempt(CallIndex index, int attempt_number) {
  auto entry = calls_.find(index);
  if (entry == calls_.end() || entry->second.attempt_number != attempt_number || !entry->second.is_sent)
    return nullptr;
  return &entry->second;
}

void RouteDispatcher::on_response_started(CallIndex index, int attempt_number, TimePoint now) {
  Call* call = find_attempt(index, attempt_number);
  if (call == nullptr)
    return;
  call->last_received_at = now;
  endpoints_[call->runner].record_success(now);
}

void RouteDispatcher::on_stream_event(CallIndex index, int attempt_number, TimePoint now) {
  on_response_started(index, attempt_number, now);
  Call* call = find_attempt(index, attempt_number);
  if (call == nullptr)
    return;
  call->has_event = true;
  if (call->has_event_from_attempt)
    return;
  call->has_event_from_attempt = true;
  endpoints_[call->runner].finish_prompt(call->uncached_tokens);
}

void RouteDispatcher::on_attempt_finished(const RoutedAttemptResult& result, TimePoint now) {
  Call* found = find_attempt(result.call, result.attempt_number);
  if (found == nullptr)
    return;
  Call& call = *found;
  release_endpoint(call);
  EndpointState& endpoint = endpoints_[call.runner];
  if (result.has_report)
    endpoint.record_load_report(result.running + result.waiting, now);
  if (result.outcome != RoutedAttemptOutcome::not_sent && result.outcome != RoutedAttemptOutcome::caller_disconnected)
    call.selection.tried.insert(call.runner);
  call.may_have_run |= result.may_have_run;
  switch (result.outcome) {
    case RoutedAttemptOutcome::completed:
      ++counts_.answered;
      endpoint.record_success(now);
      calls_.erase(result.call);
      break;
    case RoutedAttemptOutcome::caller_disconnected:
      calls_.erase(result.call);
      break;
    case RoutedAttemptOutcome::refused:
      endpoint.record_contact(now);
      endpoint.eject(full_ejection_time, now);
      retry_or_finish(call, true, result.reason, now);
      break;
    case RoutedAttemptOutcome::wrong_incarnation:
      endpoint.eject(wrong_incarnation_ejection_time, now);
      retry_or_finish(call, true, result.reason, now);
      break;
    case RoutedAttemptOutcome::not_sent:
      on_not_sent(call, result, now);
      break;
    case RoutedAttemptOutcome::lost:
    case RoutedAttemptOutcome::broken:
      endpoint.record_failure(reset_ejection_time, now);
      call.may_have_run = true;
      if (!result.last_event.empty())
        call.resume_after = result.last_event;
      retry_or_finish(call, false, result.reason, now);
      break;
  }
  dispatch_queued(now);
}

// Nothing left this daemon, so another runner costs no retry.
void RouteDispatcher::on_not_sent(Call& call, const RoutedAttemptResult& result, TimePoint now) {
  endpoints_[call.runner].record_failure(
      result.was_slow_to_connect ? unreachable_ejection_time : refused_connection_ejection_time, now);
  ++call.unsent_attempts;
  if (call.unsent_attempts <= max_unsent_attempts && now < call.deadline && try_send(call, now))
    return;
  if (now < call.queued_until && !call.has_event)
    enqueue(call);
  else
    retry_or_finish(call, true, result.reason, now);
}

RetryBudget& RouteDispatcher::retry_budget(const PoolName& pool) {
  RetryBudgetSettings budget{settings_.resend_share, settings_.resend_start, settings_.resend_bound};
  return retry_budgets_.try_emplace(pool, budget).first->second;
}

// True if the route, the deadline and the retry budget allow one more attempt.
bool RouteDispatcher::may_retry(const Call& call, TimePoint now) {
  if (call.attempt_number - call.unsent_attempts >= max_attempts(*call.route) || now >= call.deadline)
    return false;
  if (!retry_budget(call.selection.pool).allows_retry()) {
    ++counts_.resend_denied;
    return false;
  }
  return true;
}

void RouteDispatcher::count_retry(const Call& call) {
  retry_budget(call.selection.pool).spend();
  ++counts_.resends;
}

void RouteDispatcher::retry_or_finish(Call& call, bool has_surely_not_run, const std::string& reason, TimePoint now) {
  CallIndex index = call.index;
  bool may_repeat = call.route->is_repeatable || (has_surely_not_run && !call.has_event);
  if (may_repeat && may_retry(call, now)) {
    if (try_send(call, now)) {
      count_retry(call);
      if (call.has_event)
        ++counts_.resumed;
      return;
    }
    if (!call.has_event && now < call.queued_until) {
      enqueue(call);
      return;
    }
  }
  if (has_surely_not_run && !call.has_event && !call.may_have_run) {
    ++counts_.refused_full;
    Duration retry_after = has_available_runner(call) ? Duration{250} : Duration{1000};
    finish(index, refusal(index, "no runner could take it: " + reason, retry_after));
    return;
  }
  ++counts_.unknown;
  finish(index, FinalResponse{index, 502, "the runner gave no sound answer: " + reason, true, Duration{0}, {}});
}

void RouteDispatcher::finish(CallIndex index, FinalResponse response) {
  auto entry = calls_.find(index);
  response.call = index;
  final_responses_.push_back(std::move(response));
  dequeue(entry->second);
  calls_.erase(entry);
}

void RouteDispatcher::on_caller_disconnected(CallIndex index, TimePoint now) {
  awaiting_view_.erase(std::remove_if(awaiting_view_.begin(), awaiting_view_.end(),
                                      [&](const CallAwaitingView& waiting) { return waiting.index == index; }),
                       awaiting_view_.end());
  auto entry = calls_.find(index);
  if (entry == calls_.end())
    return;
  Call& call = entry->second;
  if (call.is_sent) {
    cancellations_.push_back({index, call.attempt_number});
    release_endpoint(call);
  }
  dequeue(call);
  calls_.erase(entry);
  dispatch_queued(now);
}

}  // namespace emberdale
