// Operators of a fleet under soak: one changes the configuration and reads it back, two mark runners as draining, and
// one never reads its answers.
#pragma once
#include <atomic>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "soak_face.hpp"
#include "soak_records.hpp"

namespace emberdale::soak {

// Judges what the one writer of a resource is told: what was acknowledged stays, until it changes it again.
class EditHistory {
 public:
  void on_acknowledged(const EditedVersion& edited);
  // A change that may still be made, or not.
  void on_unknown(std::int64_t value) { unknown_values_.push_back(value); }
  // Empty: what was read may be; else why not.
  std::string on_read(const EditedVersion& read);
  std::int64_t acknowledged() const { return acknowledged_; }
  const EditedVersion& latest() const { return latest_; }

 private:
  EditedVersion latest_;                      // known to be in the register
  std::vector<std::int64_t> unknown_values_;  // of changes since then
  std::int64_t acknowledged_ = 0;
};

// What the operators have done and seen.
struct OperatorRecords {
  std::vector<DrainRecord> drains;
  std::vector<std::string> lost_changes;  // reads that contradict what was acknowledged
  std::int64_t acknowledged = 0, reads = 0, unread = 0;
};

// Example: SoakOperators operators(face, controls, {"model-1"}, 7); ... auto records = operators.stop();
class SoakOperators {
 public:
  SoakOperators(SoakFace& face, std::vector<ProcessAddress> controls, std::vector<std::string> runners,
                std::uint64_t seed);
  SoakOperators(const SoakOperators&) = delete;
  SoakOperators& operator=(const SoakOperators&) = delete;
  ~SoakOperators() { stop(); }

  // Takes the last mark away, reads the configuration once more, and gives what was seen. The fleet must be whole.
  OperatorRecords stop();

 private:
  void edit(std::uint64_t seed);
  void edit_once(EditHistory& history, std::int64_t value, const std::string& control);
  void read_back(EditHistory& history, const std::string& control);
  void mark(int marker, std::uint64_t seed);
  std::optional<DrainRecord> set_mark(const std::string& runner, bool is_draining, RandomGenerator& random);
  void leave_unread(std::uint64_t seed);
  void wait(Duration time) const;
  const ProcessAddress& draw_control(RandomGenerator& random) const;

  SoakFace& face_;
  const std::vector<ProcessAddress> controls_;
  const std::vector<std::string> runners_;
  std::atomic<bool> is_over_{false};
  std::mutex mutex_;  // of the drains; else each operator writes fields of its own
  OperatorRecords records_;
  std::vector<std::thread> threads_;
};

}  // namespace emberdale::soak
