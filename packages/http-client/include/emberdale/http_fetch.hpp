// Whole responses, for callers that need no pieces.
#pragma once
#include <functional>
#include <string>

#include "absl/status/statusor.h"
#include "emberdale/http_client.hpp"

namespace emberdale {

struct FetchedResponse {
  int status = 0;
  web::http::http_headers headers;
  std::string body;
};

// What a response that did not come whole is to its caller: Unavailable without a connection, DeadlineExceeded,
// ResourceExhausted over a bound of bytes, Cancelled, and DataLoss for all that broke off or is no response.
absl::Status status_of(const ExchangeEnd& end);

// Sends the request and calls `on_done` once, on a thread of the HTTP library, with the response or the reason why
// there is none. The body is held up to its bound.
// Example: fetch(client, {"GET", "/health"}, limits, [](absl::StatusOr<FetchedResponse> response) { ... });
void fetch(HttpClient& client, HttpRequest request, const MessageLimits& limits,
           std::function<void(absl::StatusOr<FetchedResponse>)> on_done);

// The same, and waits for it. Not to be called on a thread of the HTTP library.
absl::StatusOr<FetchedResponse> fetch_and_wait(HttpClient& client, HttpRequest request, const MessageLimits& limits);

}  // namespace emberdale
