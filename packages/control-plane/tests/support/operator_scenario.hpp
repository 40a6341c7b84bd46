// A scenario of operators and readers at a simulated fleet whose machines are cut off, frozen, restarted and wiped.
// Each request is recorded as its client saw it, with requests and responses that get lost on the way, so that the
// history can be checked for linearizability. Virtual time; all runs of one seed are the same.
#pragma once
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "emberdale/control_call_recorder.hpp"
#include "emberdale/linearizability.hpp"
#include "machine_fleet.hpp"

namespace emberdale {

// What a scenario consists of.
struct OperatorScenarioPlan {
  int machines = 3;
  int operators = 3;
  int readers = 2;
  double configuration_share = 0.6;  // of the changes; the others are zone orders
  double lost_share = 0.04;          // of the requests, and of the responses
  std::int64_t duration_ms = 40000;
  bool are_reads_unconfirmed = false;  // an injected fault: a read returns what its daemon holds
};

// Example:
//   OperatorScenario scenario(7, OperatorScenarioPlan{});
//   scenario.run();
//   history::HistoryVerdict verdict = scenario.check_history();
class OperatorScenario {
 public:
  OperatorScenario(std::uint64_t seed, OperatorScenarioPlan plan)
      : plan_(plan), fleet_(seed), random_(seed * 131 + 7) {}

  void run();
  history::HistoryVerdict check_history() const { return history::check_history(recorder_.operations()); }
  const std::vector<history::Operation>& operations() const { return recorder_.operations(); }
  // How many changes had that outcome.
  std::size_t count_changes(history::CallOutcome outcome) const;

 private:
  struct Operator {
    std::string name;
    std::int64_t known_revision = 0;  // the newest of the routing table that a response named
  };
  // One change, requested at daemon after daemon until there is a definite response.
  struct PendingChange {
    std::shared_ptr<Operator> requester;
    EditRequest request;
    std::int64_t deadline = 0;
  };
  struct Attempt {
    std::size_t operation = 0;  // its number in the recorder
    bool is_over = false;
  };

  const std::string& random_machine();
  bool is_responsive(const std::string& name) { return fleet_.at(name).is_up && !fleet_.at(name).is_frozen; }
  std::int64_t random_network_delay() { return 1 + random_.below(3); }

  // Operators.
  void request_change_later(const std::shared_ptr<Operator>& requester);
  void request_change(const std::shared_ptr<Operator>& requester);
  EditRequest random_configuration_change(std::int64_t known_revision);
  EditRequest random_zone_order();
  void attempt(PendingChange change);
  void attempt_later(const PendingChange& change);
  void deliver_request(const PendingChange& change, const std::shared_ptr<Attempt>& attempt, const std::string& where,
                       int incarnation);
  void handle_response(const PendingChange& change, Attempt& attempt, const EditResponse& response);

  // Readers.
  void read_repeatedly(const std::string& reader);
  void read(const std::string& reader, const std::string& where);

  // Faults.
  void inject_fault();
  void restart(const std::string& name, std::int64_t downtime_ms, bool is_wiped);

  OperatorScenarioPlan plan_;
  MachineFleet fleet_;
  RandomGenerator random_;
  history::ControlCallRecorder recorder_{history::ControlCallRecorder::ZoneOrderModel::expiring};
  std::vector<std::string> names_;
  std::int64_t end_ = 0;  // operators, readers and faults begin nothing new from then on
  int last_text_ = 0;     // makes the text of each change its own
  int last_request_id_ = 0;
};

// How many scenarios the tests run. More of them by hand: EMBERDALE_SEEDS=1000 control-history-test
inline const std::uint64_t scenario_count =
    std::getenv("EMBERDALE_SEEDS") == nullptr ? 40 : std::strtoull(std::getenv("EMBERDALE_SEEDS"), nullptr, 10);

// Expects that the histories of scenario_count scenarios of this plan are linearizable, and that they hold
// acknowledged changes and such of unknown outcome. Stops at the first that is not, with its smallest history.
void expect_linearizable_scenarios(OperatorScenarioPlan plan);

}  // namespace emberdale
