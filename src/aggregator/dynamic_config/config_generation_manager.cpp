#include "aggregator/dynamic_config/config_generation_manager.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace winchhall::dynamic_config {

const char* name_of(ValidationOutcome verdict) {
  constexpr const char* kNames[] = {"taken", "same", "refused", "held"};
  return kNames[static_cast<int>(verdict)];
}

ValidationResult ConfigGenerationManager::evaluate(const Rows& rows, std::uint64_t digest,
                                                   std::vector<Fault> readable, Millis now) {
  if (!readable.empty()) return evaluate(nullptr, digest, std::move(readable), now);
  std::vector<Fault> faults;
  ConfigGenerationPtr checked = check(rows, digest, bounds_, faults);
  return evaluate(std::move(checked), digest, std::move(faults), now);
}

ValidationResult ConfigGenerationManager::evaluate(ConfigGenerationPtr checked, std::uint64_t digest,
                                                   std::vector<Fault> faults, Millis now) {
  ValidationResult f;
  f.digest = digest;
  if (current_ && digest == current_->digest) {
    held_ = nullptr;
    refused_digest_ = 0;
    return f;
  }
  // Reported once: an unchanged candidate is not logged again at every scan.
  if (digest == refused_digest_ || (held_ && held_->digest == digest)) return f;
  if (checked && current_)
    for (const auto& [kind, revision] : checked->revisions) {
      auto it = current_->revisions.find(kind);
      if (it != current_->revisions.end() && revision > 0 && revision < it->second)
        faults.push_back({kind, 1,
                          "revision " + std::to_string(revision) + " goes back, " +
                              std::to_string(it->second) + " is in use"});
    }
  if (!faults.empty()) {
    f.verdict = ValidationOutcome::refused;
    f.faults = std::move(faults);
    f.may_be_partial = true;
    refused_digest_ = digest;
    held_ = nullptr;
    remember(now, f);
    return f;
  }
  f.why = current_ ? too_much(*checked) : "";
  if (!f.why.empty()) {
    f.verdict = ValidationOutcome::held;
    held_ = std::move(checked);
    refused_digest_ = 0;
    remember(now, f);
    return f;
  }
  f.verdict = ValidationOutcome::taken;
  take(std::move(checked), now);
  remember(now, f);
  return f;
}

// A partly written list can be valid by itself. So a generation that removes many nodes at once, or every
// previous holder of a range, is applied only with an operator's approval.
std::string ConfigGenerationManager::too_much(const ConfigGeneration& next) const {
  std::size_t stored = 0;
  for (const coordination::Member& m : current_->members) stored += next.member(m.entry.server) != nullptr;
  std::size_t before = current_->members.size(), dropped = before - stored;
  if (static_cast<double>(dropped) > limits_.max_removed_share * static_cast<double>(before))
    return "it drops " + std::to_string(dropped) + " of " + std::to_string(before) + " nodes, more than " +
           std::to_string(static_cast<int>(std::lround(100 * limits_.max_removed_share))) + "%";
  if (current_->map && !next.map) return "it drops the map of ranges";
  if (!current_->map || !next.map) return "";
  std::string why;
  next.map->visit({0, ranges::kKeyEnd}, [&](const ranges::RangeView& p) {
    // Without a holder in common nobody could have transferred these keys to the new holders.
    bool shared = false;
    current_->map->visit(p.span, [&](const ranges::RangeView& old) {
      for (const ranges::Holder& h : **old.holders)
        shared = shared || (h.role != ranges::Role::leaving &&
                            std::any_of((**p.holders).begin(), (**p.holders).end(),
                                        [&](const ranges::Holder& x) { return x.server == h.server; }));
      return !shared;
    });
    if (shared) return true;
    why = "range " + std::to_string(p.id) + " " + ranges::text_of(p.span) + " has none of the holders it had";
    return false;
  });
  return why;
}

void ConfigGenerationManager::take(ConfigGenerationPtr next, Millis now) {
  std::vector<Dropped> still;
  // A draining member that is listed again is no longer draining, also at another address: connections to its
  // old address are closed by the pool.
  for (Dropped& d : dropped_)
    if (!next->member(d.member.entry.server)) still.push_back(std::move(d));
  if (current_)
    for (const coordination::Member& m : current_->members)
      if (!next->member(m.entry.server)) still.push_back({m, now + limits_.drain_time});
  dropped_ = std::move(still);
  for (Dropped& d : dropped_) d.member.entry.state = winchhall::ServerState::draining;
  current_ = std::move(next);
  held_ = nullptr;
  refused_digest_ = 0;
  ++number_;
}

void ConfigGenerationManager::restore(ConfigGenerationPtr stored, Millis now) {
  if (!stored) return;
  take(std::move(stored), now);
}

bool ConfigGenerationManager::accept(std::uint64_t digest, Millis now) {
  if (!held_ || held_->digest != digest) return false;
  ValidationResult f{ValidationOutcome::taken, digest, {}, "accepted by an operator", false};
  take(std::exchange(held_, nullptr), now);
  remember(now, f);
  return true;
}

bool ConfigGenerationManager::rollback(ConfigGenerationPtr to, Millis now) {
  if (!to || (current_ && to->digest == current_->digest)) return false;
  std::uint64_t removed_from = current_ ? current_->digest : 0;
  ValidationResult f{ValidationOutcome::taken, to->digest, {}, "rolled back by an operator", false};
  take(std::move(to), now);
  refused_digest_ = removed_from;  // still in the files: not applied again until they change
  remember(now, f);
  return true;
}

std::optional<ranges::RangeMap> ConfigGenerationManager::map() const {
  if (!current_ || !current_->map) return std::nullopt;
  return current_->map->with_revision({1, number_}, current_->map->next_id());
}

std::vector<coordination::Member> ConfigGenerationManager::members(Millis now) {
  std::erase_if(dropped_, [&](const Dropped& d) { return d.removed_at <= now; });
  std::vector<coordination::Member> list;
  if (current_) list = current_->members;
  for (const Dropped& d : dropped_) list.push_back(d.member);
  return list;
}

Millis ConfigGenerationManager::next_removal() const {
  Millis at = std::numeric_limits<double>::infinity();
  for (const Dropped& d : dropped_) at = std::min(at, d.removed_at);
  return at;
}

void ConfigGenerationManager::remember(Millis now, const ValidationResult& f) {
  history_.push_back({now, f.verdict, f.digest, f.faults.empty() ? f.why : f.faults[0].text()});
  if (history_.size() > limits_.history) history_.pop_front();
}

}  // namespace winchhall::dynamic_config
