// A day of operators and readers at a fleet of machines that are cut off, frozen, restarted and wiped; every call is
// recorded as its caller saw it, with asks and answers that get lost on the way.
#pragma once
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "emberdale/control_call_recorder.hpp"
#include "emberdale/linearizability.hpp"
#include "emberdale/routing_table.hpp"
#include "machine_fleet.hpp"

namespace emberdale {

struct OperatorScenarioPlan {
  int machines = 3, operators = 3, readers = 2;
  double configuration_share = 0.6;  // of the changes; the others are zone orders
  double lost_share = 0.04;          // of the asks, and of the answers
  std::int64_t length_ms = 40000;
  bool are_reads_unconfirmed = false;  // a planted fault: a read shows what its daemon holds
};

// Example:
//   OperatorScenario day(7, OperatorScenarioPlan{}); day.run(); auto verdict = day.judge();
class OperatorScenario {
 public:
  OperatorScenario(std::uint64_t seed, OperatorScenarioPlan plan)
      : plan_(plan), fleet_(seed), random_(seed * 131 + 7) {}

  void run() {
    fleet_.edit_times.requester_timeout = Duration{800};
    fleet_.edit_times.leader_wait = Duration{800};
    names_ = bring_up(fleet_, plan_.machines);
    if (testing::Test::HasFailure())
      return;
    end_ = fleet_.now() + plan_.length_ms;
    for (int i = 1; i <= plan_.operators; ++i)
      think(std::make_shared<Operator>(Operator{"operator-" + std::to_string(i), 0}));
    for (int i = 1; i <= plan_.readers; ++i)
      read_again("reader-" + std::to_string(i));
    while (fleet_.now() < end_)
      fail_once();
    fleet_.run(settling_ms);
    for (const auto& name : names_)
      read("last reader", name);
    fleet_.run(read_patience_ms);
  }

  history::HistoryVerdict judge() const { return history::check_history(recorder_.operations()); }
  const std::vector<history::Operation>& calls() const { return recorder_.operations(); }
  std::size_t changes(history::CallOutcome outcome) const {
    return static_cast<std::size_t>(std::count_if(calls().begin(), calls().end(), [outcome](const auto& call) {
      return !call.is_read() && call.outcome == outcome;
    }));
  }
  MachineFleet& fleet() { return fleet_; }

 private:
  // A second of silence, then the next place is tried; orders are given up early (platform/client.cpp).
  static constexpr std::int64_t silence_ms = 1000, order_patience_ms = 6000, change_patience_ms = 8000,
                                read_patience_ms = 2500, settling_ms = 20000;

  struct Operator {
    std::string name;
    std::int64_t base = 0;  // the newest revision it has heard of
  };
  // One change, sent to daemon after daemon until there is a clear answer.
  struct Wish {
    std::shared_ptr<Operator> who;
    EditRequest request;
    std::int64_t deadline = 0;
  };
  struct Attempt {
    std::size_t call = 0;
    bool is_over = false;
  };

  const std::string& any_machine() {
    return names_[static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(names_.size())))];
  }
  bool answers(const std::string& name) { return fleet_.at(name).is_up && !fleet_.at(name).is_frozen; }
  std::int64_t wire_ms() { return 1 + random_.below(3); }

  // --- operators ------------------------------------------------------------------------------------
  void think(const std::shared_ptr<Operator>& who) {
    fleet_.later(100 + random_.below(900), [this, who] {
      if (fleet_.now() < end_)
        wish(who);
    });
  }

  void wish(const std::shared_ptr<Operator>& who) {
    Wish made{who, {}, 0};
    bool is_configuration = random_.chance(plan_.configuration_share);
    made.request = is_configuration ? configuration_change(who->base) : zone_order();
    made.deadline = fleet_.now() + (is_configuration ? change_patience_ms : order_patience_ms);
    attempt(made);
  }

  EditRequest configuration_change(std::int64_t base) {
    std::string revision = std::to_string(base + 1 + random_.below(3));
    std::string route = R"({"name":"r1","host":"a.example","path_prefix":"/x)" + std::to_string(++last_text_) +
                        R"(/","kind":"retry_safe","horizon_ms":8000,"target_ms":900,"rank":1,"pool":"m"})";
    EditRequest edit_request;
    edit_request.kind = routing_table_kind;
    edit_request.name = routing_table_name;
    edit_request.expected_version = base;
    edit_request.action = base > 0 && random_.chance(0.3) ? EditAction::amend : EditAction::replace;
    edit_request.body = edit_request.action == EditAction::amend
                            ? R"({"revision":)" + revision + R"(,"upsert":{"routes":[)" + route + "]}}"
                            : R"({"revision":)" + revision + R"(,"routes":[)" + route + R"(],"pools":[{"name":"m"}]})";
    return edit_request;
  }

  // The note makes each order's text its own, so that a read tells which order is in force.
  EditRequest zone_order() {
    EditRequest edit_request;
    edit_request.kind = orders_kind;
    edit_request.name = random_.chance(0.5) ? "a" : "b";
    edit_request.action = EditAction::put;
    edit_request.expected_version = -1;
    edit_request.body = std::string(R"({"state":")") + (random_.chance(0.5) ? "emptied" : "serving") + R"(","note":")" +
                        std::to_string(++last_text_) + R"("})";
    return edit_request;
  }

  void attempt(Wish wish) {
    if (fleet_.now() >= wish.deadline)
      return think(wish.who);
    const std::string where = any_machine();
    if (!fleet_.at(where).is_up)  // nobody listens there
      return try_again(wish);
    wish.request.change_id = "ask-" + std::to_string(++last_request_id_);
    auto made = std::make_shared<Attempt>();
    made->call = recorder_.asked(wish.who->name, where, wish.request, fleet_.now());
    if (!random_.chance(plan_.lost_share))
      fleet_.later(wire_ms(), [this, wish, made, where, incarnation = fleet_.at(where).incarnation] {
        hand_over(wish, made, where, incarnation);
      });
    fleet_.later(silence_ms, [this, wish, made] {
      if (made->is_over)
        return;
      made->is_over = true;
      recorder_.gave_up(made->call, fleet_.now());
      attempt(wish);
    });
  }

  void try_again(const Wish& wish) {
    fleet_.later(100 + random_.below(200), [this, wish] { attempt(wish); });
  }

  // A frozen process finds the request in its socket when it runs again, however long its caller has gone.
  void hand_over(const Wish& wish, const std::shared_ptr<Attempt>& made, const std::string& where, int incarnation) {
    const Machine& target = fleet_.at(where);
    if (!target.is_up || target.incarnation != incarnation)
      return;
    if (target.is_frozen)
      return fleet_.later(wire_ms(),
                          [this, wish, made, where, incarnation] { hand_over(wish, made, where, incarnation); });
    auto answered = [this, wish, made](const EditResponse& response) {
      if (random_.chance(plan_.lost_share))
        return;
      fleet_.later(wire_ms(), [this, wish, made, response] { hear(wish, *made, response); });
    };
    fleet_.ask(where, [&](ControlDaemon& daemon, TimePoint now) { daemon.edit(wish.request, answered, now); });
  }

  void hear(const Wish& wish, Attempt& made, const EditResponse& response) {
    if (made.is_over)
      return;
    made.is_over = true;
    recorder_.answered(made.call, response, fleet_.now());
    if (response.code >= 500)
      return try_again(wish);
    if (wish.request.kind == routing_table_kind && response.version > 0)
      wish.who->base = response.version;
    think(wish.who);
  }

  // --- readers --------------------------------------------------------------------------------------
  void read_again(const std::string& reader) {
    fleet_.later(150 + random_.below(600), [this, reader] {
      if (fleet_.now() >= end_)
        return;
      read(reader, any_machine());
      read_again(reader);
    });
  }

  void read(const std::string& reader, const std::string& where) {
    if (!answers(where))
      return;
    history::ControlCallRecorder::Reader asked{reader, where, fleet_.now()};
    auto show = [this, asked](const FleetState* state) {
      if (state != nullptr)
        recorder_.was_read(asked, fleet_.now(), *state);
    };
    fleet_.ask(where, [&](ControlDaemon& daemon, TimePoint now) {
      if (plan_.are_reads_unconfirmed && daemon.proposer().has_state())
        return show(&daemon.proposer().state());
      daemon.read(show, now);
    });
  }

  // --- what fails -----------------------------------------------------------------------------------
  void fail_once() {
    const std::string chosen = random_.chance(0.4) && !fleet_.master().empty() ? fleet_.master() : any_machine();
    std::int64_t hold = 300 + random_.below(random_.chance(0.3) ? 8000 : 2500);
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
        fleet_.cut_connection(chosen, any_machine());
        break;
      case 3:
        fleet_.freeze(chosen, true);
        break;
      case 4:
        restart(chosen, hold, false);
        break;
      default:  // its disk is lost too: only while all copies are sound
        restart(chosen, hold, fleet_.is_settled(names_));
    }
    fleet_.run(hold);
    fleet_.heal();
    fleet_.freeze(chosen, false);
    fleet_.run(200 + random_.below(2500));
  }

  void restart(const std::string& name, std::int64_t hold, bool is_wiped) {
    fleet_.power_cut(name);
    if (is_wiped)
      fleet_.wipe(name);
    fleet_.run(hold);
    fleet_.start(name, false);
  }

  OperatorScenarioPlan plan_;
  MachineFleet fleet_;
  RandomGenerator random_;
  history::ControlCallRecorder recorder_{history::ControlCallRecorder::ZoneOrderModel::expiring};
  std::vector<std::string> names_;
  std::int64_t end_ = 0;
  int last_text_ = 0, last_request_id_ = 0;
};

// More of them by hand: EMBERDALE_SEEDS=1000 control-history-test; each is a day
inline const std::uint64_t scenario_seeds =
    std::getenv("EMBERDALE_SEEDS") == nullptr ? 40 : std::strtoull(std::getenv("EMBERDALE_SEEDS"), nullptr, 10);

struct ScenarioFigures {
  std::size_t calls = 0, acknowledged = 0, unknown = 0;
  std::int64_t states = 0;
};

// Stops at the first day that can't be explained, with its smallest history.
inline ScenarioFigures expect_linearizable_days(OperatorScenarioPlan plan) {
  ScenarioFigures figures;
  for (std::uint64_t seed = 1; seed <= scenario_seeds; ++seed) {
    plan.machines = seed % 3 == 0 ? 5 : seed % 3 == 1 ? 3 : 4;
    OperatorScenario day(seed, plan);
    day.run();
    auto verdict = day.judge();
    figures.calls += day.calls().size();
    figures.acknowledged += day.changes(history::CallOutcome::acknowledged);
    figures.unknown += day.changes(history::CallOutcome::unknown);
    figures.states += verdict.states;
    EXPECT_EQ(verdict.verdict, history::Verdict::linearizable) << "seed " << seed << ": " << history::report(verdict);
    if (testing::Test::HasFailure())
      return figures;
  }
  std::printf("%zu calls, %zu changes acknowledged, %zu of unknown outcome, %ld states visited\n", figures.calls,
              figures.acknowledged, figures.unknown, static_cast<long>(figures.states));
  EXPECT_GT(figures.acknowledged, scenario_seeds * 5);
  EXPECT_GT(figures.unknown, scenario_seeds);
  return figures;
}

}  // namespace emberdale
