#include "emberdale/departed_caller_invariant.hpp"

#include <algorithm>

namespace emberdale {

void DepartedCallerInvariant::on_attempt_started(std::int64_t call, TimePoint now) {
  auto entry = open_calls_.find(call);
  bool is_caller_present =
      entry != open_calls_.end() && !entry->second.is_closed && !entry->second.departed_at.has_value();
  counters_->record(Invariant::no_attempt_after_caller_departed, is_caller_present, {call, {}, now});
  if (entry != open_calls_.end())
    entry->second.has_attempt = true;
}

void DepartedCallerInvariant::on_attempt_ended(std::int64_t call, TimePoint now) {
  auto entry = open_calls_.find(call);
  if (entry == open_calls_.end() || !entry->second.has_attempt)
    return;
  entry->second.has_attempt = false;
  auto uncancelled = std::find(uncancelled_.begin(), uncancelled_.end(), call);
  if (uncancelled != uncancelled_.end()) {
    uncancelled_.erase(uncancelled);
    record_cancellation(call, *entry->second.departed_at, now);
  }
  if (entry->second.is_closed)
    open_calls_.erase(entry);
}

void DepartedCallerInvariant::on_caller_departed(std::int64_t call, TimePoint now) {
  auto entry = open_calls_.find(call);
  if (entry == open_calls_.end() || entry->second.departed_at)
    return;
  entry->second.departed_at = now;
  if (entry->second.has_attempt)
    uncancelled_.push_back(call);
}

void DepartedCallerInvariant::on_call_closed(std::int64_t call) {
  auto entry = open_calls_.find(call);
  if (entry == open_calls_.end())
    return;
  bool is_watched = entry->second.departed_at && entry->second.has_attempt;
  if (is_watched)
    entry->second.is_closed = true;
  else
    open_calls_.erase(entry);
}

// Each overdue attempt is counted once, and forgotten with its call if that is closed.
void DepartedCallerInvariant::check(TimePoint now) {
  auto is_overdue = [&](std::int64_t call) {
    auto entry = open_calls_.find(call);
    TimePoint departed_at = *entry->second.departed_at;
    if (now - departed_at <= longest_cancellation)
      return false;
    record_cancellation(call, departed_at, now);
    if (entry->second.is_closed)
      open_calls_.erase(entry);
    return true;
  };
  uncancelled_.erase(std::remove_if(uncancelled_.begin(), uncancelled_.end(), is_overdue), uncancelled_.end());
}

void DepartedCallerInvariant::record_cancellation(std::int64_t call, TimePoint departed_at, TimePoint now) {
  Duration taken = now - departed_at;
  counters_->record(Invariant::departed_caller_attempt_cancelled, taken <= longest_cancellation,
                    {call, {}, now, taken.value, longest_cancellation.value});
}

}  // namespace emberdale
