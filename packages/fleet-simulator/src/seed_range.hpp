// The seeds that one call of the simulator's program runs.
#pragma once
#include <cstdint>

namespace emberdale {

// `count` consecutive seeds from `first` on, up to `threads` of them at once.
struct SeedRange {
  std::uint64_t first = 1;
  std::uint64_t count = 50;
  long threads = 6;
};

}  // namespace emberdale
