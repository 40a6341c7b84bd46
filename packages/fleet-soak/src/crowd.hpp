// Many connections at one address that come and go and hardly say anything.
#pragma once
#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

#include "emberdale/small_types.hpp"

namespace emberdale::soak {

// Runs from its construction to its destruction, on a thread of its own.
class Crowd {
 public:
  // Holds up to `connections` at a time. Example: Crowd crowd("127.0.0.1:8080", 700, 7);
  Crowd(std::string address, std::size_t connections, std::uint64_t seed);
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;
  ~Crowd();

 private:
  void run(RandomGenerator random);

  const std::string address_;
  const std::size_t connections_;
  std::atomic<bool> is_over_{false};
  std::thread thread_;
};

}  // namespace emberdale::soak
