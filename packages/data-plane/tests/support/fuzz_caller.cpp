#include "fuzz_caller.hpp"

#include <algorithm>
#include <chrono>
#include <thread>

namespace emberdale_test {
namespace {

// Far above what a busy machine takes, and below the routes' deadline: who waits for that is not told at once.
constexpr int answer_limit_ms = 4000;
constexpr int silent_deadline_ms = 300;
constexpr int last_chunk_size = 5;

std::optional<CallRun> sealed_run(const CallLedger& ledger, const WaitingCall& call, const SeenAnswer& answer) {
  std::string seal = header_value(answer.head, "T-Seal");
  for (const CallRun& run : ledger.runs(call.id))
    if (seal_text(call.id, run.number) == seal)
      return run;
  return std::nullopt;
}

bool has_run(const std::vector<CallRun>& runs) {
  return std::any_of(runs.begin(), runs.end(), [](const CallRun& run) { return !is_refusal(run.act); });
}

}  // namespace

std::string request_bytes(const std::string& call_id, const CallPlan& plan) {
  std::string body = request_body(call_id, plan);
  std::string head = "POST " + request_path(call_id, plan) + " HTTP/1.1\r\nHost: front.example\r\nT-Call: " + call_id +
                     "\r\nT-Prompt: " + std::to_string(plan.prompt) + ":60,fff:1\r\n";
  if (plan.has_silence())
    head += "T-Horizon: " + std::to_string(silent_deadline_ms) + "\r\n";
  if (!plan.is_chunked)
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  std::size_t half = body.size() / 2;
  return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body.substr(0, half)) + chunk(body.substr(half)) +
         "0\r\n\r\n";
}

void FuzzCaller::send(const CallPlan& plan) {
  std::string call_id = ledger_.begin(plan);
  waiting_.push_back({call_id, plan});
  std::string bytes = request_bytes(call_id, plan);
  std::size_t size = bytes.size() / static_cast<std::size_t>(plan.pieces) + 1;
  for (std::size_t at = 0; at < bytes.size(); at += size) {
    if (at > 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    socket_.write(bytes.substr(at, size));
  }
}

void FuzzCaller::leave_within_request(const CallPlan& plan, bool is_reset) {
  std::string call_id = ledger_.begin(plan);
  ledger_.expect_no_run(call_id);
  std::string bytes = request_bytes(call_id, plan);
  std::size_t whole = bytes.size() - last_chunk_size;
  socket_.write(bytes.substr(0, 1 + (whole - 1) * static_cast<std::size_t>(plan.cut) / 1000));
  leave(is_reset);
}

void FuzzCaller::end_sending() {
  has_ended_sending_ = true;
  socket_.end_sending();
}

void FuzzCaller::leave(bool is_reset) {
  if (is_reset)
    socket_.reset();
  else
    socket_.close();
  waiting_.clear();
}

void FuzzCaller::collect() {
  WaitingCall call = waiting_.front();
  waiting_.pop_front();
  judge(call, read_response(socket_, answer_limit_ms + (call.plan.has_silence() ? silent_deadline_ms : 0)));
  if (waiting_.empty())
    expect_nothing_more();
}

void FuzzCaller::expect_nothing_more() {
  std::string bytes = socket_.pending(0);
  if (!bytes.empty())
    faults_.push_back("bytes where no call waits: " + bytes);
}

void FuzzCaller::judge(const WaitingCall& call, const SeenAnswer& answer) {
  if (answer.status == 0)
    return judge_missing(call, answer);
  if (header_value(answer.head, "T-Call") != call.id)
    return fault(call, answer, "the answer is of another call");
  if (header_value(answer.head, "Connection") == "close" || !answer.is_whole)
    is_ended_ = true;
  switch (answer.status) {
    case 200:
      return judge_success(call, answer);
    case 408:
    case 421:
    case 429:
    case 503:
      return judge_promise(call, answer);
    case 502:
    case 504:
      return judge_unknown(call, answer);
    case 500:
      return judge_own_failure(call, answer);
    default:
      return fault(call, answer, "no one gave such a status");
  }
}

void FuzzCaller::judge_missing(const WaitingCall& call, const SeenAnswer& answer) {
  if (answer.end != RawSocket::End::closed)
    return fault(call, answer, "no answer in time");
  if (!answer.head.empty())
    return fault(call, answer, "bytes that are no answer");
  if (is_ended_)  // the connection's end was told before: this call was not read
    return ledger_.expect_no_run(call.id);
  if (!has_ended_sending_)
    fault(call, answer, "closed without an answer");
}

void FuzzCaller::judge_success(const WaitingCall& call, const SeenAnswer& answer) {
  auto run = sealed_run(ledger_, call, answer);
  if (!run)
    return fault(call, answer, "a success without the seal of a run of this call");
  if (call.plan.is_stream())
    return judge_stream(call, answer);
  if (!answer.is_whole)
    return fault(call, answer, "a success that is not whole");
  if (!is_whole_answer(run->act))
    return fault(call, answer, "a success that its runner did not give");
  if (answer.body != response_body(call.id, run->number))
    fault(call, answer, "not the runner's body");
}

void FuzzCaller::judge_stream(const WaitingCall& call, const SeenAnswer& answer) {
  std::string all = events_text(call.id, 1, call.plan.events);
  if (answer.is_whole && answer.body != all)
    return fault(call, answer, "a stream that looks whole is not");
  if (all.compare(0, answer.body.size(), answer.body) != 0)
    return fault(call, answer, "events are missing, doubled or out of order");
  if (answer.end == RawSocket::End::silent)
    fault(call, answer, "the stream was not ended in time");
}

void FuzzCaller::judge_promise(const WaitingCall& call, const SeenAnswer& answer) {
  ledger_.promise_not_run(call.id);
  if (has_run(ledger_.runs(call.id)))
    return fault(call, answer, "promised not to have run, and ran");
  if (!has_header(answer.head, "T-Not-Run") || has_header(answer.head, "T-Seal"))
    return fault(call, answer, "a promise without its mark");
  if (!has_header(answer.head, "Retry-After") || !answer.is_whole)
    fault(call, answer, "a refusal does not tell when to come back");
}

void FuzzCaller::judge_unknown(const WaitingCall& call, const SeenAnswer& answer) {
  if (has_header(answer.head, "T-Not-Run") || has_header(answer.head, "T-Seal") || !answer.is_whole)
    fault(call, answer, "an unknown outcome bears a promise or a seal");
}

void FuzzCaller::judge_own_failure(const WaitingCall& call, const SeenAnswer& answer) {
  auto run = sealed_run(ledger_, call, answer);
  if (!run || run->act != RunnerAct::own_failure || !answer.is_whole ||
      answer.body != response_body(call.id, run->number))
    fault(call, answer, "a failure that its runner did not give");
}

void FuzzCaller::fault(const WaitingCall& call, const SeenAnswer& answer, const std::string& what) {
  std::string runs;
  for (const CallRun& run : ledger_.runs(call.id))
    runs += std::string(" ") + name_of(run.act) + "@" + run.runner;
  faults_.push_back(what + ": " + call.id + " " + call.plan.text() + "; arrived:" + (runs.empty() ? " never" : runs) +
                    "; answer: " + answer.head + answer.body);
}

}  // namespace emberdale_test
