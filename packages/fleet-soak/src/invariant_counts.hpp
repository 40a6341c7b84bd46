// What the daemons' own counters and logs say of their invariants, and of their memory.
#pragma once
#include <cstdint>
#include <map>
#include <string>

namespace emberdale::soak {

// The highest value seen of each counter, by daemon and name. Counters of checks, which end in "_checks", may grow.
class InvariantCounts {
 public:
  // Reads a page of counters. Example: counts.read_page("a1-data", "emberdale_data_invariant_attempts_within_limit
  // 0\n")
  void read_page(const std::string& daemon, const std::string& page);
  // Reads the log of a daemon in all its lives: it names the first violation of each invariant in each life.
  void read_log(const std::string& daemon, const std::string& file);

  // Counters of violations above zero, violations that a log names, and memory above its limit.
  const std::map<std::string, std::int64_t>& violations() const { return violations_; }
  std::int64_t checks() const;

  // The daemons that had more than nine tenths of their descriptors open, with how many.
  std::map<std::string, std::int64_t> short_of_descriptors() const;

  // The most memory that a daemon had, in bytes.
  std::int64_t most_resident_bytes() const { return most_resident_bytes_; }

 private:
  void read_memory(const std::string& daemon, std::int64_t resident_bytes);

  std::map<std::string, std::int64_t> violations_, checks_;
  std::map<std::string, std::int64_t> open_descriptors_, descriptor_limits_;  // by daemon; the most of the former
  std::int64_t most_resident_bytes_ = 0;
};

}  // namespace emberdale::soak
