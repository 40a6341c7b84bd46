// emberdale-client: every act of an operator or of the platform, from the command line.
#include <cpprest/http_client.h>
#include <docopt/docopt.h>
#include <pplx/threadpool.h>

#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "emberdale/file_text.hpp"
#include "emberdale/maintenance_windows.hpp"
#include "emberdale/peer_connections.hpp"
#include "emberdale/serving_plans.hpp"

using Json = nlohmann::json;
using web::http::http_request;
using web::http::http_response;
using web::http::methods;

static const char usage[] = R"(emberdale-client: declares plans, zone orders and runners, and watches them into force.

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

namespace {

struct Answer {
  int code = 0;
  std::string body;
};

class Client {
 public:
  explicit Client(const std::string& list) {
    std::stringstream stream(list);
    std::string part;
    while (std::getline(stream, part, ','))
      addresses_.push_back(part);
  }

  // Tries the next daemon only where the last one surely was not reached, or refused for want of a master.
  Answer ask(const std::string& method, const std::string& path, const std::string& body = "",
             const std::string& if_match = "") {
    Answer last{0, "no control daemon answers"};
    for (const auto& address : addresses_) {
      try {
        web::http::client::http_client_config config;
        config.set_timeout(std::chrono::seconds(25));
        web::http::client::http_client client("http://" + address, config);
        http_request request(method);
        request.set_request_uri(path);
        if (if_match == "0")
          request.headers().add("If-None-Match", "*");
        else if (!if_match.empty())
          request.headers().add("If-Match", "\"" + if_match + "\"");
        if (!body.empty())
          request.set_body(body, "application/json");
        http_response response = client.request(request).get();
        last = {response.status_code(), response.extract_string(true).get()};
        if (last.code != 503) {
          used_ = address;
          return last;
        }
      } catch (const std::exception& fault) {
        std::string what = fault.what();
        if (what.find("connect") == std::string::npos && method != "GET")
          return {504, Json{{"reason", what}, {"outcome", "unknown"}}.dump()};
        last = {0, address + ": " + what};
      }
    }
    return last;
  }

  // Follows a watch until the named resource is in force everywhere at that version or a newer one.
  int watch(const std::string& kind, const std::string& name, bool until_in_force, Json::number_integer_t version,
            int seconds) {
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    while (std::chrono::steady_clock::now() < end) {
      for (const auto& address : addresses_) {
        try {
          web::http::client::http_client_config config;
          config.set_timeout(std::chrono::seconds(5));
          web::http::client::http_client client("http://" + address, config);
          http_response response =
              client.request(methods::GET, "/v1/" + kind + (name.empty() ? "" : "/" + name) + "?watch=true").get();
          if (response.status_code() != 200)
            continue;
          auto source = response.body().streambuf();
          std::string line;
          while (std::chrono::steady_clock::now() < end) {
            int letter = source.bumpc().get();
            if (letter == std::char_traits<char>::eof())
              break;
            if (letter != '\n') {
              line += static_cast<char>(letter);
              continue;
            }
            if (line.empty())
              continue;
            Json news = Json::parse(line, nullptr, false);
            if (!until_in_force)
              std::cout << line << std::endl;
            line.clear();
            if (!until_in_force || !news.is_object())
              continue;
            bool is_there = name.empty() ? !news["items"].empty() : false, is_in_force = true;
            for (const auto& item : news["items"]) {
              if (!name.empty() && item["name"] == name && item["version"] >= version)
                is_there = true;
              is_in_force = is_in_force && item["in_force"].get<bool>();
            }
            if (is_there && is_in_force) {
              std::cout << kind << (name.empty() ? "" : "/" + name) << " is in force everywhere" << std::endl;
              return 0;
            }
          }
        } catch (const std::exception&) {
          std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
      }
    }
    std::cerr << "not seen in force everywhere within " << seconds << " s\n";
    return 4;
  }

 private:
  std::vector<std::string> addresses_;
  std::string used_;
};

int show(const Answer& answer) {
  Json body = Json::parse(answer.body, nullptr, false);
  bool is_good = answer.code >= 200 && answer.code < 300;
  auto& out = is_good ? std::cout : std::cerr;
  if (body.is_object() && body.contains("findings"))
    for (const auto& finding : body["findings"]) {
      std::cerr << finding.value("severity", "") << ": " << finding.value("document", "") << finding.value("place", "");
      if (finding.value("line", 0) > 0)
        std::cerr << " (line " << finding["line"] << ", column " << finding["column"] << ")";
      std::cerr << ": " << finding.value("message", "") << "\n";
    }
  if (!is_good && body.is_object() && body.contains("reason"))
    out << (answer.code == 504 ? "outcome unknown: " : "refused: ") << body["reason"].get<std::string>()
        << (answer.code > 0 ? " (" + std::to_string(answer.code) + ")" : "") << "\n";
  else if (body.is_object() && body.contains("findings")) {
    body.erase("findings");
    out << body.dump() << "\n";
  } else {
    out << answer.body << "\n";
  }
  if (is_good)
    return 0;
  return answer.code == 504 ? 3 : 1;
}

}  // namespace

int main(int count, char** words) {
  auto arguments = docopt::docopt(usage, {words + 1, words + count}, true, "emberdale-client 0.1");
  crossplat::threadpool::initialize_with_threads(2);
  Client client(arguments["--control"].asString());
  auto flag = [&](const char* name) {
    return arguments[name].isBool() && arguments[name].asBool();
  };
  auto text = [&](const char* name) {
    return arguments[name].isString() ? arguments[name].asString() : std::string();
  };
  int seconds = std::atoi(text("--timeout").c_str());
  std::string kind = text("KIND"), name = text("NAME"), if_match = text("--if-match");
  if (!kind.empty() && kind != emberdale::plans_kind && kind != emberdale::orders_kind &&
      kind != emberdale::runners_kind) {
    std::cerr << "KIND must be serving-plans, zone-orders or runners\n";
    return 2;
  }
  if (!if_match.empty() && if_match.find_first_not_of("0123456789") != std::string::npos) {
    std::cerr << "--if-match must be a version number\n";
    return 2;
  }
  std::string method, body;
  if (flag("put") || flag("patch")) {
    method = flag("put") ? "PUT" : "PATCH";
    auto content = emberdale::read_file_text(text("FILE"));
    if (!content) {
      std::cerr << text("FILE") << " can't be read\n";
      return 2;
    }
    body = *content;
  } else if (flag("delete")) {
    method = "DELETE";
  } else if (flag("evacuate") || flag("take-back")) {
    method = "PUT";
    kind = emberdale::orders_kind;
    name = text("ZONE");
    body = Json{{"state", flag("evacuate") ? "emptied" : "serving"}}.dump();
  } else if (flag("mark-leaving") || flag("mark-staying")) {
    method = "PATCH";
    kind = emberdale::runners_kind;
    name = text("RUNNER");
    body = Json{{"leaving", flag("mark-leaving")}}.dump();
  }
  if (!method.empty()) {
    Answer answer = client.ask(method, "/v1/" + kind + "/" + name, body, if_match);
    int status = show(answer);
    if (status != 0 || !flag("--wait") || method == "DELETE")
      return status;
    Json done = Json::parse(answer.body, nullptr, false);
    return client.watch(kind, name, true, done.value("version", 0), seconds);
  }
  if (flag("import-windows")) {
    auto content = emberdale::read_file_text(text("FILE"));
    if (!content) {
      std::cerr << text("FILE") << " can't be read\n";
      return 2;
    }
    std::vector<emberdale::Finding> findings;
    std::int64_t now = std::time(nullptr);
    auto windows =
        emberdale::read_calendar(text("FILE"), *content, now,
                                 now + std::int64_t{86400} * std::max(1, std::atoi(text("--days").c_str())), findings);
    if (emberdale::has_errors(findings))
      return show({422, Json{{"reason", "the calendar is wrong; nothing was changed"},
                             {"findings", Json::parse(emberdale::findings_json(findings))}}
                            .dump()});
    int status = 0;
    for (const auto& [zone, list] : windows) {
      Json body{{"windows", Json::array()}};
      for (const auto& window : list)
        body["windows"].push_back(
            {{"from", emberdale::show_utc(window.from)}, {"until", emberdale::show_utc(window.until)}});
      Answer answer = client.ask("PATCH", std::string("/v1/") + emberdale::orders_kind + "/" + zone, body.dump());
      if (answer.code == 404) {
        body["state"] = "serving";
        answer = client.ask("PUT", std::string("/v1/") + emberdale::orders_kind + "/" + zone, body.dump(), "0");
      }
      std::cout << "zone " << zone << ", " << list.size() << " windows: ";
      status = std::max(status, show(answer));
    }
    return status;
  }
  if (flag("get"))
    return show(client.ask("GET", "/v1/" + kind + (name.empty() ? "" : "/" + name)));
  if (flag("watch"))
    return client.watch(kind, name, flag("--until-in-force"), 0, flag("--until-in-force") ? seconds : 1 << 30);
  if (flag("found"))
    return show(client.ask("POST", "/v1/fleet/found",
                           Json{{"fleet", text("FLEET")}, {"cores", arguments["CORE"].asStringList()}}.dump()));
  if (flag("replace-core"))
    return show(client.ask("POST", "/v1/fleet/replace-core", Json{{"old", text("OLD")}, {"new", text("NEW")}}.dump()));
  if (flag("events"))
    return show(client.ask("GET", "/v1/events"));
  Answer answer = client.ask("GET", "/v1/fleet");
  if (answer.code != 200 || flag("fleet"))
    return show(answer);
  Json fleet = Json::parse(answer.body, nullptr, false);
  if (flag("master")) {
    std::cout
        << Json{{"master", fleet["master"]}, {"reign", fleet["reign"]}, {"answers", fleet["master_answers"]}}.dump()
        << "\n";
    return 0;
  }
  Json map;
  for (const char* key : {"map_version", "map_config_revision", "regions", "runners", "gateways", "emptied_zones"})
    map[key] = fleet[key];
  std::cout << map.dump(2) << "\n";
  return 0;
}
