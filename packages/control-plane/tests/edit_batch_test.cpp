// Edits that are applied together: each has its own result, as if they came one after the other, and all are
// acknowledged soon enough, also with a large table and a slow disk.
#include "emberdale/edit_batch.hpp"

#include <iostream>

#include "emberdale/avro_codec.hpp"
#include "support/machine_fleet.hpp"

namespace emberdale {
namespace {

EditRequest edit_request(const std::string& change, EditAction action, const std::string& kind, const std::string& name,
                         std::int64_t expected, const std::string& body) {
  return EditRequest{1, change, action, kind, name, expected, body};
}

std::string table(std::int64_t revision, int routes) {
  std::string text = R"({"revision":)" + std::to_string(revision) + R"(,"routes":[)";
  for (int i = 0; i < routes; ++i)
    text += (i == 0 ? "" : ",") + std::string(R"({"name":"r)") + std::to_string(i) + R"(","host":"h)" +
            std::to_string(i) + R"(.example","path_prefix":"/x/","kind":"retry_safe","horizon_ms":8000,"pool":"m"})";
  return text + R"(],"pools":[{"name":"m"}]})";
}

EditRequest random_request_id(RandomGenerator& random, int number) {
  std::string change = "change-" + std::to_string(random.chance(0.1) ? number - 1 : number);  // some come twice
  std::string name(1, static_cast<char>('a' + random.below(2)));
  std::int64_t expected = random.below(5) - 1;
  switch (random.below(5)) {
    case 0:
      return edit_request(change, EditAction::put, orders_kind, name, expected, R"({"state":"emptied"})");
    case 1:
      return edit_request(change, EditAction::put, orders_kind, name, expected, R"({"state":"serving"})");
    case 2:
      return edit_request(change, EditAction::remove, orders_kind, name, expected, "");
    case 3:
      return edit_request(change, EditAction::put, orders_kind, name, expected, "not JSON");
    default:
      return edit_request(change, EditAction::replace, routing_table_kind, routing_table_name,
                          std::max<std::int64_t>(0, expected), table(random.below(6), 1));
  }
}

TEST(EditBatch, EachResultIsAsIfTheEditsCameOneAfterTheOther) {
  std::map<int, int> codes;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    RandomGenerator random(seed);
    EditBatch together;
    FleetState one_by_one, at_once;
    std::vector<EditResult> verdicts;
    for (int i = 1; i <= 12; ++i) {
      EditBatch alone{{{random_request_id(random, i), {}}}};
      together.edits.push_back(alone.edits[0]);
      alone.work_out(one_by_one, true);
      verdicts.push_back(alone.edits[0].result);
    }
    together.work_out(at_once, true);
    EXPECT_EQ(encode_state(at_once), encode_state(one_by_one));
    for (std::size_t i = 0; i < verdicts.size(); ++i) {
      EXPECT_EQ(together.edits[i].result.code, verdicts[i].code) << i;
      EXPECT_EQ(together.edits[i].result.version, verdicts[i].version) << i;
      EXPECT_EQ(together.edits[i].result.reason, verdicts[i].reason) << i;
      ++codes[verdicts[i].code];
    }
    // Computed again on the state that has them, those that were applied are found there.
    EditBatch repeated = together;
    FleetState again = at_once;
    repeated.work_out(again, true);
    for (std::size_t i = 0; i < verdicts.size(); ++i)
      if (verdicts[i].code < 300) {
        EXPECT_LT(repeated.edits[i].result.code, 300) << i;
      }
  }
  for (int code : {200, 201, 404, 412})
    EXPECT_GT(codes[code], 0) << code;
}

TEST(EditBatch, AFormerLeaderAppliesNothingAndReportsWhatWasDone) {
  FleetState state;
  EditRequest done = edit_request("change-1", EditAction::put, orders_kind, "a", -1, R"({"state":"emptied"})");
  EditBatch first{{{done, {}}}};
  EXPECT_TRUE(first.work_out(state, true));
  std::string before = encode_state(state);
  EditBatch late{
      {{done, {}}, {edit_request("change-2", EditAction::put, orders_kind, "b", -1, R"({"state":"emptied"})"), {}}}};
  EXPECT_FALSE(late.work_out(state, false));
  EXPECT_EQ(late.edits[0].result.code, 200);
  EXPECT_EQ(late.edits[1].result.code, 503);
  EXPECT_EQ(encode_state(state), before);
}

// Two operators build on one version of the table: one of them wins, and a third that sends the same gets its result.
TEST(EditBatch, OfTwoTablesOfOneExpectedVersionOneIsApplied) {
  FleetState state;
  EditBatch batch{
      {{edit_request("change-1", EditAction::replace, routing_table_kind, routing_table_name, 0, table(7, 1)), {}},
       {edit_request("change-2", EditAction::replace, routing_table_kind, routing_table_name, 0, table(8, 2)), {}},
       {edit_request("change-3", EditAction::replace, routing_table_kind, routing_table_name, 0, table(7, 1)), {}}}};
  EXPECT_TRUE(batch.work_out(state, true));
  EXPECT_EQ(batch.edits[0].result.code, 200);
  EXPECT_EQ(batch.edits[1].result.code, 412);
  EXPECT_EQ(batch.edits[2].result.code, 200);
  EXPECT_EQ(state.config_revision, 1);
}

TEST(EditBatch, EnsuringWhatIsAlreadySoNeedsNoWrite) {
  const std::string emptied = R"({"state":"emptied"})", serving = R"({"state":"serving"})";
  FleetState state;
  EditBatch begin{{{edit_request("change-1", EditAction::ensure, orders_kind, "a", -1, emptied), {}}}};
  EXPECT_TRUE(begin.work_out(state, true));
  EXPECT_EQ(begin.edits[0].result.code, 201);
  EditBatch again{{{edit_request("change-2", EditAction::ensure, orders_kind, "a", -1, emptied), {}}}};
  EXPECT_FALSE(again.work_out(state, true));
  EXPECT_EQ(again.edits[0].result.code, 200);
  EXPECT_EQ(again.edits[0].result.version, begin.edits[0].result.version);
  EditBatch finish{{{edit_request("change-3", EditAction::ensure, orders_kind, "a", -1, serving), {}}}};
  EXPECT_TRUE(finish.work_out(state, true));
  EditBatch put{{{edit_request("change-4", EditAction::put, orders_kind, "a", -1, serving), {}}}};
  EXPECT_TRUE(put.work_out(state, true));  // who puts gets a version of its own
  EXPECT_GT(put.edits[0].result.version, finish.edits[0].result.version);
  EditBatch broken{{{edit_request("change-5", EditAction::ensure, orders_kind, "a", -1, "not JSON"), {}}}};
  EXPECT_FALSE(broken.work_out(state, true));
  EXPECT_GE(broken.edits[0].result.code, 400);
}

// On a slow disk a write takes longer than an operator waits for one daemon.
TEST(EditBatch, OperatorsThatTimeOutAfterASecondGetTheirAcknowledgementOnASlowDisk) {
  std::vector<std::int64_t> times;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    MachineFleet fleet(seed);
    fleet.edit_times.requester_timeout = fleet.edit_times.leader_wait = Duration{800};
    auto names = bring_up(fleet, 3);
    fleet.delay = 28;
    fleet.sync_ms = 150;
    fleet.run(2000);
    struct Operator {
      std::int64_t begun = 0, done = 0;
      std::function<void(std::size_t)> request;
    };
    std::vector<Operator> operators(8);
    for (std::size_t i = 0; i < operators.size(); ++i) {
      Operator& one = operators[i];
      one.begun = fleet.now();
      one.request = [&fleet, &names, &one, i](std::size_t turn) {
        auto outcome = fleet.set_zone_state(names[turn % names.size()], "zone-" + std::to_string(i), true);
        fleet.later(1000, [&one, outcome, turn, &fleet] {
          if (outcome->is_acknowledged())
            one.done = outcome->over_at;
          else
            fleet.later(100, [&one, turn] { one.request(turn + 1); });
        });
      };
      one.request(i);
    }
    EXPECT_TRUE(fleet.run_until(
        [&] { return std::all_of(operators.begin(), operators.end(), [](const auto& one) { return one.done != 0; }); },
        20000))
        << fleet.trace();
    for (const auto& one : operators)
      times.push_back(one.done - one.begun);
    if (HasFailure())
      return;
  }
  std::sort(times.begin(), times.end());
  std::cout << "eight operators that leave after 1 s, disk of 150 to 300 ms: median " << times[times.size() / 2]
            << ", worst " << times.back() << " ms\n";
  EXPECT_LE(times.back(), 6000);
}

TEST(EditBatch, EightZoneOrdersAtOnceAreAcknowledgedSoonAlsoWithALargeTableAndASlowDisk) {
  for (std::int64_t sync_ms : {2, 150})
    for (int routes : {1, 1400}) {
      std::vector<std::int64_t> times;
      std::int64_t writes = 0;
      for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        SCOPED_TRACE("routes " + std::to_string(routes) + " seed " + std::to_string(seed));
        MachineFleet fleet(seed);
        fleet.edit_times.requester_timeout = fleet.edit_times.leader_wait = Duration{800};
        auto names = bring_up(fleet, 3);
        fleet.delay = 28;
        fleet.sync_ms = sync_ms;
        fleet.run(2000);
        auto table_change = fleet.request(fleet.master(), edit_request("", EditAction::replace, routing_table_kind,
                                                                       routing_table_name, 0, table(1, routes)));
        ASSERT_TRUE(fleet.run_until([&] { return table_change->is_over; }, 8000)) << fleet.trace();
        EXPECT_TRUE(table_change->is_acknowledged());
        fleet.run(1000);
        std::int64_t writes_before = fleet.at(fleet.master()).control->edit_counts().writes;
        std::vector<std::shared_ptr<EditOutcome>> outcomes;
        for (std::size_t i = 0; i < 8; ++i)
          outcomes.push_back(fleet.set_zone_state(names[i % 3], "zone-" + std::to_string(i), true));
        EXPECT_TRUE(fleet.run_until(
            [&] {
              return std::all_of(outcomes.begin(), outcomes.end(),
                                 [](const auto& outcome) { return outcome->is_over; });
            },
            8000))
            << fleet.trace();
        for (const auto& outcome : outcomes) {
          EXPECT_TRUE(outcome->is_acknowledged()) << outcome->code;
          times.push_back(outcome->over_at - outcome->requested_at);
        }
        writes += fleet.at(fleet.master()).control->edit_counts().writes - writes_before;
        if (HasFailure())
          return;
      }
      std::sort(times.begin(), times.end());
      std::cout << routes << " routes, disk of " << sync_ms << " to " << 2 * sync_ms << " ms: median "
                << times[times.size() / 2] << ", worst " << times.back() << " ms, " << writes
                << " writes for 5 times eight zone orders\n";
      EXPECT_LE(times.back(), 2500);
      EXPECT_LE(writes, 5 * 4);
    }
}

}  // namespace
}  // namespace emberdale
