// The journal of one process: a bounded run of events in memory, and views folded from it.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "emberdale/small_types.hpp"

namespace emberdale {

struct JournalEvent {
  std::int64_t number = 0;
  TimePoint at;
  std::string kind;    // e.g. "mastership", "map", "refused"
  std::string detail;  // one line, only for changes of state
};

// Example: EventJournal journal(512); journal.append(now, "map", "1.4");
//          journal.fold(counting_view, {}) gives the counts by kind.
class EventJournal {
 public:
  explicit EventJournal(std::size_t bound) : bound_(bound) {}

  // Example: journal.append(TimePoint{5}, "master", "10.0.0.1:70");
  void append(TimePoint at, std::string kind, std::string detail) {
    counts_[kind] += 1;  // the counting view is folded as events arrive
    events_.push_back({++last_, at, std::move(kind), std::move(detail)});
    if (events_.size() > bound_)
      events_.pop_front();
    if (on_event)
      on_event(events_.back());
  }

  // Folds every event still held into a view. Example: journal.fold<int>(0, [](int n, auto&) { return n + 1; });
  template <class View, class Step>
  View fold(View view, Step step) const {
    for (const JournalEvent& event : events_)
      view = step(std::move(view), event);
    return view;
  }

  // How often each kind was appended, ever. Example: journal.counts().at("map")
  const std::map<std::string, std::int64_t>& counts() const { return counts_; }

  std::function<void(const JournalEvent&)> on_event;  // the log line for a change of state

 private:
  std::size_t bound_;
  std::int64_t last_ = 0;
  std::deque<JournalEvent> events_;
  std::map<std::string, std::int64_t> counts_;
};

}  // namespace emberdale
