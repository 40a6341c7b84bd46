// emberdale-fleet-trial: a deployment under load while faults are injected, with every response checked.
#include <docopt/docopt.h>

#include <cstdlib>
#include <fstream>
#include <iostream>

#include "emberdale/program_settings.hpp"
#include "trial.hpp"
#include "trial_report.hpp"

namespace emberdale {
namespace {

constexpr const char* program_version = "emberdale-fleet-trial 0.1";
constexpr const char* caspian_rate = "200";
constexpr const char* kathmandu_rate = "300";

const char usage[] =
    R"(emberdale-fleet-trial: serves the brief's mix while the master is killed, a runner comes back
cold and a zone is emptied and taken back; then counts what was served, refused and wrong.

Usage:
  emberdale-fleet-trial [options]

Options:
  --deployment NAME   caspian or kathmandu [default: caspian].
  --folder FOLDER     Data, logs and ledgers [default: fleet-trial].
  --programs FOLDER   Where the programs are; else beside this one.
  --seconds N         Length of the load [default: 40].
  --rate N            Calls each second; else the brief's.
  --seed N            Seed of the mix [default: 1].
  --faults LIST       Any of the names below, comma separated; or all, or none [default: master,runner,zone].
  -h --help           Show this.

Faults: master and runner (killed, back), zone (emptied and taken back), freeze (master and a data daemon),)"
    R"( core (wiped),
cut (the master's links, one way), split (the core), corecut (the core from everyone), delay (all links), pulled (a
runner marked and killed at short notice), hung (a runner), rivals (operators), rapid (edits), crowd, rolling
(restarts), zonelost, regionlost, coremove (a core machine at a new address), disk (slow, stalled, full), total (loss).
)";

std::string programs_folder(docopt::value& chosen, const std::string& program) {
  return chosen.isString() ? chosen.asString() : program.substr(0, program.rfind('/'));
}

TrialOptions options_of(std::map<std::string, docopt::value>& arguments, const std::string& program) {
  TrialOptions options;
  options.deployment = arguments["--deployment"].asString();
  options.folder = arguments["--folder"].asString();
  options.programs = programs_folder(arguments["--programs"], program);
  if (arguments["--rate"].isString())
    options.rate = arguments["--rate"].asString();
  else
    options.rate = options.deployment == "caspian" ? caspian_rate : kathmandu_rate;
  options.seed = arguments["--seed"].asString();
  options.faults = arguments["--faults"].asString();
  options.seconds = std::atof(arguments["--seconds"].asString().c_str());
  return options;
}

int run(int argc, char** argv) {
  auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true, program_version);
  TrialOptions options = options_of(arguments, argv[0]);
  start_program("emberdale-fleet-trial");
  Trial trial(options);
  if (!trial.bring_up())
    return 1;
  trial.run();
  nlohmann::json report = report_trial(trial);
  auto not_stopped = trial.fleet().stop();
  report["not_stopped_cleanly"] = not_stopped;
  std::ofstream(trial.fleet().folder() + "/trial.json") << report.dump(2) << "\n";
  std::cout << report.dump(2) << std::endl;
  bool is_good = trial.observations().callers_status == 0 && not_stopped.empty() && has_no_violation(report);
  return is_good ? 0 : 1;
}

}  // namespace
}  // namespace emberdale

int main(int argc, char** argv) { return emberdale::run(argc, argv); }
