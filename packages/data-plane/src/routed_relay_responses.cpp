// Responses of runners: which of them may go to their clients, and forwarding them whole.
#include <strings.h>

#include "routed_relay_state.hpp"

namespace emberdale {

using web::http::http_response;

namespace {

constexpr std::size_t max_refusal_body = 65536;  // that is read off, so that the connection can be used again

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

// Closes the connection as well: what else comes of it is of no use.
void RoutedRelay::discard(const std::shared_ptr<ActiveAttempt>& active, RoutedAttemptOutcome outcome,
                          const std::string& reason) {
  finish_attempt(active, outcome, reason);
  active->stop.cancel();
}

void RoutedRelay::on_response_headers(const std::shared_ptr<ActiveAttempt>& active) {
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
  if (is_success(status) && is_event_stream(headers))
    return relay_stream(active);
  bool is_stream_open = false;
  {
    std::lock_guard<std::mutex> guard(active->handle->mutex);
    is_stream_open = active->handle->is_stream_open;
  }
  if (is_stream_open)
    return discard(active, RoutedAttemptOutcome::broken, "the next runner gave no stream");
  accept_response(active);
}

// The runner says that it did not run the call.
void RoutedRelay::on_refused(const std::shared_ptr<ActiveAttempt>& active) {
  const auto& headers = active->response.headers();
  int status = active->response.status_code();
  finish_attempt(active, status == 421 ? RoutedAttemptOutcome::wrong_incarnation : RoutedAttemptOutcome::refused,
                 "status " + std::to_string(status));
  if (!headers.has("Content-Length") || headers.content_length() > max_refusal_body)
    return active->stop.cancel();
  discard_body(active->response);
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
void RoutedRelay::accept_response(const std::shared_ptr<ActiveAttempt>& active) {
  const auto& headers = active->response.headers();
  int status = active->response.status_code();
  bool is_framed = has_message_length(headers);
  if (has_no_body(active->handle->method, status)) {
    forward_response(active, std::make_shared<std::vector<std::uint8_t>>());
    if (!is_framed)
      active->stop.cancel();
    return;
  }
  if (!is_framed || (headers.has("Content-Length") && headers.content_length() > max_response_body)) {
    finish_attempt(active, RoutedAttemptOutcome::lost,
                   is_framed ? "the answer is too large" : "the answer does not tell its length");
    return active->stop.cancel();
  }
  active->response.extract_vector().then([this, active](pplx::task<std::vector<std::uint8_t>> reading) {
    auto body = std::make_shared<std::vector<std::uint8_t>>();
    bool is_whole = true;
    try {
      *body = reading.get();
      const auto& got = active->response.headers();
      is_whole = got.has("Transfer-Encoding") || body->size() == got.content_length();
    } catch (const std::exception&) {  // how it broke off makes no difference
      is_whole = false;
    }
    if (is_whole)
      return forward_response(active, body);
    ++relay_counts_.connections_broken;
    finish_attempt(active, RoutedAttemptOutcome::lost, "the answer was cut off");
  });
}

void RoutedRelay::forward_response(const std::shared_ptr<ActiveAttempt>& active, const Bytes& body) {
  auto& handle = active->handle;
  http_response response(active->response.status_code());
  response.set_reason_phrase(active->response.reason_phrase());
  copy_response_headers(active->response.headers(), response.headers());
  if (!body->empty()) {
    bool has_type = response.headers().has("Content-Type");
    std::size_t size = body->size();
    response.set_body(concurrency::streams::bytestream::open_istream(std::move(*body)), size);
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
    reply(handle->request, response, [handle](bool) {});
}

}  // namespace emberdale
