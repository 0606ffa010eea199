// Keeps a copy of the range map up to date from the directory's updates. Independent of the transport.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "aggregator/ranges/change.hpp"

namespace winchhall::ranges {

using Millis = double;

// One message of the directory: a page of the full map, or a sequence of changes.
struct Update {
  Revision revision{};            // of the map after the update
  bool complete = false;          // a full map, else changes
  bool more = false;              // full map: further pages follow
  std::vector<Range> ranges{};    // full map: the ranges of this page
  std::vector<Change> changes{};  // one revision each, the last of which is `revision`
};

// What became of an update. The last three mean that it was rejected.
enum class UpdateResult {
  applied,     // the map was replaced by a newer one
  page,        // a page of a full map was stored, further ones follow
  unchanged,   // the update repeats the revision that is held, as a keepalive may
  gap,         // changes are missing between the revision that is held and the update's
  stale,       // of an older revision or incarnation than the one that is held
  impossible,  // contradicts itself or the map that is held
};
// The result's name in logs.
const char* name_of(UpdateResult result);

// Holds the newest valid map, validates each update against it, and decides when the directory has to be
// asked again and for what. The owner opens and closes the watch (a request whose response is a stream of
// updates) and reports its events here. No I/O; the caller passes the time `now`, in milliseconds of a steady
// clock. Not thread-safe.
class Follower {
 public:
  // `max_ranges`: larger maps are rejected, so that a faulty directory can't exhaust the memory.
  explicit Follower(std::size_t max_ranges = 2'000'000) : max_ranges_(max_ranges) {}

  // The newest valid map; empty before the first one.
  const RangeMap& map() const { return map_; }

  // Applies an update atomically. If it is rejected, map() stays unchanged and fault() has the reason.
  UpdateResult apply_update(Update update, Millis now);
  const std::string& fault() const { return fault_; }

  // The owner has sent the request for a watch.
  void on_watch_opened(Millis now);
  // The directory sent anything, which may be an empty line.
  void on_keepalive(Millis now) { last_keepalive_at_ = now; }
  // The watch has failed or could not be opened. `jitter` in [0, 1) is random: it keeps many followers from
  // reconnecting at the same time.
  void on_watch_lost(Millis now, double jitter);
  // The owner has closed the watch because needs_reopen() was true.
  void on_watch_closed(Millis now, double jitter);
  // A node has a newer map than this one: the directory is asked at once, unless that was done within the
  // last kMinRefreshInterval.
  void refresh(Millis now);
  bool watching() const { return watching_; }
  bool keepalive_timed_out(Millis now) const {
    return watching_ && now - last_keepalive_at_ > kKeepaliveTimeout;
  }
  // While no watch is open: the time from which the next one is to be opened.
  Millis next_request_at() const { return next_request_at_; }
  // The next watch has to begin with the full map, else with the changes after the revision that is held.
  bool needs_full_map() const { return map_.empty() || needs_full_map_; }
  // The open watch has missed or rejected changes, or a newer map is known to exist: it has to be closed.
  bool needs_reopen() const { return needs_reopen_; }
  // Since when no watch is open; -1: one is open.
  Millis stale_since() const { return watching_ ? -1 : disconnected_since_; }

  // The directory sends a line every 2 s: two of them are missing.
  static constexpr Millis kKeepaliveTimeout = 5000;
  static constexpr Millis kInitialBackoff = 50;  // after the first failure; doubled after each further one
  static constexpr Millis kMaxBackoff = 5000;    // a directory that is back is found within this time
  // A burst of reports from nodes with a newer map causes one request.
  static constexpr Millis kMinRefreshInterval = 100;

 private:
  UpdateResult reject(UpdateResult why, std::string text);
  UpdateResult apply_full_map(Update& update);

  std::size_t max_ranges_;
  RangeMap map_;
  std::string fault_;
  std::vector<Range> pages_;  // of the full map that is being received
  Revision pages_revision_{};
  bool watching_ = false, needs_reopen_ = false, update_rejected_ = false;
  // Set when the directory sends a full map with an older revision of the same incarnation, or an impossible
  // update: it may have lost changes that this map has, and have reused their numbers for other ones. Until
  // it sends a newer full map, its changes are rejected.
  bool needs_full_map_ = false;
  Millis next_request_at_ = 0, backoff_ = 0, last_keepalive_at_ = 0, last_refresh_at_ = -1e18,
         disconnected_since_ = 0;
};

}  // namespace winchhall::ranges
