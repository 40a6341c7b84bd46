// emberdale-data-plane: takes calls and brings them to runners, as the placement map says.
#include <docopt/docopt.h>
#include <glog/logging.h>
#include <pplx/threadpool.h>

#include <iomanip>
#include <iostream>

#include "call_relay.hpp"
#include "data_process.hpp"
#include "emberdale/descriptor_budget.hpp"
#include "emberdale/program_settings.hpp"
#include "own_paths.hpp"

namespace emberdale {
namespace {

constexpr const char* usage = R"(emberdale-data-plane: serves calls by the master's placement map.

Usage:
  emberdale-data-plane [options]
  emberdale-data-plane (-h | --help)

Options:
  --settings FILE       JSON file with the settings below; flags go over it.
  --link IP:PORT        Address for links from siblings (also this daemon's id).
  --http IP:PORT        Address for callers.
  --zone NAME           Zone of this machine.
  --region NAME         Region of the zone.
  --seeds LIST          Up to three IP:PORT link addresses of control daemons.
  --allow-link-faults   Tests only: let /emberdale/faults cut and delay links.
  -h --help             Show this.
)";

constexpr int library_threads = 5;  // that serve all HTTP connections
constexpr Duration timer_interval{25};
constexpr Duration stop_timeout{8000};
constexpr int exit_settings = 2, exit_failure = 1;

DispatcherSettings dispatcher_settings(const ProgramSettings& settings) {
  DispatcherSettings dispatcher;
  dispatcher.self = settings.self.address;
  dispatcher.region = settings.self.region;
  return dispatcher;
}

int fail(const absl::Status& status) {
  LOG(ERROR) << "start_failed reason=" << std::quoted(std::string(status.message()));
  return exit_failure;
}

int run(const ProgramSettings& settings) {
  const DescriptorBudget budget(descriptor_limit());
  DataProcess process(settings.self, settings.seeds, timer_interval, budget.connections(DescriptorUse::peers));
  if (auto listening = open_patiently([&] { return process.open(); }); !listening.ok())
    return fail(listening);
  CallRelay relay(dispatcher_settings(settings), process.snapshot(), settings.self.http_address,
                  budget.connections(DescriptorUse::clients));
  OwnPaths own_paths(process, relay, settings.may_fault_connections);
  relay.on_own_path = [&own_paths](web::http::http_request request) {
    own_paths.handle(std::move(request));
  };
  if (auto listening = open_patiently([&] { return relay.open(); }); !listening.ok())
    return fail(listening);
  process.start();
  LOG(INFO) << "serving zone=" << settings.self.zone << " region=" << settings.self.region
            << " http=" << settings.self.http_address;
  int signal = wait_for_stop();
  LOG(INFO) << "stopping signal=" << signal << " open_calls=" << relay.open_calls();
  relay.stop(stop_timeout);
  process.stop();
  return 0;
}

}  // namespace
}  // namespace emberdale

int main(int argc, char** argv) {
  auto arguments = docopt::docopt(emberdale::usage, {argv + 1, argv + argc}, true, "emberdale-data-plane 0.1");
  std::vector<std::string> findings;
  emberdale::ProgramSettings settings = emberdale::read_settings(arguments, emberdale::DaemonRole::data, findings);
  for (const auto& finding : findings)
    std::cerr << "emberdale-data-plane: " << finding << "\n";
  if (!findings.empty())
    return emberdale::exit_settings;
  emberdale::start_program("emberdale-data-plane");
  crossplat::threadpool::initialize_with_threads(emberdale::library_threads);
  emberdale::end_program(emberdale::run(settings));
}
