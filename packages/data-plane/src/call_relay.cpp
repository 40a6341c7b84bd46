// The lifetime of the relay and its dispatch thread, which alone uses the dispatcher.
#include "call_relay.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "emberdale/json_text.hpp"
#include "emberdale/program_settings.hpp"
#include "http_fields.hpp"
#include "relay_limits.hpp"

namespace emberdale {

using Json = nlohmann::json;
using web::http::http_request;
using web::http::http_response;

namespace {

constexpr std::chrono::milliseconds event_wait{10};
constexpr Duration timer_interval{10};
constexpr std::chrono::milliseconds stop_poll_interval{20};
constexpr std::int64_t smallest_body_limit = 1 << 20;

std::string retry_after_seconds(Duration duration) { return std::to_string((duration.value + 999) / 1000); }

}  // namespace

CallRelay::CallRelay(DispatcherSettings settings, const ControlSnapshot& snapshot, const std::string& http_address,
                     std::size_t max_connections)
    : settings_(settings),
      snapshot_(snapshot),
      listener_(http_address, front_limits(max_connections),
                [this](http_request request) { handle(std::move(request)); }),
      dispatcher_(settings) {}

CallRelay::~CallRelay() { stop(Duration{0}); }

absl::Status CallRelay::open() {
  if (auto listening = listener_.open(); !listening.ok())
    return listening;
  dispatch_thread_ = std::thread([this] { run_dispatcher(); });
  return absl::OkStatus();
}

void CallRelay::stop(Duration timeout) {
  is_stopping_ = true;
  TimePoint end = steady_now() + timeout;
  while ((open_calls_ > 0 || bodies_being_read_ > 0) && steady_now() < end)
    std::this_thread::sleep_for(stop_poll_interval);
  is_aborting_ = true;
  listener_.close();
  // The queue stays open until the last attempt has ended: the dispatch thread waits for each result.
  if (dispatch_thread_.joinable())
    dispatch_thread_.join();
  events_.close();
}

CallDispatcher::Counts CallRelay::counts() const {
  std::lock_guard<std::mutex> guard(counts_mutex_);
  return counts_;
}

void CallRelay::publish_counts() {
  std::lock_guard<std::mutex> guard(counts_mutex_);
  counts_ = dispatcher_.counts();
}

void CallRelay::run_dispatcher() {
  TimePoint next_timer = steady_now();
  for (;;) {
    auto event = events_.take_within(event_wait);
    TimePoint now = steady_now();
    apply_snapshot(now);
    if (event)
      std::visit([&](auto& received) { on_event(received, now); }, *event);
    if (next_timer <= now) {
      next_timer = now + timer_interval;
      on_timer(now);
    }
    execute_actions(now);
    if (!event && is_stopping_ && open_calls_ == 0 && bodies_being_read_ == 0) {
      publish_counts();
      return;
    }
  }
}

void CallRelay::apply_snapshot(TimePoint now) {
  auto [view, grant, sending] = snapshot_.get();
  dispatcher_.set_grant(grant);
  if (view == view_)
    return;
  view_ = view;
  widest_prefix_ = 0;
  std::int64_t largest = smallest_body_limit;
  for (const auto& plan : view->plans) {
    widest_prefix_ = std::max<std::int64_t>(widest_prefix_, plan.prefix_bytes);
    largest = std::max(largest, plan.max_body_bytes);
  }
  largest_body_ = largest;
  dispatcher_.update_view(view, now);
}

void CallRelay::on_event(CallArrived& arrived, TimePoint now) {
  CallIndex index = arrived.handle->index;
  if (arrived.handle->is_caller_disconnected) {
    --open_calls_;
    return;
  }
  handles_[index] = arrived.handle;
  departed_callers_.on_call_opened(index);
  if (auto refusal = dispatcher_.admit(arrived.call, now, index)) {
    send_final_response(*refusal, arrived.handle);
    close_call(index);
  }
}

void CallRelay::on_event(const AttemptFinished& finished, TimePoint now) {
  AttemptResult result = finished.result;
  active_attempts_.erase(result.call);
  departed_callers_.on_attempt_ended(result.call, now);
  auto entry = handles_.find(result.call);
  bool is_over = result.outcome == AttemptOutcome::completed || result.outcome == AttemptOutcome::caller_disconnected;
  bool is_counted_down = entry == handles_.end();  // CallerDisconnected came first
  if (!is_over && (is_counted_down || entry->second->is_caller_disconnected)) {
    result.outcome = AttemptOutcome::caller_disconnected;  // there is no one to try again for
    is_over = true;
    if (!is_counted_down)
      --open_calls_;
  }
  dispatcher_.on_attempt_finished(result, now);
  if (is_over)
    close_call(result.call);
}

void CallRelay::on_event(const CallerDisconnected& disconnected, TimePoint now) {
  departed_callers_.on_caller_departed(disconnected.index, now);
  auto active = active_attempts_.find(disconnected.index);
  if (active != active_attempts_.end()) {
    active->second.exchange->cancel();  // its end comes as AttemptFinished
    return departed_callers_.on_attempt_ended(disconnected.index, now);
  }
  auto entry = handles_.find(disconnected.index);
  if (entry == handles_.end())
    return;
  close_call(disconnected.index);
  --open_calls_;
  dispatcher_.on_caller_disconnected(disconnected.index, now);
}

void CallRelay::on_event(const StreamOpened& opened, TimePoint) { dispatcher_.on_stream_event(opened.index); }

void CallRelay::on_timer(TimePoint now) {
  stop_overdue_attempts(now);
  departed_callers_.check(now);
  dispatcher_.on_timer(now);
  publish_counts();
}

void CallRelay::close_call(CallIndex index) {
  departed_callers_.on_call_closed(index);
  handles_.erase(index);
}

void CallRelay::stop_overdue_attempts(TimePoint now) {
  for (auto& [index, active] : active_attempts_) {
    bool is_overdue = now >= active.deadline;
    if (active.is_stopped || (!is_overdue && !is_aborting_))
      continue;
    active.is_stopped = true;
    relay_counts_.deadlines_passed += is_overdue ? 1 : 0;
    active.exchange->cancel();
  }
}

void CallRelay::execute_actions(TimePoint now) {
  for (const auto& attempt : dispatcher_.drain_attempts())
    start_attempt(attempt, now);
  for (const auto& final_response : dispatcher_.drain_final_responses()) {
    auto entry = handles_.find(final_response.call);
    if (entry == handles_.end())
      continue;
    auto handle = entry->second;
    close_call(final_response.call);
    send_final_response(final_response, handle);
  }
}

void CallRelay::send_final_response(const FinalResponse& final_response, const std::shared_ptr<CallHandle>& handle) {
  --open_calls_;
  if (handle->is_response_started.exchange(true))
    return;
  http_response response(static_cast<web::http::status_code>(final_response.code));
  Json body{{"reason", final_response.reason}, {"outcome", final_response.may_have_run ? "unknown" : "refused"}};
  if (!final_response.homes.empty())
    body["homes"] = final_response.homes;
  if (final_response.retry_after.value > 0) {
    response.headers().add("Retry-After", retry_after_seconds(final_response.retry_after));
    body["retry_after_ms"] = final_response.retry_after.value;
  }
  if (!handle->caller_id.empty())
    response.headers().add("X-Call-Id", handle->caller_id);
  response.set_body(json_text(body), "application/json");
  reply_to(handle->request, response);
}

}  // namespace emberdale
