// How far a process has come since its start, as its metrics tell.
#pragma once
#include <atomic>
#include <cstdint>
#include <map>
#include <string>

#include "emberdale/program_runtime.hpp"

namespace emberdale {

// In this order; the numbers are shown, and stay.
enum class StartStage : std::int64_t {
  opening_ports = 0,     // for operators and checks
  opening_store = 1,     // the data folder is locked, read and written to
  joining_peers = 2,     // the port for peers is opened
  seeking_register = 3,  // no state of the register is known here
  seeking_master = 4,    // no master is known here
  seeking_routes = 5,    // a data daemon has no routing table yet
  serving = 6,
  stopping = 7
};

// Safe for use by several threads.
class StartProgress {
 public:
  void enter(StartStage stage) {
    if (stage_.exchange(static_cast<std::int64_t>(stage)) != static_cast<std::int64_t>(stage))
      entered_at_ms_ = steady_now().value;
  }
  StartStage stage() const { return static_cast<StartStage>(stage_.load()); }
  // Whether the state machine runs and takes requests.
  bool is_running() const { return StartStage::joining_peers < stage(); }
  // Adds `start_stage` and `start_stage_ms`, the time since that began.
  void add_to(std::map<std::string, std::int64_t>& counters) const {
    counters["start_stage"] = stage_;
    counters["start_stage_ms"] = steady_now().value - entered_at_ms_;
  }

 private:
  std::atomic<std::int64_t> stage_{static_cast<std::int64_t>(StartStage::opening_ports)};
  std::atomic<std::int64_t> entered_at_ms_{steady_now().value};
};

}  // namespace emberdale
