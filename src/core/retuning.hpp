// Settings that change while queries come in. Clients go by the old ones for a while after the order and by
// the new ones soon after it, so what acts in between is safe under both. No I/O.
#pragma once

#include <limits>
#include <optional>

#include "pewterrill/coordinator.hpp"

namespace winchhall::core {

class Retuning {
 public:
  explicit Retuning(const pewterrill::Settings& settings) : acting_(settings), target_(settings) {}

  // New settings were ordered: what acts from now on. A second order before the first has settled is safe
  // under all.
  const pewterrill::Settings& order(const pewterrill::Settings& fresh, pewterrill::Millis now);
  // What acts from now on, once clients go by the new settings alone; nothing before and after.
  std::optional<pewterrill::Settings> settle(pewterrill::Millis now);

  pewterrill::Millis due() const { return settle_at_; }
  const pewterrill::Settings& acting() const { return acting_; }

  // ms: clients go by new settings from 1.2 s after the order (operators' page), and what they sent before
  // that is still on its way for a moment.
  static constexpr pewterrill::Millis kSettle = 1600;

 private:
  pewterrill::Settings acting_, target_;
  pewterrill::Millis settle_at_ = std::numeric_limits<pewterrill::Millis>::infinity();
};

}  // namespace winchhall::core
