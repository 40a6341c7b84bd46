#include "fleet_snapshot.hpp"

#include <chrono>
#include <sstream>

#include "emberdale/http_fetch.hpp"
#include "emberdale/serving_plans.hpp"

namespace emberdale {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds response_timeout{5};
constexpr std::size_t max_head_bytes = 64 << 10, max_body_bytes = 64 << 20;

// The body of the first response with status 200; nothing if no daemon gives one.
std::optional<std::string> get(const std::string& addresses, const std::string& path) {
  std::stringstream stream(addresses);
  std::string address;
  while (std::getline(stream, address, ',')) {
    HttpClient client(address, "control");
    HttpRequest request;
    request.target = path;
    auto response = fetch_and_wait(client, request, {max_head_bytes, max_body_bytes, response_timeout});
    if (response.ok() && response->status == 200)
      return response->body;  // else the next daemon may respond
  }
  return std::nullopt;
}

}  // namespace

std::optional<FleetSnapshot> fetch_snapshot(const std::string& addresses) {
  FleetSnapshot snapshot;
  for (const char* kind : {plans_kind, orders_kind, runners_kind}) {
    auto body = get(addresses, std::string("/v1/") + kind);
    if (!body)
      return std::nullopt;
    const Json list = Json::parse(*body);
    for (const auto& item : list["items"])
      snapshot.resources.push_back(
          {kind, item["name"], item["version"], item["config_revision"], item["spec"].dump(2)});
  }
  auto fleet = get(addresses, "/v1/fleet");
  if (!fleet)
    return std::nullopt;
  snapshot.fleet = Json::parse(*fleet);
  return snapshot;
}

std::string snapshot_text(const FleetSnapshot& snapshot) {
  Json saved{{"fleet", snapshot.fleet}, {"resources", Json::array()}};
  for (const auto& resource : snapshot.resources)
    saved["resources"].push_back(
        {{"kind", resource.kind}, {"name", resource.name}, {"version", resource.version}, {"body", resource.body}});
  return saved.dump(2);
}

std::optional<FleetSnapshot> parse_snapshot(const std::string& text) {
  Json saved = Json::parse(text, nullptr, false);
  if (!saved.is_object() || !saved.contains("resources"))
    return std::nullopt;
  FleetSnapshot snapshot;
  for (const auto& item : saved["resources"])
    snapshot.resources.push_back({item["kind"], item["name"], item["version"], 0, item["body"]});
  snapshot.fleet = saved["fleet"];
  return snapshot;
}

}  // namespace emberdale
