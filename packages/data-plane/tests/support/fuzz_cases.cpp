#include "fuzz_cases.hpp"

#include <cstdlib>

namespace emberdale_test {
namespace {

constexpr const char* fixed_seed = "20261202";

rc::Gen<RunnerAct> any_act() {
  auto range = [](RunnerAct first, RunnerAct last) {
    return rc::gen::map(rc::gen::inRange(static_cast<int>(first), static_cast<int>(last) + 1),
                        [](int act) { return static_cast<RunnerAct>(act); });
  };
  // Silence costs time: it is rarer than all else.
  return rc::gen::weightedOneOf<RunnerAct>({{20, range(RunnerAct::answer, RunnerAct::answer_then_garbage)},
                                            {8, range(RunnerAct::refuse_full, RunnerAct::unmarked_busy)},
                                            {20, range(RunnerAct::reset_before_head, RunnerAct::unsealed)},
                                            {1, range(RunnerAct::silence, RunnerAct::silence_then_answer)}});
}

rc::Gen<CallPlan> plan_of_any_kind() {
  auto acts = rc::gen::mapcat(rc::gen::inRange<std::size_t>(1, 4), [](std::size_t count) {
    return rc::gen::container<std::vector<RunnerAct>>(count, any_act());
  });
  return rc::gen::build<CallPlan>(
      rc::gen::set(&CallPlan::route,
                   rc::gen::element(CallRoute::once, CallRoute::again, CallRoute::stream, CallRoute::resume)),
      rc::gen::set(&CallPlan::is_chunked, rc::gen::arbitrary<bool>()),
      rc::gen::set(&CallPlan::body_size, rc::gen::element(0, 1, 100, 5000)),
      rc::gen::set(&CallPlan::pieces, rc::gen::inRange(1, 4)), rc::gen::set(&CallPlan::events, rc::gen::inRange(0, 7)),
      rc::gen::set(&CallPlan::cut, rc::gen::inRange(0, 1000)), rc::gen::set(&CallPlan::prompt, rc::gen::inRange(1, 4)),
      rc::gen::set(&CallPlan::acts, acts));
}

// A stream that breaks off after its first events and may go on elsewhere; chance alone makes these too seldom.
rc::Gen<CallPlan> resumed_plan() {
  return rc::gen::map(plan_of_any_kind(), [](CallPlan plan) {
    plan.route = CallRoute::resume;
    plan.events = 4 + plan.events;
    plan.cut = 400 + plan.cut / 2;
    plan.acts.insert(plan.acts.begin(), RunnerAct::close_within_body);
    return plan;
  });
}

}  // namespace

rc::Gen<CallPlan> any_plan() {
  return rc::gen::weightedOneOf<CallPlan>({{7, plan_of_any_kind()}, {1, resumed_plan()}});
}

bool set_up_rapidcheck(int default_cases) {
  const char* given = std::getenv("RC_PARAMS");
  const char* cases = std::getenv("EMBERDALE_FUZZ_CASES");
  std::string params = given != nullptr ? given : std::string("seed=") + fixed_seed;
  if (params.find("max_success") == std::string::npos)
    params += " max_success=" + (cases != nullptr ? std::string(cases) : std::to_string(default_cases));
  return ::setenv("RC_PARAMS", params.c_str(), 1) == 0;
}

std::string joined(const std::vector<std::string>& lines) {
  std::string text;
  for (const auto& line : lines)
    text += line + "\n";
  return text;
}

}  // namespace emberdale_test
