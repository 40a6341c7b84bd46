// What differs between the faces of the system under soak, our own and that of the users' platform: how the fleet is
// set up, how calls and changes are made, and what the answers mean.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "emberdale/fleet_of_processes.hpp"
#include "plain_http.hpp"
#include "soak_records.hpp"
#include "soak_schedule.hpp"

namespace emberdale::soak {

// What kind of call it is; its body says how the runner treats it.
struct CallNature {
  std::string id, region;
  bool is_stream = false, is_repeatable = false;
};

// One version of the resource that the editor changes.
struct EditedVersion {
  std::int64_t version = 0, value = 0;
};

// Used by several threads at once, after bring_up().
class SoakFace {
 public:
  virtual ~SoakFace() = default;

  virtual FleetOfProcesses& fleet() = 0;
  // Starts every process and configures the fleet; empty: it serves, else the reason why not. What goes wrong meanwhile
  // is drawn from the seed.
  virtual std::string bring_up(std::uint64_t seed) = 0;
  // What went wrong while it started, for the report; empty: nothing.
  virtual std::string start_description() const { return ""; }
  virtual SoakTargets targets() const = 0;
  virtual bool is_ready(const FleetProcess& data_daemon) const = 0;
  // Where a daemon shows its counters.
  virtual std::string metrics_path(const FleetProcess& daemon) const = 0;
  virtual std::string metrics_address(const FleetProcess& daemon) const { return daemon.http; }
  // Where a daemon takes cuts of its peer connections.
  virtual std::string faults_path(const FleetProcess& daemon) const = 0;

  virtual std::string call_request(const CallNature& call, const std::string& body) const = 0;
  // Whether the answer says that the call surely did not run.
  virtual bool says_not_run(const Message& answer) const = 0;

  // A change that is made only on this version of the edited resource.
  virtual std::string edit_request(std::int64_t version, std::int64_t value) const = 0;
  virtual std::optional<EditedVersion> acknowledged_edit(const Response& response, std::int64_t value) const = 0;
  virtual std::string read_request() const = 0;
  // What a read shows; a resource that does not exist has version 0. Nothing: it was not read.
  virtual std::optional<EditedVersion> read_resource(const Response& response) const = 0;
  // A request of an operator that will not read the answer.
  virtual std::string unread_request(std::int64_t value) const = 0;
  // Marks a runner as draining, or takes the mark back, at this daemon. Gives the name of the daemon that acknowledged
  // it, which is empty where the mark needs none; nothing: it was not acknowledged.
  virtual std::optional<std::string> set_mark(const std::string& runner, bool is_draining,
                                              const ProcessAddress& control) = 0;
};

}  // namespace emberdale::soak
