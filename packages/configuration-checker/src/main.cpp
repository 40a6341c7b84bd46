// emberdale-configuration-checker: would this file do, in the fleet as it is?
#include <cpprest/http_client.h>
#include <docopt/docopt.h>
#include <pplx/threadpool.h>

#include <ctime>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "emberdale/maintenance_windows.hpp"
#include "emberdale/serving_plans.hpp"

using namespace emberdale;
using Json = nlohmann::json;

static const char usage[] =
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

namespace {

struct Picture {
  std::vector<Resource> resources;
  Json fleet = Json::object();
};

std::optional<std::string> page(const std::string& list, const std::string& path) {
  std::stringstream stream(list);
  std::string address;
  while (std::getline(stream, address, ',')) {
    try {
      web::http::client::http_client_config config;
      config.set_timeout(std::chrono::seconds(5));
      web::http::client::http_client client("http://" + address, config);
      auto response = client.request("GET", path).get();
      if (response.status_code() == 200)
        return response.extract_string(true).get();
    } catch (const std::exception&) {  // the next one may answer
    }
  }
  return std::nullopt;
}

std::optional<Picture> picture_of_fleet(const std::string& control) {
  Picture picture;
  for (const char* kind : {plans_kind, orders_kind, runners_kind}) {
    auto text = page(control, std::string("/v1/") + kind);
    if (!text)
      return std::nullopt;
    const Json list = Json::parse(*text);
    for (const auto& item : list["items"])
      picture.resources.push_back({kind, item["name"], item["version"], item["config_revision"], item["spec"].dump(2)});
  }
  auto fleet = page(control, "/v1/fleet");
  if (!fleet)
    return std::nullopt;
  picture.fleet = Json::parse(*fleet);
  return picture;
}

std::optional<std::string> read_file(const std::string& name) {
  std::ifstream stream(name);
  if (!stream)
    return std::nullopt;
  std::stringstream text;
  text << stream.rdbuf();
  return text.str();
}

// What only the living fleet can tell: runners that are down, zones whose rest can't bear the load.
void check_against_fleet(const Configuration& configuration, const Json& fleet, std::vector<Finding>& findings) {
  if (!fleet.contains("runners"))
    return;
  std::map<std::string, Json> rows;
  for (const auto& row : fleet["runners"])
    rows[row["name"]] = row;
  for (const auto& plan : configuration.plans) {
    int able = 0;
    for (const auto& runner : configuration.runners) {
      auto row = rows.find(runner.name.text);
      if (runner.pool == plan.pool && row != rows.end() &&
          (row->second["status"] == "warm" || row->second["status"] == "cold"))
        ++able;
    }
    if (able == 0)
      findings.push_back({"warning", std::string(plans_kind) + "/" + plan.name.text, "/pool", 0, 0,
                          "no runner of pool '" + plan.pool.text + "' serves at this moment"});
  }
  std::map<std::pair<std::string, std::string>, std::pair<std::int64_t, std::int64_t>> left;  // load now, capacity left
  for (const auto& runner : configuration.runners) {
    auto row = rows.find(runner.name.text);
    if (row == rows.end())
      continue;
    bool is_evacuated = runner.is_leaving;
    for (const auto& order : configuration.orders)
      is_evacuated = is_evacuated || (order.zone == runner.zone && order.is_evacuated);
    auto& count = left[{runner.pool.text, runner.region.text}];
    count.first += row->second.value("burden", 0);
    if (!is_evacuated && row->second["status"] == "warm")
      count.second += row->second.value("capacity", 0);
  }
  for (const auto& [where, count] : left)
    if (count.first > count.second)
      findings.push_back({"warning", "fleet", "", 0, 0,
                          "pool '" + where.first + "' in region '" + where.second + "' bears " +
                              std::to_string(count.first) + " calls now and would keep a capacity of " +
                              std::to_string(count.second)});
}

}  // namespace

int main(int count, char** words) {
  auto arguments = docopt::docopt(usage, {words + 1, words + count}, true, "emberdale-configuration-checker 0.1");
  crossplat::threadpool::initialize_with_threads(2);
  auto text_of = [&](const char* name) {
    return arguments[name].isString() ? arguments[name].asString() : std::string();
  };
  std::string control = text_of("--control"), picture_file = text_of("--picture");
  Picture picture;
  if (!picture_file.empty()) {
    auto text = read_file(picture_file);
    Json saved = text ? Json::parse(*text, nullptr, false) : Json();
    if (!saved.is_object() || !saved.contains("resources")) {
      std::cerr << picture_file << " is no picture of a fleet\n";
      return 3;
    }
    for (const auto& item : saved["resources"])
      picture.resources.push_back({item["kind"], item["name"], item["version"], 0, item["body"]});
    picture.fleet = saved["fleet"];
  } else if (!control.empty()) {
    auto live = picture_of_fleet(control);
    if (!live) {
      std::cerr << "no control daemon of " << control << " answers\n";
      return 3;
    }
    picture = *live;
  } else {
    std::cerr << "either --control or --picture is needed\n";
    return 2;
  }
  std::string file = text_of("FILE");
  if (arguments["save-picture"].asBool()) {
    Json saved{{"fleet", picture.fleet}, {"resources", Json::array()}};
    for (const auto& resource : picture.resources)
      saved["resources"].push_back(
          {{"kind", resource.kind}, {"name", resource.name}, {"version", resource.version}, {"body", resource.body}});
    std::ofstream(file) << saved.dump(2) << "\n";
    std::cout << "saved " << picture.resources.size() << " documents\n";
    return 0;
  }
  auto body = read_file(file);
  if (!body) {
    std::cerr << file << " can't be read\n";
    return 2;
  }
  std::vector<Finding> findings;
  std::vector<Resource> resources = picture.resources;
  std::map<std::string, std::string> checked;  // document: its text
  auto lay = [&](const std::string& kind, const std::string& name, const std::string& text) {
    checked[kind + "/" + name] = text;
    for (auto& resource : resources)
      if (resource.kind == kind && resource.name == name) {
        resource.body = text;
        return;
      }
    resources.push_back({kind, name, 0, 0, text});
  };
  auto is_kind = [](const std::string& kind) {
    return kind == plans_kind || kind == orders_kind || kind == runners_kind;
  };
  if (arguments["check-calendar"].asBool()) {
    std::int64_t now = std::time(nullptr);
    auto windows = read_calendar(file, *body, now, now + std::int64_t{90} * 86400, findings);
    std::set<std::string> zones;
    const Json runners = picture.fleet.value("runners", Json::array());
    for (const auto& runner : runners)
      zones.insert(runner["zone"].get<std::string>());
    for (const auto& [zone, list] : windows) {
      if (zones.count(zone) == 0)
        findings.push_back({"error", file, "LOCATION", 0, 0, "no runner of the fleet is in zone '" + zone + "'"});
      if (!arguments["--json"].asBool())
        std::cout << "zone " << zone << ": " << list.size() << " windows in the next 90 days\n";
    }
  } else {
    if (arguments["check-set"].asBool()) {
      Json set = Json::parse(*body, nullptr, false);
      if (!set.is_object()) {
        findings.push_back({"error", file, "", 1, 1, "must be a JSON object {KIND: {NAME: document}}"});
        set = Json::object();
      }
      for (const auto& [kind, documents] : set.items()) {
        if (!is_kind(kind) || !documents.is_object()) {
          TextPosition position = position_in_document(*body, "/" + kind);
          findings.push_back(
              {"error", file, "/" + kind, position.line, position.column, "is no kind of resource with its documents"});
          continue;
        }
        for (const auto& [name, document] : documents.items())
          lay(kind, name, document.dump(2));
      }
    } else {
      if (!is_kind(text_of("KIND"))) {
        std::cerr << "KIND must be serving-plans, zone-orders or runners\n";
        return 2;
      }
      lay(text_of("KIND"), text_of("NAME"), *body);
    }
    Configuration configuration = read_configuration(resources, findings);
    cross_check(configuration, findings);
    check_against_fleet(configuration, picture.fleet, findings);
    for (auto& finding : findings) {
      auto text = checked.find(finding.document);
      if (text != checked.end() && finding.line == 0)
        set_position(finding, position_in_document(text->second, finding.place));
      // In a set, places are given in the set's own text.
      if (text != checked.end() && arguments["check-set"].asBool()) {
        auto slash = finding.document.find('/');
        set_position(finding, position_in_document(*body, "/" + finding.document.substr(0, slash) + "/" +
                                                              finding.document.substr(slash + 1) + finding.place));
      }
    }
  }
  if (arguments["--json"].asBool()) {
    std::cout << Json::parse(findings_json(findings)).dump(2) << "\n";
  } else {
    for (const auto& finding : findings) {
      std::cout << finding.severity << ": " << finding.document << finding.place;
      if (finding.line > 0)
        std::cout << " (line " << finding.line << ", column " << finding.column << ")";
      std::cout << ": " << finding.message << "\n";
    }
    if (findings.empty())
      std::cout << "no findings\n";
  }
  return has_errors(findings) ? 1 : 0;
}
