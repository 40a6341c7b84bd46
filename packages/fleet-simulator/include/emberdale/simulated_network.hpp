// The network between simulated machines: what arrives, when, and what a fault keeps back.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "emberdale/small_types.hpp"

namespace emberdale {

// Example:
//   SimulatedNetwork network; network.cut("a1", "b0");
//   if (auto wait = network.travel("a1", "b0", false, random generator)) later(*wait, arrive);
class SimulatedNetwork {
 public:
  std::int64_t near_delay = 1, far_delay = 12;
  double loss = 0.0;             // share of messages that vanish
  std::int64_t extra_delay = 0;  // on every way, and up to as much again at random

  // One way. Example: network.cut("a1", "b0"); network.is_cut("b0", "a1") == false
  void cut(const std::string& from, const std::string& to) { cuts_.insert({from, to}); }
  void repair(const std::string& from, const std::string& to) { cuts_.erase({from, to}); }
  void heal() { cuts_.clear(); }
  bool is_cut(const std::string& from, const std::string& to) const { return cuts_.count({from, to}) != 0; }

  // How long a message is under way; nothing: it never arrives. Example: network.travel("a1", "a2", true, random
  // generator)
  std::optional<std::int64_t> travel(const std::string& from, const std::string& to, bool is_near,
                                     RandomGenerator& random) {
    ++sent_;
    if (is_cut(from, to)) {
      ++cut_off_;
      return std::nullopt;
    }
    if (from == to)
      return 0;
    if (random.chance(loss)) {
      ++lost_;
      return std::nullopt;
    }
    std::int64_t wait = is_near ? near_delay : far_delay;
    if (extra_delay > 0) {
      ++delayed_;
      wait += extra_delay + random.below(extra_delay);
    }
    return wait + random.below(wait + 1);
  }

  std::int64_t sent() const { return sent_; }
  std::int64_t cut_off() const { return cut_off_; }
  std::int64_t lost() const { return lost_; }
  std::int64_t delayed() const { return delayed_; }

 private:
  std::set<std::pair<std::string, std::string>> cuts_;
  std::int64_t sent_ = 0, cut_off_ = 0, lost_ = 0, delayed_ = 0;
};

}  // namespace emberdale
