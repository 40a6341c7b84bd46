// emberdale-client: every command of an operator or of the platform, from the command line.
#include <docopt/docopt.h>
#include <pplx/threadpool.h>

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "control_client.hpp"
#include "emberdale/file_text.hpp"
#include "emberdale/maintenance_windows.hpp"
#include "emberdale/serving_plans.hpp"

namespace emberdale {
namespace {

using Json = nlohmann::json;

constexpr char usage[] = R"(emberdale-client: declares plans, zone orders and runners, and watches them into force.

Usage:
  emberdale-client [options] found FLEET CORE CORE CORE...
  emberdale-client [options] put KIND NAME FILE
  emberdale-client [options] patch KIND NAME FILE
  emberdale-client [options] get KIND [NAME]
  emberdale-client [options] delete KIND NAME
  emberdale-client [options] watch KIND [NAME] [--until-in-force]
  emberdale-client [options] evacuate ZONE
  emberdale-client [options] take-back ZONE
  emberdale-client [options] mark-leaving RUNNER
  emberdale-client [options] mark-staying RUNNER
  emberdale-client [options] import-windows FILE [--days N]
  emberdale-client [options] replace-core OLD NEW
  emberdale-client [options] fleet
  emberdale-client [options] master
  emberdale-client [options] map
  emberdale-client [options] events
  emberdale-client (-h | --help)

KIND is serving-plans, zone-orders or runners. FILE is a JSON document, or '-' for standard input;
patch takes a JSON merge patch. import-windows reads an iCalendar file whose events name a zone as
their LOCATION, and writes their windows into the zone orders. CORE, OLD and NEW are IP:PORT link addresses of )"
                         R"(core daemons.

Options:
  --control LIST   IP:PORT of the control daemons' HTTP interfaces, tried in turn
                   [default: 127.0.0.1:8000].
  --if-match V     Only if the version is V; 0: only if it does not exist yet.
  --wait           Return only once the change is in force everywhere.
  --timeout S      Give up waiting after S seconds [default: 30].
  --days N         Windows of so many days to come [default: 30].
  -h --help        Show this.

Exit status: 0 done; 1 refused, nothing changed; 2 wrong usage; 3 outcome unknown, read it back;
4 done but not in force everywhere in time.
)";

constexpr int http_threads = 2;
constexpr std::int64_t seconds_per_day = 86400;
constexpr int unlimited_seconds = 1 << 30;

enum ExitStatus {
  exit_done = 0,
  exit_refused = 1,
  exit_wrong_usage = 2,
  exit_unknown_outcome = 3,
  exit_not_in_force = 4,
};

// The parsed command line.
class CommandLine {
 public:
  explicit CommandLine(std::map<std::string, docopt::value> arguments) : arguments_(std::move(arguments)) {}

  bool has(const char* name) const {
    const docopt::value& value = arguments_.at(name);
    return value.isBool() && value.asBool();
  }

  std::string text(const char* name) const {
    const docopt::value& value = arguments_.at(name);
    return value.isString() ? value.asString() : std::string();
  }

  // 0 if the text is no number.
  int number(const char* name) const { return std::atoi(text(name).c_str()); }
  std::vector<std::string> list(const char* name) const { return arguments_.at(name).asStringList(); }

 private:
  std::map<std::string, docopt::value> arguments_;
};

std::string resource_path(const std::string& kind, const std::string& name) {
  return "/v1/" + kind + (name.empty() ? "" : "/" + name);
}

int fail_usage(const std::string& reason) {
  std::cerr << reason << "\n";
  return exit_wrong_usage;
}

void print_finding(const Json& finding) {
  std::cerr << finding.value("severity", "") << ": " << finding.value("document", "") << finding.value("place", "");
  if (finding.value("line", 0) > 0)
    std::cerr << " (line " << finding["line"] << ", column " << finding["column"] << ")";
  std::cerr << ": " << finding.value("message", "") << "\n";
}

void print_refusal(const ControlResponse& response, const std::string& reason) {
  std::cerr << (response.is_unknown_outcome() ? "outcome unknown: " : "refused: ") << reason;
  if (response.code > 0)
    std::cerr << " (" << response.code << ")";
  std::cerr << "\n";
}

// Prints the response, its findings first, and gives the exit status for it.
int print_response(const ControlResponse& response) {
  Json body = Json::parse(response.body, nullptr, false);
  bool has_findings = body.is_object() && body.contains("findings");
  if (has_findings)
    for (const auto& finding : body["findings"])
      print_finding(finding);
  std::ostream& out = response.is_success() ? std::cout : std::cerr;
  if (!response.is_success() && body.is_object() && body.contains("reason")) {
    print_refusal(response, body["reason"].get<std::string>());
  } else if (has_findings) {
    body.erase("findings");
    out << body.dump() << "\n";
  } else {
    out << response.body << "\n";
  }
  if (response.is_success())
    return exit_done;
  return response.is_unknown_outcome() ? exit_unknown_outcome : exit_refused;
}

// A change of one resource.
struct ResourceChange {
  std::string method;
  std::string kind;
  std::string name;
  std::string body;
};

// The change of a document that the operator gives as a file; nothing if the file can't be read.
std::optional<ResourceChange> document_change(const CommandLine& command) {
  ResourceChange change{"DELETE", command.text("KIND"), command.text("NAME"), ""};
  if (command.has("delete"))
    return change;
  change.method = command.has("put") ? "PUT" : "PATCH";
  auto body = read_file_text(command.text("FILE"));
  if (!body)
    return std::nullopt;
  change.body = *body;
  return change;
}

ResourceChange zone_order_change(const CommandLine& command) {
  const char* state = command.has("evacuate") ? "emptied" : "serving";
  return {"PUT", orders_kind, command.text("ZONE"), Json{{"state", state}}.dump()};
}

ResourceChange runner_change(const CommandLine& command) {
  return {"PATCH", runners_kind, command.text("RUNNER"), Json{{"leaving", command.has("mark-leaving")}}.dump()};
}

int print_watch_status(WatchResult result, const std::string& resource, int seconds) {
  if (result == WatchResult::in_force) {
    std::cout << resource << " is in force everywhere" << std::endl;
    return exit_done;
  }
  std::cerr << "not seen in force everywhere within " << seconds << " s\n";
  return exit_not_in_force;
}

int run_change(ControlClient& client, const CommandLine& command, const ResourceChange& change) {
  ControlRequest request{change.method, resource_path(change.kind, change.name), change.body,
                         command.text("--if-match")};
  ControlResponse response = client.send(request);
  int status = print_response(response);
  if (status != exit_done || !command.has("--wait") || change.method == "DELETE")
    return status;
  Json done = Json::parse(response.body, nullptr, false);
  std::int64_t version = done.value("version", std::int64_t{0});
  int seconds = command.number("--timeout");
  WatchResult result = client.wait_until_in_force(change.kind, change.name, version, seconds);
  return print_watch_status(result, change.kind + "/" + change.name, seconds);
}

int run_watch(ControlClient& client, const CommandLine& command) {
  std::string kind = command.text("KIND");
  std::string name = command.text("NAME");
  if (command.has("--until-in-force")) {
    int seconds = command.number("--timeout");
    WatchResult result = client.wait_until_in_force(kind, name, 0, seconds);
    return print_watch_status(result, kind + (name.empty() ? "" : "/" + name), seconds);
  }
  client.print_updates(kind, name, unlimited_seconds, std::cout);
  return print_watch_status(WatchResult::timed_out, kind, unlimited_seconds);
}

// Writes the windows into the zone's order; an order that does not exist yet is created.
ControlResponse send_windows(ControlClient& client, const std::string& zone,
                             const std::vector<MaintenanceWindow>& windows) {
  Json order{{"windows", Json::array()}};
  for (const auto& window : windows)
    order["windows"].push_back({{"from", show_utc(window.from)}, {"until", show_utc(window.until)}});
  std::string path = resource_path(orders_kind, zone);
  ControlResponse response = client.send({"PATCH", path, order.dump(), ""});
  if (response.code != 404)
    return response;
  order["state"] = "serving";
  return client.send({"PUT", path, order.dump(), "0"});
}

int run_import_windows(ControlClient& client, const CommandLine& command) {
  std::string file = command.text("FILE");
  auto calendar = read_file_text(file);
  if (!calendar)
    return fail_usage(file + " can't be read");
  std::vector<Finding> findings;
  std::int64_t now = std::time(nullptr);
  std::int64_t end = now + seconds_per_day * std::max(1, command.number("--days"));
  auto windows_by_zone = read_calendar(file, *calendar, now, end, findings);
  if (has_errors(findings)) {
    Json body{{"reason", "the calendar is wrong; nothing was changed"},
              {"findings", Json::parse(findings_json(findings))}};
    return print_response({422, body.dump()});
  }
  int status = exit_done;
  for (const auto& [zone, windows] : windows_by_zone) {
    ControlResponse response = send_windows(client, zone, windows);
    std::cout << "zone " << zone << ", " << windows.size() << " windows: ";
    status = std::max(status, print_response(response));
  }
  return status;
}

int run_found(ControlClient& client, const CommandLine& command) {
  Json body{{"fleet", command.text("FLEET")}, {"cores", command.list("CORE")}};
  return print_response(client.send({"POST", "/v1/fleet/found", body.dump(), ""}));
}

int run_replace_core(ControlClient& client, const CommandLine& command) {
  Json body{{"old", command.text("OLD")}, {"new", command.text("NEW")}};
  return print_response(client.send({"POST", "/v1/fleet/replace-core", body.dump(), ""}));
}

// The commands "fleet", "master" and "map": the whole state of the cluster, or a part of it.
int run_fleet(ControlClient& client, const CommandLine& command) {
  ControlResponse response = client.send({"GET", "/v1/fleet", "", ""});
  if (response.code != 200 || command.has("fleet"))
    return print_response(response);
  Json fleet = Json::parse(response.body, nullptr, false);
  if (command.has("master")) {
    Json master{{"master", fleet["master"]}, {"reign", fleet["reign"]}, {"answers", fleet["master_answers"]}};
    std::cout << master.dump() << "\n";
    return exit_done;
  }
  Json map;
  for (const char* key : {"map_version", "map_config_revision", "regions", "runners", "gateways", "emptied_zones"})
    map[key] = fleet[key];
  std::cout << map.dump(2) << "\n";
  return exit_done;
}

bool is_resource_kind(const std::string& kind) {
  return kind == plans_kind || kind == orders_kind || kind == runners_kind;
}

int run(ControlClient& client, const CommandLine& command) {
  std::string kind = command.text("KIND");
  std::string if_match = command.text("--if-match");
  if (!kind.empty() && !is_resource_kind(kind))
    return fail_usage("KIND must be serving-plans, zone-orders or runners");
  if (if_match.find_first_not_of("0123456789") != std::string::npos)
    return fail_usage("--if-match must be a version number");
  if (command.has("put") || command.has("patch") || command.has("delete")) {
    auto change = document_change(command);
    return change ? run_change(client, command, *change) : fail_usage(command.text("FILE") + " can't be read");
  }
  if (command.has("evacuate") || command.has("take-back"))
    return run_change(client, command, zone_order_change(command));
  if (command.has("mark-leaving") || command.has("mark-staying"))
    return run_change(client, command, runner_change(command));
  if (command.has("import-windows"))
    return run_import_windows(client, command);
  if (command.has("get"))
    return print_response(client.send({"GET", resource_path(kind, command.text("NAME")), "", ""}));
  if (command.has("watch"))
    return run_watch(client, command);
  if (command.has("found"))
    return run_found(client, command);
  if (command.has("replace-core"))
    return run_replace_core(client, command);
  if (command.has("events"))
    return print_response(client.send({"GET", "/v1/events", "", ""}));
  return run_fleet(client, command);
}

}  // namespace
}  // namespace emberdale

int main(int argc, char** argv) {
  emberdale::CommandLine command(
      docopt::docopt(emberdale::usage, {argv + 1, argv + argc}, true, "emberdale-client 0.1"));
  crossplat::threadpool::initialize_with_threads(emberdale::http_threads);
  emberdale::ControlClient client(command.text("--control"));
  return emberdale::run(client, command);
}
