// What the control thread hands to the dispatch threads: the newest routing view and grant, replaced as one.
#pragma once
#include <absl/base/thread_annotations.h>

#include <memory>
#include <mutex>

#include "emberdale/lease_manager.hpp"
#include "emberdale/routing_view.hpp"
#include "emberdale/sending_knowledge.hpp"

namespace emberdale {

// Thread-safe.
class ControlSnapshot {
 public:
  struct Value {
    std::shared_ptr<const RoutingView> view = std::make_shared<RoutingView>();
    Grant grant;
    SendingKnowledge sending;
  };
  void put(std::shared_ptr<const RoutingView> view, const Grant& grant, SendingKnowledge sending = {}) {
    std::lock_guard<std::mutex> guard(mutex_);
    value_ = {std::move(view), grant, std::move(sending)};
  }
  Value get() const {
    std::lock_guard<std::mutex> guard(mutex_);
    return value_;
  }

 private:
  mutable std::mutex mutex_;
  Value value_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace emberdale
