// One attempt of the call relay, shared by its parts; for its own sources only.
#pragma once
#include "call_relay.hpp"
#include "http_fields.hpp"
#include "relay_limits.hpp"

namespace emberdale {

struct CallRelay::StreamChunk {
  std::string events;  // whole ones, for the client
  bool is_sealed = false;
  std::string failure;  // why the stream can't go on; empty: it can, or it has ended well
};

// What is done with the body of a response, as its head decides.
enum class CallBodyUse { none, dropped, held, streamed };

// Used by the callbacks of its exchange, one at a time.
struct CallRelay::Attempt {
  Attempt(CallAttempt started, std::shared_ptr<CallHandle> call)
      : attempt(std::move(started)), handle(std::move(call)) {}
  const CallAttempt attempt;
  const std::shared_ptr<CallHandle> handle;
  web::http::http_response response{0};  // its head
  CallBodyUse body_use = CallBodyUse::none;
  std::string body;
  EventCutter cutter;
  std::optional<StreamCheck> check;   // of a stream
  std::optional<StreamChunk> sealed;  // the chunk with the seal: it goes out once the response has ended well
};

}  // namespace emberdale
