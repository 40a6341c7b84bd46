// emberdale-fleet-starter: one command that starts a whole deployment on this machine.
#include <docopt/docopt.h>

#include <iostream>

#include "emberdale/fleet_of_processes.hpp"
#include "emberdale/program_settings.hpp"

namespace emberdale {
namespace {

const char usage[] = R"(emberdale-fleet-starter: a whole deployment on this machine, for trying it out.

Usage:
  emberdale-fleet-starter [options]

Starts 12 machines' daemons in three zones of two regions with stand-in back ends, founds the
fleet, declares its runners and plans, prints the addresses, and stops all cleanly on Ctrl-C.

Options:
  --deployment NAME   caspian or kathmandu [default: caspian].
  --folder FOLDER     Data, logs and ledgers [default: fleet-run].
  --programs FOLDER   Where the programs are; else beside this one.
  -h --help           Show this.
)";

void print_addresses(const FleetOfProcesses& fleet, const std::string& programs) {
  std::cout << "deployment " << fleet.deployment() << " serves; addresses also in " << fleet.folder()
            << "/fleet.json\n";
  for (const auto& [name, process] : fleet.processes())
    std::cout << "  " << name
              << (process.role == "data"                             ? "  callers: "
                  : process.role == "edge" || process.role == "core" ? "  operators: "
                                                                     : "  back end: ")
              << process.http << "  zone " << process.zone << ", region " << process.region << "\n";
  std::cout << "operators: " << programs << "/emberdale-client --control " << fleet.controls() << " fleet\n"
            << "callers:   " << programs << "/emberdale-caller-stand-in --deployment " << fleet.deployment()
            << " --gateways " << fleet.gateways() << "\n"
            << "Ctrl-C stops it." << std::endl;
}

int run(int argc, char** argv) {
  auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true, "emberdale-fleet-starter 0.1");
  std::string deployment = arguments["--deployment"].asString();
  if (deployment != "caspian" && deployment != "kathmandu") {
    std::cerr << "--deployment must be caspian or kathmandu\n";
    return 2;
  }
  std::string self = argv[0];
  std::string programs =
      arguments["--programs"].isString() ? arguments["--programs"].asString() : self.substr(0, self.rfind('/'));
  start_program("emberdale-fleet-starter");
  FleetOfProcesses fleet(deployment, arguments["--folder"].asString(), programs);
  for (auto step : {&FleetOfProcesses::start_all, &FleetOfProcesses::found, &FleetOfProcesses::declare}) {
    auto done = (fleet.*step)();
    if (!done) {
      std::cerr << done.reason << "\n";
      return 1;
    }
  }
  print_addresses(fleet, programs);
  wait_for_stop();
  auto late = fleet.stop();
  for (const auto& name : late)
    std::cerr << "did not stop cleanly: " << name << "\n";
  std::cout << "stopped" << std::endl;
  return late.empty() ? 0 : 1;
}

}  // namespace
}  // namespace emberdale

int main(int argc, char** argv) { return emberdale::run(argc, argv); }
