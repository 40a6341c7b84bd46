#include "emberdale/routing_view.hpp"

#include <algorithm>
#include <set>

#include "emberdale/avro_codec.hpp"

namespace emberdale {

bool SliceCache::apply(const SliceUpdate& update) {
  if (!holders_[update.topic].apply(update))
    return false;
  fold();
  return true;
}

std::vector<std::string> SliceCache::topics() const { return {topics_.begin(), topics_.end()}; }

MapVersion SliceCache::version_of(const std::string& topic) const {
  auto holder = holders_.find(topic);
  return holder == holders_.end() ? MapVersion{} : holder->second.version();
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

// Rows that have not changed are not read anew: a table may have thousands of routes.
void SliceCache::fold_routing_table(const std::string& key, const std::string& body, RoutingView& view) {
  if (key.rfind("route/", 0) == 0) {
    auto& known = read_routes_[key];
    if (known.first != body) {
      auto route = read_route_document(body);
      if (!route)
        return;
      known = {body, std::move(*route)};
    }
    view.routes.push_back(known.second);
  } else if (key.rfind("pool/", 0) == 0) {
    if (auto pool = read_route_pool(body))
      view.route_pools[pool->name] = std::move(*pool);
  } else if (key == "limits") {
    view.limits = read_request_limits(body);
  } else if (key == "revision") {
    view.has_routing_table = true;
    view.traffic_revision = std::strtoll(body.c_str(), nullptr, 10);
  }
}

void SliceCache::fold() {
  auto view = std::make_shared<RoutingView>();
  const auto& plans = holders_[plans_topic];
  view->version = plans.version();
  view->config_revision = plans.config_revision();
  std::vector<Finding> findings;  // the master checked them; what it let through is sound
  for (const auto& [key, body] : plans.rows()) {
    if (key.rfind("plan/", 0) == 0) {
      auto row = decode_plan_row(body);
      if (!row)
        continue;
      if (auto plan = read_plan(row->name.text, row->body, findings)) {
        view->plan_versions[plan->name] = row->version;
        view->plans.push_back(std::move(*plan));
      }
    } else if (key.rfind("gateway/", 0) == 0) {
      if (auto row = decode_gateway_row(body))
        view->gateways.push_back(std::move(*row));
    } else if (key == "master") {
      if (auto row = decode_gateway_row(body))
        view->master = row->daemon;
    } else if (key.rfind("edge/", 0) == 0) {
      if (auto row = decode_gateway_row(body))
        view->edges.push_back(std::move(*row));
    } else if (key.rfind("traffic/", 0) == 0) {
      fold_routing_table(key.substr(8), body, *view);
    } else if (auto row = decode_region_row(body)) {
      view->regions[{row->pool, row->region}] = *row;
    }
  }
  topics_ = {plans_topic};
  std::set<PoolName> pools;
  for (const auto& plan : view->plans)
    pools.insert(plan.pool);
  for (const auto& [name, pool] : view->route_pools)
    pools.insert(name);
  for (const auto& pool : pools)
    topics_.insert(pool_topic(pool));
  for (auto entry = read_routes_.begin(); entry != read_routes_.end();) {
    if (plans.rows().count("traffic/" + entry->first) == 0)
      entry = read_routes_.erase(entry);
    else
      ++entry;
  }
  for (auto entry = holders_.begin(); entry != holders_.end();) {
    if (topics_.count(entry->first) == 0)
      entry = holders_.erase(entry);
    else
      ++entry;
  }
  // A plan that names a new pool is not looked at before the pool is here: until then the old view
  // serves, as long as its grant lasts. (Folding it at once sent every daemon back to version 0.)
  for (const auto& topic : topics_)
    if (holders_[topic].version() == MapVersion{})
      return;
  for (const auto& name : pools) {
    const auto& holder = holders_[pool_topic(name)];
    view->version = std::min(view->version, holder.version());
    view->config_revision = std::min(view->config_revision, holder.config_revision());
    auto& pool = view->pools[name];
    for (const auto& [key, body] : holder.rows()) {
      auto row = decode_runner_row(body);
      if (!row)
        continue;
      pool.push_back(row->name);
      view->runners[row->name] = std::move(*row);
    }
  }
  // A pool that has just come in from a home that lags would take the whole back.
  if (view->version < view_->version)
    return;
  view_ = std::move(view);
}

}  // namespace emberdale
