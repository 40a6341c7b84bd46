// For tests of parsers: a sound text with some of its bytes changed, doubled, left out or cut off.
#pragma once
#include <string>

#include "emberdale/small_types.hpp"

namespace emberdale {

// Example: parse(spoiled(R"({"a":1})", seed)) must give a value or a reason, and never crash
inline std::string spoiled(std::string text, std::uint64_t seed) {
  RandomGenerator random(seed);
  for (std::int64_t i = 1 + random.below(6); i > 0 && !text.empty(); --i) {
    auto at = static_cast<std::size_t>(random.below(static_cast<std::int64_t>(text.size())));
    switch (random.below(5)) {
      case 0:
        text[at] = static_cast<char>(random.below(256));
        break;
      case 1:
        text.insert(at, text.substr(at, static_cast<std::size_t>(random.below(40))));
        break;
      case 2:
        text.erase(at, static_cast<std::size_t>(1 + random.below(8)));
        break;
      case 3:
        text.resize(at);
        break;
      default:
        text.insert(at, std::string(static_cast<std::size_t>(1 + random.below(3)), "{}[]\":,0\n "[random.below(10)]));
        break;
    }
  }
  return text;
}

}  // namespace emberdale
