// The routing table: routes by host and path prefix, the pools that they name, and limits. One document that is
// replaced whole or amended by name; its versions are the operator's own revisions, which rise unevenly. Without I/O,
// clock or threads.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "emberdale/messages.hpp"
#include "emberdale/serving_plans.hpp"

namespace emberdale {

inline constexpr const char* routing_table_name = "current";

// One of the weighted pools of a route.
struct PoolShare {
  PoolName pool;
  std::int64_t share = 1;  // its weight beside the other shares of the route
};

// Which requests belong together, and how they are treated. Times are milliseconds.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;           // begins and ends with a slash
  bool is_repeatable = false;        // kind "retry_safe", or "streaming" that may be resumed
  bool is_streaming = false;         // kind "streaming": the response is an event stream
  bool is_resumable = false;         // an event stream may be resumed after its last event
  bool is_sticky = false;            // session affinity
  std::int64_t deadline_ms = 10000;  // the longest that a request is held
  std::int64_t target_ms = 1000;     // latency objective: within it a response earns its full worth
  std::int64_t gap_ms = 0;           // longest pause between events that is still in time; 0: none stated
  std::int64_t rank = 5;             // priority, 0 is first
  std::int64_t max_sends = 1;        // runners that one request may be sent to
  std::vector<PoolShare> pools;      // never empty; shares sum above 0
  std::vector<RegionName> homes;     // allowed regions (data residency); empty: all
};

// A pool of runners (backends) that routes name.
struct RoutePool {
  PoolName name;
  std::string health_path = "/health";
  std::int64_t max_connections = 0;  // that a runner takes from all daemons together; 0: not stated
  double warmup_s = 0;               // slow-start window, seconds; 0: none
  double warmup_requests_per_s = 0;  // slow-start rate of one runner; 0: none
  std::int64_t slots = 0;            // concurrency of a model runner; 0: not stated
  std::int64_t memory_tokens = 0;    // size of its key-value cache in tokens; 0: not stated
};

// Limits of the listener for requests.
struct RequestLimits {
  std::int64_t max_header_bytes = 16384;
  std::int64_t max_body_bytes = 4 << 20;
  std::int64_t header_timeout_ms = 3000;
  std::int64_t idle_timeout_ms = 15000;
};

struct RoutingTable {
  std::int64_t revision = 0;
  std::vector<Route> routes;
  std::vector<RoutePool> pools;
  RequestLimits limits;
};

// Reads one document, e.g.
//   {"revision":7,
//    "routes":[{"name":"r1","host":"a.example","path_prefix":"/x/","kind":"streaming","horizon_ms":8000,
//      "target_ms":1000,"rank":1,"pools":[{"pool":"m","share":90},{"pool":"n","share":10}],"max_sends":1,"sticky":true,
//      "resumable":false,"gap_ms":400,"home_regions":["north"]},
//     {"name":"r2", ..., "pool":"m"}],
//    "pools":[{"name":"m","health_path":"/health","max_links":390,"warmup_s":3.0,"cold_per_s":45.0,
//      "runtime":{"slots":64,"memory_tokens":319818}}],
//    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
// Fields that are not known are kept in the document and passed over here. All findings come together, each
// with its place; a value comes only without errors. An error is: not readable as JSON (or nested too deep),
// a field missing (of the lists and parts of the document, "limits" alone may be) or of the wrong kind, a route that
// names an unknown pool, two routes with the same host and prefix, two items of one name, shares that sum to 0, a
// deadline of 0, a revision that is no positive integer.
std::optional<RoutingTable> read_routing_table(const std::string& body, std::vector<Finding>& findings);

// One route or pool alone, as it travels in a row of the placement map; nothing if it can't be read.
// Example: read_route_document(R"({"name":"r1",...})")->deadline_ms == 8000
std::optional<Route> read_route_document(const std::string& body);
std::optional<RoutePool> read_route_pool(const std::string& body);
RequestLimits read_request_limits(const std::string& body);  // what can't be read keeps its default

// A part of the document as a row of the placement map.
struct RoutingTableRow {
  std::string key;   // "route/NAME", "pool/NAME", "limits" or "revision"
  std::string body;  // JSON
  friend bool operator<(const RoutingTableRow& left, const RoutingTableRow& right) {
    return std::tie(left.key, left.body) < std::tie(right.key, right.body);
  }
};

// The document cut into rows, sorted by key; none if it can't be read.
// Example: split_routing_table(body).front().key == "limits"
std::vector<RoutingTableRow> split_routing_table(const std::string& body);

// A change worked out on the stored document (empty: none yet), which builds on revision `base` (0 for the first).
//   action "replace": `body` is the whole next document.
//   action "amend": {"revision":9,"upsert":{"routes":[..],"pools":[..]},"remove":{"routes":["r-old"]}}: items are added
//   or replaced by name; removing a name that is not there is an error; "limits" may stand in upsert as an object.
// Codes: 200 applied; 412 another revision is current; 400 invalid, also a revision not above the current one; 504 it
// may have been applied, too long ago to tell. The result keeps (in the resource's text, beside the document) what was
// applied, see IdempotencyHistory, so that the same change sent again is answered 200 without effect, also after others
// were built on it. The same change is the same action, base and JSON; layout and order of members do not count.
struct RoutingTableChange {
  int code = 200;
  bool is_repeat = false;     // applied before: nothing changes
  std::string stored;         // the resource's next text (code 200 and not a repeat)
  std::int64_t revision = 0;  // the current one after this change
  std::vector<Finding> findings;
  std::string reason;  // why the code is not 200
};
RoutingTableChange change_routing_table(const std::string& stored, const std::string& action, std::int64_t base,
                                        const std::string& body);

// The operator's document within the resource's text, exactly as it is applied; "" if there is none.
std::string routing_table_document(const std::string& stored);

// The route of the host whose prefix begins the path and is longest; null if there is none. The host is compared
// without case and without a port. Example: find_route(routes, "a.example:80", "/x/y")->name == "r1"
const Route* find_route(const std::vector<Route>& routes, const std::string& host, const std::string& path);

// The pool of one request by the shares: the same for the same key in every daemon.
const PoolName& choose_pool(const Route& route, const std::string& key);

}  // namespace emberdale
