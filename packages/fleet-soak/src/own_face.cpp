#include "own_face.hpp"

#include <nlohmann/json.hpp>

namespace emberdale::soak {
namespace {

using Json = nlohmann::json;

constexpr Duration health_patience{500}, mark_patience{3000};
const char* const deployment = "caspian";
const char* const edited_path = "/v1/serving-plans/soak-edits";
const char* const unread_path = "/v1/serving-plans/soak-unread";

// A plan that no client calls; its deadline is the value that is edited.
std::string plan_text(const std::string& path, std::int64_t value) {
  return Json{{"service", "berths"}, {"match", {{"path", path}}}, {"pool", "models"}, {"horizon_ms", value}}.dump();
}

bool is_data(const FleetProcess& process) { return process.role == "data"; }

}  // namespace

OwnFace::OwnFace(const std::string& folder, const std::string& programs) : fleet_(deployment, folder, programs) {
  for (const auto& name : fleet_.names({"model", "record"}))
    fleet_.at(name).words[0] = programs + "/emberdale-soak-runner";
}

std::string OwnFace::bring_up(std::uint64_t) {
  for (auto step : {&FleetOfProcesses::start_all, &FleetOfProcesses::found, &FleetOfProcesses::declare}) {
    auto done = (fleet_.*step)();
    if (!done)
      return done.reason;
  }
  return "";
}

SoakTargets OwnFace::targets() const {
  return {fleet_.names({"core"}), fleet_.names({"edge"}), fleet_.names({"data"}), fleet_.names({"model"}), true};
}

bool OwnFace::is_ready(const FleetProcess& data_daemon) const {
  auto health = exchange(data_daemon.http, request_text("GET", "/emberdale/health", "", ""), health_patience);
  return health && health->status == 200;
}

std::string OwnFace::metrics_path(const FleetProcess& daemon) const {
  return is_data(daemon) ? "/emberdale/metrics" : "/metrics";
}

std::string OwnFace::faults_path(const FleetProcess& daemon) const {
  return is_data(daemon) ? "/emberdale/faults" : "/v1/faults";
}

std::string OwnFace::call_request(const CallNature& call, const std::string& body) const {
  std::string fields = "X-Call-Id: " + call.id + "\r\n";
  if (call.is_stream)
    return request_text("POST", "/v1/booking-chats", fields + "X-Home-Region: " + call.region + "\r\n", body);
  return request_text("POST", call.is_repeatable ? "/v1/slot-confirmations" : "/v1/manifest-checks", fields, body);
}

bool OwnFace::says_not_run(const Message& answer) const { return answer.word(1) == "503"; }

std::string OwnFace::edit_request(std::int64_t version, std::int64_t value) const {
  std::string condition = version == 0 ? "If-None-Match: *\r\n" : "If-Match: \"" + std::to_string(version) + "\"\r\n";
  return request_text("PUT", edited_path, condition, plan_text("/v1/soak-edits", value));
}

std::optional<EditedVersion> OwnFace::acknowledged_edit(const Response& response, std::int64_t value) const {
  Json body = Json::parse(response.body, nullptr, false);
  if (response.status != 200 && response.status != 201)
    return std::nullopt;
  return EditedVersion{body.is_object() ? body.value("version", std::int64_t{0}) : 0, value};
}

std::string OwnFace::read_request() const { return request_text("GET", edited_path, "", ""); }

std::optional<EditedVersion> OwnFace::read_resource(const Response& response) const {
  if (response.status == 404)
    return EditedVersion{};
  Json body = Json::parse(response.body, nullptr, false);
  if (response.status != 200 || !body.is_object())
    return std::nullopt;
  return EditedVersion{body.value("version", std::int64_t{0}), body["spec"].value("horizon_ms", std::int64_t{0})};
}

std::string OwnFace::unread_request(std::int64_t value) const {
  return request_text("PUT", unread_path, "", plan_text("/v1/soak-unread", value)) +
         request_text("GET", "/v1/fleet", "", "");
}

std::optional<std::string> OwnFace::set_mark(const std::string& runner, bool is_draining,
                                             const ProcessAddress& control) {
  std::string body = Json{{"leaving", is_draining}}.dump();
  auto response = exchange(control.http, request_text("PATCH", "/v1/runners/" + runner, "", body), mark_patience);
  if (!response || (response->status != 200 && response->status != 201))
    return std::nullopt;
  return control.name;
}

}  // namespace emberdale::soak
