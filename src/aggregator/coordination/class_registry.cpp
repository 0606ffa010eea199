#include "aggregator/coordination/class_registry.hpp"

#include <algorithm>

namespace winchhall::coordination {

using winchhall::ClassSettings;
using winchhall::Idempotency;
using winchhall::Settings;

ClassRegistry::ClassRegistry(std::vector<ClassSettings> classes)
    : classes_(std::move(classes)), open_(classes_.size(), 0) {
  for (const ClassSettings& c : classes_) names_.push_back(c.name);
}

ClassRegistry::Change ClassRegistry::change(const std::vector<ClassSettings>& next) {
  std::vector<bool> taken(classes_.size(), false);
  std::vector<int> place(next.size(), -1), before(next.size(), -1);
  for (std::size_t f = 0; f < next.size(); ++f) {
    auto named = std::find_if(classes_.begin(), classes_.end(),
                              [&](const ClassSettings& c) { return c.name == next[f].name; });
    if (named == classes_.end()) continue;
    before[f] = static_cast<int>(named - classes_.begin());
    if (*named == next[f] || open_[static_cast<std::size_t>(before[f])] == 0) place[f] = before[f];
    if (place[f] >= 0) taken[static_cast<std::size_t>(place[f])] = true;
  }
  // Statistics follow the class's name, also where the old index stays in use by open queries.
  std::vector<int> from(classes_.size(), -1);
  for (std::size_t i = 0; i < classes_.size(); ++i)
    if (open_[i] > 0 || taken[i]) from[i] = static_cast<int>(i);
  for (std::size_t f = 0; f < next.size(); ++f) {
    if (place[f] < 0) {
      std::size_t i = 0;
      while (i < classes_.size() && (taken[i] || open_[i] > 0)) ++i;
      if (i == classes_.size()) {
        classes_.emplace_back();
        names_.emplace_back();
        open_.push_back(0);
        taken.push_back(false);
        from.push_back(-1);
      }
      place[f] = static_cast<int>(i);
      taken[i] = true;
    }
    from[static_cast<std::size_t>(place[f])] = before[f];
  }
  for (std::size_t i = 0; i < classes_.size(); ++i)
    if (!taken[i]) classes_[i].name.clear();
  for (std::size_t f = 0; f < next.size(); ++f) {
    classes_[static_cast<std::size_t>(place[f])] = next[f];
    names_[static_cast<std::size_t>(place[f])] = next[f].name;
  }
  return {classes_, from};
}

ClassSettings strictest_of(const ClassSettings& old, const ClassSettings& next) {
  ClassSettings c = next;
  auto strict = [](Idempotency r) { return r == Idempotency::safe ? 0 : r == Idempotency::keyed ? 1 : 2; };
  if (strict(old.idempotency) > strict(c.idempotency)) c.idempotency = old.idempotency;
  // Only `keyed` classes have a window: another class's doesn't limit it.
  if (old.idempotency == Idempotency::keyed && next.idempotency == Idempotency::keyed)
    c.idempotency_window = std::min(old.idempotency_window, next.idempotency_window);
  else if (old.idempotency == Idempotency::keyed)
    c.idempotency_window = old.idempotency_window;
  c.complete_share = std::max(old.complete_share, next.complete_share);
  c.min_share = std::max(old.min_share, next.min_share);
  c.latency_target = std::min(old.latency_target, next.latency_target);
  c.deadline = std::min(old.deadline, next.deadline);
  return c;
}

Settings strictest_of(const Settings& old, const Settings& next) {
  Settings s = next;
  for (ClassSettings& c : s.classes)
    for (const ClassSettings& o : old.classes)
      if (o.name == c.name) c = strictest_of(o, c);
  for (const ClassSettings& o : old.classes)
    if (!o.name.empty() && std::none_of(s.classes.begin(), s.classes.end(),
                                        [&](const ClassSettings& c) { return c.name == o.name; }))
      s.classes.push_back(o);
  s.max_attempts = std::min(old.max_attempts, next.max_attempts);
  s.may_hedge = old.may_hedge && next.may_hedge;
  s.may_cancel = old.may_cancel && next.may_cancel;
  s.may_probe = old.may_probe && next.may_probe;
  s.budget = old.budget || next.budget;
  if (old.budget && next.budget) {
    s.budget_free = std::min(old.budget_free, next.budget_free);
    s.budget_share = std::min(old.budget_share, next.budget_share);
    s.budget_window = std::max(old.budget_window, next.budget_window);
  } else if (old.budget) {
    s.budget_free = old.budget_free;
    s.budget_share = old.budget_share;
    s.budget_window = old.budget_window;
  }
  s.drain_grace = std::min(old.drain_grace, next.drain_grace);
  s.overload_multiple = next.overload_multiple > 0 && old.overload_multiple > 0
                            ? std::min(old.overload_multiple, next.overload_multiple)
                            : std::max(old.overload_multiple, next.overload_multiple);
  s.warm_up_initial_share = std::min(old.warm_up_initial_share, next.warm_up_initial_share);
  s.warm_up_time = std::max(old.warm_up_time, next.warm_up_time);
  return s;
}

}  // namespace winchhall::coordination
