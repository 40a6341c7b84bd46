// A caller's connection to the data path, and the oracle that judges every answer on it.
#pragma once
#include <deque>
#include <string>
#include <vector>

#include "call_ledger.hpp"
#include "http_bytes.hpp"
#include "raw_socket.hpp"

namespace emberdale_test {

struct WaitingCall {
  std::string id;
  CallPlan plan;
};

// Example: request_bytes("call-1", plan)
std::string request_bytes(const std::string& call_id, const CallPlan& plan);

class FuzzCaller {
 public:
  FuzzCaller(std::uint16_t port, CallLedger& ledger) : ledger_(ledger), socket_(RawSocket::connect(port)) {}
  void send(const CallPlan& plan);
  // Begins a call, sends it but for its last bytes, and leaves.
  void leave_within_request(const CallPlan& plan, bool is_reset);
  // The relay can't tell this from a close: it may end the connection without an answer from here on.
  void end_sending();
  void leave(bool is_reset);
  std::size_t waiting() const { return waiting_.size(); }
  bool is_ended() const { return is_ended_; }
  // Takes the oldest waiting call's answer in and judges it.
  void collect();
  // Bytes that came though no call waits.
  void expect_nothing_more();
  const std::vector<std::string>& faults() const { return faults_; }

 private:
  void judge(const WaitingCall& call, const SeenAnswer& answer);
  void judge_missing(const WaitingCall& call, const SeenAnswer& answer);
  void judge_success(const WaitingCall& call, const SeenAnswer& answer);
  void judge_stream(const WaitingCall& call, const SeenAnswer& answer);
  void judge_promise(const WaitingCall& call, const SeenAnswer& answer);
  void judge_unknown(const WaitingCall& call, const SeenAnswer& answer);
  void judge_own_failure(const WaitingCall& call, const SeenAnswer& answer);
  void fault(const WaitingCall& call, const SeenAnswer& answer, const std::string& what);

  CallLedger& ledger_;
  RawSocket socket_;
  std::deque<WaitingCall> waiting_;
  std::vector<std::string> faults_;
  bool has_ended_sending_ = false;
  bool is_ended_ = false;  // an answer broke off or announced the end of the connection
};

}  // namespace emberdale_test
