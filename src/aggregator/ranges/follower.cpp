#include "aggregator/ranges/follower.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace winchhall::ranges {

const char* name_of(UpdateResult result) {
  constexpr const char* kNames[] = {"taken", "page", "nothing", "gap", "stale", "impossible"};
  return kNames[static_cast<int>(result)];
}

UpdateResult Follower::reject(UpdateResult why, std::string text) {
  fault_ = std::move(text);
  pages_.clear();
  // After a gap, a new watch brings the missing changes, or a full map where the directory does not have them
  // any more. After an impossible change, only a full map helps. Either way the open watch can't be used any
  // longer.
  if (why == UpdateResult::gap || why == UpdateResult::impossible) needs_reopen_ = update_rejected_ = true;
  if (why == UpdateResult::impossible) needs_full_map_ = true;
  return why;
}

UpdateResult Follower::apply_update(Update update, Millis now) {
  last_keepalive_at_ = now;
  fault_.clear();
  const Revision held = map_.revision(), received = update.revision;
  if (!map_.empty() && received < held) {
    bool older_incarnation = received.incarnation < held.incarnation;
    std::string what = older_incarnation ? "an older incarnation, " : "an older revision, ";
    needs_full_map_ = needs_full_map_ || (!older_incarnation && update.complete);
    return reject(UpdateResult::stale, what + text_of(received) + " where " + text_of(held) + " is held");
  }
  if (update.complete) return apply_full_map(update);
  if (map_.empty() || received.incarnation != held.incarnation)
    return reject(UpdateResult::gap, "changes of incarnation " + std::to_string(received.incarnation) +
                                         " without its whole map");
  std::uint64_t count = update.changes.size();
  if (received.number < count) return reject(UpdateResult::impossible, "more changes than revisions");
  std::uint64_t base = received.number - count;
  if (received == held) return UpdateResult::unchanged;
  if (needs_full_map_)
    return reject(UpdateResult::gap, "changes of a directory that went back, without its whole map");
  if (base > held.number)
    return reject(UpdateResult::gap,
                  "changes from " + std::to_string(base) + " on, where " + text_of(held) + " is held");
  RangeMap updated = map_;
  // Changes up to the revision that is held are skipped.
  for (std::size_t i = static_cast<std::size_t>(held.number - base); i < update.changes.size(); ++i) {
    std::string why;
    auto next = apply(updated, update.changes[i], why);
    if (!next)
      return reject(UpdateResult::impossible, std::string(name_of(update.changes[i])) + " at revision " +
                                                  std::to_string(base + i + 1) + ": " + why);
    updated = std::move(*next);
  }
  if (updated.size() > max_ranges_)
    return reject(UpdateResult::impossible, "more than " + std::to_string(max_ranges_) + " ranges");
  map_ = std::move(updated);
  backoff_ = 0;
  return UpdateResult::applied;
}

UpdateResult Follower::apply_full_map(Update& update) {
  if (update.revision == map_.revision() && !map_.empty() && pages_.empty() && !update.more)
    return UpdateResult::unchanged;
  // The directory has begun to send another map.
  if (!pages_.empty() && pages_revision_ != update.revision) pages_.clear();
  pages_revision_ = update.revision;
  if (pages_.size() + update.ranges.size() > max_ranges_)
    return reject(UpdateResult::impossible, "more than " + std::to_string(max_ranges_) + " ranges");
  if (pages_.empty())
    pages_ = std::move(update.ranges);
  else
    pages_.insert(pages_.end(), std::make_move_iterator(update.ranges.begin()),
                  std::make_move_iterator(update.ranges.end()));
  if (update.more) return UpdateResult::page;
  std::string why;
  auto updated = RangeMap::build(update.revision, std::exchange(pages_, {}), why);
  if (!updated) return reject(UpdateResult::impossible, why);
  backoff_ = 0;
  if (update.revision == map_.revision()) return UpdateResult::unchanged;
  map_ = std::move(*updated);
  needs_full_map_ = false;
  return UpdateResult::applied;
}

void Follower::on_watch_opened(Millis now) {
  watching_ = true;
  needs_reopen_ = update_rejected_ = false;
  last_keepalive_at_ = now;
  pages_.clear();
}

void Follower::on_watch_lost(Millis now, double jitter) {
  if (watching_ || disconnected_since_ == 0) disconnected_since_ = now;
  watching_ = needs_reopen_ = false;
  pages_.clear();
  backoff_ = backoff_ > 0 ? std::min(2 * backoff_, kMaxBackoff) : kInitialBackoff;
  next_request_at_ = now + backoff_ * (0.5 + 0.5 * jitter);
}

void Follower::on_watch_closed(Millis now, double jitter) {
  bool rejected = std::exchange(update_rejected_, false);
  if (rejected) return on_watch_lost(now, jitter);
  watching_ = needs_reopen_ = false;
  next_request_at_ = now;
}

void Follower::refresh(Millis now) {
  if (now - last_refresh_at_ < kMinRefreshInterval) return;
  last_refresh_at_ = now;
  if (watching_)
    needs_reopen_ = true;
  else
    next_request_at_ = std::min(next_request_at_, now);
}

}  // namespace winchhall::ranges
