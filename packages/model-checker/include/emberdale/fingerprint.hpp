// Order-dependent 64-bit hashes from which the fingerprint of a state is built up.
#pragma once
#include <cstdint>
#include <string>

#include "emberdale/messages.hpp"

namespace emberdale {

// Example: Fingerprint print; print.add(3); print.add(ballot); visited.insert(print.value());
class Fingerprint {
 public:
  Fingerprint& add(std::uint64_t number) {
    value_ = mix(value_ ^ mix(number + 0x9E3779B97F4A7C15ull));
    return *this;
  }
  Fingerprint& add(const std::string& text) { return add(stable_hash(text)); }
  Fingerprint& add(const Ballot& ballot) {
    return add(static_cast<std::uint64_t>(ballot.number)).add(ballot.proposer.text);
  }
  std::uint64_t value() const { return value_; }

 private:
  static std::uint64_t mix(std::uint64_t bits) {
    bits = (bits ^ (bits >> 30)) * 0xBF58476D1CE4E5B9ull;
    bits = (bits ^ (bits >> 27)) * 0x94D049BB133111EBull;
    return bits ^ (bits >> 31);
  }
  std::uint64_t value_ = 0x2545F4914F6CDD1Dull;
};

}  // namespace emberdale
