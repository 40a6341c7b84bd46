// Answers of runners: which of them may go to their callers, and handing them on whole.
#include <strings.h>

#include "routed_relay_state.hpp"

namespace emberdale {

using web::http::http_response;

namespace {

constexpr std::size_t max_refusal_body = 65536;  // that is read off, so that the link can be used again

// With these a caller is promised that its call did not run and never will.
bool promises_not_run(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

bool is_final_status(int status) { return status >= 200 && status <= 599; }

bool is_success(int status) { return status >= 200 && status < 300; }

bool has_no_body(const std::string& method, int status) { return method == "HEAD" || status == 204 || status == 304; }

bool tells_its_end(const web::http::http_headers& headers) {
  return headers.has("Content-Length") || headers.has("Transfer-Encoding");
}

bool is_event_stream(const web::http::http_headers& headers) {
  return strncasecmp(header_of(headers, "Content-Type").c_str(), "text/event-stream", 17) == 0;
}

}  // namespace

// Closes the link as well: what else comes of it is of no use.
void RoutedRelay::discard(const std::shared_ptr<Send>& send, RoutedEndKind kind, const std::string& reason) {
  end(send, kind, reason);
  send->stop.cancel();
}

void RoutedRelay::take_head(const std::shared_ptr<Send>& send) {
  const auto& headers = send->response.headers();
  int status = send->response.status_code();
  std::string id = header_of(headers, words_.call_id);
  if (!id.empty() && id != send->handle->id) {
    ++relay_counts_.foreign_answers;
    send->connection->is_spoilt = true;
    return discard(send, RoutedEndKind::lost, "the answer is of another call");
  }
  if (status == 421 || has_header(headers, words_.not_run))
    return take_refusal(send);
  if (auto fault = fault_of(send))
    return discard(send, RoutedEndKind::lost, *fault);
  events_.force(Begun{send->act.call, send->act.turn});
  if (is_success(status) && is_event_stream(headers))
    return take_stream(send);
  bool is_stream_open = false;
  {
    std::lock_guard<std::mutex> guard(send->handle->mutex);
    is_stream_open = send->handle->is_stream_open;
  }
  if (is_stream_open)
    return discard(send, RoutedEndKind::broken, "the next runner gave no stream");
  accept_response(send);
}

// The runner says that it did not run the call.
void RoutedRelay::take_refusal(const std::shared_ptr<Send>& send) {
  const auto& headers = send->response.headers();
  int status = send->response.status_code();
  end(send, status == 421 ? RoutedEndKind::wrong_incarnation : RoutedEndKind::refused,
      "status " + std::to_string(status));
  if (!headers.has("Content-Length") || headers.content_length() > max_refusal_body)
    return send->stop.cancel();
  read_off(send->response);
}

// Why this head is not the one of a sound answer to this call; none: it is.
std::optional<std::string> RoutedRelay::fault_of(const std::shared_ptr<Send>& send) {
  const auto& headers = send->response.headers();
  int status = send->response.status_code();
  auto foreign = [&](const char* reason) {
    ++relay_counts_.foreign_answers;
    send->connection->is_spoilt = true;
    return reason;
  };
  if (!is_final_status(status))
    return "no status of an answer";
  if (promises_not_run(status))
    return "status " + std::to_string(status) + " without a word that it did not run";
  std::string incarnation = header_of(headers, words_.incarnation);
  if (!incarnation.empty() && incarnation != send->act.runner.text)
    return foreign("the answer is of another runner");
  // Runners repeat the call's id. An answer without it may be one too many to an earlier call on this link;
  // a failure on a link of the call's own can't be.
  bool is_connection_shared = send->act.is_repeatable;
  if (header_of(headers, words_.call_id).empty() && (is_success(status) || is_connection_shared))
    return foreign("the answer does not name its call");
  if (is_success(status) && !words_.seal.empty() && !headers.has(words_.seal)) {
    ++relay_counts_.unsealed;
    return "the answer lacks the runner's seal";
  }
  if (send->act.is_repeatable && headers.has("Content-Encoding"))
    return "the answer is encoded";
  return std::nullopt;
}

// An answer is whole before its first byte goes to the caller.
void RoutedRelay::accept_response(const std::shared_ptr<Send>& send) {
  const auto& headers = send->response.headers();
  int status = send->response.status_code();
  bool is_framed = tells_its_end(headers);
  if (has_no_body(send->handle->method, status)) {
    hand_on(send, std::make_shared<std::vector<std::uint8_t>>());
    if (!is_framed)
      send->stop.cancel();
    return;
  }
  if (!is_framed || (headers.has("Content-Length") && headers.content_length() > max_answer)) {
    end(send, RoutedEndKind::lost, is_framed ? "the answer is too large" : "the answer does not tell its length");
    return send->stop.cancel();
  }
  send->response.extract_vector().then([this, send](pplx::task<std::vector<std::uint8_t>> reading) {
    auto body = std::make_shared<std::vector<std::uint8_t>>();
    bool is_whole = true;
    try {
      *body = reading.get();
      const auto& got = send->response.headers();
      is_whole = got.has("Transfer-Encoding") || body->size() == got.content_length();
    } catch (const std::exception&) {
      is_whole = false;
    }
    if (is_whole)
      return hand_on(send, body);
    ++relay_counts_.connections_broken;
    end(send, RoutedEndKind::lost, "the answer was cut off");
  });
}

void RoutedRelay::hand_on(const std::shared_ptr<Send>& send, const Bytes& body) {
  auto& handle = send->handle;
  http_response response(send->response.status_code());
  response.set_reason_phrase(send->response.reason_phrase());
  copy_answer_headers(send->response.headers(), response.headers());
  if (!body->empty()) {
    bool has_type = response.headers().has("Content-Type");
    std::size_t size = body->size();
    response.set_body(concurrency::streams::bytestream::open_istream(std::move(*body)), size);
    if (!has_type)
      response.headers().remove("Content-Type");
  }
  bool is_failure = send->act.is_repeatable && send->response.status_code() >= 500;
  auto over = end_of(*send, is_failure ? RoutedEndKind::lost : RoutedEndKind::answered, is_failure ? "status" : "");
  {
    std::lock_guard<std::mutex> guard(handle->mutex);
    if (handle->turn != send->act.turn || handle->is_over)
      return;
    handle->turn = 0;
    handle->is_over = !is_failure;
    if (is_failure) {
      ++relay_counts_.own_answers_kept;
      handle->kept = response;
    }
    events_.force(over);
  }
  if (!is_failure)
    reply(handle->request, response, [handle](bool) {});
}

}  // namespace emberdale
