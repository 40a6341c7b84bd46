#include "endless_server.hpp"

#include <chrono>
#include <utility>

#include "http_bytes.hpp"

namespace emberdale_test {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int request_limit_ms = 4000;

std::string head_for(const EndlessServer::Form& form, const std::string& request_head) {
  std::string head = form.head;
  const std::string line_end = "\r\n";
  if (!form.echoed_header.empty())
    head.insert(head.find(line_end) + line_end.size(),
                form.echoed_header + ": " + header_value(request_head, form.echoed_header) + line_end);
  return head;
}

int elapsed_ms(Clock::time_point begun) {
  return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - begun).count());
}

}  // namespace

EndlessServer::EndlessServer(Form form)
    : form_(std::move(form)), listener_(RawSocket::listen()), port_(listener_.port()) {
  accepting_ = std::thread([this] { accept_all(); });
}

EndlessServer::~EndlessServer() {
  is_over_ = true;
  listener_.shut_down();
  accepting_.join();
  for (auto& responding : responding_)
    responding.join();
}

void EndlessServer::accept_all() {
  while (auto connection = listener_.accept())
    responding_.emplace_back(
        [this, taken = std::make_shared<RawSocket>(std::move(*connection))] { respond(std::move(*taken)); });
}

void EndlessServer::respond(RawSocket connection) {
  Response response;
  response.request_head = connection.read_to("\r\n\r\n", request_limit_ms);
  if (response.request_head.empty())
    return;
  const auto begun = Clock::now();
  bool is_taken = connection.write(head_for(form_, response.request_head));
  while (is_taken && !is_over_ && response.sent_bytes < form_.max_bytes && elapsed_ms(begun) < form_.max_ms) {
    if (form_.pause_ms > 0 && connection.is_closed_within(form_.pause_ms))
      break;
    is_taken = connection.write(form_.piece);
    response.sent_bytes += form_.piece.size();
  }
  response.lasted_ms = elapsed_ms(begun);
  bool is_bound_reached = response.sent_bytes >= form_.max_bytes || response.lasted_ms >= form_.max_ms;
  response.was_closed = !is_bound_reached && !is_over_;
  if (is_bound_reached && form_.hold_ms > 0)
    connection.is_closed_within(form_.hold_ms);
  std::lock_guard<std::mutex> guard(mutex_);
  responses_.push_back(response);
  changed_.notify_all();
}

std::optional<EndlessServer::Response> EndlessServer::wait_for_response(int limit_ms) {
  std::unique_lock<std::mutex> guard(mutex_);
  if (!changed_.wait_for(guard, std::chrono::milliseconds(limit_ms), [this] { return !responses_.empty(); }))
    return std::nullopt;
  return responses_.front();
}

}  // namespace emberdale_test
