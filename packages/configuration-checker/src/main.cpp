// emberdale-configuration-checker: whether a file would be accepted in the fleet as it is.
#include <docopt/docopt.h>
#include <pplx/threadpool.h>

#include <algorithm>
#include <ctime>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "emberdale/maintenance_windows.hpp"
#include "emberdale/serving_plans.hpp"
#include "fleet_checks.hpp"
#include "fleet_snapshot.hpp"

namespace emberdale {
namespace {

using Json = nlohmann::json;

constexpr char usage[] =
    R"(emberdale-configuration-checker: checks plans, orders, runners and calendars against a fleet as it
is, or against a saved picture of one. Nothing is changed.

Usage:
  emberdale-configuration-checker [options] check KIND NAME FILE
  emberdale-configuration-checker [options] check-set FILE
  emberdale-configuration-checker [options] check-calendar FILE
  emberdale-configuration-checker [options] save-picture FILE
  emberdale-configuration-checker (-h | --help)

check takes one document; check-set a JSON object {KIND: {NAME: document, ...}, ...} whose documents
are judged together; check-calendar an iCalendar file of maintenance windows.

Options:
  --control LIST   IP:PORT of control daemons, tried in turn.
  --picture FILE   A picture saved earlier, instead of a living fleet.
  --json           Findings as JSON.
  -h --help        Show this.

Exit status: 0 no errors (warnings may be shown); 1 errors found; 2 wrong usage; 3 the fleet could not be read.
)";

constexpr int http_threads = 2;
constexpr std::int64_t seconds_per_day = 86400;
constexpr std::int64_t calendar_days = 90;

enum ExitStatus { exit_no_errors = 0, exit_errors_found = 1, exit_wrong_usage = 2, exit_no_fleet = 3 };

// The parsed command line.
class CommandLine {
 public:
  explicit CommandLine(std::map<std::string, docopt::value> arguments) : arguments_(std::move(arguments)) {}
  bool has(const char* name) const { return arguments_.at(name).asBool(); }
  std::string text(const char* name) const {
    const docopt::value& value = arguments_.at(name);
    return value.isString() ? value.asString() : std::string();
  }

 private:
  std::map<std::string, docopt::value> arguments_;
};

int fail(ExitStatus status, const std::string& reason) {
  std::cerr << reason << "\n";
  return status;
}

std::optional<std::string> read_file(const std::string& name) {
  std::ifstream stream(name);
  if (!stream)
    return std::nullopt;
  std::stringstream text;
  text << stream.rdbuf();
  return text.str();
}

bool is_resource_kind(const std::string& kind) {
  return kind == plans_kind || kind == orders_kind || kind == runners_kind;
}

// The documents of the fleet with those that are to be checked in their places.
class CheckedDocuments {
 public:
  explicit CheckedDocuments(std::vector<Resource> resources) : resources_(std::move(resources)) {}

  void put(const std::string& kind, const std::string& name, const std::string& body) {
    checked_bodies_[kind + "/" + name] = body;
    auto present = std::find_if(resources_.begin(), resources_.end(), [&](const Resource& resource) {
      return resource.kind == kind && resource.name == name;
    });
    if (present != resources_.end())
      present->body = body;
    else
      resources_.push_back({kind, name, 0, 0, body});
  }

  const std::vector<Resource>& resources() const { return resources_; }

  // The body of a document that is to be checked; null if it is another one. Example: body_of("serving-plans/check")
  const std::string* body_of(const std::string& document) const {
    auto body = checked_bodies_.find(document);
    return body == checked_bodies_.end() ? nullptr : &body->second;
  }

 private:
  std::vector<Resource> resources_;
  std::map<std::string, std::string> checked_bodies_;  // by "KIND/NAME"
};

// What one of the check commands is to check.
struct CheckInput {
  std::string file;  // its name
  std::string body;
  FleetSnapshot snapshot;
};

// The rules of the documents, and what only the fleet itself can tell.
void check_documents(const CheckedDocuments& documents, const Json& fleet, std::vector<Finding>& findings) {
  Configuration configuration = read_configuration(documents.resources(), findings);
  cross_check(configuration, findings);
  check_against_fleet(configuration, fleet, findings);
}

void check_document(const CheckInput& input, const std::string& kind, const std::string& name,
                    std::vector<Finding>& findings) {
  CheckedDocuments documents(input.snapshot.resources);
  documents.put(kind, name, input.body);
  check_documents(documents, input.snapshot.fleet, findings);
  for (auto& finding : findings) {
    const std::string* body = documents.body_of(finding.document);
    if (body != nullptr && finding.line == 0)
      set_position(finding, position_in_document(*body, finding.place));
  }
}

// Puts the documents of a set {KIND: {NAME: document}} in their places.
void read_document_set(const CheckInput& input, CheckedDocuments& documents, std::vector<Finding>& findings) {
  Json set = Json::parse(input.body, nullptr, false);
  if (!set.is_object()) {
    findings.push_back({"error", input.file, "", 1, 1, "must be a JSON object {KIND: {NAME: document}}"});
    return;
  }
  for (const auto& [kind, bodies] : set.items()) {
    if (is_resource_kind(kind) && bodies.is_object()) {
      for (const auto& [name, body] : bodies.items())
        documents.put(kind, name, body.dump(2));
      continue;
    }
    std::string place = "/" + kind;
    TextPosition position = position_in_document(input.body, place);
    findings.push_back(
        {"error", input.file, place, position.line, position.column, "is no kind of resource with its documents"});
  }
}

// The positions of the findings are given in the set's own text.
void check_document_set(const CheckInput& input, std::vector<Finding>& findings) {
  CheckedDocuments documents(input.snapshot.resources);
  read_document_set(input, documents, findings);
  check_documents(documents, input.snapshot.fleet, findings);
  for (auto& finding : findings)
    if (documents.body_of(finding.document) != nullptr)
      set_position(finding, position_in_document(input.body, "/" + finding.document + finding.place));
}

void check_calendar(const CheckInput& input, bool prints_windows, std::vector<Finding>& findings) {
  std::int64_t now = std::time(nullptr);
  auto windows_by_zone = read_calendar(input.file, input.body, now, now + calendar_days * seconds_per_day, findings);
  std::set<std::string> zones;
  const Json runners = input.snapshot.fleet.value("runners", Json::array());
  for (const auto& runner : runners)
    zones.insert(runner["zone"].get<std::string>());
  for (const auto& [zone, windows] : windows_by_zone) {
    if (zones.count(zone) == 0)
      findings.push_back({"error", input.file, "LOCATION", 0, 0, "no runner of the fleet is in zone '" + zone + "'"});
    if (prints_windows)
      std::cout << "zone " << zone << ": " << windows.size() << " windows in the next " << calendar_days << " days\n";
  }
}

void print_findings(const std::vector<Finding>& findings, bool is_json) {
  if (is_json) {
    std::cout << Json::parse(findings_json(findings)).dump(2) << "\n";
    return;
  }
  for (const auto& finding : findings) {
    std::cout << finding.severity << ": " << finding.document << finding.place;
    if (finding.line > 0)
      std::cout << " (line " << finding.line << ", column " << finding.column << ")";
    std::cout << ": " << finding.message << "\n";
  }
  if (findings.empty())
    std::cout << "no findings\n";
}

int run_check(const CommandLine& command, FleetSnapshot snapshot) {
  CheckInput input{command.text("FILE"), "", std::move(snapshot)};
  auto body = read_file(input.file);
  if (!body)
    return fail(exit_wrong_usage, input.file + " can't be read");
  input.body = *body;
  std::vector<Finding> findings;
  bool is_json = command.has("--json");
  if (command.has("check-calendar")) {
    check_calendar(input, !is_json, findings);
  } else if (command.has("check-set")) {
    check_document_set(input, findings);
  } else {
    if (!is_resource_kind(command.text("KIND")))
      return fail(exit_wrong_usage, "KIND must be serving-plans, zone-orders or runners");
    check_document(input, command.text("KIND"), command.text("NAME"), findings);
  }
  print_findings(findings, is_json);
  return has_errors(findings) ? exit_errors_found : exit_no_errors;
}

int run(const CommandLine& command) {
  std::string saved_file = command.text("--picture");
  std::string control = command.text("--control");
  std::optional<FleetSnapshot> snapshot;
  if (!saved_file.empty()) {
    auto saved = read_file(saved_file);
    snapshot = saved ? parse_snapshot(*saved) : std::nullopt;
    if (!snapshot)
      return fail(exit_no_fleet, saved_file + " is no picture of a fleet");
  } else if (!control.empty()) {
    snapshot = fetch_snapshot(control);
    if (!snapshot)
      return fail(exit_no_fleet, "no control daemon of " + control + " answers");
  } else {
    return fail(exit_wrong_usage, "either --control or --picture is needed");
  }
  if (!command.has("save-picture"))
    return run_check(command, std::move(*snapshot));
  std::ofstream(command.text("FILE")) << snapshot_text(*snapshot) << "\n";
  std::cout << "saved " << snapshot->resources.size() << " documents\n";
  return exit_no_errors;
}

}  // namespace
}  // namespace emberdale

int main(int argc, char** argv) {
  emberdale::CommandLine command(
      docopt::docopt(emberdale::usage, {argv + 1, argv + argc}, true, "emberdale-configuration-checker 0.1"));
  crossplat::threadpool::initialize_with_threads(emberdale::http_threads);
  return emberdale::run(command);
}
