#include "emberdale/invariants.hpp"

#include <glog/logging.h>

#include <iomanip>

namespace emberdale {
namespace {

void log_violation(Invariant invariant, const InvariantContext& context) {
  LOG(ERROR) << "invariant_violated invariant=" << to_string(invariant) << " call=" << context.call
             << " runner=" << std::quoted(context.runner) << " now_ms=" << context.now.value
             << " measured=" << context.measured << " bound=" << context.bound;
}

}  // namespace

const char* to_string(Invariant invariant) {
  switch (invariant) {
    case Invariant::no_attempt_after_caller_departed:
      return "no_attempt_after_caller_departed";
    case Invariant::departed_caller_attempt_cancelled:
      return "departed_caller_attempt_cancelled";
    case Invariant::no_attempt_to_unavailable_runner:
      return "no_attempt_to_unavailable_runner";
    case Invariant::runner_list_fresh:
      return "runner_list_fresh";
    case Invariant::attempts_within_limit:
      return "attempts_within_limit";
    case Invariant::no_attempt_after_deadline:
      return "no_attempt_after_deadline";
    case Invariant::list_age_bounded:
      return "list_age_bounded";
    case Invariant::gateway_evidence_bounded:
      return "gateway_evidence_bounded";
  }
  return "unknown";
}

void InvariantCounters::record(Invariant invariant, bool holds, const InvariantContext& context) {
  Entry& entry = entries_[static_cast<std::size_t>(invariant)];
  entry.checks.fetch_add(1, std::memory_order_relaxed);
  if (holds)
    return;
  bool is_first = entry.violations.fetch_add(1, std::memory_order_relaxed) == 0;
  if (is_first)
    log_violation(invariant, context);
}

std::map<std::string, std::int64_t> InvariantCounters::counters() const {
  std::map<std::string, std::int64_t> counters;
  for (std::size_t i = 0; i < invariant_count; ++i) {
    std::string name = std::string("invariant_") + to_string(static_cast<Invariant>(i));
    counters[name] = entries_[i].violations;
    counters[name + "_checks"] = entries_[i].checks;
  }
  return counters;
}

InvariantCounters& process_invariants() {
  static InvariantCounters counters;
  return counters;
}

}  // namespace emberdale
