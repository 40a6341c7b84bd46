#include "emberdale/serving_plans.hpp"
#include "emberdale/json_text.hpp"

#include <time.h>

#include <arpa/inet.h>

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <set>

namespace emberdale {
namespace {

using Json = nlohmann::json;

// Where in the text a JSON pointer's value begins. The parser tells no places, so the text is
// walked once more along the pointer; a place that isn't found gives line 0.
class TextPlaces {
 public:
  // The walk is for text that has been parsed: broken text has lines and columns, and no pointers.
  explicit TextPlaces(const std::string& text, bool is_sound = true) : text_(text) {
    if (is_sound)
      walk_value("");
  }
  std::pair<int, int> of(const std::string& pointer) const {
    for (std::string probe = pointer;; probe = probe.substr(0, probe.rfind('/'))) {
      auto entry = places_.find(probe);
      if (entry != places_.end())
        return line_and_column(entry->second);
      if (probe.empty())
        return {0, 0};
    }
  }
  std::pair<int, int> line_and_column(std::size_t at) const {
    int line = 1, column = 1;
    for (std::size_t i = 0; i < at && i < text_.size(); ++i) {
      if (text_[i] == '\n') {
        ++line;
        column = 1;
      } else {
        ++column;
      }
    }
    return {line, column};
  }

 private:
  void blanks() {
    while (at_ < text_.size() && std::isspace(static_cast<unsigned char>(text_[at_])))
      ++at_;
  }
  std::string walk_string() {
    std::string out;
    ++at_;
    while (at_ < text_.size() && text_[at_] != '"') {
      if (text_[at_] == '\\')
        ++at_;
      if (at_ < text_.size())
        out += text_[at_++];
    }
    ++at_;
    return out;
  }
  void walk_value(const std::string& pointer) {
    blanks();
    if (at_ >= text_.size())
      return;
    places_.insert({pointer, at_});
    if (text_[at_] == '{') {
      ++at_;
      for (blanks(); at_ < text_.size() && text_[at_] != '}'; blanks()) {
        if (text_[at_] != '"') {
          ++at_;
          continue;
        }
        std::string key = walk_string();
        blanks();
        if (at_ < text_.size() && text_[at_] == ':')
          ++at_;
        walk_value(pointer + "/" + key);
      }
      ++at_;
    } else if (text_[at_] == '[') {
      ++at_;
      int index = 0;
      for (blanks(); at_ < text_.size() && text_[at_] != ']'; blanks()) {
        if (text_[at_] == ',') {
          ++at_;
          continue;
        }
        std::size_t before = at_;
        walk_value(pointer + "/" + std::to_string(index++));
        if (at_ == before)
          ++at_;
      }
      ++at_;
    } else if (text_[at_] == '"') {
      walk_string();
    } else {
      while (at_ < text_.size() && text_[at_] != ',' && text_[at_] != '}' && text_[at_] != ']')
        ++at_;
    }
  }
  const std::string& text_;
  std::size_t at_ = 0;
  std::map<std::string, std::size_t> places_;
};

// Reads fields of one document and collects what is wrong with each.
class DocumentReader {
 public:
  DocumentReader(std::string document, const std::string& body, std::vector<Finding>& findings)
      : document_(std::move(document)), body_(body), findings_(findings) {
    if (is_too_deep(body)) {
      findings_.push_back({"error", document_, "", 1, 1, "not JSON of a document: nested more than 32 deep"});
      ++errors_;
      json_ = Json::object();
      is_readable_ = false;
      return;
    }
    try {
      json_ = Json::parse(body);
      places_.emplace(body_);
      if (!json_.is_object()) {
        error("", "the document must be an object");
        json_ = Json::object();
        is_readable_ = false;
      }
    } catch (const Json::exception& fault) {  // a number out of range has no place
      const auto* parsing = dynamic_cast<const Json::parse_error*>(&fault);
      TextPlaces places(body_, false);
      auto [line, column] = places.line_and_column(parsing == nullptr || parsing->byte == 0 ? 0 : parsing->byte - 1);
      std::string what = fault.what();
      auto colon = what.rfind(": ");
      findings_.push_back({"error", document_, "", line, column,
                           "not JSON: " + (colon == std::string::npos ? what : what.substr(colon + 2))});
      ++errors_;
      json_ = Json::object();
      is_readable_ = false;
    }
  }
  bool is_readable() const { return is_readable_; }
  bool is_sound() const { return errors_ == 0; }
  void error(const std::string& place, const std::string& message) {
    ++errors_;
    auto [line, column] = places_ ? places_->of(place) : std::pair<int, int>{0, 0};
    findings_.push_back({"error", document_, place, line, column, message});
  }

  const Json* find(const std::string& place) {
    known_.insert(place);
    const Json* at = &json_;
    std::size_t start = 1;
    while (start <= place.size()) {
      std::size_t end = std::min(place.find('/', start), place.size());
      std::string key = place.substr(start, end - start);
      if (!at->is_object() || !at->contains(key))
        return nullptr;
      at = &(*at)[key];
      known_.insert(place.substr(0, end));
      start = end + 1;
    }
    return at;
  }
  std::string text(const std::string& place, bool is_required, const std::string& otherwise = "") {
    const Json* value = find(place);
    if (value == nullptr) {
      if (is_required)
        error(place, "is required");
      return otherwise;
    }
    if (!value->is_string()) {
      error(place, "must be text");
      return otherwise;
    }
    if (is_required && value->get<std::string>().empty())
      error(place, "must not be empty");
    return value->get<std::string>();
  }
  bool answer(const std::string& place, bool otherwise) {
    const Json* value = find(place);
    if (value == nullptr)
      return otherwise;
    if (!value->is_boolean()) {
      error(place, "must be true or false");
      return otherwise;
    }
    return value->get<bool>();
  }
  std::int64_t number(const std::string& place, std::int64_t otherwise, std::int64_t low, std::int64_t high) {
    const Json* value = find(place);
    if (value == nullptr)
      return otherwise;
    if (!value->is_number_integer()) {
      error(place, "must be a whole number");
      return otherwise;
    }
    auto number = value->get<std::int64_t>();
    if (number < low || number > high)
      error(place, "must be from " + std::to_string(low) + " to " + std::to_string(high));
    return number;
  }
  // What nobody asked for is a mistake of the writer: refused, not ignored.
  void refuse_unknown(const std::set<std::string>& open_maps = {}) { refuse_unknown_in(json_, "", open_maps); }

 private:
  void refuse_unknown_in(const Json& object, const std::string& at, const std::set<std::string>& open_maps) {
    for (const auto& [key, value] : object.items()) {
      std::string place = at + "/" + key;
      if (known_.count(place) == 0)
        error(place, "is not a known field");
      else if (value.is_object() && open_maps.count(place) == 0)
        refuse_unknown_in(value, place, open_maps);
    }
  }
  std::string document_;
  const std::string& body_;
  std::vector<Finding>& findings_;
  Json json_;
  std::optional<TextPlaces> places_;
  std::set<std::string> known_;
  int errors_ = 0;
  bool is_readable_ = true;
};

bool is_good_name(const std::string& name) {
  if (name.empty() || name.size() > 64)
    return false;
  return std::all_of(name.begin(), name.end(), [](char letter) {
    return std::isalnum(static_cast<unsigned char>(letter)) || letter == '-' || letter == '_' || letter == '.';
  });
}

void check_name(DocumentReader& reader, const std::string& name) {
  if (!is_good_name(name))
    reader.error("", "the name may have 1 to 64 letters, digits, '-', '_' or '.'");
}

std::string document_name(const char* kind, const std::string& name) { return std::string(kind) + "/" + name; }

}  // namespace

constexpr int deepest = 32;
bool is_too_deep(const std::string& text) {
  int depth = 0;
  bool is_string = false;
  for (std::size_t at = 0; at < text.size(); ++at) {
    char letter = text[at];
    if (is_string) {
      if (letter == '\\')
        ++at;
      else if (letter == '"')
        is_string = false;
    } else if (letter == '"') {
      is_string = true;
    } else if (letter == '{' || letter == '[') {
      if (++depth > deepest)
        return true;
    } else if (letter == '}' || letter == ']') {
      --depth;
    }
  }
  return false;
}

Outcome<std::int64_t> read_utc(const std::string& text) {
  std::tm parts{};
  int used = 0;
  if (std::sscanf(text.c_str(), "%4d-%2d-%2dT%2d:%2d:%2dZ%n", &parts.tm_year, &parts.tm_mon, &parts.tm_mday,
                  &parts.tm_hour, &parts.tm_min, &parts.tm_sec, &used) != 6 ||
      used != 20 || text.size() != 20)
    return failure("must be a UTC time like 2026-12-02T01:00:00Z");
  parts.tm_year -= 1900;
  parts.tm_mon -= 1;
  std::int64_t seconds = ::timegm(&parts);
  if (show_utc(seconds) != text)
    return failure("there is no such day or time");
  return seconds;
}

std::string show_utc(std::int64_t seconds) {
  std::time_t time = static_cast<std::time_t>(seconds);
  std::tm parts{};
  ::gmtime_r(&time, &parts);
  char text[32];
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text;
}

std::pair<int, int> place_in_text(const std::string& text, const std::string& pointer) {
  return TextPlaces(text).of(pointer);
}

std::string findings_json(const std::vector<Finding>& findings) {
  Json list = Json::array();
  for (const auto& finding : findings)
    list.push_back({{"severity", finding.severity},
                    {"document", finding.document},
                    {"place", finding.place},
                    {"line", finding.line},
                    {"column", finding.column},
                    {"message", finding.message}});
  return json_text(list);
}

bool has_errors(const std::vector<Finding>& findings) {
  return std::any_of(findings.begin(), findings.end(), [](const Finding& f) { return f.severity == "error"; });
}

std::optional<ServingPlan> read_plan(const std::string& name, const std::string& body, std::vector<Finding>& findings,
                                     bool is_lenient) {
  DocumentReader reader(document_name(plans_kind, name), body, findings);
  if (!reader.is_readable())
    return std::nullopt;
  check_name(reader, name);
  ServingPlan plan;
  plan.name.text = name;
  plan.service = reader.text("/service", true);
  plan.path = reader.text("/match/path", true);
  plan.method = reader.text("/match/method", false, "POST");
  if (!plan.path.empty() && plan.path[0] != '/')
    reader.error("/match/path", "must begin with '/'");
  if (plan.path.rfind("/emberdale", 0) == 0)
    reader.error("/match/path", "paths below /emberdale are the system's own");
  if (plan.method != "POST" && plan.method != "GET" && plan.method != "PUT")
    reader.error("/match/method", "must be GET, POST or PUT");
  if (const Json* headers = reader.find("/match/headers")) {
    if (!headers->is_object()) {
      reader.error("/match/headers", "must be an object of header names and values");
    } else {
      for (const auto& [key, value] : headers->items()) {
        std::string place = "/match/headers/" + key;
        if (!value.is_string()) {
          reader.error(place, "must be text");
          continue;
        }
        std::string lower = key;
        std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return std::tolower(c); });
        plan.headers[lower] = value.get<std::string>();
      }
    }
  }
  plan.pool.text = reader.text("/pool", true);
  plan.home.text = reader.text("/home/region", false);
  plan.home_header = reader.text("/home/header", false);
  std::transform(plan.home_header.begin(), plan.home_header.end(), plan.home_header.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  if (const Json* home = reader.find("/home")) {
    if (!home->is_object())
      reader.error("/home", "must be an object with 'region' or 'header'");
    else if (home->contains("region") == home->contains("header"))
      reader.error("/home", "must name either 'region' or 'header'");
  }
  plan.may_spill = reader.answer("/spill/allowed", false);
  plan.spill_percent = reader.number("/spill/limit_percent", plan.may_spill ? 50 : 0, 0, 100);
  plan.is_repeatable = reader.answer("/repeatable", false);
  plan.is_streaming = reader.answer("/streaming", false);
  plan.deadline_ms = reader.number("/horizon_ms", 10000, 50, 600000);
  plan.prefix_bytes = reader.number("/prefix_bytes", 0, 0, 1 << 20);
  plan.max_body_bytes = reader.number("/max_body_bytes", 1 << 20, 1, 8 << 20);
  if (plan.may_spill && !plan.home.empty())
    reader.error("/spill/allowed", "spill contradicts a home region: homed work never leaves it");
  if (plan.may_spill && !plan.home_header.empty())
    reader.error("/spill/allowed", "spill contradicts a home header: homed work never leaves its region");
  if (plan.is_streaming && plan.is_repeatable)
    reader.error("/streaming", "a streamed reply is never repeated: set repeatable to false");
  reader.refuse_unknown({"/match/headers"});
  bool is_comparable = is_lenient && !plan.path.empty() && !plan.pool.empty();
  if (!reader.is_sound() && !is_comparable)
    return std::nullopt;
  return plan;
}

std::optional<ZoneOrder> read_order(const std::string& name, const std::string& body, std::vector<Finding>& findings) {
  DocumentReader reader(document_name(orders_kind, name), body, findings);
  if (!reader.is_readable())
    return std::nullopt;
  check_name(reader, name);
  ZoneOrder order;
  order.zone.text = name;
  std::string state = reader.text("/state", true);
  if (!state.empty() && state != "emptied" && state != "serving")
    reader.error("/state", "must be 'emptied' or 'serving'");
  order.is_window_open = reader.answer("/window_open", false);
  order.is_emptied = state == "emptied" || order.is_window_open;
  reader.text("/note", false);
  if (const Json* windows = reader.find("/windows")) {
    if (!windows->is_array() || windows->size() > 400) {
      reader.error("/windows", "must be a list of at most 400 windows");
    } else {
      for (std::size_t i = 0; i < windows->size(); ++i) {
        const Json& item = (*windows)[i];
        std::string place = "/windows/" + std::to_string(i);
        if (!item.is_object() || item.size() != 2 || !item.contains("from") || !item.contains("until") ||
            !item["from"].is_string() || !item["until"].is_string()) {
          reader.error(place, "must have 'from' and 'until', and nothing else");
          continue;
        }
        auto from = read_utc(item["from"].get<std::string>()), until = read_utc(item["until"].get<std::string>());
        if (!from)
          reader.error(place + "/from", from.reason);
        if (!until)
          reader.error(place + "/until", until.reason);
        if (from && until && *until <= *from)
          reader.error(place + "/until", "must be after 'from'");
        if (from && until)
          order.windows.push_back({*from, *until});
      }
    }
  }
  reader.refuse_unknown();
  if (!reader.is_sound())
    return std::nullopt;
  return order;
}

std::optional<RunnerEntry> read_runner(const std::string& name, const std::string& body,
                                       std::vector<Finding>& findings) {
  DocumentReader reader(document_name(runners_kind, name), body, findings);
  if (!reader.is_readable())
    return std::nullopt;
  check_name(reader, name);
  RunnerEntry runner;
  runner.name.text = name;
  runner.http = reader.text("/address", true);
  auto colon = runner.http.rfind(':');
  bool is_number_address = false;
  if (colon != std::string::npos) {
    std::string host = runner.http.substr(0, colon), port = runner.http.substr(colon + 1);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
      host = host.substr(1, host.size() - 2);
    unsigned char number[sizeof(in6_addr)];
    bool is_host = ::inet_pton(AF_INET, host.c_str(), number) == 1 || ::inet_pton(AF_INET6, host.c_str(), number) == 1;
    bool is_port = !port.empty() && port.size() <= 5 && port.find_first_not_of("0123456789") == std::string::npos &&
                   std::stoi(port) > 0 && std::stoi(port) <= 65535;
    is_number_address = is_host && is_port;
  }
  if (!runner.http.empty() && !is_number_address)
    reader.error("/address", "must be IP:PORT, by IP number");
  runner.pool.text = reader.text("/pool", true);
  runner.zone.text = reader.text("/zone", true);
  runner.region.text = reader.text("/region", true);
  runner.is_leaving = reader.answer("/leaving", false);
  runner.seal_key = reader.text("/seal_key", true);
  reader.refuse_unknown();
  if (!reader.is_sound())
    return std::nullopt;
  return runner;
}

Configuration read_configuration(const std::vector<Resource>& resources, std::vector<Finding>& findings) {
  Configuration configuration;
  for (const auto& resource : resources) {
    if (resource.kind == plans_kind) {
      if (auto plan = read_plan(resource.name, resource.body, findings, true))
        configuration.plans.push_back(std::move(*plan));
    } else if (resource.kind == orders_kind) {
      if (auto order = read_order(resource.name, resource.body, findings))
        configuration.orders.push_back(std::move(*order));
    } else if (resource.kind == runners_kind) {
      if (auto runner = read_runner(resource.name, resource.body, findings))
        configuration.runners.push_back(std::move(*runner));
    }
  }
  return configuration;
}

void cross_check(const Configuration& configuration, std::vector<Finding>& findings) {
  std::set<PoolName> pools;
  std::map<RegionName, std::set<PoolName>> pools_at;
  std::map<ZoneName, RegionName> region_of;
  std::map<std::string, RunnerName> runner_at;
  auto error = [&](const std::string& document, const std::string& place, const std::string& message) {
    findings.push_back({"error", document, place, 0, 0, message});
  };
  auto warn = [&](const std::string& document, const std::string& place, const std::string& message) {
    findings.push_back({"warning", document, place, 0, 0, message});
  };
  for (const auto& runner : configuration.runners) {
    std::string document = document_name(runners_kind, runner.name.text);
    pools.insert(runner.pool);
    pools_at[runner.region].insert(runner.pool);
    auto [zone, is_new_zone] = region_of.insert({runner.zone, runner.region});
    if (!is_new_zone && zone->second != runner.region)
      error(document, "/region",
            "zone '" + runner.zone.text + "' lies in region '" + zone->second.text + "' for other runners");
    auto [place, is_new_place] = runner_at.insert({runner.http, runner.name});
    if (!is_new_place)
      error(document, "/address", "is also the address of runner '" + place->second.text + "'");
  }
  for (const auto& plan : configuration.plans) {
    std::string document = document_name(plans_kind, plan.name.text);
    if (pools.count(plan.pool) == 0)
      error(document, "/pool", "no runner is in pool '" + plan.pool.text + "'");
    if (!plan.home.empty()) {
      if (pools_at.count(plan.home) == 0)
        error(document, "/home/region", "'" + plan.home.text + "' is no region of any runner");
      else if (pools_at[plan.home].count(plan.pool) == 0)
        error(document, "/home/region",
              "pool '" + plan.pool.text + "' has no runner in region '" + plan.home.text + "'");
    }
  }
  for (std::size_t i = 0; i < configuration.plans.size(); ++i) {
    for (std::size_t j = i + 1; j < configuration.plans.size(); ++j) {
      const auto& a = configuration.plans[i];
      const auto& b = configuration.plans[j];
      if (a.path != b.path || a.method != b.method)
        continue;
      bool is_apart = false;  // one header with two values keeps them apart
      for (const auto& [key, value] : a.headers) {
        auto other = b.headers.find(key);
        is_apart = is_apart || (other != b.headers.end() && other->second != value);
      }
      if (!is_apart)
        error(document_name(plans_kind, b.name.text), "/match", "claims the same calls as plan '" + a.name.text + "'");
    }
  }
  for (const auto& order : configuration.orders) {
    std::string document = document_name(orders_kind, order.zone.text);
    if (!configuration.runners.empty() && region_of.count(order.zone) == 0)
      warn(document, "", "no runner is in zone '" + order.zone.text + "'");
  }
  // Emptying must leave every plan a runner where its work may live.
  std::set<ZoneName> emptied;
  for (const auto& order : configuration.orders)
    if (order.is_emptied)
      emptied.insert(order.zone);
  if (emptied.empty())
    return;
  std::map<std::pair<PoolName, RegionName>, std::pair<int, int>> left;  // all, left
  for (const auto& runner : configuration.runners) {
    auto& count = left[{runner.pool, runner.region}];
    ++count.first;
    if (emptied.count(runner.zone) == 0 && !runner.is_leaving)
      ++count.second;
  }
  for (const auto& [where, count] : left) {
    if (count.second == 0 && count.first > 0)
      warn(
          "zone-orders", "",
          "with these orders pool '" + where.first.text + "' has no runner left in region '" + where.second.text + "'");
    else if (count.second * 2 < count.first)
      warn("zone-orders", "",
           "with these orders pool '" + where.first.text + "' keeps " + std::to_string(count.second) + " of " +
               std::to_string(count.first) + " runners in region '" + where.second.text +
               "': the rest may not bear the load");
  }
}

Outcome<std::string> merge_patch(const std::string& body, const std::string& patch) {
  if (is_too_deep(patch))
    return failure("the patch is nested more than 32 deep");
  try {
    Json document = Json::parse(body);
    document.merge_patch(Json::parse(patch));
    return json_text(document, 2);
  } catch (const Json::exception& fault) {
    return failure(std::string("not JSON: ") + fault.what());
  }
}

EditResult apply_edit(const FleetState& state, const EditAsk& edit, Integer revision) {
  EditResult result;
  result.resources = state.resources;
  result.deleted_version = state.deleted_version;
  auto found = std::find_if(result.resources.begin(), result.resources.end(),
                            [&](const Resource& r) { return r.kind == edit.kind && r.name == edit.name; });
  bool is_there = found != result.resources.end();
  result.version = is_there ? found->version : 0;
  if (edit.kind != plans_kind && edit.kind != orders_kind && edit.kind != runners_kind) {
    result.code = 404;
    result.reason = "there is no resource kind '" + edit.kind + "'";
    return result;
  }
  if (edit.expected >= 0 && edit.expected != result.version) {
    result.code = 412;
    result.reason = "the version is " + std::to_string(result.version) + ", not " + std::to_string(edit.expected);
    return result;
  }
  if (edit.act != "put" && !is_there) {
    result.code = 404;
    result.reason = edit.kind + "/" + edit.name + " does not exist";
    return result;
  }
  std::string body = edit.body;
  if (edit.act == "patch") {
    auto merged = merge_patch(found->body, edit.body);
    if (!merged) {
      result.code = 400;
      result.reason = merged.reason;
      result.findings.push_back({"error", edit.kind + "/" + edit.name, "", 1, 1, merged.reason});
      return result;
    }
    body = *merged;
  }
  if (edit.act == "delete") {
    result.deleted_version = std::max(result.deleted_version, found->version);
    result.resources.erase(found);
  } else if (is_there) {
    found->body = body;
    found->version += 1;
    found->config_revision = revision;
    result.version = found->version;
  } else {
    result.code = 201;
    // A name that comes back never has a version that it had before: who read the old one must lose.
    result.version = state.deleted_version + 1;
    result.resources.push_back({edit.kind, edit.name, result.version, revision, body});
  }
  // First the document itself, so that a body that is no JSON is 400 and not 422.
  if (edit.act != "delete") {
    std::vector<Finding> own;
    if (edit.kind == plans_kind)
      read_plan(edit.name, body, own);
    if (edit.kind == orders_kind)
      read_order(edit.name, body, own);
    if (edit.kind == runners_kind)
      read_runner(edit.name, body, own);
    for (const auto& finding : own)
      if (finding.message.rfind("not JSON", 0) == 0) {
        result.findings = own;
        result.code = 400;
        result.version = is_there ? result.version - 1 : 0;
        result.reason = finding.message;
        return result;
      }
  }
  // Findings that stood before this change don't block it; what it brings does.
  std::vector<Finding> before, after;
  Configuration old_configuration = read_configuration(state.resources, before);
  cross_check(old_configuration, before);
  Configuration configuration = read_configuration(result.resources, after);
  cross_check(configuration, after);
  auto is_old = [&](const Finding& finding) {
    return std::any_of(before.begin(), before.end(), [&](const Finding& known) {
      return known.document == finding.document && known.place == finding.place && known.message == finding.message;
    });
  };
  for (auto finding : after) {
    if (is_old(finding))
      continue;
    // What a rule between documents finds in the one at hand gets its place in the text as well.
    if (finding.line == 0 && finding.document == edit.kind + "/" + edit.name)
      std::tie(finding.line, finding.column) = place_in_text(body, finding.place);
    result.findings.push_back(finding);
  }
  if (has_errors(result.findings)) {
    result.code = 422;
    result.reason = "the document or its fit with the others is wrong";
    result.version = is_there ? result.version - (edit.act == "delete" ? 0 : 1) : 0;
  }
  return result;
}

PlanMatch match_plan(const std::vector<ServingPlan>& plans, const std::string& method, const std::string& path,
                     const std::map<std::string, std::string>& headers) {
  PlanMatch match;
  for (const auto& plan : plans) {
    if (plan.path != path)
      continue;
    match.is_path_known = true;
    if (plan.method != method)
      continue;
    bool fits = std::all_of(plan.headers.begin(), plan.headers.end(), [&](const auto& wanted) {
      auto entry = headers.find(wanted.first);
      return entry != headers.end() && entry->second == wanted.second;
    });
    // The plan that asks for more headers is the nearer one.
    if (fits && (match.plan == nullptr || plan.headers.size() > match.plan->headers.size()))
      match.plan = &plan;
  }
  return match;
}

}  // namespace emberdale
