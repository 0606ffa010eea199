// A worker thread for jobs that would block the event loop, such as reading and validating large files.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

#include "aggregator/event_loop/event_loop.hpp"
#include "aggregator/event_loop/fd.hpp"

namespace winchhall::event_loop {

// Owns one thread, which runs jobs in the order of their submission; each job's completion callback runs on
// the event loop. Jobs must not access data that the event loop's thread uses.
class Worker {
 public:
  explicit Worker(Loop& loop);  // throws std::system_error if no eventfd or thread can be created
  ~Worker();                    // waits for the running job; pending jobs are dropped
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // Runs `job` on the thread, then `on_done` on the event loop.
  void run(std::function<void()> job, std::function<void()> on_done);

 private:
  struct Task {
    std::function<void()> job, on_done;
  };
  void run_jobs();         // body of the thread
  void run_completions();  // on the event loop

  Loop& loop_;
  UniqueFd completion_event_;
  std::mutex mutex_;
  std::condition_variable job_available_;
  std::deque<Task> pending_;
  std::deque<std::function<void()>> completed_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace winchhall::event_loop
