#include "aggregator/ranges/follower.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace winchhall::ranges {

const char* name_of(UpdateResult taken) {
  constexpr const char* kNames[] = {"taken", "page", "nothing", "gap", "stale", "impossible"};
  return kNames[static_cast<int>(taken)];
}

UpdateResult Follower::refuse(UpdateResult why, std::string text) {
  fault_ = std::move(text);
  pages_.clear();
  // A gap can be mended by asking for what is missing; an impossible change only by the whole map, which the
  // directory gives to whom it can't give changes. Either way the watch that told it is of no more use.
  if (why == UpdateResult::gap || why == UpdateResult::impossible) needs_reopen_ = update_rejected_ = true;
  if (why == UpdateResult::impossible) needs_full_map_ = true;
  return why;
}

UpdateResult Follower::apply_update(Update update, Millis now) {
  last_keepalive_at_ = now;
  fault_.clear();
  const Revision held = map_.revision(), told = update.revision;
  if (!map_.empty() && told < held) {
    bool older_begin = told.incarnation < held.incarnation;
    std::string what = older_begin ? "an older incarnation, " : "an older revision, ";
    needs_full_map_ = needs_full_map_ || (!older_begin && update.complete);
    return refuse(UpdateResult::stale, what + text_of(told) + " where " + text_of(held) + " is held");
  }
  if (update.complete) return complete(update);
  if (map_.empty() || told.incarnation != held.incarnation)
    return refuse(UpdateResult::gap,
                  "changes of incarnation " + std::to_string(told.incarnation) + " without its whole map");
  std::uint64_t count = update.changes.size();
  if (told.number < count) return refuse(UpdateResult::impossible, "more changes than revisions");
  std::uint64_t base = told.number - count;
  if (told == held) return UpdateResult::unchanged;
  if (needs_full_map_)
    return refuse(UpdateResult::gap, "changes of a directory that went back, without its whole map");
  if (base > held.number)
    return refuse(UpdateResult::gap,
                  "changes from " + std::to_string(base) + " on, where " + text_of(held) + " is held");
  RangeMap made = map_;
  // What is repeated of changes that are held already is passed over.
  for (std::size_t i = static_cast<std::size_t>(held.number - base); i < update.changes.size(); ++i) {
    std::string why;
    auto next = apply(made, update.changes[i], why);
    if (!next)
      return refuse(UpdateResult::impossible, std::string(name_of(update.changes[i])) + " at revision " +
                                                  std::to_string(base + i + 1) + ": " + why);
    made = std::move(*next);
  }
  if (made.size() > max_ranges_)
    return refuse(UpdateResult::impossible, "more than " + std::to_string(max_ranges_) + " ranges");
  map_ = std::move(made);
  backoff_ = 0;
  return UpdateResult::applied;
}

UpdateResult Follower::complete(Update& update) {
  if (update.revision == map_.revision() && !map_.empty() && pages_.empty() && !update.more)
    return UpdateResult::unchanged;
  if (!pages_.empty() && pages_revision_ != update.revision) pages_.clear();  // another one has begun
  pages_revision_ = update.revision;
  if (pages_.size() + update.ranges.size() > max_ranges_)
    return refuse(UpdateResult::impossible, "more than " + std::to_string(max_ranges_) + " ranges");
  if (pages_.empty())
    pages_ = std::move(update.ranges);
  else
    pages_.insert(pages_.end(), std::make_move_iterator(update.ranges.begin()),
                  std::make_move_iterator(update.ranges.end()));
  if (update.more) return UpdateResult::page;
  std::string why;
  auto made = RangeMap::build(update.revision, std::exchange(pages_, {}), why);
  if (!made) return refuse(UpdateResult::impossible, why);
  backoff_ = 0;
  if (update.revision == map_.revision()) return UpdateResult::unchanged;
  map_ = std::move(*made);
  needs_full_map_ = false;
  return UpdateResult::applied;
}

void Follower::on_watch_opened(Millis now) {
  watching_ = true;
  needs_reopen_ = update_rejected_ = false;
  last_keepalive_at_ = now;
  pages_.clear();
}

void Follower::on_watch_lost(Millis now, double chance) {
  if (watching_ || disconnected_since_ == 0) disconnected_since_ = now;
  watching_ = needs_reopen_ = false;
  pages_.clear();
  backoff_ = backoff_ > 0 ? std::min(2 * backoff_, kMaxBackoff) : kInitialBackoff;
  next_request_at_ = now + backoff_ * (0.5 + 0.5 * chance);
}

void Follower::on_watch_closed(Millis now, double chance) {
  bool refused = std::exchange(update_rejected_, false);
  if (refused) return on_watch_lost(now, chance);
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
