// Settings changes while queries arrive. Clients switch to new settings at different times, so for
// kOverlapTime after a change the effective settings are safe under both versions. No I/O; not thread-safe.
// Times are in ms on the caller's clock.
#pragma once

#include <limits>
#include <optional>

#include "winchhall/coordinator.hpp"

namespace winchhall::coordination {

// State machine of one settings change: begin(), overlap, complete_if_due().
class SettingsTransition {
 public:
  explicit SettingsTransition(const winchhall::Settings& settings)
      : effective_(settings), target_(settings) {}

  // Starts a change and returns the settings in effect during the overlap. A change that begins before the
  // previous one is complete gives settings safe under all of them.
  const winchhall::Settings& begin(const winchhall::Settings& next, winchhall::Millis now);
  // Returns the new settings once, when the overlap is over; else nothing.
  std::optional<winchhall::Settings> complete_if_due(winchhall::Millis now);

  // When complete_if_due() has to be called; infinity if no change is in progress.
  winchhall::Millis due() const { return complete_at_; }
  const winchhall::Settings& effective() const { return effective_; }

  // ms. Clients use new settings from 1.2 s after the change, as the operators state; the rest allows for
  // requests in transit.
  static constexpr winchhall::Millis kOverlapTime = 1600;

 private:
  winchhall::Settings effective_, target_;
  winchhall::Millis complete_at_ = std::numeric_limits<winchhall::Millis>::infinity();
};

}  // namespace winchhall::coordination
