#include "aggregator/ranges/follower.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace winchhall::ranges {

const char* name_of(Taken taken) {
  constexpr const char* kNames[] = {"taken", "page", "nothing", "gap", "stale", "impossible"};
  return kNames[static_cast<int>(taken)];
}

Taken Follower::refuse(Taken why, std::string text) {
  fault_ = std::move(text);
  pages_.clear();
  // A gap can be mended by asking for what is missing; an impossible change only by the whole map, which the
  // directory gives to whom it can't give changes. Either way the watch that told it is of no more use.
  if (why == Taken::gap || why == Taken::impossible) reopen_ = refused_ = true;
  if (why == Taken::impossible) need_whole_ = true;
  return why;
}

Taken Follower::take(Update update, Millis now) {
  heard_at_ = now;
  fault_.clear();
  const Revision held = map_.revision(), told = update.revision;
  if (!map_.empty() && told < held) {
    bool older_begin = told.incarnation < held.incarnation;
    std::string what = older_begin ? "an older incarnation, " : "an older revision, ";
    need_whole_ = need_whole_ || (!older_begin && update.complete);
    return refuse(Taken::stale, what + text_of(told) + " where " + text_of(held) + " is held");
  }
  if (update.complete) return whole(update);
  if (map_.empty() || told.incarnation != held.incarnation)
    return refuse(Taken::gap,
                  "changes of incarnation " + std::to_string(told.incarnation) + " without its whole map");
  std::uint64_t count = update.changes.size();
  if (told.number < count) return refuse(Taken::impossible, "more changes than revisions");
  std::uint64_t base = told.number - count;
  if (told == held) return Taken::nothing;
  if (need_whole_) return refuse(Taken::gap, "changes of a directory that went back, without its whole map");
  if (base > held.number)
    return refuse(Taken::gap,
                  "changes from " + std::to_string(base) + " on, where " + text_of(held) + " is held");
  RangeMap made = map_;
  // What is repeated of changes that are held already is passed over.
  for (std::size_t i = static_cast<std::size_t>(held.number - base); i < update.changes.size(); ++i) {
    std::string why;
    auto next = apply(made, update.changes[i], why);
    if (!next)
      return refuse(Taken::impossible, std::string(name_of(update.changes[i])) + " at revision " +
                                           std::to_string(base + i + 1) + ": " + why);
    made = std::move(*next);
  }
  if (made.size() > most_) return refuse(Taken::impossible, "more than " + std::to_string(most_) + " ranges");
  map_ = std::move(made);
  wait_ = 0;
  return Taken::taken;
}

Taken Follower::whole(Update& update) {
  if (update.revision == map_.revision() && !map_.empty() && pages_.empty() && !update.more)
    return Taken::nothing;
  if (!pages_.empty() && pages_of_ != update.revision) pages_.clear();  // another one has begun
  pages_of_ = update.revision;
  if (pages_.size() + update.ranges.size() > most_)
    return refuse(Taken::impossible, "more than " + std::to_string(most_) + " ranges");
  if (pages_.empty())
    pages_ = std::move(update.ranges);
  else
    pages_.insert(pages_.end(), std::make_move_iterator(update.ranges.begin()),
                  std::make_move_iterator(update.ranges.end()));
  if (update.more) return Taken::page;
  std::string why;
  auto made = RangeMap::build(update.revision, std::exchange(pages_, {}), why);
  if (!made) return refuse(Taken::impossible, why);
  wait_ = 0;
  if (update.revision == map_.revision()) return Taken::nothing;
  map_ = std::move(*made);
  need_whole_ = false;
  return Taken::taken;
}

void Follower::opened(Millis now) {
  watching_ = true;
  reopen_ = refused_ = false;
  heard_at_ = now;
  pages_.clear();
}

void Follower::broke(Millis now, double chance) {
  if (watching_ || broken_at_ == 0) broken_at_ = now;
  watching_ = reopen_ = false;
  pages_.clear();
  wait_ = wait_ > 0 ? std::min(2 * wait_, kLongestWait) : kFirstWait;
  ask_at_ = now + wait_ * (0.5 + 0.5 * chance);
}

void Follower::reopening(Millis now, double chance) {
  bool refused = std::exchange(refused_, false);
  if (refused) return broke(now, chance);
  watching_ = reopen_ = false;
  ask_at_ = now;
}

void Follower::refresh(Millis now) {
  if (now - refreshed_at_ < kRefreshEvery) return;
  refreshed_at_ = now;
  if (watching_)
    reopen_ = true;
  else
    ask_at_ = std::min(ask_at_, now);
}

}  // namespace winchhall::ranges
