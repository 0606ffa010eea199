// Heartbeats of fake leaves that arrive long after they were sent.
#pragma once

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

#include "testbed/cluster/http_call.hpp"

namespace winchhall::testbed::cluster {

// Delivers heartbeats late, each on a connection of its own, also if their leaf has ended meanwhile or the
// worker-agent has been replaced by another process. The responses are dropped, as the leaf has given up on
// these calls. Runs a thread of its own; `deliver_later` is thread-safe.
class LateHeartbeats {
 public:
  LateHeartbeats();
  // Drops the heartbeats that are not delivered yet.
  ~LateHeartbeats();
  LateHeartbeats(const LateHeartbeats&) = delete;
  LateHeartbeats& operator=(const LateHeartbeats&) = delete;

  // Delivers the call after this time.
  void deliver_later(HttpCall call, std::chrono::milliseconds delay);
  // Number of calls delivered so far.
  unsigned delivered() const;

 private:
  using Clock = std::chrono::steady_clock;

  void run();

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::multimap<Clock::time_point, HttpCall> pending_;  // by the time of delivery
  unsigned delivered_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace winchhall::testbed::cluster
