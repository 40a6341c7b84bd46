// Bounds of the messages that are read from other processes, and the counts of those that went over one.
#pragma once
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace emberdale {

// Of a body whose bytes are handed on as they come, and not held.
constexpr std::size_t unlimited_body = SIZE_MAX;

// The bounds of one message. What goes over any of them ends its connection.
struct MessageLimits {
  std::size_t max_head_bytes = 16 << 10;       // start line and headers
  std::size_t max_body_bytes = 64 << 10;       // without the framing of chunks
  std::chrono::milliseconds total_time{5000};  // up to the last byte, however the bytes are spread over it
};

enum class LimitFault { head_too_large, body_too_large, too_slow };

// Example: to_string(LimitFault::too_slow) == "too_slow"
const char* to_string(LimitFault fault);

// Counts the messages that went over a bound, by the name of what was read. Safe for use by several threads.
class LimitCounters {
 public:
  void record(const std::string& reader, LimitFault fault);
  std::int64_t count(const std::string& reader, LimitFault fault) const;
  // For metrics, as "over_limit_READER_FAULT"; each reader that was declared has all faults in it.
  std::map<std::string, std::int64_t> counters() const;
  // Shows the reader in counters() before its first fault.
  void declare(const std::string& reader);

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::map<LimitFault, std::int64_t>> counts_;
};

// The counters of this process, which all its readers use.
LimitCounters& process_limit_counters();

}  // namespace emberdale
