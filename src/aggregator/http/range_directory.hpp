// Client of the range directory (HTTP/1.1). One watch at a time; its lines go to a ranges::Follower, which
// decides what is applied and when to request again.
//
//   GET /v1/ranges?watch=1&incarnation=3&after=41   the changes after that revision, or the whole map in
//                                                   pages if the directory no longer has them; then further
//                                                   changes as they happen: one JSON object per line, and an
//                                                   empty line every 2 s as keepalive
//   GET /v1/ranges?watch=1                          likewise, beginning with the whole map
#pragma once

#include <memory>
#include <string>

#include "aggregator/coordination/request_router.hpp"
#include "aggregator/event_loop/stream.hpp"
#include "aggregator/ranges/follower.hpp"

namespace winchhall::http {

// Keeps the range map up to date and passes each new map to the router. Owns the map and the connection. Runs
// on the event loop; `loop` and `router` must outlive it.
class RangeDirectory final : public coordination::RangeSource {
 public:
  struct Limits {
    std::size_t ranges = 2'000'000;             // maximum size of the map
    event_loop::Millis connect_timeout = 1000;  // ms
  };
  // `address`: host:port. `seed`: of the random spread of requests.
  RangeDirectory(event_loop::Loop& loop, coordination::RequestRouter& router, std::string address,
                 Limits limits, std::uint64_t seed);
  ~RangeDirectory();

  void start();
  // A server knows a newer revision: requests it at once, at most every Follower::kRefreshEvery ms.
  void refresh() override;
  const ranges::Follower& follower() const { return follower_; }

  struct Statistics {
    std::uint64_t requests = 0;  // watches opened
    std::uint64_t updates = 0;   // maps applied
    std::uint64_t rejected = 0;  // malformed or inconsistent lines
    std::uint64_t failures = 0;  // watches that failed or ended
  };
  const Statistics& statistics() const { return statistics_; }

 private:
  class Watch;
  void open_watch();
  void on_line(const std::string& line);
  void on_watch_ended(const std::string& why);
  void run_due();         // opens, reopens or ends the watch as due, and sets the timer
  double random_share();  // in [0, 1)

  event_loop::Loop& loop_;
  coordination::RequestRouter& router_;
  std::string address_;
  Limits limits_;
  ranges::Follower follower_;
  std::uint64_t seed_;
  std::shared_ptr<Watch> watch_;
  event_loop::TimerId timer_{};
  Statistics statistics_;
};

}  // namespace winchhall::http
