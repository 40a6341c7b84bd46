// The relay's own responses to clients: refusals and final responses.
#include <nlohmann/json.hpp>

#include "emberdale/json_text.hpp"
#include "routed_relay_state.hpp"

namespace emberdale {

using Json = nlohmann::json;
using web::http::http_headers;
using web::http::http_request;
using web::http::http_response;

void RoutedRelay::reply(const http_request& request, http_response response, std::function<void(bool)> on_end) {
  if (is_stopping_)
    response.headers()["Connection"] = "close";
  reply_to(request, response, std::move(on_end));
}

void RoutedRelay::promise_not_run(http_response& response) const {
  if (!header_names_.not_run.empty())
    response.headers().add(header_names_.not_run, header_names_.not_run_value);
}

void RoutedRelay::refuse(const http_request& request, const std::string& call_id, const Refusal& refusal,
                         std::shared_ptr<Handle> held) {
  http_response response(static_cast<web::http::status_code>(refusal.code));
  promise_not_run(response);
  if (!call_id.empty())
    response.headers().add(header_names_.call_id, call_id);
  if (refusal.retry_after.value > 0)
    response.headers().add("Retry-After", retry_after_text(refusal.retry_after));
  if (refusal.is_connection_closed)
    response.headers().add("Connection", "close");
  response.set_body(json_text(Json{{"reason", refusal.reason}}), "application/json");
  reply(request, response, [held = std::move(held)](bool) {});
}

// Whatever is still coming of the body is not read: its connection has no use afterwards.
void RoutedRelay::refuse_without_reading(const http_request& request, Refusal refusal) {
  const auto& headers = request.headers();
  bool has_body = headers.has("Transfer-Encoding") || !has_unambiguous_length(headers) || headers.content_length() > 0;
  refusal.is_connection_closed = has_body;
  refuse(request, header_value(headers, header_names_.call_id), refusal);
  if (has_body)
    abandon_body(request);
}

void RoutedRelay::send_final_response(const FinalResponse& final_response, const std::shared_ptr<Handle>& handle) {
  std::unique_lock<std::mutex> guard(handle->mutex);
  handle->attempt_number = 0;
  if (std::exchange(handle->is_finished, true))
    return;
  if (handle->is_stream_open) {  // its end must not look like a regular one
    ++relay_counts_.streams_broken;
    handle->pieces->close(std::ios_base::out, std::make_exception_ptr(std::runtime_error(final_response.reason)));
    return;
  }
  http_response response = handle->own_response ? *handle->own_response : response_of(final_response, handle->id);
  handle->own_response.reset();
  guard.unlock();
  reply(handle->request, response, [handle](bool) {});
}

http_response RoutedRelay::response_of(const FinalResponse& final_response, const std::string& call_id) const {
  http_response response(static_cast<web::http::status_code>(final_response.code));
  if (!final_response.may_have_run)
    promise_not_run(response);
  if (!call_id.empty())
    response.headers().add(header_names_.call_id, call_id);
  if (final_response.retry_after.value > 0)
    response.headers().add("Retry-After", retry_after_text(final_response.retry_after));
  Json body{{"reason", final_response.reason}};
  if (!final_response.homes.empty())
    body["homes"] = final_response.homes;
  response.set_body(json_text(body), "application/json");
  return response;
}

void RoutedRelay::copy_response_headers(const http_headers& from, http_headers& to) const {
  std::string connection_header = header_value(from, "Connection");
  for (const auto& [name, value] : from)
    if (!is_hop_by_hop(name, connection_header))
      to.add(name, value);
}

}  // namespace emberdale
