// Serving plans, zone orders and runners as operators declare them: reading, checking, changing, matching.
// Without I/O, clock or threads.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "emberdale/json_source_map.hpp"
#include "emberdale/messages.hpp"

namespace emberdale {

// One thing that is wrong (an error) or looks wrong (a warning) in a document, with its place.
struct Finding {
  std::string severity;  // "error" or "warning"
  std::string document;  // e.g. "serving-plans/manifest-check"
  std::string place;     // a JSON pointer, e.g. "/spill/limit_percent"
  int line = 0;          // from 1; 0: unknown
  int column = 0;
  std::string message;  // for the operator
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

// A virtual service: which requests it claims, the pool that serves them, and how they are treated.
struct ServingPlan {
  PlanName name;
  std::string service;
  std::string path;
  std::string method;
  std::map<std::string, std::string> headers;  // that a request must have, by their names in lower case
  PoolName pool;
  RegionName home;          // home region (data residency); empty: any, or by header
  std::string home_header;  // the header that names the home region of a request
  bool may_spill = false;   // whether requests may go to another region
  std::int64_t spill_percent = 0;
  bool is_repeatable = false;
  bool is_streaming = false;
  std::int64_t deadline_ms = 10000;
  std::int64_t prefix_bytes = 0;
  std::int64_t max_body_bytes = 1 << 20;
};

// A period of wall-clock time, in seconds since 1970 in UTC, without its end.
struct MaintenanceWindow {
  std::int64_t from = 0;
  std::int64_t until = 0;
};

// The wanted state of a zone.
struct ZoneOrder {
  ZoneName zone;
  bool is_evacuated = false;    // by its state, or by a window that the master has opened
  bool is_window_open = false;  // what the master wrote last
  std::vector<MaintenanceWindow> windows;
  // Whether a window covers that time.
  bool wants_window(std::int64_t wall_seconds) const {
    for (const auto& window : windows)
      if (window.from <= wall_seconds && wall_seconds < window.until)
        return true;
    return false;
  }
};

// Seconds since 1970 of a time in UTC; InvalidArgument with the reason for any other text.
// Example: *read_utc("2026-12-02T01:00:00Z") == 1796173200
absl::StatusOr<std::int64_t> read_utc(const std::string& text);
// The text that read_utc reads. Example: show_utc(1796173200) == "2026-12-02T01:00:00Z"
std::string show_utc(std::int64_t seconds);

// A runner (backend) as operators declare it.
struct RunnerEntry {
  RunnerName name;
  std::string http;  // IP:PORT
  PoolName pool;
  ZoneName zone;
  RegionName region;
  bool is_leaving = false;  // draining
  std::string seal_key;     // of the message authentication code of its responses
};

// Each reads one document and adds all its findings; gives a value only without errors.
// `is_lenient`: also with errors, as far as it can be read, so that the rules between documents
// add their findings to the same report.
std::optional<ServingPlan> read_plan(const std::string& name, const std::string& body, std::vector<Finding>& findings,
                                     bool is_lenient = false);
std::optional<ZoneOrder> read_order(const std::string& name, const std::string& body, std::vector<Finding>& findings);
std::optional<RunnerEntry> read_runner(const std::string& name, const std::string& body,
                                       std::vector<Finding>& findings);

// All documents of a state, read.
struct Configuration {
  std::vector<ServingPlan> plans;
  std::vector<ZoneOrder> orders;
  std::vector<RunnerEntry> runners;
};
Configuration read_configuration(const std::vector<Resource>& resources, std::vector<Finding>& findings);

// Adds the findings of the rules between documents.
void cross_check(const Configuration& configuration, std::vector<Finding>& findings);

// The deepest nesting of objects and arrays that a document may have. Documents are a few levels deep; a text that is
// nested without end would use up the stack of a recursive reader.
inline constexpr std::size_t max_document_depth = 32;
// Whether the text is nested deeper than max_document_depth. It need not be valid JSON.
bool is_too_deep(const std::string& text);

// Applies a JSON merge patch (RFC 7396); InvalidArgument if one of the two is no JSON, or the patch is nested too deep.
// Example: *merge_patch(R"({"a":1})", R"({"a":null})") == "{}"
absl::StatusOr<std::string> merge_patch(const std::string& body, const std::string& patch);

// The result of a change on a state: the resources after it, or why it is refused.
struct EditResult {
  int code = 200;            // 200, 201, 400, 404, 412, 422
  std::int64_t version = 0;  // of the resource after the change
  std::vector<Resource> resources;
  std::int64_t deleted_version = 0;  // the highest version any deleted resource had: new ones start above it
  std::vector<Finding> findings;
  std::string reason;  // why it is refused
};
// Applies a change to a state; `revision` is that of the configuration after it.
// Example: apply_edit(state, edit, state.config_revision + 1).code == 412 for a stale version
EditResult apply_edit(const FleetState& state, const EditRequest& edit, std::int64_t revision);

struct PlanMatch {
  const ServingPlan* plan = nullptr;  // null: none claims the request
  bool is_path_known = false;         // some plan has the path, with another method or headers
};
// The plan that claims a request, the one with the most headers of several. Header names are in lower case.
PlanMatch match_plan(const std::vector<ServingPlan>& plans, const std::string& method, const std::string& path,
                     const std::map<std::string, std::string>& headers);

}  // namespace emberdale
