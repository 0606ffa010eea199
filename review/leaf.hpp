// A leaf as the pages describe it: sends heartbeats to the worker-agent of its machine and runs what the
// answers order.
#pragma once

#include <atomic>
#include <boost/json/value.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/record.hpp"
#include "testbed/cluster/http_call.hpp"

namespace winchhall::review {

struct LeafOptions {
  std::string agent;  // "ip:port" of the worker-agent
  std::string id;
  std::string service;
  unsigned cpu = 16000;  // in thousandths of a core
  unsigned mem_mb = 32768;
  std::chrono::milliseconds task_time{300};
  std::chrono::milliseconds stop_time{50};  // at most stop_ms
};

// One run that the leaf has started.
struct LeafRun {
  std::string task;
  std::uint64_t number = 0;
  Clock::time_point began;
  Clock::time_point ended;  // valid unless `running`
  bool running = true;
  bool done = false;           // ended as `done`
  bool taken_note_of = false;  // `last_seen` has reached the end, and the hold has not lapsed in between
};

// Keeps the rules of the pages: a held time counted from the sending of a heartbeat, which never gets shorter
// and after which everything ends as `lapsed`; the highest fencing token; 500 ends at a time, the oldest
// first, until `last_seen` reaches them; answers later than a second are dropped; a run that is not above one
// that ran there is `refused`. Runs on a thread of its own; public members are thread-safe.
class Leaf {
 public:
  explicit Leaf(LeafOptions options);
  ~Leaf();
  Leaf(const Leaf&) = delete;
  Leaf& operator=(const Leaf&) = delete;

  std::vector<LeafRun> runs() const;
  std::size_t running() const;
  // Sends no further heartbeats. What runs goes on until it ends or is held no longer.
  void fall_silent() { silent_ = true; }
  // Ends the leaf at once, and all that runs on it.
  void end();

 private:
  struct Running {
    Clock::time_point ends;
    bool stopping = false;
    std::uint64_t number = 0;
    std::size_t index = 0;  // in `runs_`
  };
  struct End {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
    std::size_t index = 0;  // in `runs_`; kNoRun: a refused start
    std::uint64_t lapses = 0;
  };

  void work();
  void end_due_runs(Clock::time_point now);
  void end_run(const std::string& task, const std::string& how, Clock::time_point at);
  testbed::cluster::HttpCall heartbeat(Clock::time_point now);
  std::chrono::milliseconds apply(const testbed::cluster::HttpCallResponse& response,
                                  Clock::time_point sent_at);
  void forget_ends(std::uint64_t last_seen);
  void apply_stops(const boost::json::value* stops, Clock::time_point now);
  void apply_starts(const boost::json::value* starts, Clock::time_point now);

  const LeafOptions options_;
  std::atomic<bool> ending_{false};
  std::atomic<bool> silent_{false};
  std::uint64_t sequence_ = 0;
  std::uint64_t fence_token_ = 0;
  std::uint64_t last_end_ = 0;
  std::uint64_t lapses_ = 0;
  Clock::time_point held_until_;
  std::map<std::string, std::uint64_t> highest_run_;  // by task
  std::deque<End> ends_;                              // that `last_seen` has not reached
  mutable std::mutex mutex_;                          // of the following
  std::map<std::string, Running> running_;            // by task
  std::vector<LeafRun> runs_;
  std::thread thread_;
};

}  // namespace winchhall::review
