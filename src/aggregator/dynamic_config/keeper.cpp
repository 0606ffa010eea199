#include "aggregator/dynamic_config/keeper.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace winchhall::generations {

const char* name_of(Verdict verdict) {
  constexpr const char* kNames[] = {"taken", "same", "refused", "held"};
  return kNames[static_cast<int>(verdict)];
}

Found Keeper::found(const Rows& rows, std::uint64_t digest, std::vector<Fault> readable, Millis now) {
  if (!readable.empty()) return found(nullptr, digest, std::move(readable), now);
  std::vector<Fault> faults;
  GenerationPtr checked = check(rows, digest, bounds_, faults);
  return found(std::move(checked), digest, std::move(faults), now);
}

Found Keeper::found(GenerationPtr checked, std::uint64_t digest, std::vector<Fault> faults, Millis now) {
  Found f;
  f.digest = digest;
  if (current_ && digest == current_->digest) {
    held_ = nullptr;
    refused_digest_ = 0;
    return f;
  }
  // Told once: a set that stays as it is, is neither checked nor logged again with every look.
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
    f.verdict = Verdict::refused;
    f.faults = std::move(faults);
    f.doubtful = true;
    refused_digest_ = digest;
    held_ = nullptr;
    remember(now, f);
    return f;
  }
  f.why = current_ ? too_much(*checked) : "";
  if (!f.why.empty()) {
    f.verdict = Verdict::held;
    held_ = std::move(checked);
    refused_digest_ = 0;
    remember(now, f);
    return f;
  }
  f.verdict = Verdict::taken;
  take(std::move(checked), now);
  remember(now, f);
  return f;
}

// What a set takes away that an operator should have meant: many nodes at once, or every holder that a range
// had. A tool that wrote half a list writes a sound one sometimes.
std::string Keeper::too_much(const Generation& next) const {
  std::size_t kept = 0;
  for (const core::Member& m : current_->members) kept += next.member(m.entry.server) != nullptr;
  std::size_t before = current_->members.size(), dropped = before - kept;
  if (static_cast<double>(dropped) > limits_.drop_share * static_cast<double>(before))
    return "it drops " + std::to_string(dropped) + " of " + std::to_string(before) + " nodes, more than " +
           std::to_string(static_cast<int>(std::lround(100 * limits_.drop_share))) + "%";
  if (current_->map && !next.map) return "it drops the map of ranges";
  if (!current_->map || !next.map) return "";
  std::string why;
  next.map->visit({0, ranges::kKeyEnd}, [&](const ranges::Place& p) {
    // Every holder that served any of these keys is gone from them: nobody could have handed them over.
    bool shared = false;
    current_->map->visit(p.span, [&](const ranges::Place& old) {
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

void Keeper::take(GenerationPtr next, Millis now) {
  std::vector<Dropped> still;
  // One that is named again is no dropped one any more, also where it stands at another address now: then its
  // old connections end by themselves.
  for (Dropped& d : dropped_)
    if (!next->member(d.member.entry.server)) still.push_back(std::move(d));
  if (current_)
    for (const core::Member& m : current_->members)
      if (!next->member(m.entry.server)) still.push_back({m, now + limits_.drain_time});
  dropped_ = std::move(still);
  for (Dropped& d : dropped_) d.member.entry.state = winchhall::ServerState::draining;
  current_ = std::move(next);
  held_ = nullptr;
  refused_digest_ = 0;
  ++number_;
}

void Keeper::restore(GenerationPtr stored, Millis now) {
  if (!stored) return;
  take(std::move(stored), now);
}

bool Keeper::accept(std::uint64_t digest, Millis now) {
  if (!held_ || held_->digest != digest) return false;
  Found f{Verdict::taken, digest, {}, "accepted by an operator", false};
  take(std::exchange(held_, nullptr), now);
  remember(now, f);
  return true;
}

bool Keeper::rollback(GenerationPtr to, Millis now) {
  if (!to || (current_ && to->digest == current_->digest)) return false;
  std::uint64_t away_from = current_ ? current_->digest : 0;
  Found f{Verdict::taken, to->digest, {}, "rolled back by an operator", false};
  take(std::move(to), now);
  refused_digest_ = away_from;  // the files still say so; it is not taken again until they change
  remember(now, f);
  return true;
}

std::optional<ranges::RangeMap> Keeper::map() const {
  if (!current_ || !current_->map) return std::nullopt;
  return current_->map->at({1, number_}, current_->map->next_id());
}

std::vector<core::Member> Keeper::members(Millis now) {
  std::erase_if(dropped_, [&](const Dropped& d) { return d.gone_at <= now; });
  std::vector<core::Member> list;
  if (current_) list = current_->members;
  for (const Dropped& d : dropped_) list.push_back(d.member);
  return list;
}

Millis Keeper::next_gone() const {
  Millis at = std::numeric_limits<double>::infinity();
  for (const Dropped& d : dropped_) at = std::min(at, d.gone_at);
  return at;
}

void Keeper::remember(Millis now, const Found& f) {
  history_.push_back({now, f.verdict, f.digest, f.faults.empty() ? f.why : f.faults[0].text()});
  if (history_.size() > limits_.history) history_.pop_front();
}

}  // namespace winchhall::generations
