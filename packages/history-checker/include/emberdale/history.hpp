// A recorded history of operators' and readers' calls: who called which daemon, when, and what came back.
#pragma once
#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <vector>

#include "emberdale/small_types.hpp"

namespace emberdale::history {

// Which sequential specification an object follows; see sequential_register.hpp.
enum class ObjectKind {
  configuration,  // compare-and-set; the caller names base and new revision
  zone_order,     // written unconditionally; an order expires with its caller
  resource        // compare-and-set by name; the register counts the versions
};

enum class OperationKind { change, remove, read };

enum class CallOutcome {
  acknowledged,
  stale,    // refused, because another revision was current
  refused,  // refused for another reason, whatever the register's state: it has no effect
  unknown   // no answer, or an answer that leaves it open
};

// One call. Times are of one clock for the whole history, in any unit.
struct Operation {
  std::string call;  // unique within the history
  std::string caller, daemon;
  ObjectKind object_kind = ObjectKind::configuration;
  std::string object;  // e.g. "configuration", "zone-order/b", "serving-plans/check"
  OperationKind kind = OperationKind::read;
  std::int64_t invoked_at = 0;
  std::optional<std::int64_t> returned_at;  // nothing: no answer ever came
  std::optional<std::int64_t> gave_up_at;   // when a caller without an answer stopped waiting
  CallOutcome outcome = CallOutcome::unknown;
  std::optional<std::int64_t> base;      // the revision that a change builds on; nothing: unconditional
  std::optional<std::int64_t> revision;  // that a change makes, or a read shows; 0: the object does not exist
  std::string change;                    // identity of a change: equal for a change that is sent again
  std::optional<std::string> value;      // digest of the whole text; nothing: the caller can't know it

  bool is_read() const { return kind == OperationKind::read; }
  // Whether this call may have taken effect without its caller knowing. Example: operation.is_open()
  bool is_open() const { return !is_read() && outcome == CallOutcome::unknown; }
};

// Collects the calls of one process or simulation. Example:
//   HistoryRecorder recorder; auto call = recorder.invoke(operation); recorder.returned(call, now).outcome = ...;
class HistoryRecorder {
 public:
  // Keeps the call with a number of its own; `operation.call` is set. Example: recorder.invoke(operation)
  std::size_t invoke(Operation operation);
  // Marks the answer's arrival; the caller fills in the outcome. Example: recorder.returned(call, now).outcome
  Operation& returned(std::size_t call, std::int64_t now);
  // The caller waits no longer; without effect after an answer. Example: recorder.gave_up(call, now)
  void gave_up(std::size_t call, std::int64_t now);
  const std::vector<Operation>& operations() const { return operations_; }

 private:
  std::vector<Operation> operations_;
};

// One JSON line of a call as it stands, with a line feed. A file holds a line when the call is made and another
// when it ends: the last one counts, so that a caller that is killed leaves its call open.
// Example: file << history_line(operation);
std::string history_line(const Operation& operation);

// Reads such a file; a line that can't be read is a failure with its number, save for a torn last line.
// Example: auto history = read_history(stream); if (!history) report(history.reason);
Outcome<std::vector<Operation>> read_history(std::istream& stream);

// A digest of a text for Operation::value. Example: history_digest("{}") == history_digest("{}")
std::string history_digest(const std::string& text);

}  // namespace emberdale::history
