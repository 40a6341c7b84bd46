#include "routing_table_reader.hpp"

#include <limits>
#include <vector>

#include "routing_document.hpp"
#include "routing_table_check.hpp"

namespace emberdale {
namespace {

using Json = nlohmann::json;

constexpr std::int64_t max_share = 1000000000;  // so that no sum of shares overflows

constexpr const char* streaming_kind = "streaming";
constexpr const char* retry_safe_kind = "retry_safe";
constexpr const char* once_only_kind = "once_only";

void read_traffic_class(const Json& item, const std::string& place, FieldReader& reader, Route& route) {
  std::string kind = reader.text(item, place, "kind");
  bool is_known = kind == streaming_kind || kind == retry_safe_kind || kind == once_only_kind;
  if (!kind.empty() && !is_known)
    reader.error(place + "/kind", "must be 'streaming', 'retry_safe' or 'once_only'");
  route.is_streaming = kind == streaming_kind;
  route.is_resumable = reader.boolean(item, place, "resumable", route.is_resumable);
  route.is_sticky = reader.boolean(item, place, "sticky", route.is_sticky);
  route.is_repeatable = kind == retry_safe_kind || (route.is_streaming && route.is_resumable);
}

void read_weighted_pools(const Json& shares, const std::string& place, FieldReader& reader, Route& route) {
  std::int64_t sum = 0;
  bool is_sum_known = true;
  for (std::size_t i = 0; i < shares.size(); ++i) {
    const Json& share = shares[i];
    std::string share_place = item_place(place, i);
    if (!share.is_object()) {
      reader.error(share_place, "must be an object with 'pool' and 'share'");
      is_sum_known = false;
      continue;
    }
    PoolShare pool_share{PoolName{reader.text(share, share_place, "pool")}, 1};
    pool_share.share = reader.integer(share, share_place, "share", 1, 0, max_share);
    sum += pool_share.share;
    route.pools.push_back(pool_share);
  }
  if (sum == 0 && is_sum_known)
    reader.error(place, "the shares must sum above 0");
}

// Either one "pool", or a list of weighted "pools".
void read_route_pools(const Json& item, const std::string& place, FieldReader& reader, Route& route) {
  bool has_pool = item.contains("pool");
  bool has_list = item.contains("pools");
  if (has_pool && has_list)
    reader.error(place + "/pools", "stands beside 'pool': name one of them");
  if (!has_pool && !has_list)
    reader.error(place + "/pool", "is required, or 'pools'");
  if (has_pool)
    route.pools.push_back({PoolName{reader.text(item, place, "pool")}, 1});
  if (const Json* shares = reader.part(item, place, "pools", Json::value_t::array))
    read_weighted_pools(*shares, place + "/pools", reader, route);
}

void read_home_regions(const Json& item, const std::string& place, FieldReader& reader, Route& route) {
  const Json* homes = reader.part(item, place, "home_regions", Json::value_t::array);
  if (homes == nullptr)
    return;
  for (std::size_t i = 0; i < homes->size(); ++i) {
    const Json& home = (*homes)[i];
    if (!home.is_string() || home.get_ref<const std::string&>().empty())
      reader.error(item_place(place + "/home_regions", i), "must be text that is not empty");
    else
      route.homes.push_back(RegionName{home.get<std::string>()});
  }
}

// Reads one item alone, as it travels in a row of the placement map.
template <class Value, class Read>
std::optional<Value> read_single_item(const std::string& body, Read read) {
  std::vector<Finding> findings;
  auto json = parse_routing_document(body, findings);
  if (!json)
    return std::nullopt;
  FieldReader reader(findings);
  Value value = read(*json, "", reader);
  if (!reader.is_sound())
    return std::nullopt;
  return value;
}

}  // namespace

Route read_route(const Json& item, const std::string& place, FieldReader& reader) {
  Route route;
  if (!item.is_object()) {
    reader.error(place, "must be an object");
    return route;
  }
  route.name = reader.text(item, place, "name");
  route.host = reader.text(item, place, "host");
  route.path_prefix = reader.text(item, place, "path_prefix");
  if (!route.path_prefix.empty() && (route.path_prefix.front() != '/' || route.path_prefix.back() != '/'))
    reader.error(place + "/path_prefix", "must begin and end with '/'");
  read_traffic_class(item, place, reader, route);
  route.deadline_ms = reader.required_integer(item, place, "horizon_ms", route.deadline_ms, 1);
  route.target_ms = reader.integer(item, place, "target_ms", route.target_ms, 0);
  route.gap_ms = reader.integer(item, place, "gap_ms", route.gap_ms, 0);
  route.rank = reader.integer(item, place, "rank", route.rank, 0);
  route.max_sends = reader.integer(item, place, "max_sends", route.max_sends, 1);
  read_route_pools(item, place, reader, route);
  read_home_regions(item, place, reader, route);
  return route;
}

RoutePool read_pool(const Json& item, const std::string& place, FieldReader& reader) {
  RoutePool pool;
  if (!item.is_object()) {
    reader.error(place, "must be an object");
    return pool;
  }
  pool.name.text = reader.text(item, place, "name");
  pool.health_path = reader.text(item, place, "health_path", false, pool.health_path);
  if (pool.health_path[0] != '/')
    reader.error(place + "/health_path", "must begin with '/'");
  pool.max_connections = reader.integer(item, place, "max_links", pool.max_connections, 0);
  pool.warmup_s = reader.seconds(item, place, "warmup_s", pool.warmup_s);
  pool.warmup_requests_per_s = reader.seconds(item, place, "cold_per_s", pool.warmup_requests_per_s);
  if (const Json* runtime = reader.part(item, place, "runtime", Json::value_t::object)) {
    pool.slots = reader.integer(*runtime, place + "/runtime", "slots", pool.slots, 0);
    pool.memory_tokens = reader.integer(*runtime, place + "/runtime", "memory_tokens", pool.memory_tokens, 0);
  }
  return pool;
}

RequestLimits read_limits(const Json& item, const std::string& place, FieldReader& reader) {
  RequestLimits limits;
  limits.max_header_bytes = reader.integer(item, place, "max_header_bytes", limits.max_header_bytes, 1);
  limits.max_body_bytes = reader.integer(item, place, "max_body_bytes", limits.max_body_bytes, 0);
  limits.header_timeout_ms = reader.integer(item, place, "header_timeout_ms", limits.header_timeout_ms, 1);
  limits.idle_timeout_ms = reader.integer(item, place, "idle_timeout_ms", limits.idle_timeout_ms, 1);
  return limits;
}

std::int64_t read_revision(const Json& document, FieldReader& reader) {
  return reader.required_integer(document, "", "revision", 0, 1, std::numeric_limits<std::int64_t>::max());
}

std::optional<RoutingTable> read_routing_table(const std::string& body, std::vector<Finding>& findings) {
  auto document = parse_routing_document(body, findings);
  if (!document)
    return std::nullopt;
  std::size_t first = findings.size();
  auto table = check_routing_document(*document, findings);
  set_positions(body, first, findings);
  return table;
}

std::optional<Route> read_route_document(const std::string& body) { return read_single_item<Route>(body, read_route); }

std::optional<RoutePool> read_route_pool(const std::string& body) {
  return read_single_item<RoutePool>(body, read_pool);
}

RequestLimits read_request_limits(const std::string& body) {
  std::vector<Finding> findings;
  auto json = parse_routing_document(body, findings);
  FieldReader reader(findings);
  return json ? read_limits(*json, "", reader) : RequestLimits{};
}

}  // namespace emberdale
