// The lifetime of the routed relay and its dispatch thread, which alone uses the dispatcher.
#include "routed_relay.hpp"

#include <glog/logging.h>

#include <algorithm>

#include "emberdale/program_settings.hpp"
#include "relay_limits.hpp"
#include "routed_relay_state.hpp"

namespace emberdale {

namespace {
constexpr Duration last_responses_timeout{300};        // for the responses to aborted calls to be written
constexpr Duration closed_connections_timeout{10000};  // for open calls on connections that are closed now
constexpr int max_events_per_round = 64;               // before the dispatcher's timer is checked again
constexpr Duration shortest_logged_delay{1000};        // of the worst ones
constexpr Duration delay_log_step{200};
}  // namespace

RoutedRelay::RoutedRelay(RouteDispatcherSettings settings, RelayHeaderNames header_names,
                         const ControlSnapshot& snapshot, const std::string& http_address, std::size_t max_connections)
    : settings_(settings),
      header_names_(std::move(header_names)),
      snapshot_(snapshot),
      listener_(http_address, front_limits(max_connections),
                [this](web::http::http_request request) { handle(std::move(request)); }),
      dispatcher_(std::move(settings)) {}

RoutedRelay::~RoutedRelay() {
  stop(Duration{0});
  close_listener();
}

absl::Status RoutedRelay::open() {
  if (auto listening = listener_.open(); !listening.ok())
    return listening;
  is_open_ = is_listening_ = true;
  dispatch_thread_ = std::thread([this] { run_dispatcher(); });
  return absl::OkStatus();
}

void RoutedRelay::notify_snapshot_changed() {
  if (!is_snapshot_changed_.exchange(true))
    events_.force(SnapshotChanged{});
}

// The listener stays until the relay itself is destroyed: what still comes is refused with 503, and clients retry
// elsewhere.
void RoutedRelay::stop(Duration timeout) {
  begin_draining();
  aborts_at_ms_ = (steady_now() + timeout).value;
  if (!is_open_.exchange(false))
    return;
  wait_until_idle(timeout);
  is_closing_ = true;
  notify_snapshot_changed();
  if (dispatch_thread_.joinable())
    dispatch_thread_.join();  // it has aborted the calls that were left
  wait_until_idle(last_responses_timeout);
}

bool RoutedRelay::wait_until_idle(Duration timeout) {
  std::unique_lock<std::mutex> guard(open_calls_->mutex);
  return open_calls_->changed.wait_for(guard, std::chrono::milliseconds(timeout.value),
                                       [&] { return open_calls_->calls == 0; });
}

void RoutedRelay::close_listener() {
  if (!is_listening_)
    return;
  listener_.close();
  if (!wait_until_idle(closed_connections_timeout))
    LOG(ERROR) << "calls_left_open open_calls=" << open_calls();
}

RouteDispatcher::Counts RoutedRelay::counts() const {
  std::lock_guard<std::mutex> guard(counts_mutex_);
  return counts_;
}

std::size_t RoutedRelay::open_calls() const {
  std::lock_guard<std::mutex> guard(open_calls_->mutex);
  return open_calls_->calls;
}

void RoutedRelay::run_dispatcher() {
  TimePoint now = steady_now();
  TimePoint timer_at = now;
  while (!is_closing_) {
    Duration wait = std::min(Duration{500}, std::max(Duration{0}, timer_at - now));
    auto event = events_.take_within(std::chrono::milliseconds(wait.value));
    now = steady_now();
    is_snapshot_changed_ = false;  // before the snapshot is read: a later change is notified again
    apply_snapshot(now);
    timer_at = process_events(std::move(event), now, timer_at);
    log_worst_delays();
    std::lock_guard<std::mutex> guard(counts_mutex_);
    counts_ = dispatcher_.counts();
  }
  events_.close();  // a call that arrives from here on is refused by enqueue_arrival
  refuse_queued_arrivals();
  abort_open_calls("this daemon stops");
}

// A new maximum is an event: the margin that the bounds of the platform leave is read off it.
void RoutedRelay::log_worst_delays() {
  auto log_worst = [](const char* event, const DurationHistogram& histogram, Duration& logged) {
    Duration worst = histogram.maximum();
    if (worst < shortest_logged_delay || worst < logged + delay_log_step)
      return;
    logged = worst;
    LOG(INFO) << event << " ms=" << worst.value;
  };
  log_worst("worst_list_age_at_send", dispatcher_.counts().list_age_at_send, logged_list_age_);
  log_worst("worst_drain_delay", dispatcher_.counts().drain_delay, logged_drain_delay_);
}

// Handles this event and those behind it, then what they cause. Gives when the dispatcher's timer is due next.
TimePoint RoutedRelay::process_events(std::optional<DispatchEvent> event, TimePoint now, TimePoint timer_at) {
  auto dispatch = [&](const DispatchEvent& received) {
    std::visit([&](const auto& typed) { on_event(typed, now); }, received);
  };
  for (int taken = 0; event && taken < max_events_per_round; ++taken) {
    dispatch(*event);
    event = events_.take_within(std::chrono::milliseconds(0));
  }
  if (event)
    dispatch(*event);
  auto next_timer = [&] {
    return std::max(dispatcher_.next_timer(now), now + Duration{1});
  };
  if (timer_at <= now) {
    dispatcher_.on_timer(now);
    timer_at = next_timer();
  }
  execute_actions(now);
  departed_callers_.check(now);
  return std::min(timer_at, next_timer());
}

void RoutedRelay::apply_snapshot(TimePoint now) {
  auto [view, grant, sending] = snapshot_.get();
  dispatcher_.set_warming_up_until(grant.warming_up_until);
  dispatcher_.update_sending_knowledge(std::move(sending));
  if (view == view_)
    return;
  view_ = view;
  max_header_bytes_ = view->limits.max_header_bytes;
  max_body_bytes_ = view->limits.max_body_bytes;
  listener_.set_times(std::chrono::milliseconds(view->limits.header_timeout_ms),
                      std::chrono::milliseconds(view->limits.idle_timeout_ms));
  drop_connections(*view);
  abandon_unsent_attempts(*view, now);
  dispatcher_.update_view(view, now);
}

// The calls that the dispatch thread does not admit any more.
void RoutedRelay::refuse_queued_arrivals() {
  while (auto event = events_.take_within(std::chrono::milliseconds(0)))
    if (auto* arrived = std::get_if<CallArrived>(&*event))
      refuse(arrived->handle->request, arrived->handle->id, {503, "this daemon stops", stopped_retry_after},
             arrived->handle);
}

void RoutedRelay::on_event(const CallArrived& arrived, TimePoint now) {
  CallIndex index = arrived.handle->index;
  if (arrived.handle->has_caller_left) {
    ++relay_counts_.callers_gone;
    return;
  }
  calls_[index].handle = arrived.handle;
  departed_callers_.on_call_opened(index);
  if (auto refusal = dispatcher_.admit(arrived.call, now, index)) {
    send_final_response(*refusal, arrived.handle);
    close_call(index);
  }
}

// The call whose current attempt this is; null if that attempt was cancelled.
RoutedRelay::OpenCall* RoutedRelay::find_attempt(CallIndex index, int attempt_number) {
  auto entry = calls_.find(index);
  if (entry == calls_.end() || !entry->second.active)
    return nullptr;
  return entry->second.active->attempt.attempt_number == attempt_number ? &entry->second : nullptr;
}

void RoutedRelay::on_event(const RoutedAttemptResult& result, TimePoint now) {
  OpenCall* call = find_attempt(result.call, result.attempt_number);
  if (call == nullptr)
    return;
  call->active.reset();
  departed_callers_.on_attempt_ended(result.call, now);
  call->may_have_run |= result.may_have_run || result.outcome == RoutedAttemptOutcome::lost ||
                        result.outcome == RoutedAttemptOutcome::broken;
  bool is_call_over =
      result.outcome == RoutedAttemptOutcome::completed || result.outcome == RoutedAttemptOutcome::caller_disconnected;
  if (is_call_over)
    close_call(result.call);
  dispatcher_.on_attempt_finished(result, now);
}

void RoutedRelay::on_event(const ResponseStarted& started, TimePoint now) {
  dispatcher_.on_response_started(started.index, started.attempt_number, now);
}

void RoutedRelay::on_event(const StreamProgress& progress, TimePoint now) {
  dispatcher_.on_stream_event(progress.index, progress.attempt_number, now);
}

void RoutedRelay::on_event(const CallerDisconnected& disconnected, TimePoint now) {
  auto entry = calls_.find(disconnected.index);
  if (entry == calls_.end())
    return;
  ++relay_counts_.callers_gone;
  departed_callers_.on_caller_departed(disconnected.index, now);
  cancel_attempt(entry->second);
  close_departed(*entry->second.handle);
  close_call(disconnected.index);
  dispatcher_.on_caller_disconnected(disconnected.index, now);
}

// No response is made any more; a stream that is open ends, which frees what it holds.
void RoutedRelay::close_departed(Handle& handle) {
  std::lock_guard<std::mutex> guard(handle.mutex);
  bool was_finished = std::exchange(handle.is_finished, true);
  if (handle.is_stream_open && !was_finished)
    handle.pieces->close(std::ios_base::out, std::make_exception_ptr(std::runtime_error("the caller left")));
}

void RoutedRelay::close_call(CallIndex index) {
  departed_callers_.on_call_closed(index);
  calls_.erase(index);
}

// Closes the connection of the current attempt. Nothing more of it is forwarded.
void RoutedRelay::cancel_attempt(OpenCall& call) {
  if (!call.active)
    return;
  {
    std::lock_guard<std::mutex> guard(call.handle->mutex);
    call.handle->attempt_number = 0;
  }
  call.active->cancel();
  call.active.reset();
  departed_callers_.on_attempt_ended(call.handle->index, steady_now());
}

void RoutedRelay::execute_actions(TimePoint now) {
  for (const auto& cancelled : dispatcher_.drain_cancellations()) {
    OpenCall* call = find_attempt(cancelled.call, cancelled.attempt_number);
    if (call == nullptr)
      continue;
    ++relay_counts_.stops;
    call->may_have_run = true;
    cancel_attempt(*call);
  }
  for (const auto& attempt : dispatcher_.drain_attempts())
    start_attempt(attempt, now);
  for (const auto& final_response : dispatcher_.drain_final_responses()) {
    auto entry = calls_.find(final_response.call);
    if (entry == calls_.end())
      continue;
    OpenCall call = entry->second;
    cancel_attempt(call);
    close_call(final_response.call);
    send_final_response(final_response, call.handle);
  }
}

void RoutedRelay::abort_open_calls(const std::string& reason) {
  while (!calls_.empty()) {
    OpenCall call = calls_.begin()->second;
    bool may_have_run = call.may_have_run || call.active != nullptr;
    cancel_attempt(call);
    close_call(call.handle->index);
    FinalResponse final_response{call.handle->index, 503, reason, may_have_run, stopped_retry_after, {}};
    if (may_have_run) {  // 503 would promise that it did not run
      final_response.code = 502;
      final_response.retry_after = Duration{0};
    }
    send_final_response(final_response, call.handle);
  }
  connections_.clear();
}

}  // namespace emberdale
