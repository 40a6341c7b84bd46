// Operators: what they declare, ask and read, and what they are told.
#include <algorithm>

#include "emberdale/fleet_simulation.hpp"

namespace emberdale {
namespace {

std::string runner_body(const SimulatedRunner& runner, int port) {
  return R"({"address":"127.0.0.1:)" + std::to_string(port) + R"(","pool":")" + runner.pool + R"(","zone":")" +
         runner.zone + R"(","region":")" + runner.region + R"(","seal_key":"key-)" + runner.name + R"("})";
}

const std::map<std::string, std::string> first_plans{
    {"check", R"({"service":"s","match":{"path":"/check"},"pool":"models","spill":{"allowed":true},"horizon_ms":5000,)"
              R"("prefix_bytes":64})"},
    {"homed", R"({"service":"s","match":{"path":"/homed"},"pool":"models","home":{"header":"x-home-region"},)"
              R"("horizon_ms":5000})"},
    {"long", R"({"service":"s","match":{"path":"/chat"},"pool":"models","spill":{"allowed":true},"streaming":true,)"
             R"("horizon_ms":9000})"},
    {"record",
     R"({"service":"r","match":{"path":"/record"},"pool":"records","spill":{"allowed":true},"repeatable":true,)"
     R"("horizon_ms":3000})"}};

}  // namespace

std::shared_ptr<FleetSimulation::EditOutcome> FleetSimulation::edit(const std::string& where, const std::string& act,
                                                                    const std::string& kind, const std::string& name,
                                                                    const std::string& body, std::int64_t expected) {
  auto outcome = std::make_shared<EditOutcome>();
  outcome->requested_at = now_;
  Node& target = node(where);
  if (!target.is_up || target.is_frozen || !target.control) {
    outcome->is_finished = true;
    outcome->code = 503;
    return outcome;
  }
  EditRequest request;
  request.change_id = "change-" + std::to_string(++last_change_);
  request.action = *parse_edit_action(act);
  request.kind = kind;
  request.name = name;
  request.expected_version = expected;
  request.body = body;
  outcome->edit = {request.change_id, kind, name, act, body, now_};
  checker_.on_edit_requested(outcome->edit);
  outcome->recorded_call = recorder_.asked("operator", where, request, now_);
  target.control->edit(
      request, [this, outcome](const EditResponse& response) { end_edit(outcome, response); }, clock(target));
  flush(target);
  return outcome;
}

void FleetSimulation::end_edit(const std::shared_ptr<EditOutcome>& outcome, const EditResponse& response) {
  outcome->is_finished = true;
  outcome->finished_at = now_;
  outcome->code = response.code;
  outcome->version = response.version;
  outcome->body = response.body;
  trace(TraceEvent::edit_answered, response.code, response.version, response.body);
  recorder_.answered(outcome->recorded_call, response, now_);
  if (response.code == 200 || response.code == 201) {
    auto mark = response.body.find("\"config_revision\":");
    std::int64_t revision = mark == std::string::npos ? 0 : std::atoll(response.body.c_str() + mark + 18);
    checker_.on_edit_acknowledged(now_, {outcome->edit, response.version, revision});
  } else if (response.code != 504) {
    checker_.on_edit_refused(now_, outcome->edit);
  }
}

bool FleetSimulation::edit_until_done(const std::string& act, const std::string& kind, const std::string& name,
                                      const std::string& body, Duration span) {
  std::int64_t end = now_ + span.value;
  while (now_ < end) {
    std::vector<std::string> able;
    for (const auto& [other, made] : nodes_)
      if (made->control && made->is_up && !made->is_frozen)
        able.push_back(other);
    if (able.empty())
      return false;
    auto outcome = edit(able[static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(able.size())))], act,
                        kind, name, body);
    run_until([&] { return outcome->is_finished; },
              Duration{std::max<std::int64_t>(1, std::min<std::int64_t>(18000, end - now_))});
    if (outcome->code == 200 || outcome->code == 201)
      return true;
    run(Duration{100});
  }
  return false;
}

std::shared_ptr<FleetSimulation::EditOutcome> FleetSimulation::replace_core(const std::string& where,
                                                                            const std::string& old_name,
                                                                            const std::string& new_name) {
  auto outcome = std::make_shared<EditOutcome>();
  Node& target = node(where);
  if (!target.is_up || target.is_frozen) {
    outcome->is_finished = true;
    outcome->code = 503;
    return outcome;
  }
  target.control->replace_core(
      node(old_name).address, node(new_name).address,
      [outcome](int code, const std::string& reason) {
        outcome->is_finished = true;
        outcome->code = code;
        outcome->body = reason;
      },
      clock(target));
  flush(target);
  return outcome;
}

std::shared_ptr<FleetState> FleetSimulation::read(const std::string& where) {
  auto shown = std::make_shared<FleetState>();
  Node& target = node(where);
  if (!target.is_up || target.is_frozen || !target.control)
    return shown;
  if (is_read_unconfirmed && target.control->proposer().has_state()) {
    *shown = target.control->proposer().state();
    end_read(where, now_, *shown);
    return shown;
  }
  target.control->read(
      [this, shown, where, begun = now_](const FleetState* state) {
        if (state == nullptr)
          return;
        *shown = *state;
        end_read(where, begun, *state);
      },
      clock(target));
  flush(target);
  return shown;
}

void FleetSimulation::end_read(const std::string& where, std::int64_t begun, const FleetState& state) {
  checker_.on_read(now_, begun, where, state);
  recorder_.was_read({"reader", where, begun}, now_, state);
}

bool FleetSimulation::compare_holdings() {
  std::shared_ptr<FleetState> state;
  for (int tries = 0; tries < 5 && (!state || state->version == 0); ++tries) {
    for (const auto& name : names("edge"))
      if (is_running(name)) {
        state = read(name);
        run(Duration{1500});
        if (state->version != 0)
          break;
      }
  }
  if (!state || state->version == 0)
    return false;
  // The news of the very last change may still be under way.
  run_until(
      [&] {
        for (const auto& name : names("data"))
          if (is_running(name) && data(name)->view()->config_revision < state->config_revision)
            return false;
        return true;
      },
      Duration{3000});
  checker_.check_final_state(now_, *state);
  for (const auto& name : names("data")) {
    if (!is_running(name) || data(name)->view()->config_revision > state->config_revision)
      continue;
    std::map<RunnerName, RunnerState> states;
    for (const auto& [runner, row] : data(name)->view()->runners)
      states[runner] = row.state;
    checker_.check_data_daemon(now_, name, data(name)->view()->plan_versions, states, *state);
  }
  return true;
}

bool FleetSimulation::found() {
  run(Duration{500});
  Node& first = node("a0");
  int code = 0;
  first.control->found(
      "simulated", {node("a0").address, node("b0").address, node("c0").address},
      [&](int answer, const std::string&) { code = answer; }, clock(first));
  flush(first);
  if (!run_until([&] { return code != 0; }, Duration{5000}) || code != 201)
    return false;
  return run_until([&] { return !master().empty(); }, Duration{15000});
}

bool FleetSimulation::declare() {
  int port = 20000;
  for (const auto& [name, runner] : runners_)
    if (!edit_until_done("put", runners_kind, name, runner_body(runner, ++port), Duration{10000}))
      return false;
  for (const auto& [name, body] : first_plans)
    if (!edit_until_done("put", plans_kind, name, body, Duration{10000}))
      return false;
  bool is_serving =
      run_until([&] { return serving_daemons() == static_cast<std::int64_t>(names("data").size()); }, Duration{10000});
  if (!has_calls_ && load_generator_.rate > 0) {
    has_calls_ = true;
    start_call();
  }
  return is_serving;
}

}  // namespace emberdale
