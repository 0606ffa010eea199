// Time of day that follows jumps of the machine's clock only once they have lasted.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <optional>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster::scheduling {

class WallClock {
 public:
  void observe(TimePoint now, std::int64_t wall_ms) {
    std::int64_t offset = wall_ms - steady_ms(now);
    if (!offset_ || std::abs(offset - *offset_) <= kFollowedMs) {
      offset_ = offset;
      jump_.reset();
      return;
    }
    if (!jump_ || std::abs(offset - jump_->offset) > kFollowedMs) jump_ = Jump{offset, now};
    if (now - jump_->since < kAdoptedAfter) return;
    offset_ = offset;
    jump_.reset();
  }

  // Milliseconds since 1970.
  std::int64_t at(TimePoint now) const { return steady_ms(now) + offset_.value_or(0); }
  // When, on the steady clock, the time of day will be `wall_ms`.
  TimePoint when(std::int64_t wall_ms) const { return TimePoint(Millis(wall_ms - offset_.value_or(0))); }

 private:
  struct Jump {
    std::int64_t offset = 0;
    TimePoint since;
  };
  static constexpr std::int64_t kFollowedMs = 200;
  static constexpr Millis kAdoptedAfter{15000};

  static std::int64_t steady_ms(TimePoint now) {
    return std::chrono::duration_cast<Millis>(now.time_since_epoch()).count();
  }

  std::optional<std::int64_t> offset_;  // time of day less steady time
  std::optional<Jump> jump_;
};

}  // namespace winchhall::cluster::scheduling
