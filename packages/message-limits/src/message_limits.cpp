#include "emberdale/message_limits.hpp"

namespace emberdale {

const char* to_string(LimitFault fault) {
  switch (fault) {
    case LimitFault::head_too_large:
      return "head_too_large";
    case LimitFault::body_too_large:
      return "body_too_large";
    case LimitFault::too_slow:
      return "too_slow";
  }
  return "";
}

void LimitCounters::record(const std::string& reader, LimitFault fault) {
  std::lock_guard<std::mutex> guard(mutex_);
  ++counts_[reader][fault];
}

std::int64_t LimitCounters::count(const std::string& reader, LimitFault fault) const {
  std::lock_guard<std::mutex> guard(mutex_);
  auto faults = counts_.find(reader);
  if (faults == counts_.end())
    return 0;
  auto entry = faults->second.find(fault);
  return entry == faults->second.end() ? 0 : entry->second;
}

std::map<std::string, std::int64_t> LimitCounters::counters() const {
  std::lock_guard<std::mutex> guard(mutex_);
  std::map<std::string, std::int64_t> counters;
  for (const auto& [reader, faults] : counts_)
    for (const auto& [fault, count] : faults)
      counters["over_limit_" + reader + "_" + to_string(fault)] = count;
  return counters;
}

void LimitCounters::declare(const std::string& reader) {
  std::lock_guard<std::mutex> guard(mutex_);
  for (auto fault : {LimitFault::head_too_large, LimitFault::body_too_large, LimitFault::too_slow})
    counts_[reader].try_emplace(fault, 0);
}

LimitCounters& process_limit_counters() {
  static LimitCounters counters;
  return counters;
}

}  // namespace emberdale
