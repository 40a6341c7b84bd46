// A histogram of durations with fixed bounds, as metrics show it. Not thread-safe.
#pragma once
#include <algorithm>
#include <array>
#include <cstdint>

#include "emberdale/small_types.hpp"

namespace emberdale {

// Example: DurationHistogram ages; ages.record(Duration{120}); ages.maximum() == Duration{120};
class DurationHistogram {
 public:
  // Upper bounds of the buckets in milliseconds; what is longer counts in the total alone.
  static constexpr std::array<std::int64_t, 13> bounds_ms{50,   100,  250,  500,  1000, 1500, 2000,
                                                          2500, 3000, 3500, 4000, 5000, 10000};

  // A negative duration counts as zero.
  void record(Duration duration) {
    std::int64_t ms = std::max<std::int64_t>(0, duration.value);
    auto bound = std::lower_bound(bounds_ms.begin(), bounds_ms.end(), ms);
    if (bound != bounds_ms.end())
      ++counts_[static_cast<std::size_t>(bound - bounds_ms.begin())];
    ++count_;
    sum_ms_ += ms;
    maximum_ms_ = std::max(maximum_ms_, ms);
  }
  // How many durations were at most as long as that bound.
  std::int64_t cumulative_count(std::size_t bound) const {
    std::int64_t count = 0;
    for (std::size_t i = 0; i <= bound && i < counts_.size(); ++i)
      count += counts_[i];
    return count;
  }
  std::int64_t count() const { return count_; }
  std::int64_t sum_ms() const { return sum_ms_; }
  Duration maximum() const { return Duration{maximum_ms_}; }

 private:
  std::array<std::int64_t, bounds_ms.size()> counts_{};  // each duration in one bucket
  std::int64_t count_ = 0, sum_ms_ = 0, maximum_ms_ = 0;
};

}  // namespace emberdale
