// Settings that change while queries come in. Clients go by the old ones for a while after the order and by
// the new ones soon after it, so what acts in between is safe under both. No I/O.
#pragma once

#include <limits>
#include <optional>

#include "winchhall/coordinator.hpp"

namespace winchhall::core {

class Retuning {
 public:
  explicit Retuning(const winchhall::Settings& settings) : acting_(settings), target_(settings) {}

  // New settings were ordered: what acts from now on. A second order before the first has settled is safe
  // under all.
  const winchhall::Settings& order(const winchhall::Settings& fresh, winchhall::Millis now);
  // What acts from now on, once clients go by the new settings alone; nothing before and after.
  std::optional<winchhall::Settings> settle(winchhall::Millis now);

  winchhall::Millis due() const { return settle_at_; }
  const winchhall::Settings& acting() const { return acting_; }

  // ms: clients go by new settings from 1.2 s after the order (operators' page), and what they sent before
  // that is still on its way for a moment.
  static constexpr winchhall::Millis kSettle = 1600;

 private:
  winchhall::Settings acting_, target_;
  winchhall::Millis settle_at_ = std::numeric_limits<winchhall::Millis>::infinity();
};

}  // namespace winchhall::core
