// Attempts: requests to runners, their failures, and responses that are relayed whole.
#include "call_relay_state.hpp"
#include "emberdale/program_settings.hpp"

namespace emberdale {

using web::http::http_response;

namespace {

constexpr Duration deadline_margin{1000};  // the timer ends the attempt at the deadline itself
constexpr const char* caller_left_reason = "caller left";

}  // namespace

std::shared_ptr<HttpClient> CallRelay::client_for(const std::string& address) {
  auto& client = clients_[address];
  if (!client)
    client = std::make_shared<HttpClient>(address, runner_reader);
  return client;
}

HttpRequest CallRelay::request_to_runner(const CallAttempt& attempt, const CallHandle& handle, TimePoint now) const {
  HttpRequest request;
  request.method = attempt.method;
  request.target = web::uri::encode_uri(attempt.path);
  // A call that must not run twice never goes over a connection that was used before, where it may be lost unseen.
  request.may_be_sent_again = attempt.is_repeatable;
  auto& headers = request.headers;
  headers.add("X-Emberdale-Call", attempt.id.text);
  if (!handle.caller_id.empty())
    headers.add("X-Call-Id", handle.caller_id);
  headers.add("X-Emberdale-Incarnation", std::to_string(attempt.incarnation));
  headers.add("X-Emberdale-Config", std::to_string(attempt.config_revision));
  headers.add("X-Emberdale-Horizon-Ms", std::to_string((attempt.deadline - now).value));
  if (attempt.method != "GET") {
    request.body = handle.body;
    headers.set_content_type("application/json");
  }
  return request;
}

void CallRelay::start_attempt(const CallAttempt& attempt, TimePoint now) {
  auto entry = handles_.find(attempt.call);
  if (entry == handles_.end())
    return;
  auto handle = entry->second;
  if (handle->is_caller_disconnected) {
    close_call(attempt.call);  // so that CallerDisconnected, which may come first, doesn't count the call down as well
    return finish_attempt(attempt.call, AttemptOutcome::caller_disconnected, caller_left_reason, nullptr);
  }
  // Checked once more, at the moment of sending: the grant may have run out since admission.
  if (!dispatcher_.is_granted(steady_now()))
    return finish_attempt(attempt.call, AttemptOutcome::not_sent, "the grant ran out", nullptr);
  auto started = std::make_shared<Attempt>(attempt, handle);
  MessageLimits limits;
  limits.max_head_bytes = max_response_head_bytes;
  limits.total_time = std::chrono::milliseconds((attempt.deadline - now + deadline_margin).value);
  ResponseHandler handler;
  handler.on_head = [this, started](const http_response& head) {
    started->response = head;
    return on_response_headers(started);
  };
  handler.on_body = [this, started](const std::string& bytes) {
    return on_response_bytes(started, bytes);
  };
  handler.on_end = [this, started](const ExchangeEnd& end) {
    on_response_end(started, end);
  };
  ActiveAttempt& active = active_attempts_[attempt.call];
  active.handle = handle;
  active.deadline = attempt.deadline;
  active.is_stopped = false;
  active.exchange = client_for(attempt.http_address)
                        ->make_exchange(request_to_runner(attempt, *handle, now), limits, std::move(handler));
  departed_callers_.on_attempt_started(attempt.call, now);
  active.exchange->start();
}

// No head of a response came.
void CallRelay::on_attempt_failed(const Attempt& attempt, const ExchangeEnd& end) {
  const CallIndex index = attempt.attempt.call;
  if (attempt.handle->is_caller_disconnected)
    return finish_attempt(index, AttemptOutcome::caller_disconnected, caller_left_reason, nullptr);
  if (end.fault == HttpFault::cancelled || end.fault == HttpFault::timed_out)
    return finish_attempt(index, AttemptOutcome::lost, "no answer within the deadline", nullptr);
  ++relay_counts_.connections_broken;
  if (end.fault == HttpFault::not_connected && end.times_written == 0)
    return finish_attempt(index, AttemptOutcome::not_sent, "no link", nullptr);
  finish_attempt(index, AttemptOutcome::lost, "link broke", nullptr);
}

// Gives the bounds of the body; nothing if the rest is not wanted.
std::optional<BodyLimits> CallRelay::on_response_headers(const std::shared_ptr<Attempt>& attempt) {
  const auto& headers = attempt->response.headers();
  bool is_of_runner = header_value(headers, "X-Runner") == attempt->attempt.runner.text;
  if (is_of_runner && headers.has("X-Runner-Refused")) {
    attempt->body_use = CallBodyUse::dropped;
    finish_attempt(attempt->attempt.call, AttemptOutcome::refused, header_value(headers, "X-Runner-Refused"),
                   &attempt->response);
    return BodyLimits{max_refusal_body_bytes, refusal_time};
  }
  bool is_event_stream = header_value(headers, "Content-Type").rfind("text/event-stream", 0) == 0;
  if (attempt->attempt.is_streaming && attempt->response.status_code() == 200 && is_event_stream)
    return begin_stream(attempt);
  attempt->body_use = CallBodyUse::held;
  return BodyLimits{max_response_body_bytes, std::nullopt};
}

// False: no more is wanted.
bool CallRelay::on_response_bytes(const std::shared_ptr<Attempt>& attempt, const std::string& bytes) {
  if (attempt->body_use == CallBodyUse::streamed)
    return on_stream_bytes(*attempt, bytes);
  if (attempt->body_use == CallBodyUse::held)
    attempt->body += bytes;
  return true;
}

void CallRelay::on_response_end(const std::shared_ptr<Attempt>& attempt, const ExchangeEnd& end) {
  switch (attempt->body_use) {
    case CallBodyUse::none:
      return on_attempt_failed(*attempt, end);
    case CallBodyUse::dropped:
      return;
    case CallBodyUse::held:
      return end.fault == HttpFault::none ? forward_response(*attempt) : on_body_failed(*attempt, end);
    case CallBodyUse::streamed:
      relay_chunk(*attempt, stream_end(*attempt, end));
  }
}

void CallRelay::finish_attempt(CallIndex index, AttemptOutcome outcome, const std::string& reason,
                               const http_response* response) {
  AttemptResult result;
  result.call = index;
  result.outcome = outcome;
  result.reason = reason;
  if (response != nullptr && response->headers().has("X-Runner-Incarnation")) {
    const auto& headers = response->headers();
    result.has_report = true;
    result.incarnation = number_or_zero(header_value(headers, "X-Runner-Incarnation"));
    result.load = number_or_zero(header_value(headers, "X-Runner-Burden"));
    result.capacity = number_or_zero(header_value(headers, "X-Runner-Capacity"));
    result.is_warming_up = header_value(headers, "X-Runner-Cold") == "true";
  }
  if (outcome == AttemptOutcome::completed || outcome == AttemptOutcome::caller_disconnected)
    --open_calls_;
  events_.force(AttemptFinished{result});
}

void CallRelay::on_body_failed(const Attempt& attempt, const ExchangeEnd& end) {
  const CallIndex index = attempt.attempt.call;
  if (attempt.handle->is_caller_disconnected)
    return finish_attempt(index, AttemptOutcome::caller_disconnected, caller_left_reason, nullptr);
  if (end.fault == HttpFault::cancelled || end.fault == HttpFault::timed_out)
    return finish_attempt(index, AttemptOutcome::lost, "no whole answer within the deadline", nullptr);
  if (end.fault == HttpFault::body_too_large)
    return finish_attempt(index, AttemptOutcome::lost, "the answer is too large", &attempt.response);
  ++relay_counts_.connections_broken;
  finish_attempt(index, AttemptOutcome::lost, "link broke", nullptr);
}

// A short response is complete and its seal is checked before the first byte goes to the client.
void CallRelay::forward_response(const Attempt& started) {
  const CallAttempt& attempt = started.attempt;
  const auto& handle = started.handle;
  const http_response& response = started.response;
  const std::string& body = started.body;
  const auto& headers = response.headers();
  std::int64_t incarnation = number_or_zero(header_value(headers, "X-Runner-Incarnation"));
  std::string seal = header_value(headers, "X-Runner-Seal");
  std::string sealed_text = std::to_string(response.status_code()) + "\n" + body;
  if (header_value(headers, "X-Runner") != attempt.runner.text ||
      seal != seal_of(attempt.seal_key, attempt.id.text, attempt.runner.text, incarnation, sealed_text)) {
    ++relay_counts_.bad_seals;
    return finish_attempt(attempt.call, AttemptOutcome::lost, "the answer lacks the runner's seal", &response);
  }
  if (handle->is_response_started.exchange(true))
    return finish_attempt(attempt.call, AttemptOutcome::completed, "", &response);
  http_response forwarded(response.status_code());
  std::string type = header_value(headers, "Content-Type");
  forwarded.set_body(body, type.empty() ? "application/json" : type);
  forwarded.headers().add("X-Runner", attempt.runner.text);
  forwarded.headers().add("X-Runner-Incarnation", std::to_string(incarnation));
  forwarded.headers().add("X-Runner-Seal", seal);
  forwarded.headers().add("X-Emberdale-Call", attempt.id.text);
  if (!handle->caller_id.empty())
    forwarded.headers().add("X-Call-Id", handle->caller_id);
  reply_to(handle->request, forwarded);
  finish_attempt(attempt.call, AttemptOutcome::completed, "", &response);
}

}  // namespace emberdale
