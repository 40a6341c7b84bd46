#include "parallel_runs.hpp"

#include <atomic>
#include <thread>
#include <vector>

namespace emberdale {

void run_in_parallel(std::uint64_t count, long threads, const std::function<void(std::uint64_t)>& run) {
  std::atomic<std::uint64_t> next{0};
  std::vector<std::thread> workers;
  for (long i = 0; i < threads; ++i)
    workers.emplace_back([&] {
      for (std::uint64_t index = next++; index < count; index = next++)
        run(index);
    });
  for (auto& worker : workers)
    worker.join();
}

}  // namespace emberdale
