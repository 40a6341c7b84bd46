// Admission of calls: what is refused unread, how much is in hand at once, and reading the bodies.
#include "routed_relay_state.hpp"

namespace emberdale {

using web::http::http_request;

namespace {

constexpr std::size_t max_in_hand = 2048;  // calls taken in and not yet over
constexpr std::size_t line_overhead = 4;   // of a header line: colon, blank, line end

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
    return refuse_unread(request, *refusal);
  std::size_t body_size = announced_size(request);
  if (!reserve(body_size)) {
    ++relay_counts_.accept_refused;
    return refuse_unread(request, {503, "too many calls are in hand here", overload_retry_after});
  }
  auto handle = take_up(request, body_size);
  RoutedCall call = call_of(request);
  if (is_chunked(request))
    return read_chunked(std::move(handle), std::move(call));
  if (body_size == 0)
    return take_in(std::move(handle), std::move(call));
  read_body(std::move(handle), std::move(call));
}

std::optional<RoutedRelay::Refusal> RoutedRelay::refusal_of(const http_request& request) const {
  const auto& headers = request.headers();
  if (!has_clear_length(headers))
    return Refusal{400, "the end of the body is not clear"};
  if (size_of(headers) > static_cast<std::size_t>(max_header_bytes_))
    return Refusal{431, "the headers are too large"};
  if (header_of(headers, words_.call_id).empty())
    return Refusal{400, "the header " + words_.call_id + " is missing"};
  if (announced_size(request) > static_cast<std::size_t>(max_body_bytes_))
    return Refusal{413, "the body is too large"};
  return std::nullopt;
}

// Counts a call in hand; the handle that is made next counts it out again.
bool RoutedRelay::reserve(std::size_t body_size) {
  std::lock_guard<std::mutex> guard(in_hand_->mutex);
  if (in_hand_->calls >= max_in_hand || in_hand_->bytes + body_size > max_bytes_in_hand)
    return false;
  ++in_hand_->calls;
  in_hand_->bytes += body_size;
  return true;
}

std::shared_ptr<RoutedRelay::Handle> RoutedRelay::take_up(const http_request& request, std::size_t body_size) {
  auto handle = std::make_shared<Handle>(in_hand_);
  handle->bytes = body_size;
  handle->index = ++last_index_;
  handle->id = header_of(request.headers(), words_.call_id);
  handle->method = request.method();
  handle->target = request.request_uri();
  std::string named = header_of(request.headers(), "Connection");
  for (const auto& [name, value] : request.headers())
    if (!is_of_connection(name, named))
      handle->headers.add(name, value);
  for (const auto* name : {&words_.expected_incarnation, &words_.rank, &words_.deadline})
    if (!name->empty())
      handle->headers.remove(*name);
  handle->request = request;
  return handle;
}

RoutedCall RoutedRelay::call_of(const http_request& request) const {
  const auto& headers = request.headers();
  RoutedCall call;
  call.id.text = header_of(headers, words_.call_id);
  call.host = header_of(headers, "Host");
  call.path = request.request_uri().path();
  call.deadline = read_deadline(header_of(headers, words_.deadline)).value_or(Duration{0});
  call.prompt = read_prompt(header_of(headers, words_.prompt));
  auto [tokens_in, tokens_out] = read_numbers<2>(header_of(headers, words_.tokens));
  call.tokens_in = tokens_in;
  call.tokens_out = tokens_out;
  call.resume_after = header_of(headers, words_.resume);
  return call;
}

void RoutedRelay::read_body(std::shared_ptr<Handle> handle, RoutedCall call) {
  http_request request = handle->request;
  request.extract_vector().then([this, handle, call](pplx::task<std::vector<std::uint8_t>> reading) {
    try {
      *handle->body = reading.get();
    } catch (const std::exception&) {
      return;  // the caller left, or broke off within its body: the call never was
    }
    if (handle->body->size() != handle->bytes)
      return refuse(handle->request, handle->id, {400, "the body is not as long as its Content-Length"}, handle);
    take_in(handle, call);
  });
}

void RoutedRelay::read_chunked(std::shared_ptr<Handle> handle, RoutedCall call) {
  auto reader = std::make_shared<PieceReader>();
  reader->source = handle->request.body().streambuf();
  reader->on_bytes = [this, handle](const std::string& bytes) {
    if (grow(handle, bytes))
      return true;
    refuse_unread(handle->request, {413, "the body is too large"});
    return false;
  };
  reader->on_end = [this, handle, call = std::move(call)](bool is_broken) {
    if (!is_broken)
      take_in(handle, call);
  };
  reader->next();
}

// False: the body is larger than allowed, or than there is room for.
bool RoutedRelay::grow(const std::shared_ptr<Handle>& handle, const std::string& bytes) {
  if (handle->body->size() + bytes.size() > static_cast<std::size_t>(max_body_bytes_))
    return false;
  {
    std::lock_guard<std::mutex> guard(in_hand_->mutex);
    if (in_hand_->bytes + bytes.size() > max_bytes_in_hand)
      return false;
    in_hand_->bytes += bytes.size();
    handle->bytes += bytes.size();
  }
  handle->body->insert(handle->body->end(), bytes.begin(), bytes.end());
  return true;
}

void RoutedRelay::take_in(std::shared_ptr<Handle> handle, RoutedCall call) {
  if (events_.offer(Arrived{handle, std::move(call)}))
    return;
  ++relay_counts_.accept_refused;
  refuse(handle->request, handle->id, {503, "too many calls are in hand here", overload_retry_after}, handle);
}

}  // namespace emberdale
