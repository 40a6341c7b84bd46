// Responses of runners: which of them may go to their clients, and forwarding them whole.
#include <strings.h>

#include "routed_relay_state.hpp"

namespace emberdale {

using web::http::http_response;

namespace {

// With these a client is promised that its call did not run and never will.
bool promises_not_run(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

bool is_final_status(int status) { return status >= 200 && status <= 599; }

bool is_success(int status) { return status >= 200 && status < 300; }

bool has_message_length(const web::http::http_headers& headers) {
  return headers.has("Content-Length") || headers.has("Transfer-Encoding");
}

bool is_event_stream(const web::http::http_headers& headers) {
  return strncasecmp(header_value(headers, "Content-Type").c_str(), "text/event-stream", 17) == 0;
}

}  // namespace

// The connection is closed: what else comes of it is of no use.
std::optional<BodyLimits> RoutedRelay::discard(const std::shared_ptr<ActiveAttempt>& active,
                                               RoutedAttemptOutcome outcome, const std::string& reason) {
  active->body_use = BodyUse::dropped;
  finish_attempt(active, outcome, reason);
  return std::nullopt;
}

// Gives the bounds of the body; nothing if the rest is not wanted.
std::optional<BodyLimits> RoutedRelay::on_response_headers(const std::shared_ptr<ActiveAttempt>& active) {
  const auto& headers = active->response.headers();
  int status = active->response.status_code();
  std::string id = header_value(headers, header_names_.call_id);
  if (!id.empty() && id != active->handle->id) {
    ++relay_counts_.foreign_responses;
    active->connection->is_unusable = true;
    return discard(active, RoutedAttemptOutcome::lost, "the answer is of another call");
  }
  if (status == 421 || has_header(headers, header_names_.not_run))
    return on_refused(active);
  if (auto fault = rejection_reason(active))
    return discard(active, RoutedAttemptOutcome::lost, *fault);
  events_.force(ResponseStarted{active->attempt.call, active->attempt.attempt_number});
  if (is_success(status) && is_event_stream(headers)) {
    active->body_use = BodyUse::streamed;
    return BodyLimits{unlimited_body, std::nullopt};
  }
  bool is_stream_open = false;
  {
    std::lock_guard<std::mutex> guard(active->handle->mutex);
    is_stream_open = active->handle->is_stream_open;
  }
  if (is_stream_open)
    return discard(active, RoutedAttemptOutcome::broken, "the next runner gave no stream");
  return accept_response(active);
}

// False: no more is wanted.
bool RoutedRelay::on_response_bytes(const std::shared_ptr<ActiveAttempt>& active, const std::string& bytes) {
  if (active->body_use == BodyUse::streamed)
    return forward_events(active, bytes);
  if (active->body_use == BodyUse::held)
    return hold_bytes(active, bytes);
  return true;
}

void RoutedRelay::on_response_end(const std::shared_ptr<ActiveAttempt>& active, const ExchangeEnd& end) {
  switch (active->body_use) {
    case BodyUse::none:
      return on_attempt_failed(active, end);
    case BodyUse::dropped:
      return;
    case BodyUse::held:
      return end_response(active, end);
    case BodyUse::streamed:
      return end_stream(active, end.fault != HttpFault::none || !end.is_delimited);
  }
}

// The runner says that it did not run the call. Its body is read off, so that the connection can be used again.
BodyLimits RoutedRelay::on_refused(const std::shared_ptr<ActiveAttempt>& active) {
  int status = active->response.status_code();
  active->body_use = BodyUse::dropped;
  finish_attempt(active, status == 421 ? RoutedAttemptOutcome::wrong_incarnation : RoutedAttemptOutcome::refused,
                 "status " + std::to_string(status));
  return {max_refusal_body_bytes, refusal_time};
}

// Why this is not the head of a valid response to this call; nothing if it is.
std::optional<std::string> RoutedRelay::rejection_reason(const std::shared_ptr<ActiveAttempt>& active) {
  const auto& headers = active->response.headers();
  int status = active->response.status_code();
  auto foreign = [&](const char* reason) {
    ++relay_counts_.foreign_responses;
    active->connection->is_unusable = true;
    return reason;
  };
  if (!is_final_status(status))
    return "no status of an answer";
  if (promises_not_run(status))
    return "status " + std::to_string(status) + " without a word that it did not run";
  std::string incarnation = header_value(headers, header_names_.incarnation);
  if (!incarnation.empty() && incarnation != active->attempt.runner.text)
    return foreign("the answer is of another runner");
  // Runners repeat the call's id. A response without it may be a surplus one to an earlier call on this connection;
  // a failure on a connection of the call's own can't be.
  bool is_connection_shared = active->attempt.is_repeatable;
  if (header_value(headers, header_names_.call_id).empty() && (is_success(status) || is_connection_shared))
    return foreign("the answer does not name its call");
  if (is_success(status) && !header_names_.seal.empty() && !headers.has(header_names_.seal)) {
    ++relay_counts_.unsealed;
    return "the answer lacks the runner's seal";
  }
  if (active->attempt.is_repeatable && headers.has("Content-Encoding"))
    return "the answer is encoded";
  return std::nullopt;
}

// A response is whole before its first byte goes to the client.
std::optional<BodyLimits> RoutedRelay::accept_response(const std::shared_ptr<ActiveAttempt>& active) {
  bool is_framed = has_message_length(active->response.headers());
  if (!is_framed && !has_no_body(active->handle->method, active->response.status_code()))
    return discard(active, RoutedAttemptOutcome::lost, "the answer does not tell its length");
  active->body_use = BodyUse::held;
  active->held = std::make_shared<HeldBytes>(held_response_bytes_);
  return BodyLimits{max_response_body_bytes, std::nullopt};
}

// False: all responses together are larger than what is held of them.
bool RoutedRelay::hold_bytes(const std::shared_ptr<ActiveAttempt>& active, const std::string& bytes) {
  if (!active->held->grow(bytes.size())) {
    process_limit_counters().record(runner_reader, LimitFault::body_too_large);
    return false;
  }
  active->body.insert(active->body.end(), bytes.begin(), bytes.end());
  return true;
}

void RoutedRelay::end_response(const std::shared_ptr<ActiveAttempt>& active, const ExchangeEnd& end) {
  bool is_whole = end.fault == HttpFault::none &&
                  (end.is_delimited || has_no_body(active->handle->method, active->response.status_code()));
  if (is_whole)
    return forward_response(active);
  ++relay_counts_.connections_broken;
  bool is_too_large = end.fault == HttpFault::body_too_large;
  finish_attempt(active, RoutedAttemptOutcome::lost,
                 is_too_large ? "the answer is too large" : "the answer was cut off");
}

void RoutedRelay::forward_response(const std::shared_ptr<ActiveAttempt>& active) {
  auto& handle = active->handle;
  http_response response(active->response.status_code());
  response.set_reason_phrase(active->response.reason_phrase());
  copy_response_headers(active->response.headers(), response.headers());
  if (!active->body.empty()) {
    bool has_type = response.headers().has("Content-Type");
    std::size_t size = active->body.size();
    response.set_body(concurrency::streams::bytestream::open_istream(std::move(active->body)), size);
    if (!has_type)
      response.headers().remove("Content-Type");
  }
  bool is_failure = active->attempt.is_repeatable && active->response.status_code() >= 500;
  auto result = result_of(*active, is_failure ? RoutedAttemptOutcome::lost : RoutedAttemptOutcome::completed,
                          is_failure ? "status" : "");
  {
    std::lock_guard<std::mutex> guard(handle->mutex);
    if (handle->attempt_number != active->attempt.attempt_number || handle->is_finished)
      return;
    handle->attempt_number = 0;
    handle->is_finished = !is_failure;
    if (is_failure) {
      ++relay_counts_.own_responses_kept;
      handle->own_response = response;
    }
    events_.force(result);
  }
  if (!is_failure)
    reply(handle->request, response, [handle, held = active->held](bool) {});
}

}  // namespace emberdale
