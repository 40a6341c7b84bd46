// An oracle is code under test: each of its checks is shown a history that keeps the rule, and its broken twin.
#include "emberdale/invariant_checker.hpp"

#include <gtest/gtest.h>

#include <functional>

#include "emberdale/avro_codec.hpp"
#include "emberdale/serving_plans.hpp"

namespace emberdale {
namespace {

std::string runner_text(bool is_leaving) {
  return std::string(
             R"({"address":"127.0.0.1:9","pool":"models","zone":"a","region":"north","seal_key":"k","leaving":)") +
         (is_leaving ? "true}" : "false}");
}

FleetState state_of(std::int64_t version, std::int64_t revision, std::vector<Resource> resources,
                    std::vector<CompletedChange> done = {}) {
  FleetState state;
  state.version = version;
  state.config_revision = revision;
  state.resources = std::move(resources);
  state.completed_changes = std::move(done);
  return state;
}

void see(InvariantChecker& watch, std::int64_t now, const FleetState& state, const std::string& daemon = "a1") {
  watch.on_state(now, daemon, state, encode_state(state));
}

InvariantChecker::RequestedEdit ask(const std::string& change, const std::string& kind, const std::string& name,
                                    const std::string& body, std::int64_t at = 0) {
  return {change, kind, name, "put", body, at};
}

SentCall send_to(const std::string& runner, std::int64_t revision) {
  return {1, "a1-data", runner, "north", "", revision, false};
}

const Resource free_runner{runners_kind, "m1", 1, 1, runner_text(false)};
const Resource leaving_runner{runners_kind, "m1", 2, 2, runner_text(true)};
const Resource plan_one{plans_kind, "p", 1, 1, R"({"horizon_ms":1})"};
const Resource plan_two{plans_kind, "p", 2, 2, R"({"horizon_ms":2})"};

struct Twin {
  std::string rule;
  std::function<void(InvariantChecker&, bool is_broken)> history;
};

const std::vector<Twin> twins{
    {"a call ran twice",
     [](InvariantChecker& w, bool broken) {
       w.on_call_started(1, 7, !broken);
       w.on_call_started(2, 7, !broken);
     }},
    {"a call ran after its refusal",
     [](InvariantChecker& w, bool broken) {
       w.on_call_refused(1, 7, false);
       if (broken)
         w.on_call_started(2, 7, false);
     }},
    {"refused after it ran",
     [](InvariantChecker& w, bool broken) {
       if (broken)
         w.on_call_started(1, 7, false);
       w.on_call_refused(2, 7, false);
     }},
    {"a cold runner is flooded",
     [](InvariantChecker& w, bool broken) {
       w.on_request_while_warming_up(1, "m1", broken ? 3 : 2, 2);
     }},
    {"homed work abroad",
     [](InvariantChecker& w, bool broken) {
       w.on_call_sent(1, {1, "d", "m1", broken ? "south" : "north", "north", 1, false});
     }},
    {"too many retries",
     [](InvariantChecker& w, bool broken) {
       // The same retries: at once, or spread over a day. A share of the whole day would not see the burst.
       for (int i = 0; i < 1000; ++i)
         w.on_call_sent(std::int64_t{20} * i, {i, "d", "m1", "north", "", 1, false});
       for (int i = 0; i < 200; ++i)
         w.on_call_sent(20000 + i * (broken ? 1 : 100), {i, "d", "m1", "north", "", 1, true});
     }},
    {"an old plan still serves",
     [](InvariantChecker& w, bool broken) {
       w.on_edit_acknowledged(100, {ask("c1", plans_kind, "p", "{}"), 1, 5});
       w.on_call_sent(broken ? 3200 : 3000, send_to("m1", 4));
       w.on_call_sent(9000, send_to("m1", 5));
     }},
    {"new work for a leaving runner",
     [](InvariantChecker& w, bool broken) {
       see(w, 0, state_of(1, 1, {free_runner}));
       see(w, 100, state_of(2, 2, {leaving_runner}));
       w.on_edit_acknowledged(100, {ask("c1", runners_kind, "m1", R"({"leaving":true})", 50), 2, 2});
       w.on_call_sent(broken ? 5100 : 5000, send_to("m1", 2));
     }},
    {"new work for a leaving runner",
     [](InvariantChecker& w, bool broken) {  // freed again: from then on it may work, and not before
       see(w, 0, state_of(1, 1, {free_runner}));
       see(w, 100, state_of(2, 2, {leaving_runner}));
       w.on_edit_acknowledged(100, {ask("c1", runners_kind, "m1", R"({"leaving":true})", 50), 2, 2});
       if (!broken)
         see(w, 6000, state_of(3, 3, {{runners_kind, "m1", 3, 3, runner_text(false)}}));
       w.on_call_sent(6100, send_to("m1", 2));
     }},
    {"new work for a leaving runner",
     [](InvariantChecker& w, bool broken) {  // told, and answered late
       see(w, 0, state_of(1, 1, {free_runner}));
       w.on_call_sent(broken ? 5600 : 5400, send_to("m1", 1));
       see(w, 5700, state_of(2, 2, {leaving_runner}));
       w.on_edit_acknowledged(5800, {ask("c1", runners_kind, "m1", R"({"leaving":true})", 500), 2, 2});
     }},
    {"two states under one version",
     [](InvariantChecker& w, bool broken) {
       see(w, 1, state_of(1, 1, {plan_one}));
       see(w, 2, state_of(1, 1, {broken ? plan_two : plan_one}), "b1");
     }},
    {"a daemon's state went back",
     [](InvariantChecker& w, bool broken) {
       see(w, 1, state_of(2, 1, {plan_one}));
       see(w, 2, state_of(1, 0, {}), broken ? "a1" : "b1");
     }},
    {"two texts under one version",
     [](InvariantChecker& w, bool broken) {
       see(w, 1, state_of(1, 1, {plan_one}));
       see(w, 2, state_of(2, 2, {broken ? Resource{plans_kind, "p", 1, 2, "{}"} : plan_two}));
     }},
    {"two publish in one term",
     [](InvariantChecker& w, bool broken) {
       w.on_map_published(1, "a1", {3, 1}, "x");
       w.on_map_published(2, broken ? "b1" : "a1", {3, 2}, "y");
     }},
    {"one map version twice",
     [](InvariantChecker& w, bool broken) {
       w.on_map_published(1, "a1", {3, 1}, "x");
       w.on_map_published(2, "a1", {3, 1}, broken ? "y" : "x");
     }},
    {"a data daemon slid back",
     [](InvariantChecker& w, bool broken) {
       w.on_map_applied(1, "d", {3, 2});
       w.on_map_applied(2, "d", {broken ? 2 : 4, 1});
     }},
    {"rivals both acknowledged",
     [](InvariantChecker& w, bool broken) {
       w.on_edit_acknowledged(1, {ask("c1", plans_kind, "p", "{}"), 2, 2});
       w.on_edit_acknowledged(2, {ask("c2", plans_kind, "p", "{}"), broken ? 2 : 3, 3});
     }},
    {"acknowledged, but other than asked",
     [](InvariantChecker& w, bool broken) {
       see(w, 1, state_of(1, 1, {plan_one}));
       w.on_edit_acknowledged(
           2, {ask("c1", plans_kind, "p", broken ? R"({"horizon_ms":9})" : R"({"horizon_ms":1})"), 1, 1});
     }},
    {"a refused change took effect",
     [](InvariantChecker& w, bool broken) {
       w.on_edit_refused(1, ask("c1", plans_kind, "p", "{}"));
       see(w, 2, state_of(1, 1, {plan_one}, {{broken ? "c1" : "c2", 1, 1}}));
     }},
    {"a refused change took effect",
     [](InvariantChecker& w, bool broken) {  // it was in force first, and refused then
       see(w, 1, state_of(1, 1, {plan_one}, {{"c1", 1, 1}}));
       w.on_edit_refused(2, ask(broken ? "c1" : "c2", plans_kind, "p", "{}"));
     }},
    {"a read misses an acknowledged change",
     [](InvariantChecker& w, bool broken) {
       w.on_edit_acknowledged(10, {ask("c1", plans_kind, "p", "{}"), 2, 2});
       w.on_read(30, broken ? 20 : 5, "b1", state_of(1, 1, {plan_one}));
     }},
    {"a read shows a state no one chose",
     [](InvariantChecker& w, bool broken) {
       if (!broken)
         see(w, 1, state_of(3, 1, {}));
       w.on_read(30, 10, "a1", state_of(4, 1, {}));
       w.on_read(50, 20, "b1", state_of(3, 1, {}));
     }},
    {"a read goes back behind another",
     [](InvariantChecker& w, bool broken) {
       see(w, 1, state_of(3, 1, {}));
       w.on_read(30, 20, "a1", state_of(4, 1, {}));
       w.on_read(50, broken ? 40 : 25, "b1", state_of(3, 1, {}));
     }},
    {"an acknowledged change is lost",
     [](InvariantChecker& w, bool broken) {
       w.on_edit_acknowledged(1, {ask("c1", plans_kind, "p", "{}"), 2, 2});
       w.check_final_state(2, state_of(9, 9, {broken ? plan_one : plan_two}));
     }},
    {"an acknowledged change is lost",
     [](InvariantChecker& w, bool broken) {  // gone, and nobody had it deleted
       w.on_edit_acknowledged(1, {ask("c1", plans_kind, "p", "{}"), 2, 2});
       InvariantChecker::RequestedEdit deletion = ask("c2", plans_kind, "p", "");
       deletion.act = "delete";
       if (!broken)
         w.on_edit_requested(deletion);
       w.check_final_state(2, state_of(9, 9, {}));
     }},
    {"an acknowledged deletion is lost",
     [](InvariantChecker& w, bool broken) {
       InvariantChecker::RequestedEdit deletion = ask("c2", plans_kind, "p", "");
       deletion.act = "delete";
       w.on_edit_acknowledged(1, {deletion, 1, 3});
       w.check_final_state(2, state_of(9, 9, {broken ? plan_one : plan_two}));
     }},
    {"the register holds another text",
     [](InvariantChecker& w, bool broken) {
       see(w, 1, state_of(2, 2, {plan_two}));
       w.on_edit_acknowledged(2, {ask("c1", plans_kind, "p", "{}"), 2, 2});
       w.check_final_state(3, state_of(9, 2, {broken ? Resource{plans_kind, "p", 2, 2, "{}"} : plan_two}));
     }},
    {"a data daemon holds other plans than the register",
     [](InvariantChecker& w, bool broken) {
       w.check_data_daemon(1, "d", {{PlanName{"p"}, broken ? 1 : 2}}, {}, state_of(9, 2, {plan_two}));
     }},
    {"a data daemon holds another mark than the register",
     [](InvariantChecker& w, bool broken) {
       w.check_data_daemon(1, "d", {}, {{RunnerName{"m1"}, broken ? RunnerState::warm : RunnerState::draining}},
                           state_of(9, 2, {leaving_runner}));
     }},
};

TEST(InvariantChecker, EachCheckSeesItsBrokenTwinAndNothingInTheSoundOne) {
  for (const auto& twin : twins)
    for (bool is_broken : {false, true}) {
      InvariantChecker watch;
      twin.history(watch, is_broken);
      if (!is_broken) {
        EXPECT_TRUE(watch.violations().empty())
            << twin.rule << ": " << watch.violations().front().rule << " " << watch.violations().front().detail;
        continue;
      }
      ASSERT_FALSE(watch.violations().empty()) << twin.rule;
      EXPECT_EQ(watch.violations().front().rule, twin.rule);
    }
}

}  // namespace
}  // namespace emberdale
