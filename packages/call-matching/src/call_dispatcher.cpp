// Attempts of calls: sending, retries, outlier ejection, and what follows from their results.
#include "emberdale/call_dispatcher.hpp"

#include <algorithm>

namespace emberdale {
namespace {

constexpr Duration connection_ejection_time{1500};
constexpr Duration retry_interval{1000};  // what clients are told to wait
// Reasons by which the relay reports a connection that failed.
constexpr const char* no_connection_reason = "no link";
constexpr const char* connection_broken_reason = "link broke";

}  // namespace

void CallDispatcher::update_view(std::shared_ptr<const RoutingView> view, TimePoint now) {
  view_ = std::move(view);
  for (auto entry = endpoints_.begin(); entry != endpoints_.end();) {
    if (view_->runners.count(entry->first) == 0 && entry->second.in_flight == 0)
      entry = endpoints_.erase(entry);
    else
      ++entry;
  }
  admit_awaiting_grant(now);
  dispatch_queued(now);
}

bool CallDispatcher::is_granted(TimePoint now) const {
  return now < grant_.until && grant_.minimum_version <= view_->version;
}

const ServingPlan* CallDispatcher::plan_of(const Call& call) const {
  for (const auto& plan : view_->plans)
    if (plan.name == call.plan)
      return &plan;
  return nullptr;
}

FinalResponse CallDispatcher::refusal(CallIndex index, const std::string& reason, Duration retry_after) const {
  return FinalResponse{index, 503, reason, false, retry_after, {}};
}

bool CallDispatcher::try_send(Call& call, TimePoint now) {
  const ServingPlan* plan = plan_of(call);
  if (plan == nullptr || !is_granted(now))
    return false;
  bool is_spill = false;
  auto runner = select_endpoint(call, *plan, now, is_spill);
  if (!runner)
    return false;
  leaving_runner_invariant_.on_attempt_started(call.index, *runner, view_->runners, now);
  attempt_budget_invariant_.on_attempt_started(call.index, call.deadline, now);
  const RunnerRow& row = view_->runners.at(*runner);
  ++endpoints_[*runner].in_flight;
  PlanLoad& load = plan_loads_[plan->name];
  ++load.in_flight;
  if (is_spill) {
    ++load.spilled;
    ++counts_.spilled;
  }
  if (row.state == RunnerState::warming_up)
    ++counts_.warmup_sends;
  call.runner = *runner;
  call.is_spilled = is_spill;
  call.is_queued = false;
  ++counts_.sends;
  if (!call.is_retry)
    retry_budget_.earn();
  attempts_.push_back({call.index, call.id, row.name, row.http_address, call.path, call.method, row.seal_key,
                       row.incarnation, plan->is_repeatable, plan->is_streaming, call.deadline, call.is_retry,
                       view_->config_revision});
  return true;
}

void CallDispatcher::on_stream_event(CallIndex index) {
  auto entry = calls_.find(index);
  if (entry != calls_.end())
    pool_[entry->second].has_event = true;
}

void CallDispatcher::forget(PoolIndex at) {
  Call& call = pool_[at];
  if (call.hook.is_linked)
    queues_[call.plan].remove(pool_, at);
  calls_.erase(call.index);
  pool_.give_back(at);
}

void CallDispatcher::finish(CallIndex index, FinalResponse response) {
  response.call = index;
  final_responses_.push_back(std::move(response));
  forget(calls_.at(index));
}

void CallDispatcher::release_endpoint(const Call& call, const AttemptResult& result) {
  EndpointState& endpoint = endpoints_[call.runner];
  if (endpoint.in_flight > 0)
    --endpoint.in_flight;
  PlanLoad& load = plan_loads_[call.plan];
  --load.in_flight;
  if (call.is_spilled)
    --load.spilled;
  if (!result.has_report)
    return;
  endpoint.has_report = true;
  endpoint.incarnation = result.incarnation;
  endpoint.reported_load = result.load;
  endpoint.in_flight_at_report = endpoint.in_flight;
  endpoint.capacity = result.capacity;
}

// Until the map moves on: it may show then whether the runner is back.
void CallDispatcher::eject(EndpointState& endpoint, TimePoint now) {
  endpoint.ejected_at_version = view_->version;
  endpoint.ejected_until = now + connection_ejection_time;
}

void CallDispatcher::eject_if_failed(const Call& call, const AttemptResult& result, TimePoint now) {
  EndpointState& endpoint = endpoints_[call.runner];
  auto row = view_->runners.find(call.runner);
  bool is_listed = row != view_->runners.end();
  if (result.reason == no_connection_reason || result.reason == connection_broken_reason) {
    eject(endpoint, now);
    endpoint.is_reachable = result.reason != no_connection_reason;
    endpoint.incarnation = is_listed ? row->second.incarnation : 0;
  }
  // Back under another incarnation: its own report counts until the map has caught up.
  bool is_refused_with_report = result.outcome == AttemptOutcome::refused && result.has_report;
  if (is_refused_with_report && is_listed && row->second.incarnation != result.incarnation) {
    eject(endpoint, now);
    endpoint.is_reachable = false;
    endpoint.incarnation = row->second.incarnation;
  }
}

void CallDispatcher::on_attempt_finished(const AttemptResult& result, TimePoint now) {
  auto entry = calls_.find(result.call);
  if (entry == calls_.end())
    return;
  PoolIndex at = entry->second;
  release_endpoint(pool_[at], result);
  eject_if_failed(pool_[at], result, now);
  switch (result.outcome) {
    case AttemptOutcome::completed:
      ++counts_.answered;
      forget(at);
      break;
    case AttemptOutcome::caller_disconnected:
      forget(at);
      break;
    case AttemptOutcome::refused:
    case AttemptOutcome::not_sent:
    case AttemptOutcome::lost:
      retry_or_finish(at, result, now);
      break;
  }
  dispatch_queued(now);
}

// True if the call was sent again or waits for a free runner.
bool CallDispatcher::retry(PoolIndex at, TimePoint now) {
  Call& call = pool_[at];
  if (!retry_budget_.allows_retry()) {
    ++counts_.retry_denied;
    return false;
  }
  call.is_retry = true;
  if (try_send(call, now)) {
    retry_budget_.spend();
    ++counts_.retries;
    return true;
  }
  if (queues_[call.plan].size() >= settings_.queue_bound || call.queued_until <= now)
    return false;
  call.tried.clear();
  enqueue(at);
  return true;
}

void CallDispatcher::retry_or_finish(PoolIndex at, const AttemptResult& result, TimePoint now) {
  Call& call = pool_[at];
  const ServingPlan* plan = plan_of(call);
  bool has_surely_not_run = result.outcome != AttemptOutcome::lost;
  bool is_repeatable = plan != nullptr && plan->is_repeatable;
  bool may_retry = plan != nullptr && !call.has_event && (has_surely_not_run || is_repeatable) && now < call.deadline;
  call.tried.push_back(call.runner);
  if (may_retry && retry(at, now))
    return;
  if (has_surely_not_run) {
    ++counts_.refused_full;
    finish(result.call, refusal(result.call, "no runner could take it: " + result.reason, retry_interval));
    return;
  }
  ++counts_.unknown;
  std::string reason = "the runner gave no sound answer: " + result.reason;
  finish(result.call, FinalResponse{result.call, 502, reason, true, is_repeatable ? retry_interval : Duration{0}, {}});
}

void CallDispatcher::on_caller_disconnected(CallIndex index, TimePoint now) {
  awaiting_grant_.erase(std::remove_if(awaiting_grant_.begin(), awaiting_grant_.end(),
                                       [&](const auto& waiting) { return waiting.index == index; }),
                        awaiting_grant_.end());
  auto entry = calls_.find(index);
  if (entry == calls_.end() || !pool_[entry->second].is_queued)
    return;  // an attempt in flight ends on its own
  forget(entry->second);
  dispatch_queued(now);
}

std::vector<CallAttempt> CallDispatcher::drain_attempts() { return std::exchange(attempts_, {}); }

std::vector<FinalResponse> CallDispatcher::drain_final_responses() { return std::exchange(final_responses_, {}); }

}  // namespace emberdale
