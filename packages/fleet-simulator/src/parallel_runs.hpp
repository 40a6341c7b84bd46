// Runs independent pieces of work, such as the seeds of a measurement, on several threads.
#pragma once
#include <cstdint>
#include <functional>

namespace emberdale {

// Calls `run` once with each number below `count`, on up to `threads` threads at once, and returns when all calls have
// ended. The calls start in ascending order; `run` has to guard whatever it shares between threads.
void run_in_parallel(std::uint64_t count, long threads, const std::function<void(std::uint64_t)>& run);

}  // namespace emberdale
