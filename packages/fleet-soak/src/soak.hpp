// One soak: a fleet of real processes serves clients and operators while the troubles of a seed come and go.
#pragma once
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "crowd.hpp"
#include "emberdale/fleet_of_processes.hpp"
#include "invariant_counts.hpp"
#include "soak_face.hpp"
#include "soak_judge.hpp"
#include "soak_operators.hpp"
#include "soak_schedule.hpp"

namespace emberdale::soak {

struct SoakOptions {
  std::string folder;  // schedule, records and logs
  std::uint64_t seed = 1;
  Duration length;  // of the load
  std::size_t crowd_connections = 700;
};

struct SoakReport {
  std::vector<Violation> violations;
  nlohmann::json figures;
};

class Soak {
 public:
  Soak(SoakFace& face, SoakOptions options);

  // Plays the whole soak. What it finds is in the log folder as well.
  SoakReport run();

 private:
  void play();
  void begin(const PlannedTrouble& trouble, TroubleRecord& record);
  void end(const PlannedTrouble& trouble, TroubleRecord& record);
  // Kills a process; one that had crashed before is a violation. `may_have_ended`: it was told to.
  void kill(const std::string& name, bool may_have_ended);
  void start(const std::string& name);
  void terminate(const std::string& name);
  void cut(const PlannedTrouble& trouble, bool is_cut);
  void read_invariants(const std::string& daemon);
  bool wait_until_whole();
  void read_records();
  std::vector<ProcessAddress> addresses(const std::vector<std::string>& roles) const;
  SoakReport report();

  SoakFace& face_;
  const SoakOptions options_;
  FleetOfProcesses& fleet_;
  std::vector<PlannedTrouble> schedule_;
  SoakRecords records_;
  OperatorRecords operators_;
  InvariantCounts invariants_;
  std::map<std::string, std::unique_ptr<Crowd>> crowds_;  // by daemon
  std::map<std::string, TimePoint> started_at_;           // processes that were started again
  std::set<std::string> terminated_at_start_;  // of these, told to stop before they can have set up their signals
  std::vector<Violation> violations_;          // beside those of the judge
};

}  // namespace emberdale::soak
