// Clients of a fleet under soak. Each follows its own seeded course of calls, and many leave at a moment of their own:
// within the head or the body of the request, while the request waits or runs, and within a stream.
#pragma once
#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "soak_face.hpp"
#include "soak_records.hpp"

namespace emberdale::soak {

// Example: SoakClients clients(face, gateways, 7); ... auto calls = clients.stop();
class SoakClients {
 public:
  SoakClients(const SoakFace& face, std::vector<ProcessAddress> gateways, std::uint64_t seed);
  SoakClients(const SoakClients&) = delete;
  SoakClients& operator=(const SoakClients&) = delete;
  ~SoakClients() { stop(); }

  // Lets each client end the call that it is at, and gives all calls.
  std::vector<CallRecord> stop();

 private:
  void run_client(int number, std::uint64_t seed);

  const SoakFace& face_;
  const std::vector<ProcessAddress> gateways_;
  std::atomic<bool> is_over_{false};
  std::mutex mutex_;
  std::vector<CallRecord> calls_;
  std::vector<std::thread> threads_;
};

}  // namespace emberdale::soak
