// Tasks of a library's threads that use an object: the object's end waits for theirs.
#pragma once
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <memory>
#include <mutex>

namespace emberdale {

// Thread-safe. Example: the last member of a class, with wait_until_done() in its destructor.
//   request.then([this, token = pending_.begin()](Response response) { handle(response); });
class PendingTasks {
 public:
  // A task is pending as long as a copy of its token lives. A token may outlive this object.
  std::shared_ptr<void> begin() {
    {
      std::lock_guard<std::mutex> guard(state_->mutex);
      ++state_->count;
    }
    return std::shared_ptr<void>(nullptr, [state = state_](void*) {
      std::lock_guard<std::mutex> guard(state->mutex);
      --state->count;
      state->changed.notify_all();
    });
  }
  std::size_t count() const {
    std::lock_guard<std::mutex> guard(state_->mutex);
    return state_->count;
  }
  // False if tasks are still pending when the time is up.
  template <class WaitTime>
  bool wait_until_done(WaitTime timeout) {
    std::unique_lock<std::mutex> guard(state_->mutex);
    return state_->changed.wait_for(guard, timeout, [&] { return state_->count == 0; });
  }

 private:
  struct State {
    std::mutex mutex;
    std::condition_variable changed;
    std::size_t count = 0;
  };
  std::shared_ptr<State> state_ = std::make_shared<State>();
};

}  // namespace emberdale
