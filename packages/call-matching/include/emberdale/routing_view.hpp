// The snapshot of the routing state for the data path, built from the slices of the placement map.
// Without I/O, clock or threads.
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

// What the dispatch threads know of the map: immutable, replaced whole.
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
  std::vector<GatewayRow> edges;   // the live control daemons, by the leader lease
  bool has_routing_table = false;  // a routing table is in force
  std::int64_t traffic_revision = 0;
  std::vector<Route> routes;
  std::map<PoolName, RoutePool> route_pools;
  RequestLimits limits;
};

// The slices of one data daemon, and the view built from them.
class SliceCache {
 public:
  // Applies a snapshot or delta of one slice; true if the slice changed.
  bool apply(const SliceUpdate& update);
  // The topics to subscribe to: "plans" and the pools that the plans name.
  std::vector<std::string> topics() const;
  // The same topics with the version of each slice.
  std::vector<TopicVersion> known() const;
  const std::shared_ptr<const RoutingView>& view() const { return view_; }
  MapVersion version() const { return view_->version; }
  // Of one topic, and of the topic that is furthest behind; the zero version for a topic that has not come yet.
  MapVersion version_of(const std::string& topic) const;
  MapVersion oldest_version() const;

 private:
  // A row of the routing table as it was read last.
  struct ParsedRoute {
    std::string text;
    Route route;
  };
  void rebuild_view();
  void add_global_rows(RoutingView& view);
  void add_plan(const std::string& body, RoutingView& view);
  void add_routing_table_row(const std::string& key, const std::string& body, RoutingView& view);
  void add_pool(const PoolName& name, RoutingView& view);
  void forget_unused(const RoutingView& view);

  std::map<std::string, SliceReplica> replicas_;  // by topic
  std::set<std::string> topics_{plans_topic};
  std::map<std::string, ParsedRoute> parsed_routes_;  // by key of the row
  std::shared_ptr<const RoutingView> view_ = std::make_shared<RoutingView>();
};

}  // namespace emberdale
