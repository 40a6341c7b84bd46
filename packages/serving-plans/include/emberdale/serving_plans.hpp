// Serving plans, zone orders and runners as operators declare them: reading, checking, matching.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "emberdale/json_source_map.hpp"
#include "emberdale/messages.hpp"

namespace emberdale {

// One thing that is wrong (or looks wrong) in a document, with its place.
struct Finding {
  std::string severity;  // "error" or "warning"
  std::string document;  // e.g. "serving-plans/manifest-check"
  std::string place;     // a JSON pointer, e.g. "/spill/limit_percent"
  int line = 0, column = 0;
  std::string message;
};

// Gives the finding its line and column.
void set_position(Finding& finding, TextPosition position);
// The position of the value that a finding's place names in a document that parses, or of the nearest value around it.
// Keys in the place stand as they are, without the escapes of RFC 6901.
// Example: position_in_document("{\n \"a\": 1}", "/a") == TextPosition{2, 7}
TextPosition position_in_document(const std::string& body, const std::string& place);

// The findings as a JSON array, for operators and their tools.
// Example: {"severity":"error","document":"zone-orders/a","place":"/state","line":1,"column":11,...}
std::string findings_json(const std::vector<Finding>& findings);
bool has_errors(const std::vector<Finding>& findings);

struct ServingPlan {
  PlanName name;
  std::string service;
  std::string path, method;
  std::map<std::string, std::string> headers;
  PoolName pool;
  RegionName home;          // work with a home region; empty: free, or by header
  std::string home_header;  // the header that names the home region of one call
  bool may_spill = false;
  std::int64_t spill_percent = 0;
  bool is_repeatable = false;
  bool is_streaming = false;
  std::int64_t deadline_ms = 10000;
  std::int64_t prefix_bytes = 0;
  std::int64_t max_body_bytes = 1 << 20;
};

// A span of wall-clock time, seconds since 1970 in UTC.
struct MaintenanceWindow {
  std::int64_t from = 0, until = 0;
};

struct ZoneOrder {
  ZoneName zone;
  bool is_evacuated = false;    // by its state, or by a window that the master has opened
  bool is_window_open = false;  // what the master wrote last
  std::vector<MaintenanceWindow> windows;
  // Example: order.wants_window(1764633600)
  bool wants_window(std::int64_t wall_seconds) const {
    for (const auto& window : windows)
      if (window.from <= wall_seconds && wall_seconds < window.until)
        return true;
    return false;
  }
};

// Example: read_utc("2026-12-02T01:00:00Z") == 1796173200; anything else is refused with a reason
Outcome<std::int64_t> read_utc(const std::string& text);
// Example: show_utc(1796173200) == "2026-12-02T01:00:00Z"
std::string show_utc(std::int64_t seconds);

struct RunnerEntry {
  RunnerName name;
  std::string http;
  PoolName pool;
  ZoneName zone;
  RegionName region;
  bool is_leaving = false;
  std::string seal_key;
};

// Each reads one document and adds all its findings; gives a value only without errors.
// Example: auto plan = read_plan("p", R"({"service":"s",...})", findings);
// `is_lenient`: also with errors, as far as it can be read, so that the rules between documents
// add their findings to the same report.
std::optional<ServingPlan> read_plan(const std::string& name, const std::string& body, std::vector<Finding>& findings,
                                     bool is_lenient = false);
std::optional<ZoneOrder> read_order(const std::string& name, const std::string& body, std::vector<Finding>& findings);
std::optional<RunnerEntry> read_runner(const std::string& name, const std::string& body,
                                       std::vector<Finding>& findings);

// All documents of a state read into aggregates. Example: read_configuration(state.resources, findings).plans
struct Configuration {
  std::vector<ServingPlan> plans;
  std::vector<ZoneOrder> orders;
  std::vector<RunnerEntry> runners;
};
Configuration read_configuration(const std::vector<Resource>& resources, std::vector<Finding>& findings);

// The rules between documents. Example: cross_check(configuration, findings)
void cross_check(const Configuration& configuration, std::vector<Finding>& findings);

// The deepest nesting of objects and arrays that a document may have. Documents are a few levels deep; a text that is
// nested without end would use up the stack of a recursive reader.
inline constexpr std::size_t max_document_depth = 32;
// Whether the text is nested deeper than max_document_depth. It need not be valid JSON.
bool is_too_deep(const std::string& text);

// JSON merge patch (RFC 7396). Example: *merge_patch(R"({"a":1})", R"({"a":null})") == "{}"
Outcome<std::string> merge_patch(const std::string& body, const std::string& patch);

// One declared change worked out on a state: the resources after it, or why not.
struct EditResult {
  int code = 200;  // 200, 201, 400, 404, 412, 422
  std::int64_t version = 0;
  std::vector<Resource> resources;
  std::int64_t deleted_version = 0;  // the highest version any deleted resource had: new ones start above it
  std::vector<Finding> findings;
  std::string reason;
};
// Example: apply_edit(state, edit, state.config_revision + 1).code == 412 for a stale version
EditResult apply_edit(const FleetState& state, const EditRequest& edit, std::int64_t revision);

// Which plan claims a call. Example: match_plan(plans, "POST", "/v1/chats", headers)
struct PlanMatch {
  const ServingPlan* plan = nullptr;
  bool is_path_known = false;  // some plan has the path, with another method or headers
};
PlanMatch match_plan(const std::vector<ServingPlan>& plans, const std::string& method, const std::string& path,
                     const std::map<std::string, std::string>& headers);

}  // namespace emberdale
