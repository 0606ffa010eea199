// Histogram of durations with fixed buckets, for metrics.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// Inclusive upper bounds of the buckets, in milliseconds. One more bucket without a bound follows them.
inline constexpr std::array<std::int64_t, 10> kDurationBucketBoundsMs = {1,  2,   5,   10,  20,
                                                                         50, 100, 200, 500, 1000};

// Counts durations in the buckets of `kDurationBucketBoundsMs`. Not thread-safe.
class DurationHistogram {
 public:
  void add(std::chrono::nanoseconds duration) {
    const double millis = std::chrono::duration<double, std::milli>(duration).count();
    std::size_t bucket = 0;
    while (bucket < kDurationBucketBoundsMs.size() &&
           millis > static_cast<double>(kDurationBucketBoundsMs[bucket])) {
      ++bucket;
    }
    ++counts_[bucket];
    ++count_;
    sum_ms_ += millis;
  }

  // Number of durations added.
  std::uint64_t count() const { return count_; }
  // Sum of all durations added, in milliseconds.
  double sum_ms() const { return sum_ms_; }
  // Number of durations in one bucket alone (not cumulative). The unbounded bucket has the index
  // `kDurationBucketBoundsMs.size()`. Throws std::out_of_range beyond it.
  std::uint64_t bucket_count(std::size_t bucket) const { return counts_.at(bucket); }

 private:
  std::array<std::uint64_t, kDurationBucketBoundsMs.size() + 1> counts_ = {};
  std::uint64_t count_ = 0;
  double sum_ms_ = 0;
};

}  // namespace winchhall::cluster
