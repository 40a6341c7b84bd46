// Attempts: requests to runners, their failures, and responses that are relayed whole.
#include "call_relay.hpp"
#include "emberdale/program_settings.hpp"
#include "http_fields.hpp"

namespace emberdale {

using web::http::http_request;
using web::http::http_response;

namespace {

constexpr std::chrono::seconds library_timeout{600};  // the deadline is kept by the timer
constexpr std::size_t max_response_body = 16 << 20;
constexpr const char* caller_left_reason = "caller left";

// The library reports a failure before anything was sent in its text alone.
bool was_never_sent(const std::string& fault) {
  return fault.find("Failed to connect") != std::string::npos || fault.find("Error resolving") != std::string::npos;
}

}  // namespace

std::shared_ptr<web::http::client::http_client> CallRelay::client_for(const CallAttempt& attempt) {
  web::http::client::http_client_config config;
  config.set_timeout(library_timeout);
  std::string address = "http://" + attempt.http_address;
  // A call that must not run twice never goes over a connection that was used before: the library would
  // send it again by itself when such a connection turns out closed (HttpClientBehaviour shows it).
  if (!attempt.is_repeatable)
    return std::make_shared<web::http::client::http_client>(address, config);
  auto& client = clients_[attempt.http_address];
  if (!client)
    client = std::make_shared<web::http::client::http_client>(address, config);
  return client;
}

http_request CallRelay::request_to_runner(const CallAttempt& attempt, const CallHandle& handle, TimePoint now) const {
  http_request request(attempt.method);
  request.set_request_uri(attempt.path);
  auto& headers = request.headers();
  headers.add("X-Emberdale-Call", attempt.id.text);
  if (!handle.caller_id.empty())
    headers.add("X-Call-Id", handle.caller_id);
  headers.add("X-Emberdale-Incarnation", std::to_string(attempt.incarnation));
  headers.add("X-Emberdale-Config", std::to_string(attempt.config_revision));
  headers.add("X-Emberdale-Horizon-Ms", std::to_string((attempt.deadline - now).value));
  if (attempt.method != "GET") {
    request.set_body(handle.body);
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
  http_request request = request_to_runner(attempt, *handle, now);
  ActiveAttempt& active = active_attempts_[attempt.call];
  active.handle = handle;
  active.deadline = attempt.deadline;
  auto stop = active.stop;
  departed_callers_.on_attempt_started(attempt.call, now);
  auto client = client_for(attempt);
  client->request(request, stop.get_token())
      .then([this, attempt, handle, stop, client](pplx::task<http_response> responding) {
        http_response response;
        try {
          response = responding.get();
        } catch (const std::exception& fault) {
          return on_attempt_failed(attempt, *handle, stop.get_token(), fault);
        }
        on_response(attempt, handle, response, stop);
      });
}

void CallRelay::on_attempt_failed(const CallAttempt& attempt, const CallHandle& handle,
                                  const pplx::cancellation_token& stop, const std::exception& fault) {
  if (handle.is_caller_disconnected)
    return finish_attempt(attempt.call, AttemptOutcome::caller_disconnected, caller_left_reason, nullptr);
  bool is_http_fault = dynamic_cast<const web::http::http_exception*>(&fault) != nullptr;
  if (!is_http_fault || stop.is_canceled())
    return finish_attempt(attempt.call, AttemptOutcome::lost, "no answer within the deadline", nullptr);
  ++relay_counts_.connections_broken;
  if (was_never_sent(fault.what()))
    return finish_attempt(attempt.call, AttemptOutcome::not_sent, "no link", nullptr);
  finish_attempt(attempt.call, AttemptOutcome::lost, "link broke", nullptr);
}

void CallRelay::on_response(const CallAttempt& attempt, std::shared_ptr<CallHandle> handle, http_response response,
                            pplx::cancellation_token_source stop) {
  const auto& headers = response.headers();
  if (header_value(headers, "X-Runner") == attempt.runner.text && headers.has("X-Runner-Refused")) {
    std::string reason = header_value(headers, "X-Runner-Refused");
    discard_body(response);
    return finish_attempt(attempt.call, AttemptOutcome::refused, reason, &response);
  }
  bool is_event_stream = header_value(headers, "Content-Type").rfind("text/event-stream", 0) == 0;
  if (attempt.is_streaming && response.status_code() == 200 && is_event_stream)
    relay_stream(attempt, handle, response, stop);
  else
    relay_response(attempt, handle, response, stop.get_token());
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

// A short response is complete and its seal is checked before the first byte goes to the client.
void CallRelay::relay_response(const CallAttempt& attempt, std::shared_ptr<CallHandle> handle, http_response response,
                               pplx::cancellation_token stop) {
  if (response.headers().content_length() > max_response_body)
    return finish_attempt(attempt.call, AttemptOutcome::lost, "the answer is too large", &response);
  response.extract_vector().then(
      [this, attempt, handle, response, stop](pplx::task<std::vector<unsigned char>> reading) {
        std::string body;
        try {
          auto bytes = reading.get();
          body.assign(bytes.begin(), bytes.end());
        } catch (const std::exception&) {  // how it broke off makes no difference
          return on_body_failed(attempt, *handle, stop);
        }
        forward_response(attempt, handle, response, body);
      });
}

void CallRelay::on_body_failed(const CallAttempt& attempt, const CallHandle& handle,
                               const pplx::cancellation_token& stop) {
  if (handle.is_caller_disconnected)
    return finish_attempt(attempt.call, AttemptOutcome::caller_disconnected, caller_left_reason, nullptr);
  if (stop.is_canceled())
    return finish_attempt(attempt.call, AttemptOutcome::lost, "no whole answer within the deadline", nullptr);
  ++relay_counts_.connections_broken;
  finish_attempt(attempt.call, AttemptOutcome::lost, "link broke", nullptr);
}

void CallRelay::forward_response(const CallAttempt& attempt, const std::shared_ptr<CallHandle>& handle,
                                 const http_response& response, const std::string& body) {
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
