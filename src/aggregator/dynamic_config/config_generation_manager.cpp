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
                                                   std::vector<Fault> parse_faults, Millis now) {
  if (!parse_faults.empty()) return evaluate(nullptr, digest, std::move(parse_faults), now);
  std::vector<Fault> faults;
  ConfigGenerationPtr candidate = check(rows, digest, bounds_, faults);
  return evaluate(std::move(candidate), digest, std::move(faults), now);
}

ValidationResult ConfigGenerationManager::evaluate(ConfigGenerationPtr candidate, std::uint64_t digest,
                                                   std::vector<Fault> faults, Millis now) {
  ValidationResult result;
  result.digest = digest;
  if (current_ && digest == current_->digest) {
    held_ = nullptr;
    rejected_digest_ = 0;
    return result;
  }
  // An unchanged candidate is reported once, not at every scan.
  if (digest == rejected_digest_ || (held_ && held_->digest == digest)) return result;
  if (candidate && current_)
    for (const auto& [kind, revision] : candidate->revisions) {
      auto it = current_->revisions.find(kind);
      if (it != current_->revisions.end() && revision > 0 && revision < it->second)
        faults.push_back({kind, 1,
                          "revision " + std::to_string(revision) + " goes back, " +
                              std::to_string(it->second) + " is in use"});
    }
  if (!faults.empty()) {
    result.verdict = ValidationOutcome::refused;
    result.faults = std::move(faults);
    result.may_be_partial = true;
    rejected_digest_ = digest;
    held_ = nullptr;
    record(now, result);
    return result;
  }
  result.why = current_ ? approval_reason(*candidate) : "";
  if (!result.why.empty()) {
    result.verdict = ValidationOutcome::held;
    held_ = std::move(candidate);
    rejected_digest_ = 0;
    record(now, result);
    return result;
  }
  result.verdict = ValidationOutcome::taken;
  activate(std::move(candidate), now);
  record(now, result);
  return result;
}

// A partly written list can be valid by itself. So a generation that removes many nodes at once, or every
// previous holder of a range, is applied only with an operator's approval.
std::string ConfigGenerationManager::approval_reason(const ConfigGeneration& next) const {
  std::size_t remaining = 0;
  for (const coordination::Member& m : current_->members) remaining += next.member(m.entry.server) != nullptr;
  std::size_t before = current_->members.size(), removed = before - remaining;
  if (static_cast<double>(removed) > limits_.max_removed_share * static_cast<double>(before))
    return "it drops " + std::to_string(removed) + " of " + std::to_string(before) + " nodes, more than " +
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

void ConfigGenerationManager::activate(ConfigGenerationPtr next, Millis now) {
  std::vector<DrainingMember> draining;
  // A draining member that is listed again is no longer draining, also at another address: connections to its
  // old address are closed by the pool.
  for (DrainingMember& d : draining_)
    if (!next->member(d.member.entry.server)) draining.push_back(std::move(d));
  if (current_)
    for (const coordination::Member& m : current_->members)
      if (!next->member(m.entry.server)) draining.push_back({m, now + limits_.drain_time});
  draining_ = std::move(draining);
  for (DrainingMember& d : draining_) d.member.entry.state = winchhall::ServerState::draining;
  current_ = std::move(next);
  held_ = nullptr;
  rejected_digest_ = 0;
  ++number_;
}

void ConfigGenerationManager::restore(ConfigGenerationPtr stored, Millis now) {
  if (!stored) return;
  activate(std::move(stored), now);
}

bool ConfigGenerationManager::accept(std::uint64_t digest, Millis now) {
  if (!held_ || held_->digest != digest) return false;
  ValidationResult result{ValidationOutcome::taken, digest, {}, "accepted by an operator", false};
  activate(std::exchange(held_, nullptr), now);
  record(now, result);
  return true;
}

bool ConfigGenerationManager::rollback(ConfigGenerationPtr to, Millis now) {
  if (!to || (current_ && to->digest == current_->digest)) return false;
  std::uint64_t removed_from = current_ ? current_->digest : 0;
  ValidationResult result{ValidationOutcome::taken, to->digest, {}, "rolled back by an operator", false};
  activate(std::move(to), now);
  rejected_digest_ = removed_from;  // its files are still there: not applied again until they change
  record(now, result);
  return true;
}

std::optional<ranges::RangeMap> ConfigGenerationManager::map() const {
  if (!current_ || !current_->map) return std::nullopt;
  return current_->map->with_revision({1, number_}, current_->map->next_id());
}

std::vector<coordination::Member> ConfigGenerationManager::members(Millis now) {
  std::erase_if(draining_, [&](const DrainingMember& d) { return d.removed_at <= now; });
  std::vector<coordination::Member> list;
  if (current_) list = current_->members;
  for (const DrainingMember& d : draining_) list.push_back(d.member);
  return list;
}

Millis ConfigGenerationManager::next_removal() const {
  Millis at = std::numeric_limits<double>::infinity();
  for (const DrainingMember& d : draining_) at = std::min(at, d.removed_at);
  return at;
}

void ConfigGenerationManager::record(Millis now, const ValidationResult& result) {
  history_.push_back(
      {now, result.verdict, result.digest, result.faults.empty() ? result.why : result.faults[0].text()});
  if (history_.size() > limits_.history) history_.pop_front();
}

}  // namespace winchhall::dynamic_config
