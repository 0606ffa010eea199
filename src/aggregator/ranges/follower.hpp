// Follows a directory of ranges: takes its word or refuses it, and says when to ask it again. It holds the
// map; what carries the words is not known here, nor the time but as it is told.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "aggregator/ranges/change.hpp"

namespace winchhall::ranges {

using Millis = double;

struct Update {
  Revision revision{};            // of the map once all of this is applied
  bool complete = false;          // the whole map; else changes
  bool more = false;              // complete: further pages of it follow
  std::vector<Range> ranges{};    // complete
  std::vector<Change> changes{};  // else, one revision each, the last of them giving `revision`
};

enum class UpdateResult {
  applied,     // there is a new map
  page,        // a page of a whole map, others follow
  unchanged,   // nothing new: the directory repeats what is held, or only lives
  gap,         // changes are missing between: ask for what was missed
  stale,       // an older revision or incarnation than what is held
  impossible,  // contradicts itself, or the map that is held
};
const char* name_of(UpdateResult taken);

class Follower {
 public:
  // `max_ranges`: the most ranges that are held, so that a directory can't take all memory.
  explicit Follower(std::size_t max_ranges = 2'000'000) : max_ranges_(max_ranges) {}

  const RangeMap& map() const { return map_; }

  // Takes an update whole or not at all; where it isn't taken, fault() says why and map() stays as it was.
  UpdateResult apply_update(Update update, Millis now);
  const std::string& fault() const { return fault_; }

  // What became of the watch, and when to open one.
  void on_watch_opened(Millis now);
  void on_keepalive(Millis now) { last_keepalive_at_ = now; }
  void on_watch_lost(Millis now, double chance);  // chance in [0, 1): spreads the return of many
  void refresh(Millis now);  // a node is ahead of us: ask now, if that wasn't done just before
  // Where needs_reopen(), its owner ends the watch and says so here.
  void on_watch_closed(Millis now, double chance);
  bool watching() const { return watching_; }
  bool keepalive_timed_out(Millis now) const {
    return watching_ && now - last_keepalive_at_ > kKeepaliveTimeout;
  }
  // Ask again from then on, where no watch is open: for changes after the revision held, or for the whole
  // map.
  Millis next_request_at() const { return next_request_at_; }
  bool needs_full_map() const { return map_.empty() || needs_full_map_; }
  bool needs_reopen() const { return needs_reopen_; }  // the watch that is open tells less than there is
  Millis stale_since() const { return watching_ ? -1 : disconnected_since_; }

  static constexpr Millis kKeepaliveTimeout = 5000;  // ms: a line comes every 2 s, so two are missing
  static constexpr Millis kInitialBackoff = 50;      // ms: after a first break
  static constexpr Millis kMaxBackoff = 5000;        // ms: doubling ends there; a directory is back within it
  static constexpr Millis kMinRefreshInterval = 100;  // ms: a burst of nodes that are ahead is one question

 private:
  UpdateResult refuse(UpdateResult why, std::string text);
  UpdateResult complete(Update& update);

  std::size_t max_ranges_;
  RangeMap map_;
  std::string fault_;
  std::vector<Range> pages_;
  Revision pages_revision_{};
  bool watching_ = false, needs_reopen_ = false, update_rejected_ = false;
  // The directory told the same incarnation with an older revision, or what can't be: it may have lost
  // changes that we hold and now number others alike. Only a whole map that is newer is believed then.
  bool needs_full_map_ = false;
  Millis next_request_at_ = 0, backoff_ = 0, last_keepalive_at_ = 0, last_refresh_at_ = -1e18,
         disconnected_since_ = 0;
};

}  // namespace winchhall::ranges
