// Reading the documents of operators: serving plans, zone orders and runners.
#include <arpa/inet.h>

#include <algorithm>
#include <cctype>

#include "document_reader.hpp"
#include "emberdale/serving_plans.hpp"

namespace emberdale {
namespace {

using Json = nlohmann::json;

constexpr std::size_t most_windows = 400;
constexpr int highest_port = 65535;

std::string to_lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return std::tolower(letter); });
  return text;
}

// The calls that the plan claims: path, method and the headers they must bear.
void read_match(DocumentReader& reader, ServingPlan& plan) {
  plan.path = reader.text("/match/path", true);
  plan.method = reader.text("/match/method", false, "POST");
  if (!plan.path.empty() && plan.path[0] != '/')
    reader.error("/match/path", "must begin with '/'");
  if (plan.path.rfind("/emberdale", 0) == 0)
    reader.error("/match/path", "paths below /emberdale are the system's own");
  if (plan.method != "POST" && plan.method != "GET" && plan.method != "PUT")
    reader.error("/match/method", "must be GET, POST or PUT");
}

void read_headers(DocumentReader& reader, ServingPlan& plan) {
  const Json* headers = reader.find("/match/headers");
  if (headers == nullptr)
    return;
  if (!headers->is_object()) {
    reader.error("/match/headers", "must be an object of header names and values");
    return;
  }
  for (const auto& [key, value] : headers->items()) {
    if (value.is_string())
      plan.headers[to_lower(key)] = value.get<std::string>();
    else
      reader.error("/match/headers/" + key, "must be text");
  }
}

void read_home(DocumentReader& reader, ServingPlan& plan) {
  plan.home.text = reader.text("/home/region", false);
  plan.home_header = to_lower(reader.text("/home/header", false));
  const Json* home = reader.find("/home");
  if (home == nullptr)
    return;
  if (!home->is_object())
    reader.error("/home", "must be an object with 'region' or 'header'");
  else if (home->contains("region") == home->contains("header"))
    reader.error("/home", "must name either 'region' or 'header'");
}

void read_treatment(DocumentReader& reader, ServingPlan& plan) {
  plan.may_spill = reader.boolean("/spill/allowed", false);
  plan.spill_percent = reader.number("/spill/limit_percent", plan.may_spill ? 50 : 0, 0, 100);
  plan.is_repeatable = reader.boolean("/repeatable", false);
  plan.is_streaming = reader.boolean("/streaming", false);
  plan.deadline_ms = reader.number("/horizon_ms", 10000, 50, 600000);
  plan.prefix_bytes = reader.number("/prefix_bytes", 0, 0, 1 << 20);
  plan.max_body_bytes = reader.number("/max_body_bytes", 1 << 20, 1, 8 << 20);
}

void refuse_contradictions(DocumentReader& reader, const ServingPlan& plan) {
  if (plan.may_spill && !plan.home.empty())
    reader.error("/spill/allowed", "spill contradicts a home region: homed work never leaves it");
  if (plan.may_spill && !plan.home_header.empty())
    reader.error("/spill/allowed", "spill contradicts a home header: homed work never leaves its region");
  if (plan.is_streaming && plan.is_repeatable)
    reader.error("/streaming", "a streamed reply is never repeated: set repeatable to false");
}

bool is_window_of_texts(const Json& item) {
  return item.is_object() && item.size() == 2 && item.contains("from") && item.contains("until") &&
         item["from"].is_string() && item["until"].is_string();
}

void read_window(DocumentReader& reader, const std::string& place, const Json& item, ZoneOrder& order) {
  if (!is_window_of_texts(item)) {
    reader.error(place, "must have 'from' and 'until', and nothing else");
    return;
  }
  auto from = read_utc(item["from"].get<std::string>());
  auto until = read_utc(item["until"].get<std::string>());
  if (!from.ok())
    reader.error(place + "/from", std::string(from.status().message()));
  if (!until.ok())
    reader.error(place + "/until", std::string(until.status().message()));
  if (!from.ok() || !until.ok())
    return;
  if (*until <= *from)
    reader.error(place + "/until", "must be after 'from'");
  order.windows.push_back({*from, *until});
}

void read_windows(DocumentReader& reader, ZoneOrder& order) {
  const Json* windows = reader.find("/windows");
  if (windows == nullptr)
    return;
  if (!windows->is_array() || windows->size() > most_windows) {
    reader.error("/windows", "must be a list of at most 400 windows");
    return;
  }
  for (std::size_t i = 0; i < windows->size(); ++i)
    read_window(reader, "/windows/" + std::to_string(i), (*windows)[i], order);
}

bool is_port(const std::string& text) {
  if (text.empty() || text.size() > 5 || text.find_first_not_of("0123456789") != std::string::npos)
    return false;
  int port = std::stoi(text);
  return port > 0 && port <= highest_port;
}

// Example: is_number_address("10.0.0.1:80") and is_number_address("[::1]:80"), but not of "host:80"
bool is_number_address(const std::string& address) {
  auto colon = address.rfind(':');
  if (colon == std::string::npos)
    return false;
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    host = host.substr(1, host.size() - 2);
  unsigned char number[sizeof(in6_addr)];
  bool is_host = ::inet_pton(AF_INET, host.c_str(), number) == 1 || ::inet_pton(AF_INET6, host.c_str(), number) == 1;
  return is_host && is_port(address.substr(colon + 1));
}

}  // namespace

std::optional<ServingPlan> read_plan(const std::string& name, const std::string& body, std::vector<Finding>& findings,
                                     bool is_lenient) {
  DocumentReader reader(document_name(plans_kind, name), body, findings);
  if (!reader.is_readable())
    return std::nullopt;
  reader.check_name(name);
  ServingPlan plan;
  plan.name.text = name;
  plan.service = reader.text("/service", true);
  read_match(reader, plan);
  read_headers(reader, plan);
  plan.pool.text = reader.text("/pool", true);
  read_home(reader, plan);
  read_treatment(reader, plan);
  refuse_contradictions(reader, plan);
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
  reader.check_name(name);
  ZoneOrder order;
  order.zone.text = name;
  std::string state = reader.text("/state", true);
  if (!state.empty() && state != "emptied" && state != "serving")
    reader.error("/state", "must be 'emptied' or 'serving'");
  order.is_window_open = reader.boolean("/window_open", false);
  order.is_evacuated = state == "emptied" || order.is_window_open;
  reader.text("/note", false);
  read_windows(reader, order);
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
  reader.check_name(name);
  RunnerEntry runner;
  runner.name.text = name;
  runner.http = reader.text("/address", true);
  if (!runner.http.empty() && !is_number_address(runner.http))
    reader.error("/address", "must be IP:PORT, by IP number");
  runner.pool.text = reader.text("/pool", true);
  runner.zone.text = reader.text("/zone", true);
  runner.region.text = reader.text("/region", true);
  runner.is_leaving = reader.boolean("/leaving", false);
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

}  // namespace emberdale
