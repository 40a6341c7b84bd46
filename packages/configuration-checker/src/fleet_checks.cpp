#include "fleet_checks.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace emberdale {
namespace {

using Json = nlohmann::json;
using RunnerRows = std::map<std::string, Json>;  // by the runner's name

constexpr const char* status_warm = "warm";
constexpr const char* status_cold = "cold";

// "" if the row has none.
std::string status_of(const Json& row) {
  auto status = row.find("status");
  return status != row.end() && status->is_string() ? status->get<std::string>() : "";
}

bool is_serving(const Json& row) { return status_of(row) == status_warm || status_of(row) == status_cold; }

RunnerRows runner_rows(const Json& fleet) {
  RunnerRows rows;
  for (const auto& row : fleet["runners"])
    rows[row["name"]] = row;
  return rows;
}

bool has_serving_runner(const Configuration& configuration, const RunnerRows& rows, const PoolName& pool) {
  return std::any_of(configuration.runners.begin(), configuration.runners.end(), [&](const RunnerEntry& runner) {
    auto row = rows.find(runner.name.text);
    return runner.pool == pool && row != rows.end() && is_serving(row->second);
  });
}

void warn_of_idle_plans(const Configuration& configuration, const RunnerRows& rows, std::vector<Finding>& findings) {
  for (const auto& plan : configuration.plans)
    if (!has_serving_runner(configuration, rows, plan.pool))
      findings.push_back({"warning", std::string(plans_kind) + "/" + plan.name.text, "/pool", 0, 0,
                          "no runner of pool '" + plan.pool.text + "' serves at this moment"});
}

// Whether the runner is being taken out of service, by itself or with its zone.
bool is_evacuated(const Configuration& configuration, const RunnerEntry& runner) {
  return runner.is_leaving ||
         std::any_of(configuration.orders.begin(), configuration.orders.end(),
                     [&](const ZoneOrder& order) { return order.zone == runner.zone && order.is_evacuated; });
}

// Of one pool in one region.
struct PoolLoad {
  std::int64_t load = 0;           // requests now
  std::int64_t capacity_left = 0;  // of the runners that stay
};

void warn_of_overload(const Configuration& configuration, const RunnerRows& rows, std::vector<Finding>& findings) {
  std::map<std::pair<PoolName, RegionName>, PoolLoad> loads;
  for (const auto& runner : configuration.runners) {
    auto row = rows.find(runner.name.text);
    if (row == rows.end())
      continue;
    PoolLoad& pool_load = loads[{runner.pool, runner.region}];
    pool_load.load += row->second.value("burden", 0);
    if (!is_evacuated(configuration, runner) && status_of(row->second) == status_warm)
      pool_load.capacity_left += row->second.value("capacity", 0);
  }
  for (const auto& [place, pool_load] : loads) {
    const auto& [pool, region] = place;
    if (pool_load.load > pool_load.capacity_left)
      findings.push_back({"warning", "fleet", "", 0, 0,
                          "pool '" + pool.text + "' in region '" + region.text + "' bears " +
                              std::to_string(pool_load.load) + " calls now and would keep a capacity of " +
                              std::to_string(pool_load.capacity_left)});
  }
}

}  // namespace

void check_against_fleet(const Configuration& configuration, const Json& fleet, std::vector<Finding>& findings) {
  if (!fleet.contains("runners"))
    return;
  const RunnerRows rows = runner_rows(fleet);
  warn_of_idle_plans(configuration, rows, findings);
  warn_of_overload(configuration, rows, findings);
}

}  // namespace emberdale
