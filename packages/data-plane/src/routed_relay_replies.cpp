// What the routed relay answers to callers on its own behalf: refusals and final answers.
#include <nlohmann/json.hpp>

#include "emberdale/json_text.hpp"
#include "routed_relay_state.hpp"

namespace emberdale {

using Json = nlohmann::json;
using web::http::http_headers;
using web::http::http_request;
using web::http::http_response;

namespace {

// The library takes a body in whole, without bound, and sends no answer before: both end here. Closing alone is
// not enough: without a fault it goes on writing nothing to the closed buffer, for ever.
void read_no_further(const http_request& request) {
  auto fault = std::make_exception_ptr(std::runtime_error("the body is not wanted"));
  request.body().streambuf().close(std::ios_base::in | std::ios_base::out, fault);
  request._get_impl()->_complete(0);
}

}  // namespace

void RoutedRelay::reply(const http_request& request, http_response response, std::function<void(bool)> on_end) {
  if (is_stopping_)
    response.headers()["Connection"] = "close";
  send_reply(request, response, std::move(on_end));
}

void RoutedRelay::promise_not_run(http_response& response) const {
  if (!words_.not_run.empty())
    response.headers().add(words_.not_run, words_.not_run_value);
}

void RoutedRelay::refuse(const http_request& request, const std::string& call_id, const Refusal& refusal,
                         std::shared_ptr<Handle> held) {
  http_response response(static_cast<web::http::status_code>(refusal.code));
  promise_not_run(response);
  if (!call_id.empty())
    response.headers().add(words_.call_id, call_id);
  if (refusal.retry_after.value > 0)
    response.headers().add("Retry-After", retry_after_text(refusal.retry_after));
  if (refusal.is_connection_closed)
    response.headers().add("Connection", "close");
  response.set_body(json_text(Json{{"reason", refusal.reason}}), "application/json");
  reply(request, response, [held = std::move(held)](bool) {});
}

// Whatever is still coming of the body is not read: its link has no use afterwards.
void RoutedRelay::refuse_unread(const http_request& request, Refusal refusal) {
  const auto& headers = request.headers();
  bool has_body = headers.has("Transfer-Encoding") || !has_clear_length(headers) || headers.content_length() > 0;
  refusal.is_connection_closed = has_body;
  refuse(request, header_of(headers, words_.call_id), refusal);
  if (has_body)
    read_no_further(request);
}

void RoutedRelay::answer_final(const FinalAct& act, const std::shared_ptr<Handle>& handle) {
  std::unique_lock<std::mutex> guard(handle->mutex);
  handle->turn = 0;
  if (std::exchange(handle->is_over, true))
    return;
  if (handle->is_stream_open) {  // its end must not look like one
    ++relay_counts_.streams_broken;
    handle->pieces->close(std::ios_base::out, std::make_exception_ptr(std::runtime_error(act.reason)));
    return;
  }
  http_response response = handle->kept ? *handle->kept : response_of(act, handle->id);
  handle->kept.reset();
  guard.unlock();
  reply(handle->request, response, [handle](bool) {});
}

http_response RoutedRelay::response_of(const FinalAct& act, const std::string& call_id) const {
  http_response response(static_cast<web::http::status_code>(act.code));
  if (!act.may_have_run)
    promise_not_run(response);
  if (!call_id.empty())
    response.headers().add(words_.call_id, call_id);
  if (act.retry_after.value > 0)
    response.headers().add("Retry-After", retry_after_text(act.retry_after));
  Json body{{"reason", act.reason}};
  if (!act.homes.empty())
    body["homes"] = act.homes;
  response.set_body(json_text(body), "application/json");
  return response;
}

void RoutedRelay::copy_answer_headers(const http_headers& from, http_headers& to) const {
  std::string named = header_of(from, "Connection");
  for (const auto& [name, value] : from)
    if (!is_of_connection(name, named))
      to.add(name, value);
}

}  // namespace emberdale
