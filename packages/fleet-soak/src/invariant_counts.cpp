#include "invariant_counts.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace emberdale::soak {
namespace {

const std::string memory_counter = "resident_bytes";
constexpr std::int64_t max_resident_bytes = 260'000'000;  // of one process on the platform
const std::string descriptor_counter = "_open_descriptors", descriptor_limit_counter = "_descriptor_limit";
const std::string counter_mark = "invariant_", checks_end = "_checks", log_mark = "invariant_violated invariant=";

bool ends_with(const std::string& text, const std::string& end) {
  return text.size() >= end.size() && text.compare(text.size() - end.size(), end.size(), end) == 0;
}

}  // namespace

void InvariantCounts::read_page(const std::string& daemon, const std::string& page) {
  std::istringstream lines(page);
  for (std::string line; std::getline(lines, line);) {
    std::istringstream fields(line);
    std::string name;
    std::int64_t value = 0;
    if (!(fields >> name >> value))
      continue;
    if (ends_with(name, memory_counter))
      read_memory(daemon, value);
    if (ends_with(name, descriptor_limit_counter))
      descriptor_limits_[daemon] = value;
    if (ends_with(name, descriptor_counter))
      open_descriptors_[daemon] = std::max(open_descriptors_[daemon], value);
    if (name.find(counter_mark) == std::string::npos)
      continue;
    bool is_of_checks = ends_with(name, checks_end);
    if (!is_of_checks && value == 0)
      continue;
    std::int64_t& highest = (is_of_checks ? checks_ : violations_)[daemon + " " + name];
    highest = std::max(highest, value);
  }
}

// Before any fails to get one.
std::map<std::string, std::int64_t> InvariantCounts::short_of_descriptors() const {
  std::map<std::string, std::int64_t> found;
  for (const auto& [daemon, count] : open_descriptors_) {
    auto limit = descriptor_limits_.find(daemon);
    if (limit != descriptor_limits_.end() && limit->second > 0 && count > limit->second * 9 / 10)
      found[daemon] = count;
  }
  return found;
}

void InvariantCounts::read_memory(const std::string& daemon, std::int64_t resident_bytes) {
  most_resident_bytes_ = std::max(most_resident_bytes_, resident_bytes);
  if (resident_bytes <= max_resident_bytes)
    return;
  std::int64_t& highest = violations_[daemon + " " + memory_counter];
  highest = std::max(highest, resident_bytes);
}

void InvariantCounts::read_log(const std::string& daemon, const std::string& file) {
  std::ifstream lines(file);
  for (std::string line; std::getline(lines, line);) {
    auto mark = line.find(log_mark);
    if (mark != std::string::npos)
      ++violations_[daemon + " log: " + line.substr(mark)];
  }
}

std::int64_t InvariantCounts::checks() const {
  std::int64_t sum = 0;
  for (const auto& [name, value] : checks_)
    sum += value;
  return sum;
}

}  // namespace emberdale::soak
