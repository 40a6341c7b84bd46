// Streams: whole events go to the caller as they come, and go on from another runner where that is allowed.
#include "emberdale/program_settings.hpp"
#include "routed_relay_state.hpp"

namespace emberdale {

using web::http::http_response;

namespace {

constexpr std::size_t stream_bound = 1 << 20;  // what a caller may lag behind its stream; also the largest event
constexpr Duration piece_pace{50};             // the dispatcher hears that often of a stream that goes on

}  // namespace

void RoutedRelay::take_stream(const std::shared_ptr<Send>& send) {
  auto reader = std::make_shared<PieceReader>();
  reader->source = send->response.body().streambuf();
  reader->on_bytes = [this, send](const std::string& bytes) {
    return pass_events(send, bytes);
  };
  reader->on_end = [this, send](bool is_broken) {
    end_stream(send, is_broken);
  };
  reader->next();
}

// Whole events only. False: no more is wanted.
bool RoutedRelay::pass_events(const std::shared_ptr<Send>& send, const std::string& bytes) {
  auto& handle = send->handle;
  auto events = send->cutter.feed(bytes);
  std::unique_lock<std::mutex> guard(handle->mutex);
  if (handle->turn != send->act.turn)
    return false;
  std::string out;
  for (const auto& event : events) {
    out += send->sieve.pass(event);
    ++relay_counts_.pieces;
  }
  if (send->cutter.rest().size() + send->sieve.waiting() > stream_bound) {
    guard.unlock();
    end(send, RoutedEndKind::lost, "an event is too large");
    send->stop.cancel();
    return false;
  }
  if (out.empty())
    return true;
  bool is_first = !handle->is_stream_open;
  if (is_first)
    open_stream(send);
  if (handle->pieces->in_avail() > stream_bound) {
    handle->is_over = true;
    handle->turn = 0;
    handle->pieces->close(std::ios_base::out,
                          std::make_exception_ptr(std::runtime_error("the caller reads too slowly")));
    events_.force(Gone{handle->index});
    guard.unlock();
    send->stop.cancel();
    return false;
  }
  // The buffer takes a copy at once; nothing is waited for.
  handle->pieces->putn_nocopy(reinterpret_cast<const std::uint8_t*>(out.data()), out.size());
  handle->pieces->sync();
  handle->last_event = send->sieve.last();
  TimePoint now = steady_now();
  if (now - handle->notified_at >= piece_pace || is_first) {
    handle->notified_at = now;
    events_.force(Piece{send->act.call, send->act.turn});
  }
  return true;
}

// The head goes out with the first event. The handle's mutex is held.
void RoutedRelay::open_stream(const std::shared_ptr<Send>& send) {
  auto& handle = send->handle;
  handle->is_stream_open = true;
  handle->pieces.emplace();
  http_response response(send->response.status_code());
  response.set_reason_phrase(send->response.reason_phrase());
  copy_answer_headers(send->response.headers(), response.headers());
  response.set_body(handle->pieces->create_istream(), header_of(send->response.headers(), "Content-Type"));
  reply(handle->request, response, [this, handle](bool was_sent) {
    if (was_sent)
      return;
    events_.force(Gone{handle->index});
  });
}

void RoutedRelay::end_stream(const std::shared_ptr<Send>& send, bool is_broken) {
  auto& handle = send->handle;
  const auto& headers = send->response.headers();
  bool is_clean = !is_broken && (headers.has("Content-Length") || headers.has("Transfer-Encoding"));
  if (!is_clean) {
    ++relay_counts_.connections_broken;
    end(send, RoutedEndKind::lost, "the stream broke");
    return;
  }
  std::lock_guard<std::mutex> guard(handle->mutex);
  if (handle->turn != send->act.turn)
    return;
  // A whole answer whose last event lacks its blank line is passed on as it is.
  std::string out = send->sieve.finish() + send->cutter.rest();
  if (!handle->is_stream_open)
    open_stream(send);
  if (!out.empty())
    handle->pieces->putn_nocopy(reinterpret_cast<const std::uint8_t*>(out.data()), out.size());
  handle->pieces->close(std::ios_base::out);
  handle->is_over = true;
  handle->turn = 0;
  events_.force(end_of(*send, RoutedEndKind::answered, ""));
}

}  // namespace emberdale
