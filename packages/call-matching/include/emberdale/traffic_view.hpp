// What the traffic threads see of the map: immutable, swapped whole.
#pragma once
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "emberdale/map_slices.hpp"
#include "emberdale/serving_plans.hpp"
#include "emberdale/traffic_table.hpp"

namespace emberdale {

struct TrafficView {
  MapVersion version;  // the oldest of its slices: all of it is at least that new
  Integer config_revision = 0;
  Address master;  // who wrote it
  std::vector<ServingPlan> plans;
  std::map<PlanName, Integer> plan_versions;
  std::map<RunnerName, RunnerRow> runners;
  std::map<PoolName, std::vector<RunnerName>> pools;
  std::map<std::pair<PoolName, RegionName>, RegionRow> regions;
  std::vector<GatewayRow> gateways;
  std::vector<GatewayRow> edges;  // the control daemons that live, by the leader lease
  bool has_traffic = false;       // a traffic table is in force
  Integer traffic_revision = 0;
  std::vector<TrafficRoute> routes;
  std::map<PoolName, TrafficPool> traffic_pools;
  TrafficLimits limits;
};

// The slices of one data daemon, and the view folded from them.
// Example: SliceBook book; if (book.apply(news)) swap_in(book.view());
class SliceBook {
 public:
  // True when the view changed. Example: book.apply(std::get<SliceNews>(message))
  bool apply(const SliceNews& news);
  std::vector<std::string> topics() const;  // "plans" and the pools that the plans name
  std::vector<TopicKnown> known() const;
  const std::shared_ptr<const TrafficView>& view() const { return view_; }
  MapVersion version() const { return view_->version; }
  // Of one topic, and of the topic that is furthest behind; none of a topic that has not come yet.
  MapVersion version_of(const std::string& topic) const;
  MapVersion oldest_version() const;

 private:
  void fold();
  void fold_traffic(const std::string& key, const std::string& body, TrafficView& view);
  std::map<std::string, SliceHolder> holders_;
  std::set<std::string> topics_{plans_topic};
  std::map<std::string, std::pair<std::string, TrafficRoute>> read_routes_;  // by key: the row's text, and what it says
  std::shared_ptr<const TrafficView> view_ = std::make_shared<TrafficView>();
};

}  // namespace emberdale
