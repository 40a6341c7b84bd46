// Streamed responses: each event is checked against the runner's seal and goes to the client as it comes.
#include <nlohmann/json.hpp>

#include "call_relay_state.hpp"
#include "emberdale/json_text.hpp"

namespace emberdale {

using Json = nlohmann::json;
using web::http::http_response;

namespace {

constexpr std::size_t max_stream_backlog = 256U << 10;  // what a client may lag behind its stream

}  // namespace

// The check of the seal holds what has come: a stream has the bound of a whole response.
std::optional<BodyLimits> CallRelay::begin_stream(const std::shared_ptr<Attempt>& attempt) {
  const auto& headers = attempt->response.headers();
  const CallAttempt& started = attempt->attempt;
  if (header_value(headers, "X-Runner") != started.runner.text) {
    ++relay_counts_.bad_seals;
    attempt->body_use = CallBodyUse::dropped;
    finish_attempt(started.call, AttemptOutcome::lost, "the stream comes from another runner", nullptr);
    return std::nullopt;
  }
  std::int64_t incarnation = number_or_zero(header_value(headers, "X-Runner-Incarnation"));
  attempt->check.emplace(started.seal_key, started.id.text, started.runner.text, incarnation);
  attempt->body_use = CallBodyUse::streamed;
  return BodyLimits{max_response_body_bytes, std::nullopt};
}

CallRelay::StreamChunk CallRelay::check_events(Attempt& attempt, const std::string& bytes) {
  StreamChunk chunk;
  for (const auto& event : attempt.cutter.feed(bytes)) {
    auto step = attempt.check->take(event);
    if (step == StreamCheck::Step::broken) {
      chunk.failure = attempt.check->reason();
      break;
    }
    chunk.events += event_text(event);
    ++relay_counts_.pieces;
    chunk.is_sealed = chunk.is_sealed || step == StreamCheck::Step::sealed;
  }
  if (attempt.cutter.waiting() > max_stream_backlog)
    chunk.failure = "a piece is too large";
  return chunk;
}

// False: no more is wanted.
bool CallRelay::on_stream_bytes(Attempt& attempt, const std::string& bytes) {
  StreamChunk chunk = check_events(attempt, bytes);
  if (!chunk.is_sealed || !chunk.failure.empty())
    return relay_chunk(attempt, std::move(chunk));
  attempt.sealed = std::move(chunk);
  return true;
}

// The chunk with the seal, or why there is none.
CallRelay::StreamChunk CallRelay::stream_end(const Attempt& attempt, const ExchangeEnd& end) {
  if (end.fault == HttpFault::none && attempt.sealed)
    return *attempt.sealed;
  StreamChunk chunk;
  if (end.fault == HttpFault::none)
    chunk.failure = "the runner ended without its seal";
  else if (end.fault == HttpFault::cancelled || end.fault == HttpFault::timed_out)
    chunk.failure = "not ended within the deadline";
  else if (end.fault == HttpFault::body_too_large)
    chunk.failure = "the stream is too large";
  else
    chunk.failure = "the runner's link broke";
  return chunk;
}

// False: no more is wanted.
bool CallRelay::relay_chunk(Attempt& attempt, StreamChunk chunk) {
  const auto& handle = attempt.handle;
  const CallIndex index = attempt.attempt.call;
  if (handle->is_caller_disconnected) {
    attempt.body_use = CallBodyUse::dropped;
    finish_attempt(index, AttemptOutcome::caller_disconnected, "caller left", nullptr);
    return false;
  }
  // Before the first event nothing has gone to the client: the dispatcher decides what comes.
  if (!handle->is_stream_open && chunk.events.empty() && !chunk.failure.empty()) {
    attempt.body_use = CallBodyUse::dropped;
    ++relay_counts_.streams_broken;
    finish_attempt(index, AttemptOutcome::lost, chunk.failure, &attempt.response);
    return false;
  }
  if (!handle->is_stream_open && !chunk.events.empty())
    open_stream(attempt);
  if (!chunk.failure.empty() && !chunk.is_sealed)
    chunk.events += event_text({"error", "", json_text(Json{{"reason", chunk.failure}, {"outcome", "unknown"}})});
  if (handle->pieces.in_avail() > max_stream_backlog) {
    chunk.failure = "the caller reads too slowly";
    chunk.is_sealed = false;
  }
  if (!chunk.events.empty()) {
    // The buffer takes a copy at once. Nothing is waited for here: this is one of the few threads that
    // serve all connections, and a wait needs another of them.
    handle->pieces.putn_nocopy(reinterpret_cast<const std::uint8_t*>(chunk.events.data()), chunk.events.size());
    handle->pieces.sync();
  }
  if (!chunk.is_sealed && chunk.failure.empty())
    return true;
  close_stream(attempt, chunk);
  return false;
}

// The head goes out with the first event.
void CallRelay::open_stream(const Attempt& attempt) {
  auto handle = attempt.handle;
  const CallIndex index = attempt.attempt.call;
  handle->is_stream_open = true;
  handle->is_response_started = true;
  events_.force(StreamOpened{index});
  http_response response(web::http::status_codes::OK);
  response.headers().add("X-Runner", attempt.attempt.runner.text);
  response.headers().add("X-Runner-Incarnation", header_value(attempt.response.headers(), "X-Runner-Incarnation"));
  response.headers().add("X-Emberdale-Call", attempt.attempt.id.text);
  if (!handle->caller_id.empty())
    response.headers().add("X-Call-Id", handle->caller_id);
  response.set_body(handle->pieces.create_istream(), "text/event-stream");
  reply_to(handle->request, response, [this, handle](bool was_sent) {
    if (!was_sent)
      on_caller_left(*handle);
  });
}

// Either way the client has its end; a stream that failed was ended by an error event.
void CallRelay::close_stream(Attempt& attempt, const StreamChunk& chunk) {
  attempt.body_use = CallBodyUse::dropped;
  attempt.handle->pieces.close(std::ios_base::out);
  if (!chunk.is_sealed)
    ++relay_counts_.streams_broken;
  finish_attempt(attempt.attempt.call, AttemptOutcome::completed, chunk.failure, &attempt.response);
}

}  // namespace emberdale
