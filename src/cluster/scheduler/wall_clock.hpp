// Time of day that is not thrown off by passing jumps of the machine's clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <optional>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster::scheduling {

// Converts between the steady clock and the time of day. Small corrections of the machine's clock are
// followed at once, a jump only after it has lasted for some seconds, so that timed jobs start neither early
// nor late because of a clock that is set wrong for a moment.
class WallClock {
 public:
  // Takes a reading of both clocks; `wall_ms` in milliseconds since 1970.
  void observe(TimePoint now, std::int64_t wall_ms) {
    std::int64_t offset = wall_ms - steady_ms(now);
    if (!offset_ || std::abs(offset - *offset_) <= kMaxCorrectionMs) {
      offset_ = offset;
      jump_.reset();
      return;
    }
    if (!jump_ || std::abs(offset - jump_->offset) > kMaxCorrectionMs) jump_ = Jump{offset, now};
    if (now - jump_->since < kJumpAcceptedAfter) return;
    offset_ = offset;
    jump_.reset();
  }

  // Time of day at a point of the steady clock, in milliseconds since 1970.
  std::int64_t wall_ms_at(TimePoint now) const { return steady_ms(now) + offset_.value_or(0); }
  // The inverse: when, on the steady clock, the time of day is `wall_ms`.
  TimePoint steady_time_of(std::int64_t wall_ms) const {
    return TimePoint(Millis(wall_ms - offset_.value_or(0)));
  }

 private:
  // A jump that has not lasted long enough yet.
  struct Jump {
    std::int64_t offset = 0;
    TimePoint since;
  };
  static constexpr std::int64_t kMaxCorrectionMs = 200;
  static constexpr Millis kJumpAcceptedAfter{15000};

  static std::int64_t steady_ms(TimePoint now) {
    return std::chrono::duration_cast<Millis>(now.time_since_epoch()).count();
  }

  std::optional<std::int64_t> offset_;  // ms from steady time to the accepted time of day
  std::optional<Jump> jump_;
};

}  // namespace winchhall::cluster::scheduling
