#include "aggregator/coordination/retuning.hpp"

#include "aggregator/coordination/class_table.hpp"

namespace winchhall::core {

using winchhall::Millis;
using winchhall::Settings;

const Settings& Retuning::order(const Settings& fresh, Millis now) {
  acting_ = safe_under_both(acting_, fresh);
  target_ = fresh;
  settle_at_ = now + kSettle;
  return acting_;
}

std::optional<Settings> Retuning::settle(Millis now) {
  if (now < settle_at_) return std::nullopt;
  settle_at_ = std::numeric_limits<Millis>::infinity();
  acting_ = target_;
  return acting_;
}

}  // namespace winchhall::core
