// Changes of the routing table worked out on the register's state.
#include "emberdale/routing_table_edits.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "emberdale/avro_codec.hpp"

namespace emberdale {
namespace {
using Json = nlohmann::json;

std::string table(std::int64_t revision, const std::string& prefix = "/x/") {
  return R"({"revision":)" + std::to_string(revision) +
         R"(,"routes":[{"name":"r1","host":"a.example","path_prefix":")" + prefix +
         R"(","kind":"retry_safe","horizon_ms":8000,"pool":"m"}],"pools":[{"name":"m"}]})";
}

EditRequest edit(EditAction action, std::int64_t base, const std::string& body) {
  return EditRequest{1, "change", action, routing_table_kind, routing_table_name, base, body};
}

// A state that has other resources as well, which no change of the table may touch.
FleetState blank_state() {
  FleetState state;
  state.resources = {{orders_kind, "a", 3, 4, R"({"state":"emptied"})"}, {routing_table_kind, "other", 5, 6, "kept"}};
  state.deleted_version = 9;
  state.config_revision = 6;
  return state;
}

FleetState after(FleetState state, const EditRequest& request) {
  RoutingTableEditResult result = apply_routing_table_edit(state, request, state.config_revision + 1);
  EXPECT_EQ(result.edit.code, 200) << result.edit.reason;
  state.resources = result.edit.resources;
  state.deleted_version = result.edit.deleted_version;
  ++state.config_revision;
  return state;
}

const Resource* table_in(const std::vector<Resource>& resources) {
  auto found = std::find_if(resources.begin(), resources.end(), [](const Resource& r) {
    return r.kind == routing_table_kind && r.name == routing_table_name;
  });
  return found == resources.end() ? nullptr : &*found;
}

std::string shown(const std::vector<Resource>& resources) {
  std::string text;
  for (const auto& r : resources)
    text += r.kind + "/" + r.name + " " + std::to_string(r.version) + " " + std::to_string(r.config_revision) + " " +
            r.body + "\n";
  return text;
}

TEST(RoutingTableEdits, TheFirstTableIsAddedAndOthersStayAsTheyAre) {
  FleetState blank = blank_state();
  EXPECT_EQ(routing_table_document_of(blank), "");
  RoutingTableEditResult result = apply_routing_table_edit(blank, edit(EditAction::replace, 0, table(7)), 7);
  ASSERT_EQ(result.edit.code, 200) << result.edit.reason;
  EXPECT_FALSE(result.is_repeat);
  EXPECT_EQ(result.edit.version, 7);
  EXPECT_EQ(result.edit.deleted_version, 9);
  ASSERT_EQ(result.edit.resources.size(), 3u);
  EXPECT_EQ(shown(result.edit.resources).rfind(shown(blank.resources), 0), 0u);
  const Resource* added = table_in(result.edit.resources);
  ASSERT_NE(added, nullptr);
  EXPECT_EQ(added->version, 7);          // the operator's revision
  EXPECT_EQ(added->config_revision, 7);  // the register's
  EXPECT_EQ(Json::parse(routing_table_document_of(after(blank, edit(EditAction::replace, 0, table(7))))),
            Json::parse(table(7)));
}

TEST(RoutingTableEdits, OfTwoChangesOfOneExpectedVersionOneIsApplied) {
  FleetState state = after(blank_state(), edit(EditAction::replace, 0, table(7)));
  FleetState won = after(state, edit(EditAction::replace, 7, table(9, "/won/")));
  RoutingTableEditResult lost =
      apply_routing_table_edit(won, edit(EditAction::replace, 7, table(12, "/lost/")), won.config_revision + 1);
  EXPECT_EQ(lost.edit.code, 412);
  EXPECT_EQ(lost.edit.version, 9);
  EXPECT_FALSE(lost.is_repeat);
  EXPECT_EQ(shown(lost.edit.resources), shown(won.resources));
  EXPECT_EQ(Json::parse(routing_table_document_of(won)), Json::parse(table(9, "/won/")));
}

TEST(RoutingTableEdits, ARepeatedChangeWritesNothingAlsoAfterOthers) {
  FleetState state = after(blank_state(), edit(EditAction::replace, 0, table(7)));
  state = after(state, edit(EditAction::replace, 7, table(9)));
  state = after(state, edit(EditAction::replace, 9, table(30)));
  EditRequest again = edit(EditAction::replace, 7, table(9));
  again.change_id = "sent-again";  // a copy from another daemon has another id
  RoutingTableEditResult result = apply_routing_table_edit(state, again, state.config_revision + 1);
  EXPECT_EQ(result.edit.code, 200);
  EXPECT_TRUE(result.is_repeat);
  EXPECT_EQ(result.edit.version, 30);
  EXPECT_EQ(shown(result.edit.resources), shown(state.resources));
}

TEST(RoutingTableEdits, AChangeOlderThanTheHistoryIsNeitherAcknowledgedNorRefused) {
  FleetState state = blank_state();
  for (std::int64_t revision = 1; revision <= 131; ++revision)
    state = after(state, edit(EditAction::replace, revision - 1, table(revision)));
  state = *decode_state(encode_state(state));  // as after a restart
  EXPECT_TRUE(
      apply_routing_table_edit(state, edit(EditAction::replace, 130, table(131)), state.config_revision + 1).is_repeat);
  EXPECT_TRUE(
      apply_routing_table_edit(state, edit(EditAction::replace, 3, table(4)), state.config_revision + 1).is_repeat);
  RoutingTableEditResult old =
      apply_routing_table_edit(state, edit(EditAction::replace, 2, table(3)), state.config_revision + 1);
  EXPECT_EQ(old.edit.code, 504);
  EXPECT_FALSE(old.is_repeat);
  EXPECT_EQ(shown(old.edit.resources), shown(state.resources));
}

TEST(RoutingTableEdits, AnAmendmentChangesWhatItNames) {
  FleetState state = after(blank_state(), edit(EditAction::replace, 0, table(7)));
  state = after(state, edit(EditAction::amend, 7,
                            R"({"revision":9,"upsert":{"pools":[{"name":"n"}],"routes":[{"name":"r2","host":"b.example",
    "path_prefix":"/","kind":"once_only","horizon_ms":5,"pool":"n"}]}})"));
  Json document = Json::parse(routing_table_document_of(state));
  EXPECT_EQ(document["revision"], 9);
  EXPECT_EQ(document["routes"].size(), 2u);
  EXPECT_EQ(document["routes"][0], Json::parse(table(7))["routes"][0]);
  EXPECT_EQ(
      std::count_if(state.resources.begin(), state.resources.end(),
                    [](const Resource& r) { return r.kind == routing_table_kind && r.name == routing_table_name; }),
      1);
  state = after(state, edit(EditAction::amend, 9, R"({"revision":15,"remove":{"routes":["r1"]}})"));
  EXPECT_EQ(Json::parse(routing_table_document_of(state))["routes"][0]["name"], "r2");
  EXPECT_EQ(table_in(state.resources)->version, 15);
}

TEST(RoutingTableEdits, ARefusalLeavesTheStateAsItWas) {
  FleetState state = after(blank_state(), edit(EditAction::replace, 0, table(7)));
  const std::vector<std::pair<EditRequest, int>> refused{
      {edit(EditAction::replace, 7, "oops"), 400},
      {edit(EditAction::replace, 7, R"({"revision":1e999})"), 400},
      {edit(EditAction::replace, 7, R"({"revision":9})"), 400},  // neither routes nor pools
      {edit(EditAction::replace, 7, table(7)), 400},             // not above the current one
      {edit(EditAction::replace, 7, table(3)), 400},
      {edit(EditAction::replace, 6, table(9)), 412},
      {edit(EditAction::amend, 8, R"({"revision":9})"), 412},
      {edit(EditAction::amend, 7, R"({"revision":9,"remove":{"pools":["m"]}})"), 400},  // a route still names it
      {edit(EditAction::amend, 7, R"({"revision":9,"remove":{"routes":["none"]}})"), 400},
      {edit(EditAction::put, 7, table(9)), 400},
      {edit(EditAction::remove, 7, ""), 400},
  };
  for (const auto& [request, code] : refused) {
    RoutingTableEditResult result = apply_routing_table_edit(state, request, state.config_revision + 1);
    EXPECT_EQ(result.edit.code, code) << to_string(request.action) << " " << request.body;
    EXPECT_EQ(shown(result.edit.resources), shown(state.resources)) << request.body;
    EXPECT_EQ(result.edit.deleted_version, state.deleted_version);
    EXPECT_EQ(result.edit.version, 7);
    EXPECT_FALSE(result.is_repeat);
    EXPECT_FALSE(result.edit.reason.empty());
    EXPECT_EQ(result.edit.findings.empty(), code == 412) << request.body;
  }
}

}  // namespace
}  // namespace emberdale
