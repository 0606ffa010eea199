// A stand-in for a leaf: sends heartbeats, carries out the orders in their answers and keeps the rules of a
// leaf (fencing tokens, holds, runs that rise). It remembers what it started, so that a test can judge it.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "testbed/cluster/http_call.hpp"

namespace winchhall::testbed::cluster {

struct FakeLeafOptions {
  std::string agent;  // "ip:port" of the worker-agent beside it
  std::string id;
  std::string service;
  std::string zone;
  unsigned cpu = 4000;
  unsigned mem_mb = 8192;
  std::chrono::milliseconds task_time{300};
};

// A task that was started here, for judging afterwards.
struct FakeLeafTaskStart {
  std::string task;
  std::uint64_t run = 0;
  std::chrono::steady_clock::time_point began;
  std::chrono::steady_clock::time_point ended;  // equal to `began` while it runs
  bool done = false;
};

class FakeLeaf {
 public:
  explicit FakeLeaf(FakeLeafOptions options);
  ~FakeLeaf();

  // Everything started so far.
  std::vector<FakeLeafTaskStart> starts() const;
  // Ends the leaf at once, as a crash would.
  void crash();

 private:
  using Clock = std::chrono::steady_clock;

  struct Running {
    std::uint64_t run = 0;
    Clock::time_point ends;
    std::size_t start_index = 0;
  };
  struct Ended {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
  };

  void live();
  void end_due_tasks(Clock::time_point now);
  void end_task(const std::string& task, const std::string& how, Clock::time_point now);
  std::string heartbeat_body();
  std::chrono::milliseconds apply_heartbeat_response(const HttpCallResponse& answer, Clock::time_point sent);
  void start(const std::string& task, std::uint64_t run, Clock::time_point now);

  FakeLeafOptions options_;
  std::atomic<bool> stopping_{false};
  std::uint64_t sequence_ = 0;
  std::uint64_t last_number_ = 0;
  std::uint64_t fence_token_ = 0;
  Clock::time_point lease_expires_at_;
  std::map<std::string, Running> running_;
  std::map<std::string, std::uint64_t> highest_run_;
  std::vector<Ended> ended_;
  mutable std::mutex starts_mutex_;
  std::vector<FakeLeafTaskStart> starts_;
  std::thread thread_;
};

}  // namespace winchhall::testbed::cluster
