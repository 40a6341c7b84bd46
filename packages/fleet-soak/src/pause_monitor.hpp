// Measures when this process did not run: stopped, or kept from the processor by a busy machine.
#pragma once
#include <atomic>
#include <functional>
#include <thread>

#include "soak_records.hpp"

namespace emberdale::soak {

// Example: PauseMonitor monitor([&](const Interval& pause) { pauses.push_back(pause); });
class PauseMonitor {
 public:
  // Calls `report` on a thread of its own, after each pause, until it is destroyed.
  explicit PauseMonitor(std::function<void(const Interval&)> report)
      : report_(std::move(report)), thread_([this] { run(); }) {}
  PauseMonitor(const PauseMonitor&) = delete;
  PauseMonitor& operator=(const PauseMonitor&) = delete;
  ~PauseMonitor() {
    is_over_ = true;
    thread_.join();
  }

 private:
  void run();

  std::function<void(const Interval&)> report_;
  std::atomic<bool> is_over_{false};
  std::thread thread_;
};

}  // namespace emberdale::soak
