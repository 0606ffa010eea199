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

#include "aggregator/coordination/exchange.hpp"
#include "aggregator/event_loop/stream.hpp"
#include "aggregator/ranges/follower.hpp"

namespace winchhall::platform {

class RangeDirectory final : public core::RangeSource {
 public:
  struct Limits {
    std::size_t ranges = 2'000'000;      // held at most
    net::Millis connect_timeout = 1000;  // ms
  };
  RangeDirectory(net::Loop& loop, core::Exchange& exchange, std::string address, Limits limits,
                 std::uint64_t seed);
  ~RangeDirectory();

  void start();
  void refresh() override;
  const ranges::Follower& follower() const { return follower_; }

  struct Figures {
    std::uint64_t asked = 0, taken = 0, refused = 0, broken = 0;
  };
  const Figures& figures() const { return figures_; }

 private:
  class Watch;
  void ask();
  void told(const std::string& line);
  void over(const std::string& why);
  void tick();
  double chance();

  net::Loop& loop_;
  core::Exchange& exchange_;
  std::string address_;
  Limits limits_;
  ranges::Follower follower_;
  std::uint64_t seed_;
  std::shared_ptr<Watch> watch_;
  net::TimerId tick_{};
  Figures figures_;
};

}  // namespace winchhall::platform
