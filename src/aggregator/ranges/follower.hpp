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

enum class Taken {
  taken,       // there is a new map
  page,        // a page of a whole map, others follow
  nothing,     // nothing new: the directory repeats what is held, or only lives
  gap,         // changes are missing between: ask for what was missed
  stale,       // an older revision or incarnation than what is held
  impossible,  // contradicts itself, or the map that is held
};
const char* name_of(Taken taken);

class Follower {
 public:
  // `most`: ranges that are held at most, so that a directory can't take all memory.
  explicit Follower(std::size_t most = 2'000'000) : most_(most) {}

  const RangeMap& map() const { return map_; }

  // Takes an update whole or not at all; where it isn't taken, fault() says why and map() stays as it was.
  Taken take(Update update, Millis now);
  const std::string& fault() const { return fault_; }

  // What became of the watch, and when to open one.
  void opened(Millis now);
  void heard(Millis now) { heard_at_ = now; }
  void broke(Millis now, double chance);  // chance in [0, 1): spreads the return of many
  void refresh(Millis now);               // a node is ahead of us: ask now, if that wasn't done just before
  // Where wants_reopen(), its owner ends the watch and says so here.
  void reopening(Millis now, double chance);
  bool watching() const { return watching_; }
  bool silent(Millis now) const { return watching_ && now - heard_at_ > kSilence; }
  // Ask again from then on, where no watch is open: for changes after the revision held, or for the whole
  // map.
  Millis ask_at() const { return ask_at_; }
  bool wants_whole() const { return map_.empty() || need_whole_; }
  bool wants_reopen() const { return reopen_; }  // the watch that is open tells less than there is
  Millis stale_since() const { return watching_ ? -1 : broken_at_; }

  static constexpr Millis kSilence = 5000;      // ms: a line comes every 2 s, so two are missing
  static constexpr Millis kFirstWait = 50;      // ms: after a first break
  static constexpr Millis kLongestWait = 5000;  // ms: doubling ends there; a directory is back within it
  static constexpr Millis kRefreshEvery = 100;  // ms: a burst of nodes that are ahead is one question

 private:
  Taken refuse(Taken why, std::string text);
  Taken whole(Update& update);

  std::size_t most_;
  RangeMap map_;
  std::string fault_;
  std::vector<Range> pages_;
  Revision pages_of_{};
  bool watching_ = false, reopen_ = false, refused_ = false;
  // The directory told the same incarnation with an older revision, or what can't be: it may have lost
  // changes that we hold and now number others alike. Only a whole map that is newer is believed then.
  bool need_whole_ = false;
  Millis ask_at_ = 0, wait_ = 0, heard_at_ = 0, refreshed_at_ = -1e18, broken_at_ = 0;
};

}  // namespace winchhall::ranges
