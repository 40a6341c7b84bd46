// A back end as the simulator has it: what it bears, when it is cold, what it refuses.
#pragma once
#include <string>

#include "emberdale/messages.hpp"

namespace emberdale {

// Example:
//   SimulatedRunner runner; runner.start(now); auto refusal = runner.take(now, 2, true);
//   if (refusal.empty()) later(service, [&] { runner.finish(); });
struct SimulatedRunner {
  std::string name, zone, region, pool;
  bool is_up = true, is_hung = false;  // hung: it takes links and calls, and never answers again
  Integer incarnation = 1, running = 0, capacity = 8, allowance = 2;
  std::int64_t started = -100000, warming_ms = 3000;
  Integer life = 0;  // what was begun in an older life never ends

  bool is_cold(std::int64_t now) const { return now - started < warming_ms; }
  // Empty: it has begun the call; else why not. Example: runner.take(now, 3, true) == "incarnation"
  std::string take(std::int64_t now, Integer meant_for, bool checks_incarnation) {
    if (checks_incarnation && meant_for != incarnation)
      return "incarnation";
    if (running >= (is_cold(now) ? allowance : capacity))
      return "full";
    ++running;
    return "";
  }
  void finish() { --running; }
  void kill() {
    is_up = is_hung = false;
    running = 0;
    ++life;
  }
  void start(std::int64_t now) {
    if (is_up)
      kill();
    is_up = true;
    ++incarnation;
    started = now;
  }
};

}  // namespace emberdale
