// A fake leaf (task executor) for tests and the demonstration.
#pragma once

#include <atomic>
#include <boost/json/value.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "testbed/cluster/http_call.hpp"
#include "testbed/cluster/late_heartbeats.hpp"

namespace winchhall::testbed::cluster {

// Identity, capacity and behaviour of a fake leaf. Times are drawn uniformly from their range.
struct FakeLeafOptions {
  std::string agent;  // "ip:port" of the worker-agent
  std::string id;
  std::string service;
  std::string zone;
  unsigned cpu = 4000;  // in thousandths of a core
  unsigned mem_mb = 8192;
  std::chrono::milliseconds task_time{300};
  std::chrono::milliseconds max_task_time{0};  // above task_time: each task takes a random time up to this
  std::chrono::milliseconds max_stop_time{0};  // a stop takes a random time up to this
  std::uint64_t seed = 1;                      // of the random times
  LateHeartbeats* late_heartbeats = nullptr;   // delivers some heartbeats late; must outlive the leaf
  double late_share = 0;                       // fraction of the heartbeats that are late
  std::string group{};                         // label beside those of all leaves; empty: none
};

// One run of a task that the leaf started.
struct FakeLeafTaskStart {
  std::string task;
  std::uint64_t run = 0;
  std::chrono::steady_clock::time_point began;
  std::chrono::steady_clock::time_point ended;  // equal to `began` while the task runs
  bool done = false;                            // ended as done, not as stopped or lapsed
  bool running = true;
  bool done_recorded = false;  // the leader recorded the end, and the lease had not expired in between
};

// Sends heartbeats to a worker-agent and executes the orders in the responses. Follows the protocol of a
// leaf: it ignores responses with an old fencing token, ends its tasks when its lease expires, and starts a
// task only with a higher run number than before. Records the tasks that it started. Runs on its own thread;
// public members are thread-safe, but `crash` is called by one thread only.
class FakeLeaf {
 public:
  // Starts the thread and with it the heartbeats.
  explicit FakeLeaf(FakeLeafOptions options);
  ~FakeLeaf();

  // All tasks started so far, in order.
  std::vector<FakeLeafTaskStart> starts() const;
  // For this time, all tasks that start here fail at once.
  void fail_all_for(std::chrono::milliseconds duration) {
    fails_until_ = (Clock::now() + duration).time_since_epoch().count();
  }
  // Stops the leaf immediately, without leaving the cluster. Its tasks end now, and their ends are not
  // reported.
  void crash();

 private:
  using Clock = std::chrono::steady_clock;

  struct RunningTask {
    std::uint64_t run = 0;
    Clock::time_point began;
    Clock::time_point ends;
    bool stopping = false;  // ends as stopped, not as done
    bool failing = false;   // ends as failed, unless it is stopped
    std::size_t start_index = 0;
  };
  struct EndedTask {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string outcome;  // as in a heartbeat: done, failed, stopped or lapsed
    std::size_t start_index = 0;
    std::uint64_t lease_expiries = 0;  // value of `lease_expiries_` at this end
  };

  void run();
  HttpCall make_heartbeat_call();
  // Whether the next heartbeat is late.
  bool draw_late();
  void end_due_tasks(Clock::time_point now);
  // How a task whose time has passed ends.
  static std::string outcome_of(const RunningTask& running);
  void end_task(const std::string& task, const std::string& outcome, Clock::time_point now);
  std::string heartbeat_body();
  // Drops the ends up to number `last_seen`, which the leader has recorded.
  void acknowledge_ends(std::uint64_t last_seen);
  std::chrono::milliseconds random_time(std::chrono::milliseconds min_time,
                                        std::chrono::milliseconds max_time);
  // Executes the orders of a response. Returns the time until the next heartbeat.
  std::chrono::milliseconds apply_heartbeat_response(const HttpCallResponse& response,
                                                     Clock::time_point sent_at);
  void apply_stops(const boost::json::value* stops, Clock::time_point now);
  void apply_starts(const boost::json::value* starts, Clock::time_point now);
  void start(const std::string& task, std::uint64_t run, const std::string& spec, Clock::time_point now);
  // When a task that starts now ends by itself.
  Clock::time_point draw_end(const std::string& spec, bool failing, Clock::time_point now);

  FakeLeafOptions options_;
  std::atomic<bool> stopping_{false};
  std::atomic<Clock::rep> fails_until_{0};  // since the clock's epoch
  std::uint64_t sequence_ = 0;
  std::uint64_t last_end_number_ = 0;
  std::uint64_t fence_token_ = 0;
  Clock::time_point lease_expires_at_;
  std::uint64_t lease_expiries_ = 0;  // number of expiries of the lease while tasks were running
  std::mt19937_64 random_;
  std::map<std::string, RunningTask> running_;
  std::map<std::string, std::uint64_t> highest_run_;  // by task
  std::vector<EndedTask> ended_;                      // not yet acknowledged by the worker-agent
  mutable std::mutex starts_mutex_;
  std::vector<FakeLeafTaskStart> starts_;
  std::thread thread_;
};

}  // namespace winchhall::testbed::cluster
