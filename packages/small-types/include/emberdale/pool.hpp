// A pool of slots addressed by index, and lists threaded through the slots themselves.
#pragma once
#include <cstdint>
#include <utility>
#include <vector>

namespace emberdale {

using PoolIndex = std::int32_t;
inline constexpr PoolIndex no_index = -1;

// Slots are reused and never move their index. Example: Pool<Call> pool; PoolIndex at = pool.take(Call{}); pool[at];
// pool.give_back(at);
template <class T>
class Pool {
 public:
  PoolIndex take(T value) {
    if (free_ == no_index) {
      slots_.push_back({std::move(value), no_index});
      return static_cast<PoolIndex>(slots_.size() - 1);
    }
    PoolIndex at = free_;
    free_ = slots_[static_cast<std::size_t>(at)].next_free;
    slots_[static_cast<std::size_t>(at)].value = std::move(value);
    return at;
  }
  void give_back(PoolIndex at) {
    auto& slot = slots_[static_cast<std::size_t>(at)];
    slot.value = T{};
    slot.next_free = free_;
    free_ = at;
  }
  T& operator[](PoolIndex at) { return slots_[static_cast<std::size_t>(at)].value; }
  const T& operator[](PoolIndex at) const { return slots_[static_cast<std::size_t>(at)].value; }

 private:
  struct Slot {
    T value;
    PoolIndex next_free;
  };
  std::vector<Slot> slots_;
  PoolIndex free_ = no_index;
};

// What an element of an intrusive list carries. Example: struct Call { ListHook hook; };
struct ListHook {
  PoolIndex before = no_index, after = no_index;
  bool is_linked = false;
};

// A list through the `hook` of pooled elements: no memory of its own, removal from the middle at once.
// Example: IntrusiveList<Call> list; list.push_back(pool, at); list.remove(pool, at); list.front();
template <class T>
class IntrusiveList {
 public:
  void push_back(Pool<T>& pool, PoolIndex at) {
    auto& hook = pool[at].hook;
    hook = {last_, no_index, true};
    if (last_ != no_index)
      pool[last_].hook.after = at;
    else
      first_ = at;
    last_ = at;
    ++size_;
  }
  void remove(Pool<T>& pool, PoolIndex at) {
    auto& hook = pool[at].hook;
    if (!hook.is_linked)
      return;
    if (hook.before != no_index)
      pool[hook.before].hook.after = hook.after;
    else
      first_ = hook.after;
    if (hook.after != no_index)
      pool[hook.after].hook.before = hook.before;
    else
      last_ = hook.before;
    hook = {};
    --size_;
  }
  PoolIndex front() const { return first_; }
  PoolIndex next(const Pool<T>& pool, PoolIndex at) const { return pool[at].hook.after; }
  std::size_t size() const { return size_; }

 private:
  PoolIndex first_ = no_index, last_ = no_index;
  std::size_t size_ = 0;
};

}  // namespace emberdale
