// Schedules scans of a directory that another process writes to.
#pragma once

#include <limits>

namespace winchhall::dynamic_config {

using Millis = double;

// A scan is due once there was no event for `kQuiet`, at the latest `kLongest` after the first event, so that
// a busy writer can't defer it for ever, and every `kAnyway` without any event. All times are in milliseconds
// of a steady clock, which the caller passes in.
class Debouncer {
 public:
  static constexpr Millis kQuiet = 40;     // the writer of a set pauses for less than this between two files
  static constexpr Millis kLongest = 400;  // from the first event to the scan at the latest
  // Between scans without events: some file systems report none.
  static constexpr Millis kAnyway = 10000;
  static constexpr Millis kAgain = 100;  // from a scan that may have found a partly written set to the next

  // A change of the directory was reported.
  void event(Millis now) {
    if (first_ < 0) first_ = now;
    last_ = now;
  }
  // The files changed while they were read: counts as an event.
  void disturbed(Millis now) { event(now); }
  // A scan begins: events from now on belong to a later change.
  void on_scan_started(Millis now) {
    first_ = -1;
    last_scan_at_ = now;
  }
  // The files contradict one another and may be partly written: they are read again soon, without an event.
  void doubtful(Millis now) { again_ = now + kAgain; }

  // When the next scan is due.
  Millis due() const {
    Millis at = last_scan_at_ + kAnyway;
    if (again_ > last_scan_at_ && again_ < at) at = again_;
    if (first_ >= 0) {
      Millis quiet_at = last_ + kQuiet < first_ + kLongest ? last_ + kQuiet : first_ + kLongest;
      if (quiet_at < at) at = quiet_at;
    }
    return at;
  }
  // Time of the first event since the last scan began; negative: there was none.
  Millis first_event() const { return first_; }

 private:
  Millis first_ = -1, last_ = -1, again_ = -1;
  Millis last_scan_at_ = -std::numeric_limits<double>::infinity();
};

}  // namespace winchhall::dynamic_config
