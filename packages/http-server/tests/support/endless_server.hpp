// A server in trouble: its responses have no end, or come slowly.
#pragma once
#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "raw_socket.hpp"

namespace emberdale_test {

// Responds to each request with a head and pieces, until the client closes the connection or a bound is reached.
class EndlessServer {
 public:
  struct Form {
    std::string head;
    std::string piece;
    int pause_ms = 0;  // before each piece
    std::size_t max_bytes = 64 << 20;
    int max_ms = 8000;
    int hold_ms = 0;              // after the last piece, before the connection is closed
    std::string echoed_header{};  // of the request, repeated behind the status line; empty: none
  };
  struct Response {
    std::string request_head;
    std::size_t sent_bytes = 0;
    int lasted_ms = 0;
    bool was_closed = false;  // by the client, before a bound was reached
  };

  explicit EndlessServer(Form form);
  ~EndlessServer();
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  // The first response that has ended; nothing if none has within the time.
  std::optional<Response> wait_for_response(int limit_ms);

 private:
  void accept_all();
  void respond(RawSocket connection);

  const Form form_;
  RawSocket listener_;
  const std::uint16_t port_;
  std::atomic<bool> is_over_{false};
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Response> responses_;
  std::vector<std::thread> responding_;
  std::thread accepting_;
};

}  // namespace emberdale_test
