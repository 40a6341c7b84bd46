#include "emberdale/http_fetch.hpp"

#include <future>
#include <utility>

namespace emberdale {

absl::Status status_of(const ExchangeEnd& end) {
  const std::string text = to_string(end.fault);
  switch (end.fault) {
    case HttpFault::none:
      return absl::OkStatus();
    case HttpFault::not_connected:
      return absl::UnavailableError(text + ": " + end.cause.message());
    case HttpFault::timed_out:
      return absl::DeadlineExceededError(text);
    case HttpFault::head_too_large:
    case HttpFault::body_too_large:
      return absl::ResourceExhaustedError(text);
    case HttpFault::cancelled:
      return absl::CancelledError(text);
    case HttpFault::connection_closed:
    case HttpFault::cut_off:
    case HttpFault::malformed:
      return absl::DataLossError(text);
  }
  return absl::UnknownError(text);
}

void fetch(HttpClient& client, HttpRequest request, const MessageLimits& limits,
           std::function<void(absl::StatusOr<FetchedResponse>)> on_done) {
  auto response = std::make_shared<FetchedResponse>();
  ResponseHandler handler;
  handler.on_head = [response, max_bytes = limits.max_body_bytes](const web::http::http_response& head) {
    response->status = head.status_code();
    response->headers = head.headers();
    return std::optional<BodyLimits>(BodyLimits{max_bytes, std::nullopt});
  };
  handler.on_body = [response](const std::string& bytes) {
    response->body += bytes;
    return true;
  };
  handler.on_end = [response, on_done = std::move(on_done)](const ExchangeEnd& end) {
    if (end.fault != HttpFault::none)
      return on_done(status_of(end));
    on_done(std::move(*response));
  };
  client.make_exchange(std::move(request), limits, std::move(handler))->start();
}

absl::StatusOr<FetchedResponse> fetch_and_wait(HttpClient& client, HttpRequest request, const MessageLimits& limits) {
  auto done = std::make_shared<std::promise<absl::StatusOr<FetchedResponse>>>();
  auto response = done->get_future();
  fetch(client, std::move(request), limits,
        [done](absl::StatusOr<FetchedResponse> fetched) { done->set_value(std::move(fetched)); });
  return response.get();
}

}  // namespace emberdale
