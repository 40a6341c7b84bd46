#include "holding_runner.hpp"

#include <cstdlib>

#include "http_bytes.hpp"

namespace emberdale_test {
namespace {

constexpr int idle_limit_ms = 20000;
constexpr int poll_interval_ms = 5;

std::string call_id_of(const std::string& head) {
  std::string routed = header_value(head, "T-Call");
  return routed.empty() ? header_value(head, "X-Call-Id") : routed;
}

// Both faces of the data plane accept it: the header names of each are there.
std::string identity(const std::string& head) {
  return "T-Call: " + header_value(head, "T-Call") + "\r\nT-Life: " + header_value(head, "T-Life-Expected") +
         "\r\nT-Seal: seal\r\nX-Runner: r1\r\nX-Runner-Incarnation: 7\r\n";
}

std::string stream_head(const std::string& head) {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + identity(head) +
         "Transfer-Encoding: chunked\r\n\r\n";
}

}  // namespace

HoldingRunner::HoldingRunner(HeldAt held_at) : held_at_(held_at), listener_(RawSocket::listen()) {
  accepting_ = std::thread([this] { accept_all(); });
}

HoldingRunner::~HoldingRunner() {
  listener_.shut_down();
  accepting_.join();
  {
    std::lock_guard<std::mutex> guard(mutex_);
    is_over_ = true;
    for (const auto& socket : open_)
      socket.shut_down();
  }
  for (auto& thread : serving_)
    thread.join();
}

bool HoldingRunner::wait_for_arrival(const std::string& call_id, std::chrono::milliseconds limit) {
  std::unique_lock<std::mutex> guard(mutex_);
  return changed_.wait_for(guard, limit, [&] { return runs_[call_id].is_held; });
}

bool HoldingRunner::wait_for_close(const std::string& call_id, std::chrono::milliseconds limit) {
  std::unique_lock<std::mutex> guard(mutex_);
  return changed_.wait_for(guard, limit, [&] { return runs_[call_id].is_closed; });
}

void HoldingRunner::respond(const std::string& call_id) {
  std::lock_guard<std::mutex> guard(mutex_);
  runs_[call_id].is_to_respond = true;
}

std::size_t HoldingRunner::arrivals(const std::string& call_id) {
  std::lock_guard<std::mutex> guard(mutex_);
  return runs_[call_id].arrivals;
}

void HoldingRunner::accept_all() {
  while (auto accepted = listener_.accept()) {
    std::lock_guard<std::mutex> guard(mutex_);
    open_.push_back(std::move(*accepted));
    serving_.emplace_back([this, socket = &open_.back()] { serve(*socket); });
  }
}

bool HoldingRunner::is_first_request() {
  std::lock_guard<std::mutex> guard(mutex_);
  return ++requests_ == 1;
}

void HoldingRunner::serve(RawSocket& socket) {
  for (;;) {
    std::string head = socket.read_to("\r\n\r\n", idle_limit_ms);
    if (head.empty())
      return;
    socket.read_size(std::strtoul(header_value(head, "Content-Length").c_str(), nullptr, 10), idle_limit_ms);
    if (is_first_request() && held_at_ == HeldAt::reset_first)
      return socket.reset();
    hold(socket, call_id_of(head), head);
  }
}

void HoldingRunner::hold(RawSocket& socket, const std::string& call_id, const std::string& head) {
  if (held_at_ == HeldAt::after_head || held_at_ == HeldAt::after_one_event)
    socket.write(stream_head(head));
  if (held_at_ == HeldAt::after_one_event)
    socket.write(chunk("id: 1\ndata: one\n\n"));
  std::unique_lock<std::mutex> guard(mutex_);
  Run& run = runs_[call_id];
  ++run.arrivals;
  run.is_held = true;
  changed_.notify_all();
  while (!run.is_to_respond && !is_over_) {
    guard.unlock();
    bool is_closed = socket.is_closed_within(poll_interval_ms);
    guard.lock();
    if (is_closed) {
      run.is_closed = true;
      changed_.notify_all();
      return;
    }
  }
  run.is_held = false;
  guard.unlock();
  socket.write("HTTP/1.1 200 OK\r\n" + identity(head) + "Content-Length: 2\r\n\r\n{}");
}

}  // namespace emberdale_test
