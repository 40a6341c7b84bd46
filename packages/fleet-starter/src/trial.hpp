// A trial: a deployment of real processes serves load while faults are injected. The faults are member functions,
// defined by subject in trial_*_faults.cpp and trial_operations.cpp; trial_report.cpp judges the outcome.
#pragma once
#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "emberdale/fleet_of_processes.hpp"

namespace emberdale {

struct TrialOptions {
  std::string deployment;  // caspian or kathmandu
  std::string folder;      // removed at the start
  std::string programs;    // where the programs are
  std::string rate;        // calls each second
  std::string seed;        // of the callers' mix
  std::string faults;      // names, separated by commas; or all, or none
  double seconds = 40;     // length of the load
};

// An edit that was acknowledged: when, by the wall clock in ms, and in which revision of the configuration.
struct AcknowledgedRevision {
  std::int64_t at = 0;
  std::int64_t config_revision = 0;
};

// A runner that must get no new work between two times of the wall clock, in ms.
struct BlockedRunner {
  std::string runner;
  std::int64_t notified_at = 0;
  std::int64_t until = 0;
};

// The evacuation of a zone, in ms of the wall clock; 0: it did not happen.
struct Evacuation {
  std::string zone = "b";
  std::int64_t in_force_at = 0;
  std::int64_t restored_at = 0;
};

// What the trial did and saw while it ran, to be compared with the records of the runners.
struct TrialObservations {
  nlohmann::json events = nlohmann::json::array();
  std::vector<AcknowledgedRevision> acknowledged;
  std::vector<BlockedRunner> blocked;
  Evacuation evacuation;
  std::int64_t rival_pairs_both_acknowledged = 0;
  std::int64_t surges_with_wrong_responses = 0;
  int callers_status = -1;  // exit status of the program that makes the load
};

class Trial {
 public:
  explicit Trial(TrialOptions options);

  // Starts the processes and the fleet on them; false: it did not come up, and the reason was printed.
  bool bring_up();
  // Serves the load and injects the wanted faults, evenly over its length.
  void run();

  FleetOfProcesses& fleet() { return fleet_; }
  const TrialObservations& observations() const { return observations_; }
  const TrialOptions& options() const { return options_; }

 private:
  using Clock = std::chrono::steady_clock;
  struct Fault {
    const char* name;
    void (Trial::*inject)();
  };
  struct NewMaster {
    std::string name;  // empty: none within the limit
    std::int64_t after_ms = 0;
  };

  static const std::vector<Fault>& faults();
  std::vector<Fault> wanted_faults() const;
  void start_load();
  void wait_until(double share_of_load) const;

  // --- what faults share ---
  static std::int64_t ms_since(Clock::time_point start);
  static void pause(int ms);
  // Adds an event, with its time since the start of the load.
  void note(nlohmann::json event);
  NewMaster wait_for_new_master(const std::string& previous, Clock::time_point since);
  int serving_daemons();
  void wait_until_all_serve(Clock::time_point since, int limit_ms);
  ProgramEnd patch_plan(int deadline_ms, const std::string& expected_version);
  bool edit_plan(int deadline_ms);
  void remember_acknowledgement(const ProgramEnd& ended);

  // --- processes (trial_process_faults.cpp) ---
  void kill_master();
  void kill_runner();
  void freeze_master_and_data_daemon();
  void wipe_core();
  bool is_core_member(const std::string& observer, const std::string& core);
  void restart_all();
  void hang_runner();
  void restart_in_turn();
  void lose_zone();
  void lose_region();
  void lose_processes(const std::string& what, const std::string& zone);
  void move_core();
  void fail_disk();

  // --- network (trial_network_faults.cpp) ---
  void cut_master_one_way();
  void split_core();
  void cut_off_core();
  void delay_connections();

  // --- operators and load (trial_operations.cpp) ---
  void evacuate_zone();
  void remove_runner_early();
  void make_rival_edits();
  int make_rival_pair(int number, const std::string& version);
  void make_quick_edits();
  void raise_load();

  TrialOptions options_;
  FleetOfProcesses fleet_;
  TrialObservations observations_;
  std::string plan_name_;  // the plan that edits change
  pid_t callers_ = 0;
  Clock::time_point load_started_;
};

// Wall-clock time in ms, comparable with the times in the records of the runners.
std::int64_t wall_clock_ms();

}  // namespace emberdale
