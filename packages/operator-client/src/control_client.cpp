#include "control_client.hpp"

#include <atomic>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <sstream>
#include <thread>
#include <utility>

#include "emberdale/http_fetch.hpp"

namespace emberdale {
namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds response_timeout{25};
constexpr std::chrono::seconds watch_timeout{5};  // without a byte
constexpr std::chrono::milliseconds reconnect_backoff{100};
constexpr std::size_t max_head_bytes = 64 << 10, max_body_bytes = 64 << 20;
constexpr std::size_t max_line_bytes = 64 << 20;  // of a watch: one line shows all resources of a kind
constexpr std::chrono::milliseconds watch_check_interval{50};
constexpr int code_no_master = 503;
constexpr int code_unknown_outcome = 504;

HttpRequest http_request_of(const ControlRequest& request) {
  HttpRequest http_request;
  http_request.method = request.method;
  http_request.target = request.path;
  if (request.if_match == "0")
    http_request.headers.add("If-None-Match", "*");
  else if (!request.if_match.empty())
    http_request.headers.add("If-Match", "\"" + request.if_match + "\"");
  if (request.body.empty())
    return http_request;
  http_request.headers.add("Content-Type", "application/json");
  http_request.body = std::make_shared<std::vector<std::uint8_t>>(request.body.begin(), request.body.end());
  return http_request;
}

absl::StatusOr<FetchedResponse> send_to(const std::string& address, const ControlRequest& request) {
  HttpClient client(address, "control");
  return fetch_and_wait(client, http_request_of(request), {max_head_bytes, max_body_bytes, response_timeout});
}

// Whether all resources of the update are in force, and the named one is among them. Throws if the update has another
// form than the control daemons write.
bool is_in_force(Json update, const std::string& name, std::int64_t version) {
  bool is_present = name.empty() && !update["items"].empty();
  for (const auto& item : update["items"]) {
    if (!name.empty() && item["name"] == name && item["version"] >= version)
      is_present = true;
    if (!item["in_force"].get<bool>())
      return false;
  }
  return is_present;
}

std::string watch_path(const std::string& kind, const std::string& name) {
  return "/v1/" + kind + (name.empty() ? "" : "/" + name) + "?watch=true";
}

// A watch as its lines come; used by the threads of the HTTP library, but for what is atomic.
struct RunningWatch {
  std::function<bool(const std::string& line)> on_line;
  std::string rest;                             // of a line that has not ended
  std::atomic<bool> is_done{false};             // the handler wants no more
  std::atomic<std::int64_t> received_bytes{0};  // so far
  std::promise<void> ended;

  // False: no more is wanted.
  bool take(const std::string& bytes) {
    received_bytes += static_cast<std::int64_t>(bytes.size());
    rest += bytes;
    for (auto line_end = rest.find('\n'); line_end != std::string::npos; line_end = rest.find('\n')) {
      std::string line = rest.substr(0, line_end);
      rest.erase(0, line_end + 1);
      if (!line.empty() && on_line(line))
        is_done = true;
      if (is_done)
        return false;
    }
    return rest.size() <= max_line_bytes;
  }
};

}  // namespace

ControlClient::ControlClient(const std::string& addresses) {
  std::stringstream stream(addresses);
  std::string address;
  while (std::getline(stream, address, ','))
    addresses_.push_back(address);
}

ControlResponse ControlClient::send(const ControlRequest& request) {
  ControlResponse last{0, "no control daemon answers"};
  for (const auto& address : addresses_) {
    auto response = send_to(address, request);
    if (response.ok()) {
      last = {response->status, response->body};
      if (last.code != code_no_master)
        return last;
      continue;
    }
    const std::string reason(response.status().message());
    bool was_never_connected = absl::IsUnavailable(response.status());
    if (!was_never_connected && request.method != "GET")
      return {code_unknown_outcome, Json{{"reason", reason}, {"outcome", "unknown"}}.dump()};
    last = {0, address + ": " + reason};
  }
  return last;
}

WatchResult ControlClient::wait_until_in_force(const std::string& kind, const std::string& name, std::int64_t version,
                                               int seconds) {
  bool is_done = watch(watch_path(kind, name), seconds, [&](const std::string& line) {
    Json update = Json::parse(line, nullptr, false);
    return update.is_object() && is_in_force(std::move(update), name, version);
  });
  return is_done ? WatchResult::in_force : WatchResult::timed_out;
}

void ControlClient::print_updates(const std::string& kind, const std::string& name, int seconds, std::ostream& out) {
  watch(watch_path(kind, name), seconds, [&](const std::string& line) {
    out << line << std::endl;
    return false;
  });
}

bool ControlClient::watch(const std::string& path, int seconds, const LineHandler& on_line) {
  const Deadline deadline = Clock::now() + std::chrono::seconds(seconds);
  while (Clock::now() < deadline) {
    for (const auto& address : addresses_) {
      if (watch_at(address, path, deadline, on_line))
        return true;
      std::this_thread::sleep_for(reconnect_backoff);  // it can't be had, or broke: the next daemon is tried
    }
  }
  return false;
}

bool ControlClient::watch_at(const std::string& address, const std::string& path, Deadline deadline,
                             const LineHandler& on_line) {
  auto watch = std::make_shared<RunningWatch>();
  watch->on_line = on_line;
  ResponseHandler handler;
  handler.on_head = [](const web::http::http_response& head) -> std::optional<BodyLimits> {
    if (head.status_code() != 200)
      return std::nullopt;
    return BodyLimits{unlimited_body, std::nullopt};
  };
  handler.on_body = [watch](const std::string& bytes) {
    return watch->take(bytes);
  };
  handler.on_end = [watch](const ExchangeEnd&) {
    watch->ended.set_value();
  };
  HttpRequest request;
  request.target = path;
  MessageLimits limits;
  limits.total_time = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now());
  HttpClient client(address, "control");
  auto exchange = client.make_exchange(request, limits, std::move(handler));
  auto ended = watch->ended.get_future();
  exchange->start();
  Clock::time_point heard_at = Clock::now();
  std::int64_t heard_bytes = 0;
  while (ended.wait_for(watch_check_interval) != std::future_status::ready) {
    const std::int64_t received_bytes = watch->received_bytes;
    if (received_bytes != heard_bytes)
      heard_at = Clock::now();
    heard_bytes = received_bytes;
    if (Clock::now() - heard_at > watch_timeout)
      exchange->cancel();
  }
  return watch->is_done;
}

}  // namespace emberdale
