#include "emberdale/program_settings.hpp"

#include <glog/logging.h>
#include <signal.h>
#include <time.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "emberdale/peer_connections.hpp"

namespace emberdale {
namespace {

using Json = nlohmann::json;

const std::map<std::string, std::string> setting_flags = {{"link", "--link"},
                                                          {"http", "--http"},
                                                          {"zone", "--zone"},
                                                          {"region", "--region"},
                                                          {"seeds", "--seeds"},
                                                          {"data_folder", "--data-folder"},
                                                          {"allow_link_faults", "--allow-link-faults"}};

std::vector<std::string> split(const std::string& text, char mark) {
  std::vector<std::string> parts;
  std::stringstream stream(text);
  std::string part;
  while (std::getline(stream, part, mark))
    parts.push_back(part);
  return parts;
}

}  // namespace

ProgramSettings read_settings(const std::map<std::string, docopt::value>& arguments, DaemonRole role,
                              std::vector<std::string>& findings) {
  ProgramSettings settings;
  settings.self.role = role;
  Json file = Json::object();
  auto file_flag = arguments.find("--settings");
  std::string file_name;
  if (file_flag != arguments.end() && file_flag->second.isString()) {
    file_name = file_flag->second.asString();
    std::ifstream stream(file_name);
    if (!stream) {
      findings.push_back(file_name + ": can't be read");
    } else {
      try {
        file = Json::parse(stream);
        if (!file.is_object()) {
          findings.push_back(file_name + ": must be a JSON object");
          file = Json::object();
        }
      } catch (const Json::parse_error& fault) {
        findings.push_back(file_name + ": not JSON at byte " + std::to_string(fault.byte));
      }
    }
    for (const auto& [key, value] : file.items())
      if (setting_flags.count(key) == 0)
        findings.push_back(file_name + ": /" + key + ": is not a known setting");
  }
  std::map<std::string, std::string> place;
  auto text = [&](const std::string& name) -> std::string {
    auto flag = arguments.find(setting_flags.at(name));
    if (flag != arguments.end() && flag->second.isString()) {
      place[name] = setting_flags.at(name);
      return flag->second.asString();
    }
    place[name] = file.contains(name) ? file_name + ": /" + name : setting_flags.at(name);
    if (!file.contains(name))
      return "";
    if (file[name].is_array()) {
      std::string joined;
      for (const auto& item : file[name])
        joined += (joined.empty() ? "" : ",") + (item.is_string() ? item.get<std::string>() : item.dump());
      return joined;
    }
    if (!file[name].is_string()) {
      findings.push_back(place[name] + ": must be text");
      return "";
    }
    return file[name].get<std::string>();
  };
  auto address = [&](const std::string& name) {
    std::string value = text(name);
    auto read = split_address(value);
    if (value.empty())
      findings.push_back(place[name] + ": is required (IP:PORT)");
    else if (!read)
      findings.push_back(place[name] + ": " + read.reason);
    return value;
  };
  settings.self.address.text = address("link");
  settings.self.http_address = address("http");
  if (!settings.self.http_address.empty() && settings.self.http_address == settings.self.address.text)
    findings.push_back(place["http"] + ": must differ from the link address");
  settings.self.zone.text = text("zone");
  if (settings.self.zone.empty())
    findings.push_back(place["zone"] + ": is required");
  settings.self.region.text = text("region");
  if (settings.self.region.empty())
    findings.push_back(place["region"] + ": is required");
  for (const auto& seed : split(text("seeds"), ',')) {
    auto read = split_address(seed);
    if (!read)
      findings.push_back(place["seeds"] + ": " + read.reason);
    settings.seeds.push_back(Address{seed});
  }
  if (settings.seeds.empty())
    findings.push_back(place["seeds"] + ": at least one seed address is required");
  if (settings.seeds.size() > 3)
    findings.push_back(place["seeds"] + ": three seed addresses at most");
  settings.data_folder = arguments.count("--data-folder") != 0 ? text("data_folder") : "";
  auto faults = arguments.find("--allow-link-faults");
  settings.may_fault_connections = faults != arguments.end() && faults->second.isBool() && faults->second.asBool();
  if (file.contains("allow_link_faults")) {
    if (file["allow_link_faults"].is_boolean())
      settings.may_fault_connections = settings.may_fault_connections || file["allow_link_faults"].get<bool>();
    else
      findings.push_back(file_name + ": /allow_link_faults: must be true or false");
  }
  std::random_device device;
  settings.self.incarnation = static_cast<std::int64_t>((static_cast<std::uint64_t>(device()) << 20) ^
                                                        static_cast<std::uint64_t>(::time(nullptr)));
  return settings;
}

TimePoint steady_now() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint{static_cast<std::int64_t>(time.tv_sec) * 1000 + time.tv_nsec / 1000000};
}

std::string random_id() {
  static thread_local std::mt19937_64 engine([] {
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return std::mt19937_64(seed);
  }());
  static const char* digits = "0123456789abcdef";
  std::string id;
  for (int half = 0; half < 2; ++half) {
    std::uint64_t number = engine();
    for (int i = 0; i < 16; ++i)
      id += digits[(number >> (4 * i)) & 15];
  }
  return id;
}

void start_program(const char* name) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(name);
  signal(SIGPIPE, SIG_IGN);
  sigset_t stops;
  sigemptyset(&stops);
  sigaddset(&stops, SIGTERM);
  sigaddset(&stops, SIGINT);
  sigaddset(&stops, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &stops, nullptr);
}

int wait_for_stop(const std::function<void()>& on_hang_up) {
  sigset_t stops;
  sigemptyset(&stops);
  sigaddset(&stops, SIGTERM);
  sigaddset(&stops, SIGINT);
  sigaddset(&stops, SIGHUP);
  for (;;) {
    int signal = 0;
    sigwait(&stops, &signal);
    if (signal == SIGTERM || signal == SIGINT)
      return signal;
    if (signal == SIGHUP && on_hang_up)
      on_hang_up();
  }
}

std::string counters_text(const std::string& prefix, const std::map<std::string, std::int64_t>& counters) {
  std::string text;
  for (const auto& [name, value] : counters) {
    text += "# TYPE " + prefix + "_" + name + " gauge\n";
    text += prefix + "_" + name + " " + std::to_string(value) + "\n";
  }
  return text;
}

}  // namespace emberdale
