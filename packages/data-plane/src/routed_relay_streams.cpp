// Streams: whole events go to the client as they come, and resume from another runner where that is allowed.
#include "emberdale/program_settings.hpp"
#include "routed_relay_state.hpp"

namespace emberdale {

using web::http::http_response;

namespace {

constexpr std::size_t max_stream_backlog = 1 << 20;  // what a client may lag behind its stream; also the largest event
constexpr Duration progress_interval{50};            // at most that often the dispatcher is notified of a stream

}  // namespace

// Whole events only. False: no more is wanted.
bool RoutedRelay::forward_events(const std::shared_ptr<ActiveAttempt>& active, const std::string& bytes) {
  auto& handle = active->handle;
  auto events = active->splitter.feed(bytes);
  std::unique_lock<std::mutex> guard(handle->mutex);
  if (handle->attempt_number != active->attempt.attempt_number) {
    active->body_use = BodyUse::dropped;
    return false;
  }
  std::string out;
  for (const auto& event : events) {
    out += active->filter.pass(event);
    ++relay_counts_.pieces;
  }
  if (active->splitter.rest().size() + active->filter.waiting() > max_stream_backlog) {
    guard.unlock();
    discard(active, RoutedAttemptOutcome::lost, "an event is too large");
    return false;
  }
  if (out.empty())
    return true;
  bool is_first = !handle->is_stream_open;
  if (is_first)
    open_stream(active);
  if (handle->pieces->in_avail() > max_stream_backlog) {
    handle->is_finished = true;
    handle->attempt_number = 0;
    handle->pieces->close(std::ios_base::out,
                          std::make_exception_ptr(std::runtime_error("the caller reads too slowly")));
    events_.force(CallerDisconnected{handle->index});
    active->body_use = BodyUse::dropped;
    return false;
  }
  // The buffer takes a copy at once; nothing is waited for.
  handle->pieces->putn_nocopy(reinterpret_cast<const std::uint8_t*>(out.data()), out.size());
  handle->pieces->sync();
  handle->last_event = active->filter.last();
  TimePoint now = steady_now();
  if (now - handle->notified_at >= progress_interval || is_first) {
    handle->notified_at = now;
    events_.force(StreamProgress{active->attempt.call, active->attempt.attempt_number});
  }
  return true;
}

// The head goes out with the first event. The handle's mutex is held.
void RoutedRelay::open_stream(const std::shared_ptr<ActiveAttempt>& active) {
  auto& handle = active->handle;
  handle->is_stream_open = true;
  handle->pieces.emplace();
  http_response response(active->response.status_code());
  response.set_reason_phrase(active->response.reason_phrase());
  copy_response_headers(active->response.headers(), response.headers());
  response.set_body(handle->pieces->create_istream(), header_value(active->response.headers(), "Content-Type"));
  reply(handle->request, response, [this, handle](bool was_sent) {
    if (was_sent)
      return;
    events_.force(CallerDisconnected{handle->index});
  });
}

void RoutedRelay::end_stream(const std::shared_ptr<ActiveAttempt>& active, bool is_broken) {
  auto& handle = active->handle;
  if (is_broken) {
    ++relay_counts_.connections_broken;
    finish_attempt(active, RoutedAttemptOutcome::lost, "the stream broke");
    return;
  }
  std::lock_guard<std::mutex> guard(handle->mutex);
  if (handle->attempt_number != active->attempt.attempt_number)
    return;
  // A whole response whose last event lacks its blank line is forwarded as it is.
  std::string out = active->filter.finish() + active->splitter.rest();
  if (!handle->is_stream_open)
    open_stream(active);
  if (!out.empty())
    handle->pieces->putn_nocopy(reinterpret_cast<const std::uint8_t*>(out.data()), out.size());
  handle->pieces->close(std::ios_base::out);
  handle->is_finished = true;
  handle->attempt_number = 0;
  events_.force(result_of(*active, RoutedAttemptOutcome::completed, ""));
}

}  // namespace emberdale
