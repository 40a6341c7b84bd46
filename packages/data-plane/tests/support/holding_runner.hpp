// A runner that takes requests and does not finish them, and records when their connections end.
#pragma once
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "raw_socket.hpp"

namespace emberdale_test {

// What the runner does with a request before it falls silent.
enum class HeldAt {
  before_head,      // nothing is sent
  after_head,       // the head of a stream, no event yet
  after_one_event,  // the head and the first event
  reset_first,      // the first request is reset, the next ones are held before the head
};

// Use: HoldingRunner runner(HeldAt::before_head); ... runner.wait_for_arrival("call-1"); client.close();
//      runner.wait_for_close("call-1", 500ms);
class HoldingRunner {
 public:
  explicit HoldingRunner(HeldAt held_at);
  ~HoldingRunner();
  std::uint16_t port() const { return listener_.port(); }
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
  // True once a request of this call is held.
  bool wait_for_arrival(const std::string& call_id, std::chrono::milliseconds limit);
  // True once the connection of the held request of this call has ended.
  bool wait_for_close(const std::string& call_id, std::chrono::milliseconds limit);
  // Ends the held request of this call with a complete response.
  void respond(const std::string& call_id);
  std::size_t arrivals(const std::string& call_id);

 private:
  struct Run {
    std::size_t arrivals = 0;
    bool is_held = false, is_closed = false, is_to_respond = false;
  };
  void accept_all();
  void serve(RawSocket& socket);
  void hold(RawSocket& socket, const std::string& call_id, const std::string& head);
  bool is_first_request();

  HeldAt held_at_;
  RawSocket listener_;
  std::mutex mutex_;  // of all below
  std::condition_variable changed_;
  std::map<std::string, Run> runs_;
  std::list<RawSocket> open_;
  std::list<std::thread> serving_;
  std::size_t requests_ = 0;
  bool is_over_ = false;
  std::thread accepting_;
};

}  // namespace emberdale_test
