#include "faulty_runner.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <optional>

#include "http_bytes.hpp"

namespace emberdale_test {
namespace {

constexpr int idle_limit_ms = 60000;
constexpr int silence_limit_ms = 8000;  // longer than any deadline of the routes

void pause(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

std::optional<ArrivedRequest> read_request(RawSocket& socket) {
  std::string head = socket.read_to("\r\n\r\n", idle_limit_ms);
  if (head.empty())
    return std::nullopt;
  ArrivedRequest request;
  auto path_begin = head.find(' ') + 1;
  request.method = head.substr(0, path_begin - 1);
  request.path = head.substr(path_begin, head.find(' ', path_begin) - path_begin);
  request.call_id = header_value(head, "T-Call");
  request.runner = header_value(head, "T-Life-Expected");
  request.resume_after = header_value(head, "Last-Event-Id");
  std::size_t size = std::strtoul(header_value(head, "Content-Length").c_str(), nullptr, 10);
  request.body = socket.read_size(size, idle_limit_ms);
  if (request.body.size() != size)
    return std::nullopt;
  return request;
}

std::string identity(const ArrivedRequest& request, const CallRun& run) {
  return "T-Call: " + request.call_id + "\r\nT-Life: " + request.runner +
         "\r\nT-Seal: " + seal_text(request.call_id, run.number) + "\r\n";
}

struct Answer {
  std::string head, body;
  std::string bytes() const { return head + body; }
};

Answer with_length(const std::string& status, const std::string& headers, const std::string& body) {
  return {"HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n",
          body};
}

Answer in_chunks(const std::string& headers, const std::string& body, std::size_t chunk_size) {
  Answer answer{"HTTP/1.1 200 OK\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n", ""};
  for (std::size_t at = 0; at < body.size(); at += chunk_size)
    answer.body += chunk(body.substr(at, chunk_size));
  answer.body += "0\r\n\r\n";
  return answer;
}

// The sound answer of this run, with the given headers to identify it.
Answer sound_answer(const ArrivedRequest& request, const CallRun& run, const CallPlan& plan,
                    const std::string& headers) {
  if (plan.is_stream()) {
    int last_seen = std::atoi(request.resume_after.c_str());
    bool repeats_last = last_seen > 0 && plan.cut % 2 == 1;  // some runners begin with the event that was seen
    std::string events = events_text(request.call_id, repeats_last ? last_seen : last_seen + 1, plan.events);
    return in_chunks("Content-Type: text/event-stream\r\n" + headers, events,
                     std::size_t{7} + static_cast<std::size_t>(plan.cut / 10));
  }
  std::string body = response_body(request.call_id, run.number);
  if (run.act == RunnerAct::answer_chunked)
    return in_chunks(headers, body, 11);
  return with_length("200 OK", headers, body);
}

std::string cut_at(const std::string& bytes, int thousandths) {
  return bytes.substr(0, bytes.size() * static_cast<std::size_t>(thousandths) / 1000);
}

void write_in_pieces(RawSocket& socket, const std::string& bytes, int thousandths) {
  std::size_t size = std::max<std::size_t>(3, bytes.size() * static_cast<std::size_t>(thousandths + 50) / 3000);
  for (std::size_t at = 0; at < bytes.size(); at += size) {
    socket.write(bytes.substr(at, size));
    pause(1);
  }
}

std::string other_call(const std::string& call_id) {
  int number = std::atoi(call_id.c_str() + call_id.find('-') + 1);
  return "call-" + std::to_string(number > 1 ? number - 1 : number + 1);
}

}  // namespace

FaultyRunner::FaultyRunner(CallLedger& ledger) : ledger_(ledger), listener_(RawSocket::listen()) {
  accepting_ = std::thread([this] { accept_all(); });
}

FaultyRunner::~FaultyRunner() {
  listener_.shut_down();
  accepting_.join();
  std::unique_lock<std::mutex> guard(mutex_);
  is_over_ = true;
  for (const auto& socket : open_)
    socket->shut_down();
  all_served_.wait(guard, [this] { return open_.empty(); });
}

void FaultyRunner::accept_all() {
  while (auto accepted = listener_.accept()) {
    auto socket = std::make_shared<RawSocket>(std::move(*accepted));
    if (connections_to_reset_ > 0) {
      --connections_to_reset_;
      socket->reset();
      continue;
    }
    std::lock_guard<std::mutex> guard(mutex_);
    open_.insert(socket);
    std::thread([this, socket] {
      serve(*socket);
      std::lock_guard<std::mutex> served(mutex_);
      open_.erase(socket);
      socket->close();
      all_served_.notify_all();
    }).detach();
  }
}

void FaultyRunner::serve(RawSocket& socket) {
  while (auto request = read_request(socket))
    if (!serve_request(socket, *request))
      return;
}

// False: the connection is not served any further.
bool FaultyRunner::serve_request(RawSocket& socket, const ArrivedRequest& request) {
  auto arrival = ledger_.arrive(request);
  if (!arrival)
    return false;
  const auto& [run, plan] = *arrival;
  std::string headers = identity(request, run);
  Answer answer = sound_answer(request, run, plan, headers);
  switch (run.act) {
    case RunnerAct::answer:
    case RunnerAct::answer_chunked:
      return socket.write(answer.bytes());
    case RunnerAct::answer_in_pieces:
      write_in_pieces(socket, answer.bytes(), plan.cut);
      return true;
    case RunnerAct::answer_and_close:
      socket.write(answer.bytes());
      return false;
    case RunnerAct::answer_then_half_close:
      socket.write(answer.bytes());
      socket.end_sending();
      return true;
    case RunnerAct::answer_twice:
      return socket.write(answer.bytes() + answer.bytes());
    case RunnerAct::answer_then_late:
      socket.write(answer.bytes());
      pause(2);
      return socket.write(answer.bytes());
    case RunnerAct::answer_then_garbage:
      return socket.write(answer.bytes() + "HTTP/0.1 oh\r\nno \r\n\r\n\r\n");
    case RunnerAct::refuse_full:
      return socket.write(with_length("503 Full", headers + "T-Not-Run: 1\r\n", "full").bytes());
    case RunnerAct::refuse_wrong_incarnation:
      return socket.write(with_length("421 Other", "T-Call: " + request.call_id + "\r\n", "").bytes());
    case RunnerAct::own_failure:
      return socket.write(with_length("500 Own", headers, response_body(request.call_id, run.number)).bytes());
    case RunnerAct::unmarked_busy:
      return socket.write(with_length("503 Busy", headers, "busy").bytes());
    case RunnerAct::reset_before_head:
      socket.reset();
      return false;
    case RunnerAct::reset_within_head:
      socket.write(cut_at(answer.head, plan.cut));
      pause(1);
      socket.reset();
      return false;
    case RunnerAct::reset_within_body:
      socket.write(answer.head + cut_at(answer.body, plan.cut));
      pause(1);
      socket.reset();
      return false;
    case RunnerAct::close_before_head:
      return false;
    case RunnerAct::close_within_head:
      socket.write(cut_at(answer.head, plan.cut));
      return false;
    case RunnerAct::close_within_body:
      socket.write(answer.head + cut_at(answer.body, plan.cut));
      return false;
    case RunnerAct::half_close_before_head:
      socket.end_sending();
      socket.is_closed_within(silence_limit_ms);
      return false;
    case RunnerAct::garbage:
      socket.write("\x16\x03\x01 no answer at all\r\n\r\n");
      return false;
    case RunnerAct::foreign_call: {
      ArrivedRequest other = request;
      other.call_id = other_call(request.call_id);
      return socket.write(with_length("200 OK", identity(other, run), "of another call").bytes());
    }
    case RunnerAct::nameless:
      return socket.write(sound_answer(request, run, plan, "T-Seal: s\r\n").bytes());
    case RunnerAct::unsealed:
      return socket.write(sound_answer(request, run, plan, "T-Call: " + request.call_id + "\r\n").bytes());
    case RunnerAct::silence:
      socket.is_closed_within(silence_limit_ms);
      return false;
    case RunnerAct::silence_then_answer:
      socket.is_closed_within(silence_limit_ms);
      socket.write(answer.bytes());
      return false;
  }
  return false;
}

}  // namespace emberdale_test
