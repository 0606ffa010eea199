// Schedules scans of a directory that another process writes to.
#pragma once

#include <limits>

namespace winchhall::dynamic_config {

using Millis = double;

// A scan is due once there was no event for `kQuietPeriod`, at the latest `kMaxDelay` after the first event,
// so that a busy writer can't defer it for ever, and every `kPollInterval` without any event. All times are
// in milliseconds of a steady clock, which the caller passes in.
class Debouncer {
 public:
  // A writer of several files pauses for less than this between two of them.
  static constexpr Millis kQuietPeriod = 40;
  static constexpr Millis kMaxDelay = 400;  // maximum time from the first event to the scan
  // Between scans without events: some file systems report none.
  static constexpr Millis kPollInterval = 10000;
  // From a scan that may have read partly written files to the next one.
  static constexpr Millis kRetryDelay = 100;

  // A change of the directory was reported.
  void on_event(Millis now) {
    if (first_event_at_ < 0) first_event_at_ = now;
    last_event_at_ = now;
  }
  // The files changed while they were read: counts as an event.
  void on_changed_during_scan(Millis now) { on_event(now); }
  // A scan begins: events from now on belong to a later change.
  void on_scan_started(Millis now) {
    first_event_at_ = -1;
    last_scan_at_ = now;
  }
  // The files contradict one another and may be partly written: they are read again soon, without an event.
  void schedule_retry(Millis now) { retry_at_ = now + kRetryDelay; }

  // When the next scan is due.
  Millis next_scan_at() const {
    Millis at = last_scan_at_ + kPollInterval;
    if (retry_at_ > last_scan_at_ && retry_at_ < at) at = retry_at_;
    if (first_event_at_ >= 0) {
      Millis quiet_at = last_event_at_ + kQuietPeriod < first_event_at_ + kMaxDelay
                            ? last_event_at_ + kQuietPeriod
                            : first_event_at_ + kMaxDelay;
      if (quiet_at < at) at = quiet_at;
    }
    return at;
  }
  // Time of the first event since the last scan began; negative: there was none.
  Millis first_event() const { return first_event_at_; }

 private:
  Millis first_event_at_ = -1, last_event_at_ = -1, retry_at_ = -1;
  Millis last_scan_at_ = -std::numeric_limits<double>::infinity();
};

}  // namespace winchhall::dynamic_config
