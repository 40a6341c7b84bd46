// Accepting calls: what is refused unread, how much is open at once, and reading the bodies.
#include "emberdale/program_settings.hpp"
#include "relay_limits.hpp"
#include "routed_relay_state.hpp"

namespace emberdale {

using web::http::http_request;

namespace {

constexpr std::size_t max_open_calls = 2048;  // admitted and not finished
constexpr std::size_t line_overhead = 4;      // of a header line: colon, blank, line end

std::size_t size_of(const web::http::http_headers& headers) {
  std::size_t size = 0;
  for (const auto& [name, value] : headers)
    size += name.size() + value.size() + line_overhead;
  return size;
}

bool is_chunked(const http_request& request) { return request.headers().has("Transfer-Encoding"); }

// 0: it has none, or it comes in chunks.
std::size_t announced_size(const http_request& request) {
  return is_chunked(request) ? 0 : request.headers().content_length();
}

}  // namespace

void RoutedRelay::handle(http_request request) {
  if (auto refusal = refusal_of(request))
    return refuse_without_reading(request, *refusal);
  std::size_t body_size = announced_size(request);
  if (!reserve_capacity(body_size)) {
    ++relay_counts_.accept_refused;
    return refuse_without_reading(request, {503, "too many calls are in hand here", overload_retry_after});
  }
  auto handle = register_call(request, body_size);
  RoutedCall call = routed_call_of(request);
  if (is_chunked(request))
    return read_chunked(std::move(handle), std::move(call));
  if (body_size == 0)
    return enqueue_arrival(std::move(handle), std::move(call));
  read_body(std::move(handle), std::move(call));
}

std::optional<RoutedRelay::Refusal> RoutedRelay::refusal_of(const http_request& request) const {
  const auto& headers = request.headers();
  if (!has_unambiguous_length(headers))
    return Refusal{400, "the end of the body is not clear"};
  if (size_of(headers) > static_cast<std::size_t>(max_header_bytes_))
    return Refusal{431, "the headers are too large"};
  if (header_value(headers, header_names_.call_id).empty())
    return Refusal{400, "the header " + header_names_.call_id + " is missing"};
  if (announced_size(request) > static_cast<std::size_t>(max_body_bytes_))
    return Refusal{413, "the body is too large"};
  if (!is_open_ && may_outlast_this_daemon(request))
    return Refusal{503, "this daemon stops", stopped_retry_after};
  return std::nullopt;
}

// A call without a deadline of its own may last as long as its route allows, which is decided later.
bool RoutedRelay::may_outlast_this_daemon(const http_request& request) const {
  auto deadline = read_deadline(header_value(request.headers(), header_names_.deadline));
  return !deadline || deadline->value == 0 || aborts_at_ms_ < (steady_now() + *deadline).value;
}

// Counts an open call; the handle that is made next uncounts it at its end.
bool RoutedRelay::reserve_capacity(std::size_t body_size) {
  std::lock_guard<std::mutex> guard(open_calls_->mutex);
  if (open_calls_->calls >= max_open_calls || open_calls_->bytes + body_size > max_open_body_bytes)
    return false;
  ++open_calls_->calls;
  open_calls_->bytes += body_size;
  return true;
}

std::shared_ptr<RoutedRelay::Handle> RoutedRelay::register_call(const http_request& request, std::size_t body_size) {
  auto handle = std::make_shared<Handle>(open_calls_);
  handle->bytes = body_size;
  handle->index = ++last_index_;
  handle->id = header_value(request.headers(), header_names_.call_id);
  handle->method = request.method();
  handle->target = request.request_uri();
  std::string connection_header = header_value(request.headers(), "Connection");
  for (const auto& [name, value] : request.headers())
    if (!is_hop_by_hop(name, connection_header))
      handle->headers.add(name, value);
  for (const auto* name : {&header_names_.expected_incarnation, &header_names_.rank, &header_names_.deadline})
    if (!name->empty())
      handle->headers.remove(*name);
  handle->request = request;
  watch_departure(handle);
  return handle;
}

// The listener cancels the request's token when the client leaves.
void RoutedRelay::watch_departure(const std::shared_ptr<Handle>& handle) {
  auto on_departure = [this, watched = std::weak_ptr<Handle>(handle)] {
    auto departed = watched.lock();
    if (!departed)
      return;
    departed->has_caller_left = true;
    events_.force(CallerDisconnected{departed->index});
  };
  handle->request._cancellation_token().register_callback(on_departure);
}

RoutedCall RoutedRelay::routed_call_of(const http_request& request) const {
  const auto& headers = request.headers();
  RoutedCall call;
  call.id.text = header_value(headers, header_names_.call_id);
  call.host = header_value(headers, "Host");
  call.path = request.request_uri().path();
  call.deadline = read_deadline(header_value(headers, header_names_.deadline)).value_or(Duration{0});
  call.prompt = read_prompt(header_value(headers, header_names_.prompt));
  auto [tokens_in, tokens_out] = read_numbers<2>(header_value(headers, header_names_.tokens));
  call.tokens_in = tokens_in;
  call.tokens_out = tokens_out;
  call.resume_after = header_value(headers, header_names_.resume);
  return call;
}

void RoutedRelay::read_body(std::shared_ptr<Handle> handle, RoutedCall call) {
  http_request request = handle->request;
  request.extract_vector().then([this, handle, call](pplx::task<std::vector<std::uint8_t>> reading) {
    try {
      *handle->body = reading.get();
    } catch (const std::exception&) {
      return;  // the client left, or broke off within its body: there is no one to respond to
    }
    if (handle->body->size() != handle->bytes)
      return refuse(handle->request, handle->id, {400, "the body is not as long as its Content-Length"}, handle);
    enqueue_arrival(handle, call);
  });
}

void RoutedRelay::read_chunked(std::shared_ptr<Handle> handle, RoutedCall call) {
  auto reader = std::make_shared<BodyReader>();
  reader->source = handle->request.body().streambuf();
  reader->on_bytes = [this, handle](const std::string& bytes) {
    if (append_body(handle, bytes))
      return true;
    refuse_without_reading(handle->request, {413, "the body is too large"});
    return false;
  };
  reader->on_end = [this, handle, call = std::move(call)](bool is_broken) {
    if (!is_broken)
      enqueue_arrival(handle, call);
  };
  reader->next();
}

// False: the body is larger than allowed, or than there is room for.
bool RoutedRelay::append_body(const std::shared_ptr<Handle>& handle, const std::string& bytes) {
  if (handle->body->size() + bytes.size() > static_cast<std::size_t>(max_body_bytes_))
    return false;
  {
    std::lock_guard<std::mutex> guard(open_calls_->mutex);
    if (open_calls_->bytes + bytes.size() > max_open_body_bytes)
      return false;
    open_calls_->bytes += bytes.size();
    handle->bytes += bytes.size();
  }
  handle->body->insert(handle->body->end(), bytes.begin(), bytes.end());
  return true;
}

void RoutedRelay::enqueue_arrival(std::shared_ptr<Handle> handle, RoutedCall call) {
  if (events_.offer(CallArrived{handle, std::move(call)}))
    return;
  ++relay_counts_.accept_refused;
  refuse(handle->request, handle->id, {503, "too many calls are in hand here", overload_retry_after}, handle);
}

}  // namespace emberdale
