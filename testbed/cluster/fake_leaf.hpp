// A fake leaf (task executor) for tests and the demonstration.
#pragma once

#include <atomic>
#include <boost/json/value.hpp>
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
  std::string agent;  // "ip:port" of the worker-agent
  std::string id;
  std::string service;
  std::string zone;
  unsigned cpu = 4000;
  unsigned mem_mb = 8192;
  std::chrono::milliseconds task_time{300};
};

// A task that was started.
struct FakeLeafTaskStart {
  std::string task;
  std::uint64_t run = 0;
  std::chrono::steady_clock::time_point began;
  std::chrono::steady_clock::time_point ended;  // equal to `began` while the task runs
  bool done = false;
};

// Sends heartbeats to a worker-agent and executes the orders in the responses. Obeys the protocol of a leaf:
// it ignores responses with an old fencing token, ends its tasks when its lease expires, and starts a task
// only with a higher run number than before. Records the tasks that it started. Runs on its own thread;
// public members are thread-safe.
class FakeLeaf {
 public:
  explicit FakeLeaf(FakeLeafOptions options);
  ~FakeLeaf();

  // All tasks started so far, in order.
  std::vector<FakeLeafTaskStart> starts() const;
  // Stops the leaf immediately, without leaving the cluster. Its tasks are not reported as ended.
  void crash();

 private:
  using Clock = std::chrono::steady_clock;

  struct RunningTask {
    std::uint64_t run = 0;
    Clock::time_point ends;
    std::size_t start_index = 0;
  };
  struct EndedTask {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string outcome;  // as in a heartbeat: done, stopped or lapsed
  };

  void run();
  void end_due_tasks(Clock::time_point now);
  void end_task(const std::string& task, const std::string& outcome, Clock::time_point now);
  std::string heartbeat_body();
  // Returns the time until the next heartbeat.
  std::chrono::milliseconds apply_heartbeat_response(const HttpCallResponse& answer,
                                                     Clock::time_point sent_at);
  void apply_stops(const boost::json::value* stops, Clock::time_point now);
  void apply_starts(const boost::json::value* starts, Clock::time_point now);
  void start(const std::string& task, std::uint64_t run, Clock::time_point now);

  FakeLeafOptions options_;
  std::atomic<bool> stopping_{false};
  std::uint64_t sequence_ = 0;
  std::uint64_t last_end_number_ = 0;
  std::uint64_t fence_token_ = 0;
  Clock::time_point lease_expires_at_;
  std::map<std::string, RunningTask> running_;
  std::map<std::string, std::uint64_t> highest_run_;  // by task
  std::vector<EndedTask> ended_;                      // not yet acknowledged by the worker-agent
  mutable std::mutex starts_mutex_;
  std::vector<FakeLeafTaskStart> starts_;
  std::thread thread_;
};

}  // namespace winchhall::testbed::cluster
