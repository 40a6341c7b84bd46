#include "emberdale/serving_plans.hpp"
#include "emberdale/spoiled_text.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace emberdale;

namespace {

const char* const good_plan = R"({"service":"s","match":{"path":"/x"},"pool":"p"})";
std::string runner(const std::string& address, const std::string& zone = "a", const std::string& region = "n") {
  return R"({"address":")" + address + R"(","pool":"p","zone":")" + zone + R"(","region":")" + region +
         R"(","seal_key":"k"})";
}
FleetState state_with(const std::vector<Resource>& resources) {
  FleetState state;
  state.resources = resources;
  return state;
}
EditRequest edit(EditAction act, const std::string& kind, const std::string& name, const std::string& body,
                 std::int64_t expected = -1) {
  return EditRequest{1, "change", act, kind, name, expected, body};
}
bool has(const std::vector<Finding>& findings, const std::string& place) {
  return std::any_of(findings.begin(), findings.end(), [&](const Finding& f) { return f.place == place; });
}

}  // namespace

TEST(ServingPlans, AllFindingsComeTogetherEachWithItsPlace) {
  std::vector<Finding> findings;
  auto plan = read_plan("p",
                        "{\n  \"service\": 5,\n  \"match\": {\"path\": \"x\"},\n  \"pool\": \"p\",\n  \"horizon_ms\": "
                        "1,\n  \"extra\": true\n}",
                        findings);
  EXPECT_FALSE(plan);
  EXPECT_TRUE(has(findings, "/service") && has(findings, "/match/path") && has(findings, "/horizon_ms") &&
              has(findings, "/extra"));
  for (const auto& finding : findings)
    if (finding.place == "/horizon_ms") {
      EXPECT_EQ(finding.line, 5);
      EXPECT_EQ(finding.column, 17);
    }
}

TEST(ServingPlans, WhatIsNoJsonNamesLineAndColumn) {
  std::vector<Finding> findings;
  EXPECT_FALSE(read_plan("p", "{\"service\":\n  oops}", findings));
  ASSERT_EQ(findings.size(), 1u);
  EXPECT_EQ(findings[0].line, 2);
  EXPECT_EQ(apply_edit(state_with({}), edit(EditAction::put, plans_kind, "p", "nonsense"), 1).code, 400);
}

TEST(ServingPlans, SpillNeverContradictsHomeAndStreamsAreNeverRepeated) {
  std::vector<Finding> findings;
  EXPECT_FALSE(read_plan(
      "p", R"({"service":"s","match":{"path":"/x"},"pool":"p","home":{"region":"n"},"spill":{"allowed":true}})",
      findings));
  EXPECT_TRUE(has(findings, "/spill/allowed"));
  findings.clear();
  EXPECT_FALSE(read_plan(
      "p", R"({"service":"s","match":{"path":"/x"},"pool":"p","home":{"header":"H"},"spill":{"allowed":true}})",
      findings));
  EXPECT_FALSE(read_plan("p", R"({"service":"s","match":{"path":"/x"},"pool":"p","streaming":true,"repeatable":true})",
                         findings));
  EXPECT_TRUE(has(findings, "/streaming"));
}

TEST(ServingPlans, CrossChecksPoolsHomesZonesAndRivalClaims) {
  std::vector<Resource> base{{runners_kind, "r1", 1, 1, runner("127.0.0.1:1")}, {plans_kind, "p1", 1, 2, good_plan}};
  auto rival = apply_edit(state_with(base), edit(EditAction::put, plans_kind, "p2", good_plan), 3);
  EXPECT_EQ(rival.code, 422);
  EXPECT_TRUE(has(rival.findings, "/match"));
  EXPECT_EQ(
      apply_edit(state_with(base),
                 edit(EditAction::put, plans_kind, "p2", R"({"service":"s","match":{"path":"/y"},"pool":"none"})"), 3)
          .code,
      422);
  EXPECT_EQ(apply_edit(state_with(base),
                       edit(EditAction::put, plans_kind, "p2",
                            R"({"service":"s","match":{"path":"/y"},"pool":"p","home":{"region":"mars"}})"),
                       3)
                .code,
            422);
  EXPECT_EQ(
      apply_edit(state_with(base), edit(EditAction::put, runners_kind, "r2", runner("127.0.0.1:2", "a", "other")), 3)
          .code,
      422);
  EXPECT_EQ(apply_edit(state_with(base), edit(EditAction::put, runners_kind, "r2", runner("127.0.0.1:1")), 3).code,
            422);
  EXPECT_EQ(apply_edit(state_with(base), edit(EditAction::remove, runners_kind, "r1", ""), 3).code,
            422);  // a plan needs it
  EXPECT_EQ(apply_edit(state_with(base),
                       edit(EditAction::put, plans_kind, "p2",
                            R"({"service":"s","match":{"path":"/x","headers":{"k":"v"}},"pool":"p"})"),
                       3)
                .code,
            422);
}

TEST(ServingPlans, AStaleVersionIsRefusedAndARefusalLeavesNoTrace) {
  std::vector<Resource> base{{runners_kind, "r1", 1, 1, runner("127.0.0.1:1")}, {plans_kind, "p1", 7, 2, good_plan}};
  FleetState state = state_with(base);
  auto stale = apply_edit(state, edit(EditAction::put, plans_kind, "p1", good_plan, 6), 3);
  EXPECT_EQ(stale.code, 412);
  EXPECT_EQ(stale.version, 7);
  EXPECT_EQ(apply_edit(state, edit(EditAction::put, plans_kind, "p1", good_plan, 0), 3).code, 412);
  auto wrong = apply_edit(state, edit(EditAction::patch, plans_kind, "p1", R"({"pool":"none"})", 7), 3);
  EXPECT_EQ(wrong.code, 422);
  EXPECT_EQ(wrong.version, 7);
  auto good = apply_edit(state, edit(EditAction::patch, plans_kind, "p1", R"({"horizon_ms":500,"service":"t"})", 7), 3);
  EXPECT_EQ(good.code, 200);
  EXPECT_EQ(good.version, 8);
  EXPECT_EQ(apply_edit(state, edit(EditAction::patch, plans_kind, "p9", "{}"), 3).code, 404);
}

TEST(ServingPlans, EmptyingWhatTheRestCanNotBearSaysSo) {
  std::vector<Resource> base{{runners_kind, "r1", 1, 1, runner("127.0.0.1:1", "a")},
                             {runners_kind, "r2", 1, 1, runner("127.0.0.1:2", "a")},
                             {runners_kind, "r3", 1, 1, runner("127.0.0.1:3", "b")},
                             {plans_kind, "p1", 1, 2, good_plan}};
  auto emptied = apply_edit(state_with(base), edit(EditAction::put, orders_kind, "a", R"({"state":"emptied"})"), 3);
  EXPECT_EQ(emptied.code, 201);  // taken, with a warning
  ASSERT_EQ(emptied.findings.size(), 1u);
  EXPECT_EQ(emptied.findings[0].severity, "warning");
  EXPECT_NE(emptied.findings[0].message.find("keeps 1 of 3"), std::string::npos);
}

TEST(ServingPlans, TheNearerPlanClaimsACall) {
  std::vector<Finding> findings;
  std::vector<ServingPlan> plans{
      *read_plan("one", R"({"service":"s","match":{"path":"/x","headers":{"K":"1"}},"pool":"p"})", findings),
      *read_plan("two", R"({"service":"s","match":{"path":"/x","headers":{"K":"2"}},"pool":"p"})", findings)};
  EXPECT_EQ(match_plan(plans, "POST", "/x", {{"k", "2"}}).plan->name.text, "two");
  EXPECT_EQ(match_plan(plans, "POST", "/x", {}).plan, nullptr);
  EXPECT_TRUE(match_plan(plans, "GET", "/x", {}).is_path_known);
  EXPECT_FALSE(match_plan(plans, "POST", "/y", {}).is_path_known);
}

TEST(ServingPlans, ANameThatComesBackNeverHasAVersionItHadBefore) {
  FleetState state;
  auto apply = [&](EditAction act, const std::string& body, std::int64_t expected) {
    EditRequest request;
    request.action = act;
    request.kind = orders_kind;
    request.name = "a";
    request.body = body;
    request.expected_version = expected;
    EditResult result = apply_edit(state, request, ++state.config_revision);
    if (result.code < 300) {
      state.resources = result.resources;
      state.deleted_version = result.deleted_version;
    }
    return result;
  };
  EXPECT_EQ(apply(EditAction::put, R"({"state":"serving"})", 0).version, 1);
  EXPECT_EQ(apply(EditAction::put, R"({"state":"emptied"})", 1).version, 2);
  EXPECT_EQ(apply(EditAction::remove, "", 2).code, 200);
  EXPECT_EQ(apply(EditAction::put, R"({"state":"serving"})", 0).version, 3);
  // Who still holds version 1 or 2 loses, although the name is there again.
  EXPECT_EQ(apply(EditAction::put, R"({"state":"emptied"})", 1).code, 412);
  EXPECT_EQ(apply(EditAction::put, R"({"state":"emptied"})", 2).code, 412);
}

TEST(ServingPlans, NoDocumentFromOutsideBringsItDownAndEachRefusalHasAFinding) {
  const std::string plan =
      R"({"service":"s","match":{"path":"/x","headers":{"a":"b"}},"pool":"p","home":{"header":"h"},)"
      R"("horizon_ms":5000,"prefix_bytes":64})";
  const std::string order =
      R"({"state":"serving","windows":[{"from":"2026-12-02T01:00:00Z","until":"2026-12-02T02:00:00Z"}]})";
  const std::string runner =
      R"({"address":"127.0.0.1:9","pool":"p","zone":"z","region":"r","seal_key":"k","leaving":false})";
  EXPECT_TRUE(rc::check([&](std::uint64_t seed) {
    std::vector<Finding> findings;
    RC_ASSERT(read_plan("p", spoiled(plan, seed), findings) || has_errors(findings));
    findings.clear();
    RC_ASSERT(read_order("z", spoiled(order, seed), findings) || has_errors(findings));
    findings.clear();
    RC_ASSERT(read_runner("r", spoiled(runner, seed), findings) || has_errors(findings));
    auto merged = merge_patch(plan, spoiled(plan, seed));
    RC_ASSERT(merged.ok() || !merged.status().message().empty());
    FleetState state;
    EditRequest request;
    request.action = EditAction::put;
    request.kind = plans_kind;
    request.name = spoiled("a-name", seed);
    request.expected_version = -1;
    request.body = spoiled(plan, seed);
    (void)apply_edit(state, request, 1);
    (void)findings_json(findings);
  }));
}

TEST(ServingPlans, ANumberTooLargeForAnyReaderIsAFinding) {
  const std::string body = R"({"horizon_ms":1e999})";
  std::vector<Finding> plan, order, runner;
  EXPECT_FALSE(read_plan("p", body, plan) || read_order("z", body, order) || read_runner("r", body, runner));
  for (const auto* findings : {&plan, &order, &runner}) {
    ASSERT_EQ(findings->size(), 1u);
    EXPECT_EQ(findings->front().message.rfind("not JSON", 0), 0u) << findings->front().message;
    EXPECT_EQ(std::pair(findings->front().line, findings->front().column), std::pair(1, 1));
  }
  for (const auto& merged : {merge_patch("{}", body), merge_patch(body, "{}")}) {
    ASSERT_FALSE(merged.ok());
    EXPECT_EQ(std::string(merged.status().message()).rfind("not JSON", 0), 0u) << merged.status();
  }
  EXPECT_EQ(apply_edit(state_with({}), edit(EditAction::put, plans_kind, "p", body), 1).code, 400);
  EXPECT_TRUE(read_configuration({Resource{plans_kind, "p", 1, 1, body}}, plan).plans.empty());
}

TEST(ServingPlans, ADocumentNestedWithoutEndIsRefused) {
  for (const std::string& body :
       {std::string(200000, '['), "{\"a\":" + std::string(200000, '[') + std::string(200000, ']') + "}",
        std::string("{\"a\":[}")}) {
    std::vector<Finding> findings;
    EXPECT_FALSE(read_plan("p", body, findings));
    ASSERT_FALSE(findings.empty());
    EXPECT_EQ(findings.front().message.rfind("not JSON", 0), 0u);
    EXPECT_FALSE(merge_patch("{}", body).ok());
  }
}

TEST(ServingPlans, ARunnersAddressIsAnIpNumberAndAPort) {
  auto is_taken = [](const std::string& address) {
    std::vector<Finding> findings;
    return read_runner("r", R"({"address":")" + address + R"(","pool":"p","zone":"z","region":"r","seal_key":"k"})",
                       findings)
        .has_value();
  };
  for (const char* good : {"127.0.0.1:1", "10.1.2.3:65535", "[::1]:80"})
    EXPECT_TRUE(is_taken(good)) << good;
  for (const char* bad : {"127.0.0.1:99999999999999", "127.0.0.1:65536", "127.0.0.1:0", "127.0.0.1:", "127.0.0.1",
                          "localhost:80", "1.2.3:80", "256.1.1.1:80", "127.0.0.1:+8"})
    EXPECT_FALSE(is_taken(bad)) << bad;
}
