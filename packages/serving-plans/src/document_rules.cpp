// The rules between documents: what each may say in view of the others.
#include <algorithm>
#include <map>
#include <set>

#include "document_reader.hpp"
#include "emberdale/serving_plans.hpp"

namespace emberdale {
namespace {

// How many runners of a pool a region has, and how many of them no order takes out of service.
struct RunnerCount {
  int all = 0;
  int left = 0;
};

// What the declared runners say of pools, regions and zones.
struct RunnerSurvey {
  std::set<PoolName> pools;
  std::map<RegionName, std::set<PoolName>> pools_at;
  std::map<ZoneName, RegionName> region_of;
};

// Checks one document of the configuration after the other, each in view of all the others.
class DocumentRules {
 public:
  DocumentRules(const Configuration& configuration, std::vector<Finding>& findings)
      : configuration_(configuration), findings_(findings) {}

  void check() {
    survey_runners();
    for (const auto& plan : configuration_.plans)
      check_places(plan);
    for (auto plan = configuration_.plans.begin(); plan != configuration_.plans.end(); ++plan)
      for (auto later = plan + 1; later != configuration_.plans.end(); ++later)
        check_apart(*plan, *later);
    for (const auto& order : configuration_.orders)
      check_zone(order);
    check_what_is_left();
  }

 private:
  void add(const char* severity, const std::string& document, const std::string& place, const std::string& message) {
    findings_.push_back({severity, document, place, 0, 0, message});
  }

  // One zone lies in one region, and one address belongs to one runner.
  void survey_runners() {
    std::map<std::string, RunnerName> runner_at;
    for (const auto& runner : configuration_.runners) {
      std::string document = document_name(runners_kind, runner.name.text);
      survey_.pools.insert(runner.pool);
      survey_.pools_at[runner.region].insert(runner.pool);
      auto [zone, is_new_zone] = survey_.region_of.insert({runner.zone, runner.region});
      if (!is_new_zone && zone->second != runner.region)
        add("error", document, "/region",
            "zone '" + runner.zone.text + "' lies in region '" + zone->second.text + "' for other runners");
      auto [place, is_new_place] = runner_at.insert({runner.http, runner.name});
      if (!is_new_place)
        add("error", document, "/address", "is also the address of runner '" + place->second.text + "'");
    }
  }

  // A plan's pool has runners, in its home region too.
  void check_places(const ServingPlan& plan) {
    std::string document = document_name(plans_kind, plan.name.text);
    if (survey_.pools.count(plan.pool) == 0)
      add("error", document, "/pool", "no runner is in pool '" + plan.pool.text + "'");
    if (plan.home.empty())
      return;
    auto home = survey_.pools_at.find(plan.home);
    if (home == survey_.pools_at.end())
      add("error", document, "/home/region", "'" + plan.home.text + "' is no region of any runner");
    else if (home->second.count(plan.pool) == 0)
      add("error", document, "/home/region",
          "pool '" + plan.pool.text + "' has no runner in region '" + plan.home.text + "'");
  }

  // Two plans never claim the same call; one header with two values keeps them apart.
  void check_apart(const ServingPlan& plan, const ServingPlan& later) {
    if (plan.path != later.path || plan.method != later.method)
      return;
    bool is_apart = std::any_of(plan.headers.begin(), plan.headers.end(), [&](const auto& header) {
      auto other = later.headers.find(header.first);
      return other != later.headers.end() && other->second != header.second;
    });
    if (!is_apart)
      add("error", document_name(plans_kind, later.name.text), "/match",
          "claims the same calls as plan '" + plan.name.text + "'");
  }

  void check_zone(const ZoneOrder& order) {
    if (!configuration_.runners.empty() && survey_.region_of.count(order.zone) == 0)
      add("warning", document_name(orders_kind, order.zone.text), "", "no runner is in zone '" + order.zone.text + "'");
  }

  std::set<ZoneName> evacuated_zones() const {
    std::set<ZoneName> zones;
    for (const auto& order : configuration_.orders)
      if (order.is_evacuated)
        zones.insert(order.zone);
    return zones;
  }

  // Emptying must leave every plan a runner where its work may live.
  void check_what_is_left() {
    std::set<ZoneName> emptied = evacuated_zones();
    if (emptied.empty())
      return;
    std::map<std::pair<PoolName, RegionName>, RunnerCount> counts;
    for (const auto& runner : configuration_.runners) {
      auto& count = counts[{runner.pool, runner.region}];
      ++count.all;
      if (emptied.count(runner.zone) == 0 && !runner.is_leaving)
        ++count.left;
    }
    for (const auto& [where, count] : counts)
      warn_of_few(where.first, where.second, count);
  }

  void warn_of_few(const PoolName& pool, const RegionName& region, const RunnerCount& count) {
    std::string which = "with these orders pool '" + pool.text + "' ";
    if (count.left == 0)
      add("warning", orders_kind, "", which + "has no runner left in region '" + region.text + "'");
    else if (count.left * 2 < count.all)
      add("warning", orders_kind, "",
          which + "keeps " + std::to_string(count.left) + " of " + std::to_string(count.all) + " runners in region '" +
              region.text + "': the rest may not bear the load");
  }

  const Configuration& configuration_;
  std::vector<Finding>& findings_;
  RunnerSurvey survey_;
};

}  // namespace

void cross_check(const Configuration& configuration, std::vector<Finding>& findings) {
  DocumentRules(configuration, findings).check();
}

}  // namespace emberdale
