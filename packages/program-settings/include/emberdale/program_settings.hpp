// How a daemon learns its place: flags, or a settings file with the same names; all findings at once.
#pragma once
#include <docopt/docopt.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "emberdale/messages.hpp"

namespace emberdale {

struct ProgramSettings {
  DaemonEntry self;
  std::vector<Address> seeds;
  std::string data_folder;
  bool may_fault_connections = false;
};

// Reads --settings (JSON) first and lays the flags over it. Every finding names its place.
// Example: auto settings = read_settings(arguments, DaemonRole::edge, findings); if (!findings.empty()) stop();
ProgramSettings read_settings(const std::map<std::string, docopt::value>& arguments, DaemonRole role,
                              std::vector<std::string>& findings);

// Milliseconds on a clock that no one sets and that runs on while the machine sleeps.
// Example: TimePoint now = steady_now();
TimePoint steady_now();

// Example: std::string id = random_id();   // 16 random bytes as hex
std::string random_id();

// glog to standard error, blocked stop signals. Example: start_program("emberdale-data-plane");
void start_program(const char* name);
// Waits for SIGTERM or SIGINT (blocked by start_program). A SIGHUP says that the settings file has changed; it ends
// nothing. Example: int signal = wait_for_stop([&] { read_settings_again(); });
int wait_for_stop(const std::function<void()>& on_hang_up = nullptr);

// Example: {"name":value,...} as Prometheus text: counters_text("emberdale", {{"calls", 3}})
std::string counters_text(const std::string& prefix, const std::map<std::string, std::int64_t>& counters);

}  // namespace emberdale
