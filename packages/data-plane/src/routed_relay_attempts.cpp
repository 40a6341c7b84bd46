// Attempts: requests to runners, connections, and how an attempt ends.
#include <algorithm>
#include <boost/asio/error.hpp>

#include "emberdale/program_settings.hpp"
#include "routed_relay_state.hpp"

namespace emberdale {

namespace {

// After the begin of an attempt; a connection that had been closed before shows it sooner. Later the runner may have
// worked on the request and may take no more of them: the attempt fails, and the dispatcher decides.
constexpr std::chrono::milliseconds resend_limit{300};
constexpr Duration connect_time{250};      // a runner that is up accepts sooner than that
constexpr Duration deadline_margin{1000};  // the dispatcher ends the attempt at the deadline itself

}  // namespace

void RoutedRelay::drop_connections(const RoutingView& view) {
  for (auto entry = connections_.begin(); entry != connections_.end();) {
    auto row = view.runners.find(entry->first.second);
    bool is_listed = row != view.runners.end() && row->second.http_address == entry->first.first;
    entry = is_listed ? std::next(entry) : connections_.erase(entry);
  }
}

// A request whose connection hangs would reach its runner later, when that has left: it goes to another one. What has
// happened to it shows once its exchange has ended.
void RoutedRelay::abandon_unsent_attempts(const RoutingView& view, TimePoint now) {
  for (auto& [index, call] : calls_) {
    if (!call.active || call.active->is_abandoned || now - call.active->sent_at < connect_time)
      continue;
    auto row = view.runners.find(call.active->attempt.runner);
    bool is_in_service = row != view.runners.end() &&
                         (row->second.state == RunnerState::warm || row->second.state == RunnerState::warming_up);
    if (is_in_service || call.active->exchange == nullptr || call.active->exchange->was_sent())
      continue;
    ++relay_counts_.attempts_abandoned;
    call.active->is_abandoned = true;
    call.active->cancel();
  }
}

std::shared_ptr<RoutedRelay::RunnerConnection> RoutedRelay::connection_to(const RoutedAttempt& attempt) {
  auto& connection = connections_[{attempt.http_address, attempt.runner}];
  if (!connection || connection->is_unusable)
    connection = std::make_shared<RunnerConnection>(attempt.http_address);
  return connection;
}

void RoutedRelay::start_attempt(const RoutedAttempt& attempt, TimePoint now) {
  auto entry = calls_.find(attempt.call);
  if (entry == calls_.end())
    return;
  auto handle = entry->second.handle;
  cancel_attempt(entry->second);
  std::string last = attempt.resume_after;
  bool is_finished = false, is_unresumable = false;
  {
    std::lock_guard<std::mutex> guard(handle->mutex);
    handle->attempt_number = attempt.attempt_number;
    is_finished = handle->is_finished;  // the response of a cancelled attempt had just gone out
    if (handle->is_stream_open)
      last = handle->last_event;
    is_unresumable = handle->is_stream_open && last.empty();
  }
  auto started = std::make_shared<ActiveAttempt>(attempt, handle, last);
  entry->second.active = started;
  if (is_finished)
    return finish_attempt(started, RoutedAttemptOutcome::completed, "");
  if (is_unresumable)
    return finish_attempt(started, RoutedAttemptOutcome::broken, "the stream has no ids to go on after");
  started->connection = connection_to(attempt);
  started->sent_at = now;
  departed_callers_.on_attempt_started(attempt.call, now);
  send_request(started, request_to_runner(*started, last, now), now);
}

HttpRequest RoutedRelay::request_to_runner(const ActiveAttempt& active, const std::string& resume_after,
                                           TimePoint now) const {
  const auto& handle = *active.handle;
  HttpRequest request;
  request.method = handle.method;
  request.target = handle.target.resource().to_string();
  request.headers = handle.headers;
  if (!header_names_.expected_incarnation.empty())
    request.headers.add(header_names_.expected_incarnation, active.attempt.runner.text);
  if (!header_names_.rank.empty())
    request.headers.add(header_names_.rank, std::to_string(active.attempt.rank));
  if (!header_names_.deadline.empty())
    request.headers.add(header_names_.deadline,
                        std::to_string(std::max<std::int64_t>(1, (active.attempt.deadline - now).value)));
  if (!resume_after.empty() && !header_names_.resume.empty())
    request.headers[header_names_.resume] = resume_after;
  request.body = handle.body;
  // A call that must not run twice never goes over a connection that was used before, where it may be lost unseen.
  request.may_be_sent_again = active.attempt.is_repeatable;
  request.resend_time = resend_limit;
  return request;
}

void RoutedRelay::send_request(const std::shared_ptr<ActiveAttempt>& active, HttpRequest request, TimePoint now) {
  MessageLimits limits;
  limits.max_head_bytes = max_response_head_bytes;
  limits.total_time = std::chrono::milliseconds((active->attempt.deadline - now + deadline_margin).value);
  ResponseHandler handler;
  handler.on_head = [this, active](const web::http::http_response& head) {
    active->response = head;
    return on_response_headers(active);
  };
  handler.on_body = [this, active](const std::string& bytes) {
    return on_response_bytes(active, bytes);
  };
  handler.on_end = [this, active](const ExchangeEnd& end) {
    on_response_end(active, end);
  };
  active->exchange = active->connection->client.make_exchange(std::move(request), limits, std::move(handler));
  active->exchange->start();
}

// No head of a response came.
void RoutedRelay::on_attempt_failed(const std::shared_ptr<ActiveAttempt>& active, const ExchangeEnd& end) {
  bool is_unsent = end.fault == HttpFault::not_connected || (active->is_abandoned && !end.was_sent);
  RoutedAttemptResult result =
      result_of(*active, is_unsent ? RoutedAttemptOutcome::not_sent : RoutedAttemptOutcome::lost,
                is_unsent ? "no link" : "the link broke");
  if (is_unsent && !active->is_abandoned) {
    result.was_connection_refused = end.cause == boost::asio::error::connection_refused;
    result.was_slow_to_connect = !result.was_connection_refused;
  }
  if (!is_unsent && end.fault != HttpFault::cancelled)
    ++relay_counts_.connections_broken;
  std::lock_guard<std::mutex> guard(active->handle->mutex);
  if (active->handle->attempt_number != active->attempt.attempt_number)
    return;
  if (!is_unsent && active->handle->is_stream_open)
    result.outcome = RoutedAttemptOutcome::broken;
  result.last_event = active->handle->last_event;
  active->handle->attempt_number = 0;
  events_.force(result);
}

RoutedAttemptResult RoutedRelay::result_of(const ActiveAttempt& active, RoutedAttemptOutcome outcome,
                                           const std::string& reason) const {
  RoutedAttemptResult result;
  result.call = active.attempt.call;
  result.attempt_number = active.attempt.attempt_number;
  result.outcome = outcome;
  result.reason = reason;
  const int times_written = active.exchange ? active.exchange->times_written() : 0;
  result.may_have_run = times_written > (outcome == RoutedAttemptOutcome::not_sent ? 0 : 1);
  std::string load = header_value(active.response.headers(), header_names_.load);
  if (!load.empty()) {
    auto [running, waiting, slots] = read_numbers<3>(load);
    result.has_report = true;
    result.running = running;
    result.waiting = waiting;
    result.slots = slots;
  }
  return result;
}

// An attempt ends once, and only while it is the current one.
void RoutedRelay::finish_attempt(const std::shared_ptr<ActiveAttempt>& active, RoutedAttemptOutcome outcome,
                                 const std::string& reason) {
  auto result = result_of(*active, outcome, reason);
  std::lock_guard<std::mutex> guard(active->handle->mutex);
  if (active->handle->attempt_number != active->attempt.attempt_number)
    return;
  active->handle->attempt_number = 0;
  // Events have gone to the client: the dispatcher resumes the stream after the last of them, or breaks it off.
  if (result.outcome == RoutedAttemptOutcome::lost && active->handle->is_stream_open)
    result.outcome = RoutedAttemptOutcome::broken;
  result.last_event = active->handle->last_event;
  events_.force(result);
}

}  // namespace emberdale
