// A stand-in for a leaf, as the protocol page describes it.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "record.hpp"

namespace review {

// One run of a task on a leaf.
struct Run {
  std::string task;
  std::uint64_t run = 0;
  std::string leaf;
  Clock::time_point began;
  std::optional<Clock::time_point> ended;
  std::string how;  // done, failed, stopped, lapsed; died: the leaf ended
};

// A heartbeat that is still on its way.
struct LateBeat {
  std::string body;
  Clock::time_point sent;
};

struct LeafOptions {
  std::string id;
  std::string agent;  // address where it registers
  std::string service;
  std::string zone;
  std::vector<std::string> labels;  // its kind, its rack
  unsigned cpu = 16000;
  unsigned mem_mb = 32768;
};

// Sends a heartbeat each 1.5 s, 50 ms after an end, or when the answer asks for it; starts, holds and stops
// tasks as the answers say. A task whose spec is "ms=N" ends `done` after N milliseconds; one whose spec is
// "lasts" goes on. All public members are thread-safe.
class Leaf {
 public:
  Leaf(Record& record, LeafOptions options);
  ~Leaf();
  Leaf(const Leaf&) = delete;
  Leaf& operator=(const Leaf&) = delete;

  const std::string& id() const { return options_.id; }
  std::vector<Run> runs() const;
  bool is_running(const std::string& job) const;
  // Everything that it starts from now on ends `failed` soon after (true), or no more (false).
  void set_failing(bool failing) { failing_ = failing; }
  // The runs of this job that are there now end `failed`.
  void fail_runs_of(const std::string& job);
  // Sends Deregister without having said draining. Returns when it was acknowledged; none if it was not.
  std::optional<Clock::time_point> deregister();
  // From now on its heartbeats are held up on their way (true), so that it gets no answer to them, or no
  // more.
  void set_held_up(bool held_up) { held_up_ = held_up; }
  std::vector<LateBeat> beats_on_their_way() const;
  // True if it has been given a hold that has not lapsed.
  bool is_held() const;
  // The process ends now; all that runs on it dies.
  void end();
  // Until when the leaf was up; none: it still is.
  std::optional<Clock::time_point> ended_at() const;

 private:
  struct Running {
    std::uint64_t run = 0;
    Clock::time_point ends;
    std::string how;  // when it ends
    std::size_t index = 0;
  };
  struct End {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
  };

  void loop();
  std::string body();
  Millis apply(const std::string& answer, Clock::time_point sent_at);
  void end_due(Clock::time_point now);
  void end_task(const std::string& task, const std::string& how, Clock::time_point at);
  void start_task(const std::string& task, std::uint64_t run, const std::string& spec, Clock::time_point now);
  void stop_task(const std::string& task, std::uint64_t run, Clock::time_point now);

  Record& record_;
  const LeafOptions options_;
  std::atomic<bool> failing_{false};
  std::atomic<bool> stopping_{false};
  std::atomic<bool> held_up_{false};
  std::vector<LateBeat> late_;
  mutable std::mutex mutex_;
  std::map<std::string, Running> running_;
  std::map<std::string, std::uint64_t> highest_run_;
  std::vector<End> ends_;
  std::vector<Run> runs_;
  std::uint64_t sequence_ = 0;
  std::uint64_t last_end_ = 0;
  std::uint64_t fence_ = 0;
  Clock::time_point held_until_{};
  std::optional<Clock::time_point> ended_at_;
  bool beat_soon_ = false;
  std::thread thread_;
};

}  // namespace review
