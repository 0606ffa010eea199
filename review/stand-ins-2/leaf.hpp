// A stand-in for a leaf that follows PROTOCOL.md, "Running tasks" and "Service discovery", with commands by
// heartbeat.
#pragma once

#include <atomic>
#include <boost/json/value.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "record.hpp"

namespace review {

struct LeafOptions {
  std::string control;  // "ip:port" of the side machine's `control`
  std::string id;
  std::string service;
  std::vector<std::string> labels{"a", "r1-1"};
  unsigned cpu = 16000;
  unsigned mem_mb = 32768;
  unsigned gpu = 0;
};

// One run that the leaf has begun.
struct LeafRun {
  std::string leaf;
  std::string task;
  std::uint64_t run = 0;
  Clock::time_point began;
  Clock::time_point ended;  // meaningless while it runs
  bool running = true;
  std::string how;  // how it ended; "killed": with the leaf
};

// What a task does is said by its spec: "run MS" ends done after MS milliseconds, "fail MS" ends failed after
// MS milliseconds, "last" runs until it is stopped. Thread-safe.
class Leaf {
 public:
  Leaf(Record& record, LeafOptions options);
  // Ends the leaf at once.
  ~Leaf();
  Leaf(const Leaf&) = delete;
  Leaf& operator=(const Leaf&) = delete;

  // While grey, all tasks that it starts fail after 100 ms; it reports itself as before.
  void set_grey(bool grey);
  // The leaf leaves without saying `draining`: it sends Deregister, serves on for `serve` after the
  // acknowledgement, and ends. Returns the status of the answer.
  unsigned deregister_first(Millis serve);
  // All runs so far, in the order of their starts.
  std::vector<LeafRun> runs() const;
  bool up() const { return !ended_; }
  unsigned acknowledged_heartbeats() const { return acknowledged_; }
  const std::string& id() const { return options_.id; }

 private:
  struct Running {
    std::uint64_t run = 0;
    Clock::time_point began;
    Clock::time_point ends;
    std::string how;
    bool lasts = false;
    bool stopping = false;
    std::size_t position = 0;  // in `runs_`
  };
  struct Ended {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
  };

  void loop();
  void end_due(Clock::time_point now);
  void end(const std::string& task, const std::string& how, Clock::time_point at);
  std::string body();
  Clock::time_point beat();
  void obey(const boost::json::object& orders, Clock::time_point sent);
  void start(const std::string& task, std::uint64_t run, const std::string& spec, Clock::time_point now);
  void kill_all(Clock::time_point now);

  Record& record_;
  const LeafOptions options_;
  std::atomic<bool> stop_{false};
  std::atomic<bool> ended_{false};
  std::atomic<unsigned> acknowledged_{0};
  mutable std::mutex mutex_;  // for all below
  bool grey_ = false;
  Clock::time_point leave_at_ = Clock::time_point::max();
  std::uint64_t sequence_ = 0;
  std::uint64_t last_number_ = 0;
  std::uint64_t fence_ = 0;
  Clock::time_point held_until_;
  std::map<std::string, Running> running_;
  std::map<std::string, std::uint64_t> highest_;  // run of each task that was started, stopped or ended here
  std::vector<Ended> finished_;
  std::vector<LeafRun> runs_;
  std::thread thread_;
};

}  // namespace review
