#include "client_call_recorder.hpp"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <sstream>

#include "emberdale/serving_plans.hpp"

namespace emberdale {
namespace {
using Json = nlohmann::json;
using history::CallOutcome;
using history::Operation;
using history::OperationKind;

// The client's exit statuses that matter here.
constexpr int status_done = 0, status_refused = 1, status_not_in_force_in_time = 4;

std::int64_t now_us() {
  return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

struct Target {
  OperationKind act;
  std::string kind, name;
};

std::optional<Target> target_of(const std::vector<std::string>& words) {
  const std::string& act = words[0];
  bool has_name = words.size() >= 3;
  if ((act == "put" || act == "patch") && has_name)
    return Target{OperationKind::change, words[1], words[2]};
  if (act == "delete" && has_name)
    return Target{OperationKind::remove, words[1], words[2]};
  if (act == "get" && words.size() >= 2)
    return Target{OperationKind::read, words[1], has_name ? words[2] : ""};
  if (words.size() < 2)
    return std::nullopt;
  if (act == "evacuate" || act == "take-back")
    return Target{OperationKind::change, orders_kind, words[1]};
  if (act == "mark-leaving" || act == "mark-staying")
    return Target{OperationKind::change, runners_kind, words[1]};
  return std::nullopt;
}

std::optional<std::int64_t> condition_in(const std::vector<std::string>& words) {
  auto flag = std::find(words.begin(), words.end(), "--if-match");
  if (flag == words.end() || flag + 1 == words.end())
    return std::nullopt;
  return std::atoll((flag + 1)->c_str());
}

// The version in the first line of the client's words that is an object with one.
std::optional<std::int64_t> version_in(const std::string& out) {
  std::stringstream stream(out);
  std::string line;
  while (std::getline(stream, line)) {
    Json object = Json::parse(line, nullptr, false);
    if (object.is_object() && object.contains("version") && object["version"].is_number_integer())
      return object["version"].get<std::int64_t>();
  }
  return std::nullopt;
}

CallOutcome outcome_of(const Operation& call, int status, const std::string& out) {
  if (status == status_done || status == status_not_in_force_in_time)
    return CallOutcome::acknowledged;
  if (status != status_refused)
    return CallOutcome::unknown;
  return call.base && out.find("(412)") != std::string::npos ? CallOutcome::stale : CallOutcome::refused;
}

// What a page that was read shows: a resource, or a list of them.
std::vector<Json> resources_in(const std::string& out) {
  Json page = Json::parse(out, nullptr, false);
  if (!page.is_object())
    return {};
  if (page.contains("items") && page["items"].is_array())
    return page["items"].get<std::vector<Json>>();
  return {page};
}

}  // namespace

std::optional<Operation> ClientCallRecorder::began(const std::vector<std::string>& words) {
  auto target = words.empty() ? std::nullopt : target_of(words);
  if (!target)
    return std::nullopt;
  Operation call;
  call.caller = "trial";
  call.daemon = "any";
  call.object_kind = history::ObjectKind::resource;
  call.object = target->kind + "/" + target->name;
  call.kind = target->act;
  call.base = condition_in(words);
  call.invoked_at = now_us();
  std::lock_guard<std::mutex> lock(mutex_);
  call.call = "trial-" + std::to_string(++last_call_);
  call.change = call.call;
  if (target->act != OperationKind::read)
    write(call);
  return call;
}

void ClientCallRecorder::ended(Operation call, int status, const std::string& out) {
  call.returned_at = now_us();
  call.outcome = outcome_of(call, status, out);
  std::lock_guard<std::mutex> lock(mutex_);
  if (!call.is_read()) {
    if (call.kind == OperationKind::change && call.outcome == CallOutcome::acknowledged)
      call.revision = version_in(out);
    return write(call);
  }
  if (call.outcome != CallOutcome::acknowledged)
    return;
  const std::string call_name = call.call, kind = call.object.substr(0, call.object.find('/'));
  for (const Json& resource : resources_in(out)) {
    std::string name = resource.value("name", "");
    call.call = call_name + "-" + name;
    call.object = kind + "/" + name;
    call.revision = resource.value("version", std::int64_t{0});
    call.value = history::history_digest(resource.value("spec", Json()).dump());
    write(call);
  }
}

void ClientCallRecorder::write(const Operation& call) { file_ << history::history_line(call) << std::flush; }

}  // namespace emberdale
