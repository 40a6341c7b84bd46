// Processor time of this thread, as the scale runs charge it.
#pragma once
#include <cstdint>

namespace emberdale::scale {

// Processor time of this thread so far.
std::int64_t thread_ns();
// What two looks at the clock take by themselves.
std::int64_t clock_cost();

// Processor time that an act takes. Example: auto ns = time_of([&] { encode_message(message); });
template <class Act>
std::int64_t time_of(const Act& act) {
  std::int64_t begun = thread_ns();
  act();
  std::int64_t taken = thread_ns() - begun - clock_cost();
  return taken > 0 ? taken : 0;
}

}  // namespace emberdale::scale
