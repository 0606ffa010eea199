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
  std::vector<bool> in_use(classes_.size(), false);
  std::vector<int> new_index(next.size(), -1), old_index(next.size(), -1);
  for (std::size_t n = 0; n < next.size(); ++n) {
    auto named = std::find_if(classes_.begin(), classes_.end(),
                              [&](const ClassSettings& c) { return c.name == next[n].name; });
    if (named == classes_.end()) continue;
    old_index[n] = static_cast<int>(named - classes_.begin());
    if (*named == next[n] || open_[static_cast<std::size_t>(old_index[n])] == 0) new_index[n] = old_index[n];
    if (new_index[n] >= 0) in_use[static_cast<std::size_t>(new_index[n])] = true;
  }
  // Statistics follow the class's name, also where the old index stays in use by open queries.
  std::vector<int> from(classes_.size(), -1);
  for (std::size_t i = 0; i < classes_.size(); ++i)
    if (open_[i] > 0 || in_use[i]) from[i] = static_cast<int>(i);
  for (std::size_t n = 0; n < next.size(); ++n) {
    if (new_index[n] < 0) {
      std::size_t i = 0;
      while (i < classes_.size() && (in_use[i] || open_[i] > 0)) ++i;
      if (i == classes_.size()) {
        classes_.emplace_back();
        names_.emplace_back();
        open_.push_back(0);
        in_use.push_back(false);
        from.push_back(-1);
      }
      new_index[n] = static_cast<int>(i);
      in_use[i] = true;
    }
    from[static_cast<std::size_t>(new_index[n])] = old_index[n];
  }
  for (std::size_t i = 0; i < classes_.size(); ++i)
    if (!in_use[i]) classes_[i].name.clear();
  for (std::size_t n = 0; n < next.size(); ++n) {
    classes_[static_cast<std::size_t>(new_index[n])] = next[n];
    names_[static_cast<std::size_t>(new_index[n])] = next[n].name;
  }
  return {classes_, from};
}

ClassSettings strictest_of(const ClassSettings& old, const ClassSettings& next) {
  ClassSettings c = next;
  auto strictness = [](Idempotency r) {
    return r == Idempotency::safe ? 0 : r == Idempotency::keyed ? 1 : 2;
  };
  if (strictness(old.idempotency) > strictness(c.idempotency)) c.idempotency = old.idempotency;
  // Only `keyed` classes have a window; the value of another version doesn't limit it.
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
