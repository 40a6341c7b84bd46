// emberdale-control-plane: one control daemon of a fleet.
#include <docopt/docopt.h>
#include <glog/logging.h>
#include <pplx/threadpool.h>

#include <iostream>
#include <nlohmann/json.hpp>

#include "control_interface.hpp"
#include "control_process.hpp"
#include "emberdale/descriptor_budget.hpp"
#include "emberdale/http_fetch.hpp"
#include "emberdale/pending_tasks.hpp"
#include "emberdale/program_settings.hpp"

namespace emberdale {
namespace {

using Json = nlohmann::json;

constexpr Duration stop_grace{300};
constexpr const char* probe_reader = "health";  // in the counters of what went over a bound
constexpr std::size_t max_probe_head_bytes = 16 << 10, max_probe_body_bytes = 64 << 10;
constexpr std::chrono::milliseconds probe_timeout{900};
constexpr std::chrono::milliseconds last_probe_timeout{1500};  // at the end of the process
constexpr int http_threads = 3;
constexpr int exit_failure = 1;
constexpr int exit_bad_settings = 2;

const char usage[] = R"(emberdale-control-plane: elects the master, keeps the register, feeds the map.

Usage:
  emberdale-control-plane [options]
  emberdale-control-plane (-h | --help)

With --data-folder it is a core daemon: it keeps a copy of the register. Without it, it is an edge
daemon: it takes part in the election. A new fleet is founded once, with `emberdale-client found`.

Options:
  --settings FILE       JSON file with the settings below; flags go over it.
  --link IP:PORT        Address for links from siblings (also this daemon's id).
  --http IP:PORT        Address of the operators' interface.
  --zone NAME           Zone of this machine.
  --region NAME         Region of the zone.
  --seeds LIST          Up to three IP:PORT link addresses of other control daemons.
  --data-folder FOLDER  Keep a copy of the register here.
  --allow-link-faults   Tests only: let /v1/faults cut and delay links, and spoil the disk.
  -h --help             Show this.
)";

// What the /status of a runner says. Another runner may have taken its address: then it counts as unreachable.
RunnerStatus read_status(const RunnerName& name, const std::string& text) {
  RunnerStatus status;
  status.name = name;
  try {
    Json body = Json::parse(text);
    if (body.value("name", "") != name.text)
      return status;
    status.is_reachable = true;
    status.is_warming_up = body.value("cold", false);
    status.incarnation = body.value("incarnation", std::int64_t{0});
    status.capacity = body.value("capacity", std::int64_t{1});
    status.load = body.value("burden", std::int64_t{0});
    status.allowance = body.value("allowance", std::int64_t{1});
  } catch (const Json::exception&) {
    // What could be read up to here stands.
  }
  return status;
}

class Program {
 public:
  explicit Program(ProgramSettings settings) : settings_(std::move(settings)), process_(process_settings(settings_)) {}

  // Serves until a signal comes; the exit code of the program.
  int run() {
    auto open_all = [this] {
      absl::Status opened = process_.open_store();
      return opened.ok() ? process_.listen() : opened;
    };
    absl::Status opened = open_patiently(open_all);
    if (!opened.ok())
      return refuse(std::string(opened.message()));
    open_interface();
    auto listens = interface_->open();
    if (!listens)
      return refuse(listens.reason);
    process_.start();
    LOG(INFO) << "serving as " << to_string(settings_.self.role) << " " << settings_.self.address << ", http "
              << settings_.self.http_address;
    int signal = wait_for_stop();
    LOG(INFO) << "stopping on signal " << signal;
    process_.stop(stop_grace, [this] { interface_->close(); });
    // A probe that is under way uses this object; it ends within its own time.
    if (!pending_.wait_until_done(last_probe_timeout))
      LOG(ERROR) << "probes_pending";
    return 0;
  }

 private:
  static ControlProcessSettings process_settings(const ProgramSettings& settings) {
    ControlProcessSettings process_settings;
    process_settings.daemon.self = settings.self;
    process_settings.daemon.seeds = settings.seeds;
    process_settings.daemon.random_seed =
        static_cast<std::uint64_t>(settings.self.incarnation) ^ stable_hash(settings.self.address.text);
    process_settings.data_folder = settings.data_folder;
    process_settings.max_inbound_peers = DescriptorBudget(descriptor_limit()).connections(DescriptorUse::peers);
    process_settings.may_fault_connections = settings.may_fault_connections;
    return process_settings;
  }

  void open_interface() {
    interface_ = std::make_unique<ControlInterface>(process_.context(), process_.daemon(), process_.connections(),
                                                    settings_.self.http_address, settings_.may_fault_connections,
                                                    [this] { process_.flush(); });
    interface_->more_counters = [this] {
      return std::map<std::string, std::int64_t>{{"disk_writes", process_.disk_writes()},
                                                 {"disk_refused", process_.disk_refused()}};
    };
    interface_->set_disk_fault = [this](const std::string& fault, std::int64_t ms) {
      return process_.set_disk_fault(fault, ms);
    };
    process_.on_probe_request = [this](const ProbeRequest& request) {
      probe(request);
    };
  }

  int refuse(const std::string& reason) {
    LOG(ERROR) << reason;
    return exit_failure;
  }

  HttpClient& client_of(const std::string& http_address) {
    auto& client = clients_[http_address];
    if (!client)
      client = std::make_unique<HttpClient>(http_address, probe_reader);
    return *client;
  }

  void probe(const ProbeRequest& probe) {
    HttpRequest request;
    request.target = "/status";
    request.may_be_sent_again = true;
    const MessageLimits limits{max_probe_head_bytes, max_probe_body_bytes, probe_timeout};
    fetch(client_of(probe.http), std::move(request), limits,
          [this, name = probe.runner, token = pending_.begin()](absl::StatusOr<FetchedResponse> response) {
            RunnerStatus status;
            status.name = name;  // without a response the runner can't be reached
            if (response.ok())
              status = read_status(name, response->body);
            process_.post([status](ControlDaemon& daemon) { daemon.on_probe(status, steady_now()); });
          });
  }

  ProgramSettings settings_;
  ControlProcess process_;
  std::unique_ptr<ControlInterface> interface_;
  std::map<std::string, std::unique_ptr<HttpClient>> clients_;
  PendingTasks pending_;  // probes
};

int run_program(int argc, char** argv) {
  auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true, "emberdale-control-plane 0.1");
  std::vector<std::string> findings;
  bool is_core = arguments["--data-folder"].isString();
  ProgramSettings settings = read_settings(arguments, DaemonRole::edge, findings);
  settings.self.role = is_core || !settings.data_folder.empty() ? DaemonRole::core : DaemonRole::edge;
  if (!findings.empty()) {
    for (const auto& finding : findings)
      std::cerr << "emberdale-control-plane: " << finding << "\n";
    return exit_bad_settings;
  }
  start_program("emberdale-control-plane");
  crossplat::threadpool::initialize_with_threads(http_threads);
  return Program(std::move(settings)).run();
}

}  // namespace
}  // namespace emberdale

int main(int argc, char** argv) { emberdale::end_program(emberdale::run_program(argc, argv)); }
