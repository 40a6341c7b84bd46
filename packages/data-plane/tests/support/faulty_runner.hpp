// A runner that does with each call what the call's plan says, good or bad.
#pragma once
#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "call_ledger.hpp"
#include "raw_socket.hpp"

namespace emberdale_test {

// One listener stands in for runners of any name: the expected name comes with each request.
class FaultyRunner {
 public:
  explicit FaultyRunner(CallLedger& ledger);
  ~FaultyRunner();
  std::uint16_t port() const { return listener_.port(); }
  // The next connection is reset before anything is read from it.
  void reset_next_connection() { ++connections_to_reset_; }

 private:
  void accept_all();
  void serve(RawSocket& socket);
  bool serve_request(RawSocket& socket, const ArrivedRequest& request);

  CallLedger& ledger_;
  RawSocket listener_;
  std::atomic<int> connections_to_reset_{0};
  std::mutex mutex_;
  std::condition_variable all_served_;
  std::set<std::shared_ptr<RawSocket>> open_;
  bool is_over_ = false;
  std::thread accepting_;
};

}  // namespace emberdale_test
