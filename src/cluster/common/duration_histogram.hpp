// Counts durations in fixed ranges, for metrics. Adding one costs a few comparisons.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// Upper bounds of the ranges in milliseconds; longer durations count in a last range without bound.
inline constexpr std::array<std::int64_t, 10> kDurationBucketBoundsMs = {1,  2,   5,   10,  20,
                                                                         50, 100, 200, 500, 1000};

class DurationHistogram {
 public:
  void add(std::chrono::nanoseconds duration) {
    const double millis = std::chrono::duration<double, std::milli>(duration).count();
    std::size_t range = 0;
    while (range < kDurationBucketBoundsMs.size() &&
           millis > static_cast<double>(kDurationBucketBoundsMs[range])) {
      ++range;
    }
    ++counts_[range];
    ++count_;
    sum_ms_ += millis;
  }

  std::uint64_t count() const { return count_; }
  double sum_ms() const { return sum_ms_; }
  // Durations in one range, shorter ones not included; the last range stands at
  // kDurationBucketBoundsMs.size().
  std::uint64_t bucket_count(std::size_t range) const { return counts_.at(range); }

 private:
  std::array<std::uint64_t, kDurationBucketBoundsMs.size() + 1> counts_ = {};
  std::uint64_t count_ = 0;
  double sum_ms_ = 0;
};

}  // namespace winchhall::cluster
