// One run of a random scenario. The faults are member functions, defined by subject in random_scenario_*.cpp.
#pragma once
#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "emberdale/random_scenario.hpp"

namespace emberdale {

// Example: RandomScenario scenario(seed, plan); auto result = scenario.run();
class RandomScenario {
 public:
  RandomScenario(std::uint64_t seed, const ScenarioPlan& plan)
      : plan_(plan), fleet_(seed, plan.shape), random_(seed * 77 + 5) {}

  // Runs the scenario from start to end; to be called once.
  FaultInjectionResult run();
  // The digest of the fleet's trace, the calls, the edits and the faults; empty if the shape is not traced.
  std::string trace_digest(const FaultInjectionResult& result);

  // A kind of fault: how often it is chosen in relation to the others, and the function that injects it.
  struct Fault {
    const char* name;
    int weight;
    void (RandomScenario::*act)();
  };
  static const std::vector<Fault>& faults();

 private:
  using Names = std::vector<std::string>;

  // --- choices, each of which draws from the generator ---
  const std::string& pick(const Names& list);
  std::string pick_zone();
  std::string pick_control();
  const Fault& pick_fault(const std::vector<Fault>& table, std::int64_t weights);

  // --- what faults share ---
  Names all_daemons() const;
  Names daemons_of_zone(const std::string& zone) const;
  void log(const std::string& what) { event_log_ << fleet_.now() << " " << what << "\n"; }
  void inject(const Fault& fault);
  void count_effect(bool has_effect = true) { result_.effects[current_fault_] += has_effect; }
  // Calls `end` after the duration of the fault, and counts an effect if `count` has grown by then.
  void end_and_count_effect(std::function<std::int64_t()> count, std::function<void()> end);
  // Kills the daemon, or cuts its power, and starts it again after `ms`; an empty name: does nothing.
  void take_down(const std::string& name, bool is_power, std::int64_t ms);
  // Starts the daemon, unless another one has replaced it for good.
  void restart(const std::string& name);
  void restart_when_down(const std::string& name);
  void kill_runner_for_duration(const std::string& runner);
  void cut_until_end(const Names& ones, const Names& others, bool is_one_way = false);
  // One core machine may be without its disk at a time, and only while the others are sound.
  bool may_lose_disk();
  // Whether the register names the store of this core daemon, and no joint change is under way.
  bool is_admitted(const std::string& core);
  void replace_until_done(const std::string& old, const std::string& fresh);
  void edit(const std::string& act, const std::string& kind, const std::string& name, const std::string& body,
            std::int64_t expected = -1);
  std::int64_t version_seen(const std::string& at, const std::string& kind, const std::string& name);

  // --- faults of machines (random_scenario_machines.cpp) ---
  void kill_edge();
  void kill_data();
  void kill_core();
  void kill_master();
  void kill_many();
  void lose_zone();
  void lose_region();
  void lose_all();
  void freeze_one();
  void fail_disk();
  void wipe_core();
  void move_core();
  void move_edges();
  void step_clocks();
  void skew_clocks();
  void restart_in_turn();

  // --- faults of the network (random_scenario_network.cpp) ---
  void isolate_one();
  void cut_from_core();
  void cut_from_edge();
  void cut_from_runners();
  void cut_one_way();
  void cut_zone();
  void split_core();
  void cut_off_core();
  void lose_messages();
  void delay_messages();

  // --- runners and load (random_scenario_load.cpp) ---
  void restart_runner();
  void hang_runner();
  void flap_runner();
  void replace_runners();
  void remove_runner_early();
  void restart_runners_of_region();
  void raise_load();
  void change_request_mix();
  void move_clients();

  // --- operators (random_scenario_operators.cpp) ---
  void make_rival_edits();
  void make_quick_edits();
  void make_invalid_edits();
  void create_or_delete_plan();
  void mark_runner();
  void order_zone();
  void read_state();

  // --- the course of the scenario (random_scenario_run.cpp) ---
  bool bring_up();
  void inject_only(const std::string& name);
  void inject_at_random(int weights);
  void inject_last_fault();
  void check_lost_core();
  void check_recovery();
  bool edit_after_recovery();
  void check_calls_after_recovery();
  void check_linearizability();
  void finish_result();
  void fail(const std::string& rule, const std::string& detail = "");

  ScenarioPlan plan_;
  FleetSimulation fleet_;
  RandomGenerator random_;  // of the faults; the fleet has its own
  FaultInjectionResult result_;
  std::ostringstream event_log_;
  Names edges_, data_daemons_, cores_, runners_;
  Names replaced_daemons_;  // never started again
  std::vector<std::shared_ptr<FleetSimulation::EditOutcome>> edits_;
  std::shared_ptr<FleetSimulation::EditOutcome> replacement_;
  std::string lost_core_;  // the core daemon without its old disk; empty: none
  std::string current_fault_;
  std::int64_t fault_duration_ = 0;  // virtual milliseconds of the fault that is injected now
};

}  // namespace emberdale
