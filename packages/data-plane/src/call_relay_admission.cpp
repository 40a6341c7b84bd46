// Accepting calls: what is refused unread, the fields of a call, and reading its body.
#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>

#include "call_relay.hpp"
#include "emberdale/json_text.hpp"
#include "emberdale/program_settings.hpp"
#include "http_fields.hpp"

namespace emberdale {

using Json = nlohmann::json;
using web::http::http_headers;
using web::http::http_request;
using web::http::http_response;
using web::http::methods;

namespace {

constexpr std::size_t max_bodies_being_read = 512;
constexpr std::size_t max_open_calls = 2048;
constexpr std::size_t max_headers = 64, max_header_bytes = 16384;
constexpr std::size_t max_caller_id = 128;
constexpr int overload_retry_after_s = 1;
constexpr const char* deadline_header = "X-Deadline-Ms";
constexpr const char* former_deadline_header = "X-Horizon-Ms";  // read where the present one is missing

std::size_t size_of(const http_headers& headers) {
  std::size_t size = 0;
  for (const auto& [name, value] : headers)
    size += name.size() + value.size();
  return size;
}

bool has_body(const http_request& request) {
  return request.method() == methods::POST || request.method() == methods::PUT;
}

std::string to_lower_case(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return std::tolower(letter); });
  return text;
}

// The response to a request that is not admitted; a client that has left by then needs none.
void send_refusal(const http_request& request, int code, const std::string& reason, int retry_after_s) {
  http_response response(static_cast<web::http::status_code>(code));
  if (retry_after_s > 0)
    response.headers().add("Retry-After", std::to_string(retry_after_s));
  response.set_body(json_text(Json{{"reason", reason}, {"outcome", "refused"}}), "application/json");
  reply_to(request, response);
}

bool is_printable_ascii(const std::string& text) {
  return std::none_of(text.begin(), text.end(), [](unsigned char letter) { return letter < 0x20 || letter > 0x7e; });
}

}  // namespace

void CallRelay::handle(http_request request) {
  std::string path = web::uri::decode(request.relative_uri().path());
  if (path.rfind("/emberdale", 0) == 0 && on_own_path)
    return on_own_path(std::move(request));
  auto refuse = [&](const Refusal& refusal) {
    send_refusal(request, refusal.code, refusal.reason, refusal.retry_after_s);
  };
  if (auto refusal = refusal_of(request))
    return refuse(*refusal);
  if (bodies_being_read_ >= max_bodies_being_read || open_calls_ >= max_open_calls) {
    ++relay_counts_.accept_refused;
    return refuse({503, "too many calls are in hand here", overload_retry_after_s});
  }
  ArrivingCall call;
  call.path = path;
  auto handle = std::make_shared<CallHandle>();
  handle->index = ++last_index_;
  if (auto refusal = read_call_fields(request, *handle, call))
    return refuse(*refusal);
  read_body(std::move(handle), std::move(call));
}

std::optional<CallRelay::Refusal> CallRelay::refusal_of(const http_request& request) const {
  const auto& headers = request.headers();
  if (headers.size() > max_headers || size_of(headers) > max_header_bytes)
    return Refusal{431, "too many or too large headers"};
  if (is_stopping_)
    return Refusal{503, "this daemon is stopping", overload_retry_after_s};
  if (has_body(request) && !headers.has("Content-Length"))
    return Refusal{411, "a Content-Length is required"};
  if (headers.content_length() > static_cast<std::size_t>(largest_body_))
    return Refusal{413, "the body is larger than any plan takes"};
  if (has_body(request) && header_value(headers, "Content-Type").rfind("application/json", 0) != 0)
    return Refusal{415, "the body must be application/json"};
  return std::nullopt;
}

std::optional<CallRelay::Refusal> CallRelay::read_call_fields(const http_request& request, CallHandle& handle,
                                                              ArrivingCall& call) const {
  const auto& headers = request.headers();
  call.method = request.method();
  for (const auto& [name, value] : headers)
    call.headers[to_lower_case(name)] = value;
  handle.id = random_id();
  handle.caller_id = header_value(headers, "X-Call-Id");
  if (handle.caller_id.size() > max_caller_id)
    return Refusal{400, "X-Call-Id is longer than 128"};
  if (!is_printable_ascii(handle.caller_id))
    return Refusal{400, "X-Call-Id must be printable ASCII"};
  const char* deadline_name = headers.has(deadline_header) ? deadline_header : former_deadline_header;
  std::string deadline = header_value(headers, deadline_name);
  if (!deadline.empty() && number_or_zero(deadline) <= 0)
    return Refusal{400, std::string(deadline_name) + " must be a number of milliseconds"};
  call.deadline = Duration{number_or_zero(deadline)};
  call.id.text = handle.id;
  call.body_bytes = static_cast<std::int64_t>(headers.content_length());
  handle.request = request;
  handle.content_type = header_value(headers, "Content-Type");
  return std::nullopt;
}

void CallRelay::read_body(std::shared_ptr<CallHandle> handle, ArrivingCall call) {
  ++bodies_being_read_;
  watch_departure(handle);
  http_request request = handle->request;
  request.extract_vector().then([this, handle, call](pplx::task<std::vector<unsigned char>> reading) mutable {
    try {
      handle->body = std::make_shared<const std::vector<std::uint8_t>>(reading.get());
    } catch (const std::exception&) {  // the client left, or broke off within its body: there is no one to respond to
      --bodies_being_read_;
      return;
    }
    --bodies_being_read_;
    if (handle->body->size() != static_cast<std::size_t>(call.body_bytes))
      return send_refusal(handle->request, 400, "the body is not as long as its Content-Length", 0);
    enqueue_arrival(std::move(handle), std::move(call));
  });
}

// The listener cancels the request's token when the client leaves.
void CallRelay::watch_departure(const std::shared_ptr<CallHandle>& handle) {
  auto on_departure = [this, watched = std::weak_ptr<CallHandle>(handle)] {
    if (auto departed = watched.lock())
      on_caller_left(*departed);
  };
  handle->request._cancellation_token().register_callback(on_departure);
}

// The flag is set before the dispatch thread is notified: whatever it does for the call later sees it.
void CallRelay::on_caller_left(CallHandle& handle) {
  if (handle.is_caller_disconnected.exchange(true))
    return;
  ++relay_counts_.callers_gone;
  events_.force(CallerDisconnected{handle.index});
}

void CallRelay::enqueue_arrival(std::shared_ptr<CallHandle> handle, ArrivingCall call) {
  std::size_t prefix_size = std::min<std::size_t>(handle->body->size(), static_cast<std::size_t>(widest_prefix_));
  call.prefix.assign(handle->body->begin(), handle->body->begin() + static_cast<std::ptrdiff_t>(prefix_size));
  ++open_calls_;
  if (events_.offer(CallArrived{handle, std::move(call)}))
    return;
  --open_calls_;
  ++relay_counts_.accept_refused;
  send_refusal(handle->request, 503, "the traffic queue is full", overload_retry_after_s);
}

}  // namespace emberdale
