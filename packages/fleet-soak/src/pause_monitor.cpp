#include "pause_monitor.hpp"

#include <chrono>

#include "emberdale/program_settings.hpp"

namespace emberdale::soak {
namespace {

constexpr std::chrono::milliseconds tick{5};
constexpr Duration shortest_pause{25};

}  // namespace

void PauseMonitor::run() {
  TimePoint last = steady_now();
  while (!is_over_) {
    std::this_thread::sleep_for(tick);
    TimePoint now = steady_now();
    if (now - last > shortest_pause)
      report_({last, now});
    last = now;
  }
}

}  // namespace emberdale::soak
