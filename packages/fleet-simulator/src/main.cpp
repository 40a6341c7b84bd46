// emberdale-fleet-simulator: seeded days of failure under virtual time; any seed can be run again.
#include <docopt/docopt.h>

#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

#include "emberdale/fleet_simulation.hpp"

using namespace emberdale;

static const char usage[] = R"(emberdale-fleet-simulator: seeded days of failure, with the brief's rules checked at every step.

Usage:
  emberdale-fleet-simulator [options]

Options:
  --first N     First seed [default: 1].
  --count N     How many seeds [default: 50].
  --seconds N   Virtual seconds of failure in each [default: 30].
  --threads N   Seeds run at once [default: 6].
  --story       Print what failed when, for every seed.
  -h --help     Show this.
)";

int main(int count, char** words) {
  auto arguments = docopt::docopt(usage, {words + 1, words + count}, true, "emberdale-fleet-simulator 0.1");
  auto first = static_cast<std::uint64_t>(arguments["--first"].asLong());
  auto seeds = static_cast<std::uint64_t>(arguments["--count"].asLong());
  Span length{arguments["--seconds"].asLong() * 1000};
  bool has_story = arguments["--story"].asBool();
  std::atomic<std::uint64_t> next{0};
  std::atomic<int> broken{0};
  std::mutex out;
  std::vector<std::thread> threads;
  for (long i = 0; i < arguments["--threads"].asLong(); ++i)
    threads.emplace_back([&] {
      for (;;) {
        std::uint64_t index = next++;
        if (index >= seeds) return;
        ChaosResult result = run_chaos(first + index, length);
        std::lock_guard<std::mutex> guard(out);
        if (result.breaks.empty() && !has_story) continue;
        std::cout << "seed " << first + index << (result.breaks.empty() ? " good" : " BROKEN") << "\n" << result.story;
        for (const auto& fault : result.breaks) std::cout << "  " << fault.at << " " << fault.rule << ": " << fault.detail << "\n";
        if (!result.breaks.empty()) ++broken;
      }
    });
  for (auto& thread : threads) thread.join();
  std::cout << seeds - static_cast<std::uint64_t>(broken.load()) << " passed, " << broken << " failed\n";
  return broken == 0 ? 0 : 1;
}
