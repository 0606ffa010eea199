#include "aggregator/coordination/settings_transition.hpp"

#include "aggregator/coordination/class_registry.hpp"

namespace winchhall::coordination {

using winchhall::Millis;
using winchhall::Settings;

const Settings& SettingsTransition::begin(const Settings& next, Millis now) {
  effective_ = strictest_of(effective_, next);
  target_ = next;
  complete_at_ = now + kOverlapTime;
  return effective_;
}

std::optional<Settings> SettingsTransition::complete_if_due(Millis now) {
  if (now < complete_at_) return std::nullopt;
  complete_at_ = std::numeric_limits<Millis>::infinity();
  effective_ = target_;
  return effective_;
}

}  // namespace winchhall::coordination
