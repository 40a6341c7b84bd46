#include "emberdale/routing_view.hpp"

#include <algorithm>
#include <set>

#include "emberdale/avro_codec.hpp"

namespace emberdale {
namespace {

// Keys of the rows of the "plans" slice.
constexpr const char* plan_prefix = "plan/";
constexpr const char* gateway_prefix = "gateway/";
constexpr const char* edge_prefix = "edge/";
constexpr const char* master_key = "master";
constexpr const char* routing_table_prefix = "traffic/";
// Keys of the rows of the routing table, behind its prefix.
constexpr const char* route_prefix = "route/";
constexpr const char* pool_prefix = "pool/";
constexpr const char* limits_key = "limits";
constexpr const char* revision_key = "revision";

bool starts_with(const std::string& text, const std::string& prefix) { return text.rfind(prefix, 0) == 0; }

std::set<PoolName> pools_of(const RoutingView& view) {
  std::set<PoolName> pools;
  for (const auto& plan : view.plans)
    pools.insert(plan.pool);
  for (const auto& [name, pool] : view.route_pools)
    pools.insert(name);
  return pools;
}

}  // namespace

bool SliceCache::apply(const SliceUpdate& update) {
  if (!replicas_[update.topic].apply(update))
    return false;
  rebuild_view();
  return true;
}

std::vector<std::string> SliceCache::topics() const { return {topics_.begin(), topics_.end()}; }

MapVersion SliceCache::version_of(const std::string& topic) const {
  auto replica = replicas_.find(topic);
  return replica == replicas_.end() ? MapVersion{} : replica->second.version();
}

MapVersion SliceCache::oldest_version() const {
  MapVersion oldest = version_of(plans_topic);
  for (const auto& topic : topics_)
    oldest = std::min(oldest, version_of(topic));
  return oldest;
}

std::vector<TopicVersion> SliceCache::known() const {
  std::vector<TopicVersion> known;
  for (const auto& topic : topics())
    known.push_back({topic, version_of(topic)});
  return known;
}

// Routes that have not changed are not parsed anew: a table may have thousands of them.
void SliceCache::add_routing_table_row(const std::string& key, const std::string& body, RoutingView& view) {
  if (starts_with(key, route_prefix)) {
    ParsedRoute& parsed = parsed_routes_[key];
    if (parsed.text != body) {
      auto route = read_route_document(body);
      if (!route)
        return;
      parsed = {body, std::move(*route)};
    }
    view.routes.push_back(parsed.route);
  } else if (starts_with(key, pool_prefix)) {
    if (auto pool = read_route_pool(body))
      view.route_pools[pool->name] = std::move(*pool);
  } else if (key == limits_key) {
    view.limits = read_request_limits(body);
  } else if (key == revision_key) {
    view.has_routing_table = true;
    view.traffic_revision = std::strtoll(body.c_str(), nullptr, 10);
  }
}

void SliceCache::add_plan(const std::string& body, RoutingView& view) {
  auto row = decode_plan_row(body);
  if (!row)
    return;
  std::vector<Finding> findings;  // the master checked the plan; what it let through is valid
  auto plan = read_plan(row->name.text, row->body, findings);
  if (!plan)
    return;
  view.plan_versions[plan->name] = row->version;
  view.plans.push_back(std::move(*plan));
}

void SliceCache::add_global_rows(RoutingView& view) {
  for (const auto& [key, body] : replicas_[plans_topic].rows()) {
    if (starts_with(key, plan_prefix)) {
      add_plan(body, view);
    } else if (starts_with(key, gateway_prefix)) {
      if (auto row = decode_gateway_row(body))
        view.gateways.push_back(std::move(*row));
    } else if (key == master_key) {
      if (auto row = decode_gateway_row(body))
        view.master = row->daemon;
    } else if (starts_with(key, edge_prefix)) {
      if (auto row = decode_gateway_row(body))
        view.edges.push_back(std::move(*row));
    } else if (starts_with(key, routing_table_prefix)) {
      add_routing_table_row(key.substr(std::string(routing_table_prefix).size()), body, view);
    } else if (auto row = decode_region_row(body)) {
      view.regions[{row->pool, row->region}] = *row;
    }
  }
}

// Drops the slices and parsed routes that the new view has no use for.
void SliceCache::forget_unused(const RoutingView& view) {
  topics_ = {plans_topic};
  for (const auto& pool : pools_of(view))
    topics_.insert(pool_topic(pool));
  const auto& rows = replicas_[plans_topic].rows();
  for (auto entry = parsed_routes_.begin(); entry != parsed_routes_.end();)
    entry = rows.count(routing_table_prefix + entry->first) == 0 ? parsed_routes_.erase(entry) : std::next(entry);
  for (auto entry = replicas_.begin(); entry != replicas_.end();)
    entry = topics_.count(entry->first) == 0 ? replicas_.erase(entry) : std::next(entry);
}

void SliceCache::add_pool(const PoolName& name, RoutingView& view) {
  const SliceReplica& replica = replicas_[pool_topic(name)];
  view.version = std::min(view.version, replica.version());
  view.config_revision = std::min(view.config_revision, replica.config_revision());
  auto& pool = view.pools[name];
  for (const auto& [key, body] : replica.rows()) {
    auto row = decode_runner_row(body);
    if (!row)
      continue;
    pool.push_back(row->name);
    view.runners[row->name] = std::move(*row);
  }
}

void SliceCache::rebuild_view() {
  auto view = std::make_shared<RoutingView>();
  const SliceReplica& plans = replicas_[plans_topic];
  view->version = plans.version();
  view->config_revision = plans.config_revision();
  add_global_rows(*view);
  forget_unused(*view);
  // A plan that names a new pool is not used before the pool's slice is here: until then the old view serves, as long
  // as its grant lasts. (Using it at once sent every daemon back to version 0.)
  for (const auto& topic : topics_)
    if (replicas_[topic].version() == MapVersion{})
      return;
  for (const auto& name : pools_of(*view))
    add_pool(name, *view);
  // A pool that has just come in from a shard owner that lags would take the whole view back.
  if (view->version < view_->version)
    return;
  view_ = std::move(view);
}

}  // namespace emberdale
