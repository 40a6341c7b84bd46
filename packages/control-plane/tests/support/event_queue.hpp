// Virtual time: actions that are run in the order of their times, without waiting.
#pragma once
#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <vector>

namespace emberdale {

// Example: EventQueue events; events.schedule(20, [&] { tick(); }); events.run_for(1000);
class EventQueue {
 public:
  // Milliseconds since the start.
  std::int64_t now() const { return now_; }

  // Runs an action after a delay. Actions of one time are run in the order in which they were scheduled.
  void schedule(std::int64_t delay_ms, std::function<void()> action) {
    events_.push({now_ + delay_ms, ++last_number_, std::move(action)});
  }

  // Runs actions until the condition holds after one of them, for the given time at most; says whether it holds.
  bool run_until(const std::function<bool()>& condition, std::int64_t duration_ms) {
    std::int64_t end = now_ + duration_ms;
    while (!events_.empty() && events_.top().time <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = event.time;
      event.action();
      if (condition())
        return true;
    }
    now_ = end;
    return condition();
  }

  void run_for(std::int64_t duration_ms) {
    run_until([] { return false; }, duration_ms);
  }

 private:
  struct Event {
    std::int64_t time;
    std::int64_t number;
    std::function<void()> action;
    // The earliest event is the greatest, so that a priority queue has it on top.
    friend bool operator<(const Event& left, const Event& right) {
      return std::tie(right.time, right.number) < std::tie(left.time, left.number);
    }
  };

  std::int64_t now_ = 0;
  std::int64_t last_number_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace emberdale
