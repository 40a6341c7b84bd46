#include "control_client.hpp"

#include <cpprest/http_client.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <sstream>
#include <thread>

namespace emberdale {
namespace {

using Json = nlohmann::json;
using web::http::client::http_client;
using web::http::client::http_client_config;

constexpr std::chrono::seconds response_timeout{25};
constexpr std::chrono::seconds watch_timeout{5};  // without a byte
constexpr std::chrono::milliseconds reconnect_backoff{100};
constexpr int code_no_master = 503;
constexpr int code_unknown_outcome = 504;

web::http::http_request http_request_of(const ControlRequest& request) {
  web::http::http_request http_request(request.method);
  http_request.set_request_uri(request.path);
  if (request.if_match == "0")
    http_request.headers().add("If-None-Match", "*");
  else if (!request.if_match.empty())
    http_request.headers().add("If-Match", "\"" + request.if_match + "\"");
  if (!request.body.empty())
    http_request.set_body(request.body, "application/json");
  return http_request;
}

ControlResponse send_to(const std::string& address, const ControlRequest& request) {
  http_client_config config;
  config.set_timeout(response_timeout);
  http_client client("http://" + address, config);
  auto response = client.request(http_request_of(request)).get();
  return {response.status_code(), response.extract_string(true).get()};
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

// The next line of the stream; nothing at its end, or when the time is up.
std::optional<std::string> read_line(concurrency::streams::streambuf<std::uint8_t>& source,
                                     std::chrono::steady_clock::time_point deadline) {
  std::string line;
  while (std::chrono::steady_clock::now() < deadline) {
    int character = source.bumpc().get();
    if (character == std::char_traits<char>::eof())
      return std::nullopt;
    if (character == '\n')
      return line;
    line += static_cast<char>(character);
  }
  return std::nullopt;
}

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
    try {
      last = send_to(address, request);
      if (last.code != code_no_master)
        return last;
    } catch (const std::exception& error) {
      std::string reason = error.what();
      bool was_never_connected = reason.find("connect") != std::string::npos;
      if (!was_never_connected && request.method != "GET")
        return {code_unknown_outcome, Json{{"reason", reason}, {"outcome", "unknown"}}.dump()};
      last = {0, address + ": " + reason};
    }
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
  const Deadline deadline = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
  while (std::chrono::steady_clock::now() < deadline) {
    for (const auto& address : addresses_) {
      try {
        if (watch_at(address, path, deadline, on_line))
          return true;
      } catch (const std::exception&) {  // a connection that can't be had or broke: the next daemon is tried
        std::this_thread::sleep_for(reconnect_backoff);
      }
    }
  }
  return false;
}

bool ControlClient::watch_at(const std::string& address, const std::string& path, Deadline deadline,
                             const LineHandler& on_line) {
  http_client_config config;
  config.set_timeout(watch_timeout);
  http_client client("http://" + address, config);
  auto response = client.request(web::http::methods::GET, path).get();
  if (response.status_code() != 200)
    return false;
  auto source = response.body().streambuf();
  while (auto line = read_line(source, deadline))
    if (!line->empty() && on_line(*line))
      return true;
  return false;
}

}  // namespace emberdale
