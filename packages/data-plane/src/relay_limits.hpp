// The bounds of what clients and runners may send to a data daemon. Both relays use them.
#pragma once
#include <chrono>
#include <cstddef>

#include "emberdale/http_listener.hpp"

namespace emberdale {

constexpr std::size_t max_open_body_bytes = 16 << 20;  // of the bodies of all open calls of clients

// The configuration's own limits, which the relays keep with responses of their own, are lower.
inline ListenerLimits front_limits(std::size_t max_connections) {
  constexpr std::size_t max_head_bytes = 64 << 10;
  constexpr std::chrono::seconds request_time{30};
  ListenerLimits limits;
  limits.reader = "front";
  limits.max_connections = max_connections;
  limits.request = {max_head_bytes, max_open_body_bytes, request_time};
  return limits;
}

// Of responses of runners.
constexpr const char* runner_reader = "runner";  // in the counters of what went over a bound
constexpr std::size_t max_response_head_bytes = 64 << 10;
constexpr std::size_t max_response_body_bytes = 16 << 20;
constexpr std::size_t max_held_response_bytes = 32 << 20;  // of all responses that have not come whole
// Of a refusal, whose body is read off so that its connection can be used again.
constexpr std::size_t max_refusal_body_bytes = 64 << 10;
constexpr std::chrono::milliseconds refusal_time{1000};

}  // namespace emberdale
