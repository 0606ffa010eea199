#include "aggregator/event_loop/worker.hpp"

#include <sys/eventfd.h>

#include <cerrno>
#include <cstdint>
#include <system_error>
#include <utility>

namespace winchhall::event_loop {

Worker::Worker(Loop& loop) : loop_(loop), completion_event_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (!completion_event_) throw std::system_error(errno, std::generic_category(), "eventfd");
  loop_.add(completion_event_.get(), POLLIN, [this](short) { run_completions(); });
  thread_ = std::thread([this] { run_jobs(); });
}

Worker::~Worker() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    pending_.clear();
  }
  job_available_.notify_one();
  thread_.join();
  loop_.remove(completion_event_.get());
}

void Worker::run(std::function<void()> job, std::function<void()> on_done) {
  {
    std::lock_guard lock(mutex_);
    pending_.push_back({std::move(job), std::move(on_done)});
  }
  job_available_.notify_one();
}

void Worker::run_jobs() {
  for (;;) {
    Task task;
    {
      std::unique_lock lock(mutex_);
      job_available_.wait(lock, [this] { return stopping_ || !pending_.empty(); });
      if (stopping_) return;
      task = std::move(pending_.front());
      pending_.pop_front();
    }
    task.job();
    {
      std::lock_guard lock(mutex_);
      completed_.push_back(std::move(task.on_done));
    }
    std::uint64_t one = 1;
    // Fails only if the counter is at its maximum, when the event loop is woken anyway.
    [[maybe_unused]] ssize_t n = ::write(completion_event_.get(), &one, sizeof one);
  }
}

void Worker::run_completions() {
  std::uint64_t count = 0;
  [[maybe_unused]] ssize_t n = ::read(completion_event_.get(), &count, sizeof count);
  std::deque<std::function<void()>> ready;
  {
    std::lock_guard lock(mutex_);
    ready.swap(completed_);
  }
  for (auto& on_done : ready) on_done();
}

}  // namespace winchhall::event_loop
