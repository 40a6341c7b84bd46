#include "emberdale/program_settings.hpp"

#include <time.h>

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "emberdale/socket_address.hpp"

namespace emberdale {

namespace {

using Json = nlohmann::json;
using Arguments = std::map<std::string, docopt::value>;

constexpr std::size_t max_seeds = 3;

// The names of one setting: in the settings file and as a flag.
struct SettingName {
  const char* key;
  const char* flag;
};

constexpr SettingName peer_address_setting{"link", "--link"};
constexpr SettingName http_address_setting{"http", "--http"};
constexpr SettingName zone_setting{"zone", "--zone"};
constexpr SettingName region_setting{"region", "--region"};
constexpr SettingName seeds_setting{"seeds", "--seeds"};
constexpr SettingName data_folder_setting{"data_folder", "--data-folder"};
constexpr SettingName fault_setting{"allow_link_faults", "--allow-link-faults"};
constexpr SettingName all_settings[] = {peer_address_setting, http_address_setting, zone_setting, region_setting,
                                        seeds_setting,        data_folder_setting,  fault_setting};

bool is_known_key(const std::string& key) {
  return std::any_of(std::begin(all_settings), std::end(all_settings),
                     [&](const SettingName& setting) { return setting.key == key; });
}

std::vector<std::string> split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::stringstream stream(text);
  std::string part;
  while (std::getline(stream, part, separator))
    parts.push_back(part);
  return parts;
}

// The items of a JSON list as one text, with commas between them.
std::string join(const Json& list) {
  std::string joined;
  for (const auto& item : list)
    joined += (joined.empty() ? "" : ",") + (item.is_string() ? item.get<std::string>() : item.dump());
  return joined;
}

// The object in a settings file. The message of an error lacks the name of the file.
absl::StatusOr<Json> read_json_object(const std::string& file_name) {
  std::ifstream stream(file_name);
  if (!stream)
    return absl::NotFoundError("can't be read");
  try {
    Json object = Json::parse(stream);
    if (!object.is_object())
      return absl::InvalidArgumentError("must be a JSON object");
    return object;
  } catch (const Json::parse_error& error) {
    return absl::InvalidArgumentError("not JSON at byte " + std::to_string(error.byte));
  }
}

std::int64_t new_incarnation() {
  std::random_device device;
  return static_cast<std::int64_t>((static_cast<std::uint64_t>(device()) << 20) ^
                                   static_cast<std::uint64_t>(::time(nullptr)));
}

// Reads settings from the flags and the file, and collects what is wrong with them.
class SettingsReader {
 public:
  SettingsReader(const Arguments& arguments, std::vector<std::string>& findings)
      : arguments_(arguments), findings_(findings) {}

  void read_file();
  void read_addresses(DaemonEntry& self);
  void read_location(DaemonEntry& self);
  std::vector<Address> read_seeds();
  std::string read_data_folder();
  bool read_fault_permission();

 private:
  // The value of one setting, with the place that findings about it name.
  struct TextSetting {
    std::string value;
    std::string place;
  };
  TextSetting read_text(const SettingName& setting);
  TextSetting read_required_text(const SettingName& setting);
  TextSetting read_address(const SettingName& setting);
  std::string place_in_file(const SettingName& setting) const { return file_name_ + ": /" + setting.key; }
  void add_finding(const std::string& place, const std::string& reason) { findings_.push_back(place + ": " + reason); }

  const Arguments& arguments_;
  std::vector<std::string>& findings_;
  std::string file_name_;
  Json file_ = Json::object();
};

void SettingsReader::read_file() {
  auto flag = arguments_.find("--settings");
  if (flag == arguments_.end() || !flag->second.isString())
    return;
  file_name_ = flag->second.asString();
  absl::StatusOr<Json> object = read_json_object(file_name_);
  if (!object.ok()) {
    add_finding(file_name_, std::string(object.status().message()));
    return;
  }
  file_ = *std::move(object);
  for (const auto& [key, value] : file_.items())
    if (!is_known_key(key))
      add_finding(file_name_ + ": /" + key, "is not a known setting");
}

SettingsReader::TextSetting SettingsReader::read_text(const SettingName& setting) {
  auto flag = arguments_.find(setting.flag);
  if (flag != arguments_.end() && flag->second.isString())
    return {flag->second.asString(), setting.flag};
  auto entry = file_.find(setting.key);
  if (entry == file_.end())
    return {"", setting.flag};
  std::string place = place_in_file(setting);
  if (entry->is_array())
    return {join(*entry), place};
  if (!entry->is_string()) {
    add_finding(place, "must be text");
    return {"", place};
  }
  return {entry->get<std::string>(), place};
}

SettingsReader::TextSetting SettingsReader::read_required_text(const SettingName& setting) {
  TextSetting text = read_text(setting);
  if (text.value.empty())
    add_finding(text.place, "is required");
  return text;
}

SettingsReader::TextSetting SettingsReader::read_address(const SettingName& setting) {
  TextSetting text = read_text(setting);
  absl::StatusOr<SocketAddress> address = parse_socket_address(text.value);
  if (text.value.empty())
    add_finding(text.place, "is required (IP:PORT)");
  else if (!address.ok())
    add_finding(text.place, std::string(address.status().message()));
  return text;
}

void SettingsReader::read_addresses(DaemonEntry& self) {
  self.address.text = read_address(peer_address_setting).value;
  TextSetting http = read_address(http_address_setting);
  self.http_address = http.value;
  if (!http.value.empty() && http.value == self.address.text)
    add_finding(http.place, "must differ from the link address");
}

void SettingsReader::read_location(DaemonEntry& self) {
  self.zone.text = read_required_text(zone_setting).value;
  self.region.text = read_required_text(region_setting).value;
}

std::vector<Address> SettingsReader::read_seeds() {
  TextSetting text = read_text(seeds_setting);
  std::vector<Address> seeds;
  for (const auto& seed : split(text.value, ',')) {
    absl::StatusOr<SocketAddress> address = parse_socket_address(seed);
    if (!address.ok())
      add_finding(text.place, std::string(address.status().message()));
    seeds.push_back(Address{seed});
  }
  if (seeds.empty())
    add_finding(text.place, "at least one seed address is required");
  if (seeds.size() > max_seeds)
    add_finding(text.place, "three seed addresses at most");
  return seeds;
}

// Only programs that have the flag host a replica; the others ignore the setting.
std::string SettingsReader::read_data_folder() {
  if (arguments_.count(data_folder_setting.flag) == 0)
    return "";
  return read_text(data_folder_setting).value;
}

bool SettingsReader::read_fault_permission() {
  auto flag = arguments_.find(fault_setting.flag);
  bool is_permitted = flag != arguments_.end() && flag->second.isBool() && flag->second.asBool();
  auto entry = file_.find(fault_setting.key);
  if (entry == file_.end())
    return is_permitted;
  if (!entry->is_boolean()) {
    add_finding(place_in_file(fault_setting), "must be true or false");
    return is_permitted;
  }
  return is_permitted || entry->get<bool>();
}

}  // namespace

ProgramSettings read_settings(const Arguments& arguments, DaemonRole role, std::vector<std::string>& findings) {
  SettingsReader reader(arguments, findings);
  ProgramSettings settings;
  settings.self.role = role;
  settings.self.incarnation = new_incarnation();
  reader.read_file();
  reader.read_addresses(settings.self);
  reader.read_location(settings.self);
  settings.seeds = reader.read_seeds();
  settings.data_folder = reader.read_data_folder();
  settings.may_fault_connections = reader.read_fault_permission();
  return settings;
}

}  // namespace emberdale
