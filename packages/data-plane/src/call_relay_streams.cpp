// Streamed responses: each event is checked against the runner's seal and goes to the client as it comes.
#include <algorithm>
#include <nlohmann/json.hpp>

#include "call_relay.hpp"
#include "emberdale/json_text.hpp"
#include "http_fields.hpp"

namespace emberdale {

using Json = nlohmann::json;
using web::http::http_response;

namespace {

constexpr std::size_t max_stream_backlog = 256U << 10;  // what a client may lag behind its stream
constexpr std::size_t read_size = 16384;

// Appends to the one byte that was waited for all that is there already behind it.
void take_available(concurrency::streams::streambuf<std::uint8_t>& source, std::vector<std::uint8_t>& bytes,
                    std::size_t& size) {
  std::size_t available = std::min(source.in_avail(), bytes.size() - 1);
  for (; available > 0; --available)
    bytes[size++] = static_cast<std::uint8_t>(source.sbumpc());
}

}  // namespace

struct CallRelay::StreamRelay {
  StreamRelay(const CallAttempt& started, std::int64_t incarnation)
      : attempt(started), check(started.seal_key, started.id.text, started.runner.text, incarnation) {}
  CallAttempt attempt;
  std::shared_ptr<CallHandle> handle;
  http_response response;
  pplx::cancellation_token_source stop;
  concurrency::streams::streambuf<std::uint8_t> source;
  EventCutter cutter;
  StreamCheck check;
  std::vector<std::uint8_t> bytes = std::vector<std::uint8_t>(read_size);
};

struct CallRelay::StreamChunk {
  std::string events;  // whole ones, for the client
  bool is_sealed = false;
  std::string failure;  // why the stream can't go on; empty: it can, or it has ended well
};

void CallRelay::relay_stream(const CallAttempt& attempt, std::shared_ptr<CallHandle> handle, http_response response,
                             pplx::cancellation_token_source stop) {
  if (header_value(response.headers(), "X-Runner") != attempt.runner.text) {
    ++relay_counts_.bad_seals;
    stop.cancel();
    return finish_attempt(attempt.call, AttemptOutcome::lost, "the stream comes from another runner", nullptr);
  }
  std::int64_t incarnation = number_or_zero(header_value(response.headers(), "X-Runner-Incarnation"));
  auto stream = std::make_shared<StreamRelay>(attempt, incarnation);
  stream->handle = handle;
  stream->response = response;
  stream->stop = stop;
  stream->source = response.body().streambuf();
  relay_next(stream);
}

void CallRelay::relay_next(std::shared_ptr<StreamRelay> stream) {
  stream->source.getn(stream->bytes.data(), 1).then([this, stream](pplx::task<std::size_t> reading) {
    std::size_t size = 0;
    bool is_broken = false;
    try {
      size = reading.get();
      if (size == 1)
        take_available(stream->source, stream->bytes, size);
    } catch (const std::exception&) {  // how it broke off makes no difference
      is_broken = true;
    }
    relay_chunk(stream, check_chunk(*stream, size, is_broken));
  });
}

CallRelay::StreamChunk CallRelay::check_chunk(StreamRelay& stream, std::size_t size, bool is_broken) {
  StreamChunk chunk;
  if (size == 0) {
    chunk.failure = is_broken ? "the runner's link broke" : "the runner ended without its seal";
    return chunk;
  }
  std::string text(stream.bytes.begin(), stream.bytes.begin() + static_cast<std::ptrdiff_t>(size));
  for (const auto& event : stream.cutter.feed(text)) {
    auto step = stream.check.take(event);
    if (step == StreamCheck::Step::broken) {
      chunk.failure = stream.check.reason();
      break;
    }
    chunk.events += event_text(event);
    ++relay_counts_.pieces;
    chunk.is_sealed = chunk.is_sealed || step == StreamCheck::Step::sealed;
  }
  if (stream.cutter.waiting() > max_stream_backlog)
    chunk.failure = "a piece is too large";
  return chunk;
}

void CallRelay::relay_chunk(const std::shared_ptr<StreamRelay>& stream, StreamChunk chunk) {
  auto& handle = stream->handle;
  CallIndex index = stream->attempt.call;
  if (handle->is_caller_disconnected) {
    stream->stop.cancel();
    return finish_attempt(index, AttemptOutcome::caller_disconnected, "caller left", nullptr);
  }
  if (stream->stop.get_token().is_canceled() && !chunk.is_sealed && chunk.failure.empty())
    chunk.failure = "not ended within the deadline";
  // Before the first event nothing has gone to the client: the dispatcher decides what comes.
  if (!handle->is_stream_open && chunk.events.empty() && !chunk.failure.empty()) {
    stream->stop.cancel();
    ++relay_counts_.streams_broken;
    return finish_attempt(index, AttemptOutcome::lost, chunk.failure, &stream->response);
  }
  if (!handle->is_stream_open && !chunk.events.empty())
    open_stream(*stream);
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
  if (chunk.is_sealed || !chunk.failure.empty())
    return close_stream(*stream, chunk);
  relay_next(stream);
}

// The head goes out with the first event.
void CallRelay::open_stream(const StreamRelay& stream) {
  auto handle = stream.handle;
  CallIndex index = stream.attempt.call;
  handle->is_stream_open = true;
  handle->is_response_started = true;
  events_.force(StreamOpened{index});
  http_response response(web::http::status_codes::OK);
  response.headers().add("X-Runner", stream.attempt.runner.text);
  response.headers().add("X-Runner-Incarnation", header_value(stream.response.headers(), "X-Runner-Incarnation"));
  response.headers().add("X-Emberdale-Call", stream.attempt.id.text);
  if (!handle->caller_id.empty())
    response.headers().add("X-Call-Id", handle->caller_id);
  response.set_body(handle->pieces.create_istream(), "text/event-stream");
  reply_to(handle->request, response, [this, handle](bool was_sent) {
    if (!was_sent)
      on_caller_left(*handle);
  });
}

// Either way the client has its end; a stream that failed was ended by an error event.
void CallRelay::close_stream(StreamRelay& stream, const StreamChunk& chunk) {
  stream.handle->pieces.close(std::ios_base::out);
  if (!chunk.is_sealed) {
    ++relay_counts_.streams_broken;
    stream.stop.cancel();
  }
  finish_attempt(stream.attempt.call, AttemptOutcome::completed, chunk.failure, &stream.response);
}

}  // namespace emberdale
