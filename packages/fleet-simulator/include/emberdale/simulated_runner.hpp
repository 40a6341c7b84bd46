// A simulated backend: how many calls it runs at once, how it warms up after a start, and what it refuses.
#pragma once
#include <string>

#include "emberdale/messages.hpp"

namespace emberdale {

// Times are virtual milliseconds. Example:
//   SimulatedRunner runner;
//   runner.start(now);
//   if (runner.start_call(now, 2, true).empty()) later(service_ms, [&] { runner.finish(); });
struct SimulatedRunner {
  std::string name, zone, region, pool;
  bool is_up = true, is_hung = false;  // hung: it accepts connections and calls, and never responds
  std::int64_t incarnation = 1, running = 0, capacity = 8, allowance = 2;
  std::int64_t started = -100000, warming_ms = 3000;
  // Counts ends of the process: work of an earlier generation never finishes.
  std::int64_t work_generation = 0;

  bool is_warming_up(std::int64_t now) const { return now - started < warming_ms; }
  // Starts a call that was meant for that incarnation. Empty: it runs; else the reason of the refusal, "incarnation" or
  // "full".
  std::string start_call(std::int64_t now, std::int64_t meant_for, bool checks_incarnation) {
    if (checks_incarnation && meant_for != incarnation)
      return "incarnation";
    if (running >= (is_warming_up(now) ? allowance : capacity))
      return "full";
    ++running;
    return "";
  }
  void finish() { --running; }
  void kill() {
    is_up = is_hung = false;
    running = 0;
    ++work_generation;
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
