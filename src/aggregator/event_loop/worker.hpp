// One thread beside the loop, for work that would hold it up: reading and checking large files. Jobs run in
// order; what follows a job runs on the loop. Jobs must touch nothing that the loop touches.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

#include "aggregator/event_loop/fd.hpp"
#include "aggregator/event_loop/loop.hpp"

namespace winchhall::net {

class Worker {
 public:
  explicit Worker(Loop& loop);  // throws std::system_error
  ~Worker();                    // waits for the job in hand; what has not begun is dropped
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // `job` on the thread, then `after` on the loop.
  void run(std::function<void()> job, std::function<void()> after);

 private:
  struct Task {
    std::function<void()> job, after;
  };
  void work();
  void deliver();

  Loop& loop_;
  UniqueFd bell_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Task> waiting_;
  std::deque<std::function<void()>> done_;
  bool ending_ = false;
  std::thread thread_;
};

}  // namespace winchhall::net
