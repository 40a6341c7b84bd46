#include "emberdale/serving_plans.hpp"

#include <time.h>

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "emberdale/json_text.hpp"

namespace emberdale {

bool is_too_deep(const std::string& text) {
  std::int64_t depth = 0;  // below 0 in a text that closes more than it opens
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
      if (++depth > static_cast<std::int64_t>(max_document_depth))
        return true;
    } else if (letter == '}' || letter == ']') {
      --depth;
    }
  }
  return false;
}

absl::StatusOr<std::int64_t> read_utc(const std::string& text) {
  std::tm parts{};
  int used = 0;
  if (std::sscanf(text.c_str(), "%4d-%2d-%2dT%2d:%2d:%2dZ%n", &parts.tm_year, &parts.tm_mon, &parts.tm_mday,
                  &parts.tm_hour, &parts.tm_min, &parts.tm_sec, &used) != 6 ||
      used != 20 || text.size() != 20)
    return absl::InvalidArgumentError("must be a UTC time like 2026-12-02T01:00:00Z");
  parts.tm_year -= 1900;
  parts.tm_mon -= 1;
  std::int64_t seconds = ::timegm(&parts);
  if (show_utc(seconds) != text)
    return absl::InvalidArgumentError("there is no such day or time");
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

std::string findings_json(const std::vector<Finding>& findings) {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& finding : findings)
    list.push_back({{"severity", finding.severity},
                    {"document", finding.document},
                    {"place", finding.place},
                    {"line", finding.line},
                    {"column", finding.column},
                    {"message", finding.message}});
  return json_text(list);
}

void set_position(Finding& finding, TextPosition position) {
  finding.line = position.line;
  finding.column = position.column;
}

TextPosition position_in_document(const std::string& body, const std::string& place) {
  return JsonSourceMap(body, PointerSyntax::verbatim).position_of(place);
}

bool has_errors(const std::vector<Finding>& findings) {
  return std::any_of(findings.begin(), findings.end(), [](const Finding& f) { return f.severity == "error"; });
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
