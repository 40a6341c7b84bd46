// The settings of a daemon of the fleet: flags of the command line, and a settings file in JSON with the same names.
#pragma once
#include <docopt/docopt.h>

#include <map>
#include <string>
#include <vector>

#include "emberdale/messages.hpp"
#include "emberdale/program_runtime.hpp"

namespace emberdale {

// What a daemon is told at its start.
struct ProgramSettings {
  DaemonEntry self;            // with a new incarnation
  std::vector<Address> seeds;  // one to three daemons to contact first
  std::string data_folder;     // of a replica; empty if it hosts none
  bool may_fault_connections = false;
};

// Reads the file that --settings names, and the flags, which take precedence. All that is wrong is added to `findings`,
// one line each, with the flag or the place in the file; the settings are only of use if there is none.
// `role` is that of the daemon. Example: auto settings = read_settings(arguments, DaemonRole::edge, findings);
ProgramSettings read_settings(const std::map<std::string, docopt::value>& arguments, DaemonRole role,
                              std::vector<std::string>& findings);

}  // namespace emberdale
