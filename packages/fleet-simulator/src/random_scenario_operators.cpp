// What operators do in a random scenario: edits, at odds with each other or invalid, and reads.
#include <algorithm>

#include "random_scenario_run.hpp"

namespace emberdale {
namespace {

// Variants of the plan "check": three that are valid, then two that the control plane has to refuse.
constexpr std::int64_t valid_variants = 3, invalid_variants = 2;
const char* const check_plan_variants[valid_variants + invalid_variants] = {
    R"({"service":"s","match":{"path":"/check"},"pool":"models","spill":{"allowed":true},"horizon_ms":5000,)"
    R"("prefix_bytes":64})",
    R"({"service":"s","match":{"path":"/check"},"pool":"models","spill":{"allowed":true,"limit_percent":20},)"
    R"("horizon_ms":4000,"prefix_bytes":32})",
    R"({"service":"s","match":{"path":"/check"},"pool":"models","horizon_ms":4500,"prefix_bytes":16})",
    R"({"service":"s","match":{"path":"/check"},"pool":"nowhere","horizon_ms":4500})",  // no such pool
    R"({"service":"s","match":{"path":"/homed"},"pool":"models","horizon_ms":4500})"};  // another plan's calls

}  // namespace

void RandomScenario::make_rival_edits() {
  std::string one = pick(edges_), other = pick(edges_);
  std::int64_t version = version_seen(one, plans_kind, "check");
  log("rival edits at version " + std::to_string(version));
  auto first =
      fleet_.edit(one, "put", plans_kind, "check", check_plan_variants[random_.below(valid_variants)], version);
  auto second = fleet_.edit(other, "patch", plans_kind, "check",
                            R"({"horizon_ms":)" + std::to_string(3000 + random_.below(2000)) + "}", version);
  edits_.push_back(first);
  edits_.push_back(second);
  end_and_count_effect([first, second] { return std::int64_t{first->code == 412 || second->code == 412}; }, [] {});
}

void RandomScenario::make_quick_edits() {
  for (int i = 0; i < 5; ++i)
    fleet_.later(std::int64_t{60} * i, [this] {
      edit("patch", plans_kind, "check", R"({"horizon_ms":)" + std::to_string(3000 + random_.below(2000)) + "}");
    });
  count_effect();
}

void RandomScenario::make_invalid_edits() {
  edit("put", plans_kind, "check", check_plan_variants[valid_variants + random_.below(invalid_variants)]);
  end_and_count_effect([edit = edits_.back()] { return std::int64_t{edit->code == 422}; }, [] {});
}

void RandomScenario::create_or_delete_plan() {
  if (random_.chance(0.5))
    edit("put", plans_kind, "extra",
         R"({"service":"s","match":{"path":"/extra"},"pool":"models","horizon_ms":)" +
             std::to_string(1000 + random_.below(2000)) + "}");
  else
    edit("delete", plans_kind, "extra", "");
  count_effect();
}

void RandomScenario::mark_runner() {
  edit("patch", runners_kind, pick(runners_), random_.chance(0.5) ? R"({"leaving":true})" : R"({"leaving":false})");
  count_effect();
}

void RandomScenario::order_zone() {
  edit("put", orders_kind, pick_zone(), random_.chance(0.4) ? R"({"state":"emptied"})" : R"({"state":"serving"})");
  count_effect();
}

void RandomScenario::read_state() {
  for (int i = 0; i < 4; ++i)
    fleet_.later(random_.below(400), [this] { fleet_.read(pick_control()); });
  count_effect();
}

}  // namespace emberdale
