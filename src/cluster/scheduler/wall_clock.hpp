// Wall-clock time that is not affected by temporary jumps of the machine's clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <optional>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster::scheduling {

// Converts between steady-clock time and wall-clock time. Small corrections of the machine's clock are
// applied at once, a jump only after it has lasted for some seconds, so that timed jobs start neither early
// nor late because the clock was set wrong for a moment.
class WallClock {
 public:
  // Records a reading of both clocks; `wall_ms` is in milliseconds since 1970.
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

  // Wall-clock time at a steady-clock time, in milliseconds since 1970.
  std::int64_t wall_ms_at(TimePoint now) const { return steady_ms(now) + offset_.value_or(0); }
  // The inverse of `wall_ms_at`.
  TimePoint steady_time_of(std::int64_t wall_ms) const {
    return TimePoint(Millis(wall_ms - offset_.value_or(0)));
  }

 private:
  // A jump that has not lasted long enough to be accepted.
  struct Jump {
    std::int64_t offset = 0;
    TimePoint since;
  };
  static constexpr std::int64_t kMaxCorrectionMs = 200;  // a larger change of the offset is a jump
  static constexpr Millis kJumpAcceptedAfter{15000};

  static std::int64_t steady_ms(TimePoint now) {
    return std::chrono::duration_cast<Millis>(now.time_since_epoch()).count();
  }

  std::optional<std::int64_t> offset_;  // accepted wall-clock time less steady-clock time, in ms
  std::optional<Jump> jump_;
};

}  // namespace winchhall::cluster::scheduling
