// Latency histogram with log-linear buckets, 64 for each doubling, so a quantile is off by at most 1.6%.
// Values are in ms, with a resolution of 1 us.
#pragma once

#include <algorithm>
#include <array>
#include <bit>
#include <cstdint>

namespace winchhall::testbed {

class Histogram {
 public:
  void add(double ms) {
    auto us = static_cast<std::uint64_t>(std::clamp(ms * 1000, 0.0, 1e12));
    ++counts_[bucket(us)];
    ++count_;
    sum_ms_ += ms;
    max_ms_ = std::max(max_ms_, ms);
  }
  void add(const Histogram& other) {
    for (std::size_t i = 0; i < counts_.size(); ++i) counts_[i] += other.counts_[i];
    count_ += other.count_;
    sum_ms_ += other.sum_ms_;
    max_ms_ = std::max(max_ms_, other.max_ms_);
  }
  std::uint64_t count() const { return count_; }
  double mean() const { return count_ > 0 ? sum_ms_ / static_cast<double>(count_) : 0; }
  double max() const { return max_ms_; }
  // The latency in ms that a share `q` of all values doesn't exceed.
  double quantile(double q) const {
    auto wanted = static_cast<std::uint64_t>(q * static_cast<double>(count_) + 0.5);
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < counts_.size(); ++i)
      if ((seen += counts_[i]) >= wanted && seen > 0) return std::min(max_ms_, upper_bound_us(i) / 1000);
    return max_ms_;
  }

 private:
  static constexpr unsigned kSubBucketBits = 6;  // 64 buckets for each doubling
  static std::size_t bucket(std::uint64_t us) {
    if (us < (1U << kSubBucketBits)) return us;
    unsigned shift = static_cast<unsigned>(std::bit_width(us)) - 1 - kSubBucketBits;
    return (static_cast<std::size_t>(shift + 1) << kSubBucketBits) +
           ((us >> shift) & ((1U << kSubBucketBits) - 1));
  }
  static double upper_bound_us(std::size_t i) {
    if (i < (1U << kSubBucketBits)) return static_cast<double>(i);
    std::uint64_t shift = (i >> kSubBucketBits) - 1, within = i & ((1U << kSubBucketBits) - 1);
    return static_cast<double>(((1ULL << kSubBucketBits) + within + 1) << shift);
  }
  std::array<std::uint64_t, 64 * 42> counts_{};
  std::uint64_t count_ = 0;
  double sum_ms_ = 0, max_ms_ = 0;
};

}  // namespace winchhall::testbed
