// The directory of ranges over HTTP/1.1: one watch at a time, whose lines go to a Follower
// (src/aggregator/ranges/), which decides what is taken and when to ask again.
//
//   GET /v1/ranges?watch=1&incarnation=3&after=41   changes after that revision, or the whole map in pages
//                                                   where the directory can't give them; then changes as they
//                                                   come, one JSON object a line, an empty line every 2 s
//   GET /v1/ranges?watch=1                          the whole map first
#pragma once

#include <memory>
#include <string>

#include "aggregator/coordination/request_router.hpp"
#include "aggregator/event_loop/stream.hpp"
#include "aggregator/ranges/follower.hpp"

namespace winchhall::http {

class RangeDirectory final : public coordination::RangeSource {
 public:
  struct Limits {
    std::size_t ranges = 2'000'000;             // held at most
    event_loop::Millis connect_timeout = 1000;  // ms
  };
  RangeDirectory(event_loop::Loop& loop, coordination::RequestRouter& router, std::string address,
                 Limits limits, std::uint64_t seed);
  ~RangeDirectory();

  void start();
  void refresh() override;
  const ranges::Follower& follower() const { return follower_; }

  struct Statistics {
    std::uint64_t requests = 0, updates = 0, rejected = 0, failures = 0;
  };
  const Statistics& statistics() const { return statistics_; }

 private:
  class Watch;
  void ask();
  void told(const std::string& line);
  void over(const std::string& why);
  void tick();
  double chance();

  event_loop::Loop& loop_;
  coordination::RequestRouter& router_;
  std::string address_;
  Limits limits_;
  ranges::Follower follower_;
  std::uint64_t seed_;
  std::shared_ptr<Watch> watch_;
  event_loop::TimerId tick_{};
  Statistics statistics_;
};

}  // namespace winchhall::http
