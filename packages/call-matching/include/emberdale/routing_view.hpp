// What the traffic threads see of the map: immutable, swapped whole.
#pragma once
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "emberdale/placement_slices.hpp"
#include "emberdale/routing_table.hpp"
#include "emberdale/serving_plans.hpp"

namespace emberdale {

struct RoutingView {
  MapVersion version;  // the oldest of its slices: all of it is at least that new
  std::int64_t config_revision = 0;
  Address master;  // who wrote it
  std::vector<ServingPlan> plans;
  std::map<PlanName, std::int64_t> plan_versions;
  std::map<RunnerName, RunnerRow> runners;
  std::map<PoolName, std::vector<RunnerName>> pools;
  std::map<std::pair<PoolName, RegionName>, RegionRow> regions;
  std::vector<GatewayRow> gateways;
  std::vector<GatewayRow> edges;   // the control daemons that live, by the leader lease
  bool has_routing_table = false;  // a traffic table is in force
  std::int64_t traffic_revision = 0;
  std::vector<Route> routes;
  std::map<PoolName, RoutePool> route_pools;
  RequestLimits limits;
};

// The slices of one data daemon, and the view folded from them.
// Example: SliceCache book; if (book.apply(news)) swap_in(book.view());
class SliceCache {
 public:
  // True when the view changed. Example: book.apply(std::get<SliceUpdate>(message))
  bool apply(const SliceUpdate& update);
  std::vector<std::string> topics() const;  // "plans" and the pools that the plans name
  std::vector<TopicVersion> known() const;
  const std::shared_ptr<const RoutingView>& view() const { return view_; }
  MapVersion version() const { return view_->version; }
  // Of one topic, and of the topic that is furthest behind; none of a topic that has not come yet.
  MapVersion version_of(const std::string& topic) const;
  MapVersion oldest_version() const;

 private:
  void fold();
  void fold_routing_table(const std::string& key, const std::string& body, RoutingView& view);
  std::map<std::string, SliceReplica> holders_;
  std::set<std::string> topics_{plans_topic};
  std::map<std::string, std::pair<std::string, Route>> read_routes_;  // by key: the row's text, and what it says
  std::shared_ptr<const RoutingView> view_ = std::make_shared<RoutingView>();
};

}  // namespace emberdale
