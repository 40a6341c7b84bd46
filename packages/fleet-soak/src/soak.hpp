// One soak: a fleet of real processes serves clients and operators while the troubles of a seed come and go.
#pragma once
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "emberdale/fleet_of_processes.hpp"
#include "soak_judge.hpp"
#include "soak_operators.hpp"
#include "soak_schedule.hpp"

namespace emberdale::soak {

struct SoakOptions {
  std::string deployment;  // caspian or kathmandu
  std::string folder;      // removed at the start; schedule, records and logs
  std::string programs;    // where the programs are
  std::uint64_t seed = 1;
  Duration length;  // of the load
};

struct SoakReport {
  std::vector<Violation> violations;
  nlohmann::json figures;
};

// The counters of violated invariants that the daemons keep themselves, by daemon and name: the highest value seen.
using InvariantCounts = std::map<std::string, std::int64_t>;

class Soak {
 public:
  explicit Soak(SoakOptions options);

  // Plays the whole soak. What it finds is in the log folder as well.
  SoakReport run();

 private:
  bool bring_up();
  void play();
  void begin(const PlannedTrouble& trouble, TroubleRecord& record);
  void end(const PlannedTrouble& trouble, TroubleRecord& record);
  void cut(const PlannedTrouble& trouble, bool is_cut);
  void read_invariants(const std::string& daemon);
  bool wait_until_whole();
  void read_records();
  std::vector<ProcessAddress> addresses(const std::vector<std::string>& roles) const;
  SoakReport report();

  const SoakOptions options_;
  FleetOfProcesses fleet_;
  std::vector<PlannedTrouble> schedule_;
  SoakRecords records_;
  OperatorRecords operators_;
  InvariantCounts invariants_;
  std::vector<Violation> violations_;  // beside those of the judge
};

}  // namespace emberdale::soak
