#include "emberdale/fleet_of_processes.hpp"

#include <arpa/inet.h>
#include <cpprest/http_client.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>
#include <algorithm>
#include <atomic>

#include <chrono>
#include <fstream>
#include <iostream>
#include <random>
#include <thread>

#include "client_call_recorder.hpp"
#include "emberdale/serving_plans.hpp"

namespace emberdale {

using Json = nlohmann::json;

std::vector<std::string> free_addresses(std::size_t count) {
  std::vector<std::string> places;
  std::vector<int> held;
  std::random_device device;
  std::mt19937 engine(device());
  while (places.size() < count) {
    int port = 10300 + static_cast<int>(engine() % 22000);
    int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in place{};
    place.sin_family = AF_INET;
    place.sin_port = htons(static_cast<std::uint16_t>(port));
    place.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(handle, reinterpret_cast<sockaddr*>(&place), sizeof place) == 0) {
      held.push_back(handle);
      places.push_back("127.0.0.1:" + std::to_string(port));
    } else {
      ::close(handle);
    }
  }
  for (int handle : held)
    ::close(handle);
  return places;
}

namespace {

constexpr int machines_per_zone = 3;  // beside the core machine
constexpr std::size_t addresses_of_a_deployment = 100;

// A deployment's regions and its runners in each zone: two regions of unequal size, zones a and b in the first.
struct DeploymentShape {
  std::map<std::string, std::string> region_of_zone;
  std::map<std::string, int> models_of_zone;
};

DeploymentShape shape_of(const std::string& deployment) {
  if (deployment == "caspian")
    return {{{"a", "north"}, {"b", "north"}, {"c", "south"}}, {{"a", 3}, {"b", 3}, {"c", 5}}};
  return {{{"a", "valley"}, {"b", "valley"}, {"c", "hills"}}, {{"a", 5}, {"b", 5}, {"c", 8}}};
}

}  // namespace

// Adds the processes of a deployment, with addresses that were free when the builder was made.
class DeploymentBuilder {
 public:
  explicit DeploymentBuilder(FleetOfProcesses& fleet)
      : fleet_(fleet), shape_(shape_of(fleet.deployment_)), addresses_(free_addresses(addresses_of_a_deployment)) {
    for (const char* zone : {"a", "b", "c"})
      core_links_[zone] = take_address();
    seeds_ = core_links_["a"] + "," + core_links_["b"] + "," + core_links_["c"];
  }

  void add_zone(const std::string& zone) {
    add_daemon(zone + "0-core", "core", zone, "emberdale-control-plane", core_links_[zone]);
    for (int machine = 1; machine <= machines_per_zone; ++machine) {
      std::string name = zone + std::to_string(machine);
      add_daemon(name + "-control", "edge", zone, "emberdale-control-plane", take_address());
      add_daemon(name + "-data", "data", zone, "emberdale-data-plane", take_address());
    }
    for (int i = 0; i < shape_.models_of_zone[zone]; ++i)
      add_back_end("model-" + std::to_string(++models_), "model", zone, "emberdale-runner-stand-in");
    add_back_end("record-" + zone, "record", zone, "emberdale-record-stand-in");
  }

 private:
  std::string take_address() { return addresses_[next_address_++]; }

  void add_daemon(const std::string& name, const std::string& role, const std::string& zone, const std::string& program,
                  const std::string& link) {
    const std::string& region = shape_.region_of_zone[zone];
    FleetProcess process{name, role, zone, region, link, take_address(), {}, 0};
    process.words = {fleet_.programs_ + "/" + program,
                     "--link",
                     link,
                     "--http",
                     process.http,
                     "--zone",
                     zone,
                     "--region",
                     region,
                     "--seeds",
                     seeds_,
                     "--allow-link-faults"};
    if (role == "core")
      process.words.insert(process.words.end(), {"--data-folder", fleet_.folder_ + "/data-" + name});
    fleet_.add(std::move(process));
  }

  void add_back_end(const std::string& name, const std::string& role, const std::string& zone,
                    const std::string& program) {
    FleetProcess process{name, role, zone, shape_.region_of_zone[zone], "", take_address(), {}, 0};
    process.words = {fleet_.programs_ + "/" + program,
                     "--http",
                     process.http,
                     "--name",
                     name,
                     "--seal-key",
                     "key-" + name,
                     "--ledger",
                     fleet_.folder_ + "/ledger-" + name};
    if (role == "record")
      process.words.insert(process.words.end(), {"--capacity", "16", "--allowance", "4", "--warm-ms", "1000"});
    fleet_.add(std::move(process));
  }

  FleetOfProcesses& fleet_;
  DeploymentShape shape_;
  std::vector<std::string> addresses_;
  std::size_t next_address_ = 0;
  std::map<std::string, std::string> core_links_;  // by zone
  std::string seeds_;
  int models_ = 0;
};

FleetOfProcesses::FleetOfProcesses(std::string deployment, std::string folder, std::string programs)
    : deployment_(std::move(deployment)), folder_(std::move(folder)), programs_(std::move(programs)) {
  ::mkdir(folder_.c_str(), 0755);
  recorder_ = std::make_unique<ClientCallRecorder>(history_file());
  DeploymentBuilder builder(*this);
  for (const std::string zone : {"a", "b", "c"})
    builder.add_zone(zone);
}

FleetOfProcesses::FleetOfProcesses(std::string folder, std::string programs, const std::vector<FleetProcess>& processes)
    : folder_(std::move(folder)), programs_(std::move(programs)) {
  ::mkdir(folder_.c_str(), 0755);
  recorder_ = std::make_unique<ClientCallRecorder>(history_file());
  for (const auto& process : processes)
    add(process);
}

FleetOfProcesses::~FleetOfProcesses() {
  for (auto& [name, process] : processes_)
    if (process.id > 0) {
      ::kill(process.id, SIGCONT);
      end(name, SIGKILL);
    }
}

pid_t FleetOfProcesses::start_program(const std::vector<std::string>& words, const std::string& log) {
  std::vector<char*> arguments;
  for (const auto& word : words)
    arguments.push_back(const_cast<char*>(word.c_str()));
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, 0, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&files, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&files, 1, 2);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  sigset_t none;
  sigemptyset(&none);
  posix_spawnattr_setsigmask(&attributes, &none);
  posix_spawnattr_setpgroup(&attributes, 0);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETPGROUP);
  pid_t id = 0;
  int fault = posix_spawn(&id, words[0].c_str(), &files, &attributes, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&files);
  posix_spawnattr_destroy(&attributes);
  return fault == 0 ? id : 0;
}

int FleetOfProcesses::wait_program(pid_t id) {
  int status = 0;
  if (::waitpid(id, &status, 0) != id)
    return -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

ProgramEnd FleetOfProcesses::run_program(const std::vector<std::string>& words) {
  static std::atomic<int> number{0};
  std::string log = folder_ + "/program-" + std::to_string(::getpid()) + "-" + std::to_string(++number) + ".out";
  ::unlink(log.c_str());
  ProgramEnd end;
  pid_t id = start_program(words, log);
  if (id == 0)
    return end;
  end.status = wait_program(id);
  std::ifstream stream(log);
  end.out.assign(std::istreambuf_iterator<char>(stream), {});
  ::unlink(log.c_str());
  return end;
}

void FleetOfProcesses::add_core(const std::string& like, const std::string& name) {
  FleetProcess process = processes_.at(like);
  auto places = free_addresses(2);
  for (auto& word : process.words) {
    if (word == process.link)
      word = places[0];
    else if (word == process.http)
      word = places[1];
    else if (word == folder_ + "/data-" + like)
      word = folder_ + "/data-" + name;
  }
  process.name = name;
  process.link = places[0];
  process.http = places[1];
  process.id = 0;
  add(std::move(process));
}

std::vector<std::string> FleetOfProcesses::names(const std::vector<std::string>& roles) const {
  std::vector<std::string> list;
  for (const auto& [name, process] : processes_)
    if (std::find(roles.begin(), roles.end(), process.role) != roles.end())
      list.push_back(name);
  return list;
}

void FleetOfProcesses::fault(const std::vector<std::string>& at, const std::vector<std::string>& towards,
                             Json how) const {
  for (const auto& name : at) {
    const auto& process = processes_.at(name);
    if (process.id <= 0)
      continue;
    how["siblings"] = Json::array();
    for (const auto& other : towards)
      if (other != name)
        how["siblings"].push_back(processes_.at(other).link);
    post(process.http, process.role == "data" ? "/emberdale/faults" : "/v1/faults", how.dump());
  }
}

void FleetOfProcesses::clear_faults() const {
  for (const auto& name : names({"core", "edge", "data"}))
    fault({name}, {}, {{"clear", true}});
}

bool FleetOfProcesses::begin(const std::string& name) {
  auto& process = processes_.at(name);
  if (process.id > 0)
    return true;
  process.id = start_program(process.words, folder_ + "/" + name + ".log");
  return process.id > 0;
}

void FleetOfProcesses::signal(const std::string& name, int signal) {
  auto& process = processes_.at(name);
  if (process.id > 0)
    ::kill(process.id, signal);
}

int FleetOfProcesses::end(const std::string& name, int signal_number) {
  auto& process = processes_.at(name);
  if (process.id <= 0)
    return -1;
  ::kill(process.id, signal_number);
  int status = wait_program(process.id);
  process.id = 0;
  return status;
}

namespace {

// Waits until the process has ended, and kills it at the deadline. Empty: it ended cleanly; else its name and how.
std::string wait_for_clean_end(const std::string& name, pid_t id, std::chrono::steady_clock::time_point deadline) {
  int status = 0;
  pid_t ended = 0;
  while ((ended = ::waitpid(id, &status, WNOHANG)) == 0 && std::chrono::steady_clock::now() < deadline)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  if (ended == 0) {
    ::kill(id, SIGKILL);
    ::waitpid(id, &status, 0);
    return name;
  }
  if (WIFEXITED(status) && WEXITSTATUS(status) == 0)
    return "";
  return name + " ended with " + std::to_string(WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status));
}

}  // namespace

// The data plane first, then the control plane, then the back ends.
std::vector<std::string> FleetOfProcesses::stop() {
  std::vector<std::string> late;
  for (const std::string role : {"data", "edge", "core", "model", "record"}) {
    for (auto& [name, process] : processes_)
      if (process.role == role && process.id > 0)
        ::kill(process.id, SIGTERM);
    auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(12);
    for (auto& [name, process] : processes_) {
      if (process.role != role || process.id <= 0)
        continue;
      std::string finding = wait_for_clean_end(name, process.id, deadline);
      if (!finding.empty())
        late.push_back(finding);
      process.id = 0;
    }
  }
  return late;
}

Outcome<bool> FleetOfProcesses::start_all() {
  for (auto& [name, process] : processes_)
    if (!begin(name))
      return failure("can't start " + process.words[0]);
  auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  for (auto& [name, process] : processes_) {
    std::string path = process.role == "core" || process.role == "edge" ? "/health"
                       : process.role == "data"                         ? "/emberdale/health"
                                                                        : "/status";
    while (!page(process.http, path)) {
      if (std::chrono::steady_clock::now() > deadline)
        return failure(name + " does not answer; see " + folder_ + "/" + name + ".log");
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }
  std::ofstream(folder_ + "/fleet.json") << snapshot().dump(2) << "\n";
  return true;
}

std::string FleetOfProcesses::controls() const {
  std::string list;
  for (const auto& [name, process] : processes_)
    if ((process.role == "edge" || process.role == "core") && process.id > 0)
      list += (list.empty() ? "" : ",") + process.http;
  return list;
}

std::string FleetOfProcesses::gateways() const {
  std::string list;
  for (const auto& [name, process] : processes_)
    if (process.role == "data")
      list += (list.empty() ? "" : ",") + process.region + "=" + process.http;
  return list;
}

ProgramEnd FleetOfProcesses::client(std::vector<std::string> words) {
  auto call = recorder_->began(words);
  words.insert(words.begin(), {programs_ + "/emberdale-client", "--control", controls()});
  ProgramEnd end = run_program(words);
  if (call)
    recorder_->ended(*call, end.status, end.out);
  return end;
}

std::optional<std::string> FleetOfProcesses::page(const std::string& http, const std::string& path) const {
  try {
    web::http::client::http_client_config config;
    config.set_timeout(std::chrono::seconds(2));
    web::http::client::http_client client("http://" + http, config);
    web::http::http_request request("GET");
    request.set_request_uri(path);
    return client.request(request).get().extract_string(true).get();
  } catch (const std::exception&) {  // the process may be down or frozen: that is what the caller asks
    return std::nullopt;
  }
}

std::optional<std::string> FleetOfProcesses::post(const std::string& http, const std::string& path,
                                                  const std::string& body) const {
  try {
    web::http::client::http_client client("http://" + http);
    return client.request("POST", path, body, "application/json").get().extract_string(true).get();
  } catch (const std::exception&) {  // the process may be down or frozen: that is what the caller asks
    return std::nullopt;
  }
}

std::string FleetOfProcesses::master_name() {
  for (auto& [name, process] : processes_) {
    if (process.role != "edge" || process.id <= 0)
      continue;
    auto health = page(process.http, "/health");
    if (!health)
      continue;
    Json body = Json::parse(*health, nullptr, false);
    if (body.is_object() && body.value("is_master", false))
      return name;
  }
  return "";
}

Outcome<bool> FleetOfProcesses::found() {
  auto ended = client({"found", deployment_, at("a0-core").link, at("b0-core").link, at("c0-core").link});
  if (ended.status != 0)
    return failure("not founded: " + ended.out);
  auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (master_name().empty()) {
    if (std::chrono::steady_clock::now() > deadline)
      return failure("no master was elected");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return true;
}

namespace {

// The serving plans of a deployment, by name.
std::map<std::string, Json> plans_of(const std::string& deployment) {
  Json home{{"header", "X-Home-Region"}}, spill{{"allowed", true}, {"limit_percent", 50}};
  std::map<std::string, Json> plans;
  if (deployment == "caspian") {
    plans["manifest-check"] = {{"service", "berths"}, {"match", {{"path", "/v1/manifest-checks"}}},
                               {"pool", "models"},    {"spill", spill},
                               {"horizon_ms", 5000},  {"prefix_bytes", 2048}};
    plans["booking-chat"] = {{"service", "berths"}, {"match", {{"path", "/v1/booking-chats"}}},
                             {"pool", "models"},    {"home", home},
                             {"streaming", true},   {"horizon_ms", 20000},
                             {"prefix_bytes", 2048}};
    plans["slot-confirmation"] = {{"service", "bookings"}, {"match", {{"path", "/v1/slot-confirmations"}}},
                                  {"pool", "records"},     {"spill", spill},
                                  {"repeatable", true},    {"horizon_ms", 3000}};
  } else {
    plans["dispute-check"] = {{"service", "charges"}, {"match", {{"path", "/v1/dispute-checks"}}},
                              {"pool", "models"},     {"home", home},
                              {"horizon_ms", 5000},   {"prefix_bytes", 2048}};
    plans["complaint-reply"] = {{"service", "complaints"}, {"match", {{"path", "/v1/complaint-replies"}}},
                                {"pool", "models"},        {"spill", spill},
                                {"streaming", true},       {"horizon_ms", 20000},
                                {"prefix_bytes", 2048}};
    plans["receipt-lookup"] = {{"service", "receipts"}, {"match", {{"path", "/v1/receipt-lookups"}}},
                               {"pool", "records"},     {"spill", spill},
                               {"repeatable", true},    {"horizon_ms", 3000}};
  }
  return plans;
}

}  // namespace

// Empty: the resource was acknowledged; else the reason. An attempt that the client may repeat is repeated.
std::string FleetOfProcesses::put(const std::string& kind, const std::string& name, const Json& body) {
  constexpr int attempts = 5;
  constexpr int may_be_repeated = 1;  // the client's exit status
  std::string file = folder_ + "/" + kind + "-" + name + ".json";
  std::ofstream(file) << body.dump(2) << "\n";
  for (int attempt = 1;; ++attempt) {
    ProgramEnd ended = client({"put", kind, name, file});
    if (ended.status == 0)
      return "";
    if (attempt == attempts || ended.status != may_be_repeated)
      return kind + "/" + name + ": " + ended.out;
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
  }
}

Outcome<bool> FleetOfProcesses::declare() {
  for (const auto& [name, process] : processes_) {
    if (process.role != "model" && process.role != "record")
      continue;
    std::string reason = put(runners_kind, name,
                             {{"address", process.http},
                              {"pool", process.role == "model" ? "models" : "records"},
                              {"zone", process.zone},
                              {"region", process.region},
                              {"seal_key", "key-" + name}});
    if (!reason.empty())
      return failure(reason);
  }
  for (const auto& [name, plan] : plans_of(deployment_)) {
    std::string reason = put(plans_kind, name, plan);
    if (!reason.empty())
      return failure(reason);
  }
  ProgramEnd watched = client({"watch", plans_kind, "--until-in-force"});
  if (watched.status != 0)
    return failure("the plans are not in force: " + watched.out);
  return true;
}

Json FleetOfProcesses::snapshot() const {
  Json list = Json::array();
  for (const auto& [name, process] : processes_)
    list.push_back({{"name", name},
                    {"role", process.role},
                    {"zone", process.zone},
                    {"region", process.region},
                    {"link", process.link},
                    {"http", process.http},
                    {"process", process.id}});
  return {{"deployment", deployment_}, {"processes", list}};
}

}  // namespace emberdale
