// The callers: how many ask, for what, and at which daemons.
#pragma once
#include <string>
#include <vector>

#include "emberdale/small_types.hpp"

namespace emberdale {

struct GeneratedCall {
  std::string path, home, prefix;
  bool is_repeatable = false, is_streaming = false;
  std::int64_t service_ms = 40;
};

// Example:
//   LoadGenerator crowd; crowd.rate = 200; crowd.long_share = 0.3; crowd.south_share = 0.8;
//   auto call = crowd.next(random generator, "north"); later(crowd.gap(random generator), ask);
struct LoadGenerator {
  double rate = 40;                // calls a second
  double long_share = 0.05;        // of them, how many want long answers
  double south_share = -1;         // share of callers that ask in region south; below 0: any daemon alike
  double misdirected_share = 0.1;  // of homed work, how much comes to the wrong region

  std::int64_t next_interval(RandomGenerator& random) const {
    return 1 + random.below(static_cast<std::int64_t>(2000.0 / rate));
  }

  GeneratedCall next(RandomGenerator& random, const std::string& region) const {
    GeneratedCall call;
    call.prefix = "opening " + std::to_string(random.below(40));
    if (random.chance(long_share)) {
      call.path = "/chat";
      call.is_streaming = true;
      call.service_ms = 300 + random.below(900);
      return call;
    }
    auto kind = random.below(10);
    call.path = kind < 6 ? "/check" : kind < 8 ? "/homed" : "/record";
    call.is_repeatable = call.path == "/record";
    call.service_ms = call.is_repeatable ? 10 + random.below(10) : 40 + random.below(20);
    if (call.path == "/homed")
      call.home = random.chance(1 - misdirected_share) ? region : region == "north" ? "south" : "north";
    return call;
  }
};

}  // namespace emberdale
