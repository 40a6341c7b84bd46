// The pending queue between two stages: bounded, closed once, shared by threads.
#pragma once
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace emberdale {

// Example: BoundedQueue<int> pending(2); pending.offer(1) == true; pending.take() == 1;
template <class T>
class BoundedQueue {
 public:
  explicit BoundedQueue(std::size_t bound) : bound_(bound) {}

  // Refuses at once when full or closed. Example: if (!pending.offer(call)) refuse(call);
  bool offer(T item) {
    std::lock_guard<std::mutex> guard(mutex_);
    if (closed_ || items_.size() >= bound_)
      return false;
    items_.push_back(std::move(item));
    ready_.notify_one();
    return true;
  }

  // For events that must not be lost (ends of sends); bounded by what is in hand already.
  // Example: pending.force(ended_send);
  void force(T item) {
    std::lock_guard<std::mutex> guard(mutex_);
    if (closed_)
      return;
    items_.push_back(std::move(item));
    ready_.notify_one();
  }

  // Waits for an item until the time is up. Example: auto item = pending.take_within(20ms);
  template <class WaitTime>
  std::optional<T> take_within(WaitTime wait) {
    std::unique_lock<std::mutex> guard(mutex_);
    ready_.wait_for(guard, wait, [&] { return closed_ || !items_.empty(); });
    if (items_.empty())
      return std::nullopt;
    T item = std::move(items_.front());
    items_.pop_front();
    return item;
  }

  // Example: while (auto item = pending.take()) work(*item);   // ends when closed and drained
  std::optional<T> take() {
    std::unique_lock<std::mutex> guard(mutex_);
    ready_.wait(guard, [&] { return closed_ || !items_.empty(); });
    if (items_.empty())
      return std::nullopt;
    T item = std::move(items_.front());
    items_.pop_front();
    return item;
  }

  // Example: pending.close();   // later offers are refused
  void close() {
    std::lock_guard<std::mutex> guard(mutex_);
    closed_ = true;
    ready_.notify_all();
  }

 private:
  std::size_t bound_;
  std::mutex mutex_;
  std::condition_variable ready_;
  std::deque<T> items_;
  bool closed_ = false;
};

}  // namespace emberdale
