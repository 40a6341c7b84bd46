#include "scale_clock.hpp"

#include <time.h>

namespace emberdale::scale {

std::int64_t thread_ns() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return time.tv_sec * 1000000000LL + time.tv_nsec;
}

std::int64_t clock_cost() {
  static const std::int64_t cost = [] {
    std::int64_t begun = thread_ns(), last = begun;
    for (int i = 0; i < 1000; ++i)
      last = thread_ns();
    return (last - begun) / 1000;
  }();
  return cost;
}

}  // namespace emberdale::scale
