#include "operator_scenario.hpp"

#include <algorithm>
#include <cstdio>

#include "emberdale/routing_table.hpp"

namespace emberdale {

namespace {

// A client waits this long for a response, then tries the next daemon.
constexpr std::int64_t response_timeout_ms = 1000;
// A client gives up a zone order early (platform/client.cpp), a change of the configuration later.
constexpr std::int64_t zone_order_timeout_ms = 6000;
constexpr std::int64_t configuration_change_timeout_ms = 8000;
constexpr std::int64_t read_timeout_ms = 2500;
// After the last fault.
constexpr std::int64_t settling_time_ms = 20000;

}  // namespace

void OperatorScenario::run() {
  fleet_.edit_times.requester_timeout = Duration{800};
  fleet_.edit_times.leader_wait = Duration{800};
  names_ = bring_up(fleet_, plan_.machines);
  if (testing::Test::HasFailure())
    return;
  end_ = fleet_.now() + plan_.duration_ms;
  for (int i = 1; i <= plan_.operators; ++i)
    request_change_later(std::make_shared<Operator>(Operator{"operator-" + std::to_string(i), 0}));
  for (int i = 1; i <= plan_.readers; ++i)
    read_repeatedly("reader-" + std::to_string(i));
  while (fleet_.now() < end_)
    inject_fault();
  fleet_.run(settling_time_ms);
  for (const auto& name : names_)
    read("last reader", name);
  fleet_.run(read_timeout_ms);
}

std::size_t OperatorScenario::count_changes(history::CallOutcome outcome) const {
  auto is_counted = [outcome](const history::Operation& operation) {
    return !operation.is_read() && operation.outcome == outcome;
  };
  return static_cast<std::size_t>(std::count_if(operations().begin(), operations().end(), is_counted));
}

const std::string& OperatorScenario::random_machine() {
  return names_[static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(names_.size())))];
}

void OperatorScenario::request_change_later(const std::shared_ptr<Operator>& requester) {
  fleet_.later(100 + random_.below(900), [this, requester] {
    if (fleet_.now() < end_)
      request_change(requester);
  });
}

void OperatorScenario::request_change(const std::shared_ptr<Operator>& requester) {
  bool is_configuration = random_.chance(plan_.configuration_share);
  PendingChange change;
  change.requester = requester;
  change.request = is_configuration ? random_configuration_change(requester->known_revision) : random_zone_order();
  change.deadline = fleet_.now() + (is_configuration ? configuration_change_timeout_ms : zone_order_timeout_ms);
  attempt(change);
}

EditRequest OperatorScenario::random_configuration_change(std::int64_t known_revision) {
  std::string revision = std::to_string(known_revision + 1 + random_.below(3));
  std::string route = R"({"name":"r1","host":"a.example","path_prefix":"/x)" + std::to_string(++last_text_) +
                      R"(/","kind":"retry_safe","horizon_ms":8000,"target_ms":900,"rank":1,"pool":"m"})";
  bool is_amendment = known_revision > 0 && random_.chance(0.3);
  EditRequest edit_request;
  edit_request.kind = routing_table_kind;
  edit_request.name = routing_table_name;
  edit_request.expected_version = known_revision;
  edit_request.action = is_amendment ? EditAction::amend : EditAction::replace;
  edit_request.body = is_amendment
                          ? R"({"revision":)" + revision + R"(,"upsert":{"routes":[)" + route + "]}}"
                          : R"({"revision":)" + revision + R"(,"routes":[)" + route + R"(],"pools":[{"name":"m"}]})";
  return edit_request;
}

// The note makes the text of each order its own, so that a read shows which order is in force.
EditRequest OperatorScenario::random_zone_order() {
  EditRequest edit_request;
  edit_request.kind = orders_kind;
  edit_request.name = random_.chance(0.5) ? "a" : "b";
  edit_request.action = EditAction::put;
  edit_request.expected_version = -1;
  std::string state = random_.chance(0.5) ? "emptied" : "serving";
  edit_request.body = R"({"state":")" + state + R"(","note":")" + std::to_string(++last_text_) + R"("})";
  return edit_request;
}

void OperatorScenario::attempt(PendingChange change) {
  if (fleet_.now() >= change.deadline)
    return request_change_later(change.requester);
  const std::string where = random_machine();
  if (!fleet_.at(where).is_up)  // the connection is refused
    return attempt_later(change);
  change.request.change_id = "ask-" + std::to_string(++last_request_id_);
  auto made = std::make_shared<Attempt>();
  made->operation = recorder_.asked(change.requester->name, where, change.request, fleet_.now());
  if (!random_.chance(plan_.lost_share))
    fleet_.later(random_network_delay(), [this, change, made, where, incarnation = fleet_.at(where).incarnation] {
      deliver_request(change, made, where, incarnation);
    });
  fleet_.later(response_timeout_ms, [this, change, made] {
    if (made->is_over)
      return;
    made->is_over = true;
    recorder_.gave_up(made->operation, fleet_.now());
    attempt(change);
  });
}

void OperatorScenario::attempt_later(const PendingChange& change) {
  fleet_.later(100 + random_.below(200), [this, change] { attempt(change); });
}

// A frozen process finds the request in its socket when it goes on, even if its client has given up long before.
void OperatorScenario::deliver_request(const PendingChange& change, const std::shared_ptr<Attempt>& attempt,
                                       const std::string& where, int incarnation) {
  const Machine& machine = fleet_.at(where);
  if (!machine.is_up || machine.incarnation != incarnation)
    return;
  if (machine.is_frozen)
    return fleet_.later(random_network_delay(), [this, change, attempt, where, incarnation] {
      deliver_request(change, attempt, where, incarnation);
    });
  auto respond = [this, change, attempt](const EditResponse& response) {
    if (random_.chance(plan_.lost_share))
      return;
    fleet_.later(random_network_delay(),
                 [this, change, attempt, response] { handle_response(change, *attempt, response); });
  };
  fleet_.call_daemon(where, [&](ControlDaemon& daemon, TimePoint now) { daemon.edit(change.request, respond, now); });
}

void OperatorScenario::handle_response(const PendingChange& change, Attempt& attempt, const EditResponse& response) {
  if (attempt.is_over)
    return;
  attempt.is_over = true;
  recorder_.answered(attempt.operation, response, fleet_.now());
  if (response.code >= 500)
    return attempt_later(change);
  if (change.request.kind == routing_table_kind && response.version > 0)
    change.requester->known_revision = response.version;
  request_change_later(change.requester);
}

void OperatorScenario::read_repeatedly(const std::string& reader) {
  fleet_.later(150 + random_.below(600), [this, reader] {
    if (fleet_.now() >= end_)
      return;
    read(reader, random_machine());
    read_repeatedly(reader);
  });
}

void OperatorScenario::read(const std::string& reader, const std::string& where) {
  if (!is_responsive(where))
    return;
  history::ControlCallRecorder::Reader recorded_reader{reader, where, fleet_.now()};
  auto record = [this, recorded_reader](const FleetState* state) {
    if (state != nullptr)
      recorder_.was_read(recorded_reader, fleet_.now(), *state);
  };
  fleet_.call_daemon(where, [&](ControlDaemon& daemon, TimePoint now) {
    if (plan_.are_reads_unconfirmed && daemon.proposer().has_state())
      return record(&daemon.proposer().state());
    daemon.read(record, now);
  });
}

void OperatorScenario::inject_fault() {
  const std::string chosen = random_.chance(0.4) && !fleet_.master().empty() ? fleet_.master() : random_machine();
  std::int64_t duration_ms = 300 + random_.below(random_.chance(0.3) ? 8000 : 2500);
  switch (random_.below(6)) {
    case 0:
      fleet_.cut_zone(fleet_.at(chosen).zone.text);
      break;
    case 1:
      for (const auto& other : names_)
        if (other != chosen)
          fleet_.cut_connection(chosen, other);
      break;
    case 2:
      fleet_.cut_connection(chosen, random_machine());
      break;
    case 3:
      fleet_.freeze(chosen, true);
      break;
    case 4:
      restart(chosen, duration_ms, false);
      break;
    default:  // its disk is lost too, but only while all replicas are sound
      restart(chosen, duration_ms, fleet_.is_settled(names_));
  }
  fleet_.run(duration_ms);
  fleet_.heal();
  fleet_.freeze(chosen, false);
  fleet_.run(200 + random_.below(2500));
}

void OperatorScenario::restart(const std::string& name, std::int64_t downtime_ms, bool is_wiped) {
  fleet_.power_cut(name);
  if (is_wiped)
    fleet_.wipe(name);
  fleet_.run(downtime_ms);
  fleet_.start(name, false);
}

void expect_linearizable_scenarios(OperatorScenarioPlan plan) {
  constexpr int machine_counts[] = {5, 3, 4};
  std::size_t operations = 0;
  std::size_t acknowledged = 0;
  std::size_t unknown = 0;
  std::int64_t states = 0;
  for (std::uint64_t seed = 1; seed <= scenario_count; ++seed) {
    plan.machines = machine_counts[seed % 3];
    OperatorScenario scenario(seed, plan);
    scenario.run();
    history::HistoryVerdict verdict = scenario.check_history();
    operations += scenario.operations().size();
    acknowledged += scenario.count_changes(history::CallOutcome::acknowledged);
    unknown += scenario.count_changes(history::CallOutcome::unknown);
    states += verdict.states;
    EXPECT_EQ(verdict.verdict, history::Verdict::linearizable) << "seed " << seed << ": " << history::report(verdict);
    if (testing::Test::HasFailure())
      return;
  }
  std::printf("%zu calls, %zu changes acknowledged, %zu of unknown outcome, %ld states visited\n", operations,
              acknowledged, unknown, static_cast<long>(states));
  EXPECT_GT(acknowledged, scenario_count * 5);
  EXPECT_GT(unknown, scenario_count);
}

}  // namespace emberdale
