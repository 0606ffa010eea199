#include "aggregator/coordination/class_table.hpp"

#include <algorithm>

namespace winchhall::core {

using winchhall::ClassSettings;
using winchhall::Repeat;
using winchhall::Settings;

ClassTable::ClassTable(std::vector<ClassSettings> classes)
    : classes_(std::move(classes)), open_(classes_.size(), 0) {
  for (const ClassSettings& c : classes_) names_.push_back(c.name);
}

ClassTable::Change ClassTable::change(const std::vector<ClassSettings>& fresh) {
  std::vector<bool> taken(classes_.size(), false);
  std::vector<int> place(fresh.size(), -1), before(fresh.size(), -1);
  for (std::size_t f = 0; f < fresh.size(); ++f) {
    auto named = std::find_if(classes_.begin(), classes_.end(),
                              [&](const ClassSettings& c) { return c.name == fresh[f].name; });
    if (named == classes_.end()) continue;
    before[f] = static_cast<int>(named - classes_.begin());
    if (*named == fresh[f] || open_[static_cast<std::size_t>(before[f])] == 0) place[f] = before[f];
    if (place[f] >= 0) taken[static_cast<std::size_t>(place[f])] = true;
  }
  // What is known of a class goes with its name, also where its index stays with queries that are open.
  std::vector<int> from(classes_.size(), -1);
  for (std::size_t i = 0; i < classes_.size(); ++i)
    if (open_[i] > 0 || taken[i]) from[i] = static_cast<int>(i);
  for (std::size_t f = 0; f < fresh.size(); ++f) {
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
  for (std::size_t f = 0; f < fresh.size(); ++f) {
    classes_[static_cast<std::size_t>(place[f])] = fresh[f];
    names_[static_cast<std::size_t>(place[f])] = fresh[f].name;
  }
  return {classes_, from};
}

ClassSettings safe_under_both(const ClassSettings& old, const ClassSettings& fresh) {
  ClassSettings c = fresh;
  auto strict = [](Repeat r) { return r == Repeat::safe ? 0 : r == Repeat::keyed ? 1 : 2; };
  if (strict(old.repeat) > strict(c.repeat)) c.repeat = old.repeat;
  // A class without a window of its own does not bound the other's.
  if (old.repeat == Repeat::keyed && fresh.repeat == Repeat::keyed)
    c.repeat_window = std::min(old.repeat_window, fresh.repeat_window);
  else if (old.repeat == Repeat::keyed)
    c.repeat_window = old.repeat_window;
  c.need = std::max(old.need, fresh.need);
  c.floor = std::max(old.floor, fresh.floor);
  c.aim = std::min(old.aim, fresh.aim);
  c.deadline = std::min(old.deadline, fresh.deadline);
  return c;
}

Settings safe_under_both(const Settings& old, const Settings& fresh) {
  Settings s = fresh;
  for (ClassSettings& c : s.classes)
    for (const ClassSettings& o : old.classes)
      if (o.name == c.name) c = safe_under_both(o, c);
  for (const ClassSettings& o : old.classes)
    if (!o.name.empty() && std::none_of(s.classes.begin(), s.classes.end(),
                                        [&](const ClassSettings& c) { return c.name == o.name; }))
      s.classes.push_back(o);
  s.max_attempts = std::min(old.max_attempts, fresh.max_attempts);
  s.may_hedge = old.may_hedge && fresh.may_hedge;
  s.may_cancel = old.may_cancel && fresh.may_cancel;
  s.may_probe = old.may_probe && fresh.may_probe;
  s.budget = old.budget || fresh.budget;
  if (old.budget && fresh.budget) {
    s.budget_free = std::min(old.budget_free, fresh.budget_free);
    s.budget_share = std::min(old.budget_share, fresh.budget_share);
    s.budget_window = std::max(old.budget_window, fresh.budget_window);
  } else if (old.budget) {
    s.budget_free = old.budget_free;
    s.budget_share = old.budget_share;
    s.budget_window = old.budget_window;
  }
  s.drain_grace = std::min(old.drain_grace, fresh.drain_grace);
  s.fall_multiple = fresh.fall_multiple > 0 && old.fall_multiple > 0
                        ? std::min(old.fall_multiple, fresh.fall_multiple)
                        : std::max(old.fall_multiple, fresh.fall_multiple);
  s.cold_share = std::min(old.cold_share, fresh.cold_share);
  s.cold_time = std::max(old.cold_time, fresh.cold_time);
  return s;
}

}  // namespace winchhall::core
