// A whole deployment as real processes on this machine, for trials: the daemons themselves start no
// process, this test tool does.
#pragma once
#include <sys/types.h>

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "emberdale/small_types.hpp"

namespace emberdale {

class ClientCallRecorder;

struct FleetProcess {
  std::string name;  // e.g. "a2-control", "model-3"
  std::string role;  // core, edge, data, model, record
  std::string zone, region;
  std::string link, http;
  std::vector<std::string> words;  // how it is started, and started again
  pid_t id = 0;                    // 0: not running
};

struct ProgramEnd {
  int status = -1;
  std::string out;
};

// Example:
//   FleetOfProcesses fleet("caspian", "fleet-caspian", "build/bin"); fleet.start_daemons();
//   fleet.found(); fleet.declare(); ... fleet.end("a1-control", SIGKILL); fleet.begin("a1-control");
class FleetOfProcesses {
 public:
  FleetOfProcesses(std::string deployment, std::string folder, std::string programs);
  // Other processes than those of a deployment; start_all(), found() and declare() are not for them.
  FleetOfProcesses(std::string folder, std::string programs, const std::vector<FleetProcess>& processes);
  ~FleetOfProcesses();  // ends what it started, by id

  Outcome<bool> start_all();
  Outcome<bool> found();
  // Declares runners and plans with emberdale-client and watches them into force.
  Outcome<bool> declare();

  // A core machine at a new address, with an empty folder. Example: fleet.add_core("b0-core", "b9-core");
  void add_core(const std::string& like, const std::string& name);
  // Tells daemons to cut or delay their links. Example: fleet.fault({"a0-core"}, {"b0-core"}, {{"cut_out", true}});
  void fault(const std::vector<std::string>& at, const std::vector<std::string>& towards, nlohmann::json how) const;
  void clear_faults() const;
  std::vector<std::string> names(const std::vector<std::string>& roles) const;
  bool begin(const std::string& name);
  // Sends the signal and waits for the end. Gives how it ended: its exit status, 128 and the number of the signal that
  // killed it, or -1 if it did not run.
  int end(const std::string& name, int signal);
  void signal(const std::string& name, int signal);
  // Stops everything cleanly; tells who did not stop in time.
  std::vector<std::string> stop();

  // Runs emberdale-client; what it changes or reads is recorded in history_file().
  ProgramEnd client(std::vector<std::string> words);
  std::string history_file() const { return folder_ + "/history.jsonl"; }
  pid_t start_program(const std::vector<std::string>& words, const std::string& log);
  ProgramEnd run_program(const std::vector<std::string>& words);
  int wait_program(pid_t id);

  FleetProcess& at(const std::string& name) { return processes_.at(name); }
  const std::map<std::string, FleetProcess>& processes() const { return processes_; }
  std::string controls() const;  // HTTP addresses for the client
  std::string gateways() const;  // REGION=IP:PORT for the callers
  std::string master_name();     // which process is master, by the fleet's own word
  // GET of a page of one process; nothing if it does not answer.
  std::optional<std::string> page(const std::string& http, const std::string& path) const;
  std::optional<std::string> post(const std::string& http, const std::string& path, const std::string& body) const;
  nlohmann::json snapshot() const;
  const std::string& folder() const { return folder_; }
  const std::string& deployment() const { return deployment_; }

 private:
  friend class DeploymentBuilder;

  std::string put(const std::string& kind, const std::string& name, const nlohmann::json& body);
  void add(FleetProcess process) { processes_[process.name] = std::move(process); }
  std::string deployment_, folder_, programs_;
  std::map<std::string, FleetProcess> processes_;
  std::unique_ptr<ClientCallRecorder> recorder_;
};

// Addresses on loopback that are free now, below the range the system gives to outgoing links.
// Example: auto places = free_addresses(3);
std::vector<std::string> free_addresses(std::size_t count);

}  // namespace emberdale
