#include "aggregator/event_loop/worker.hpp"

#include <sys/eventfd.h>

#include <cerrno>
#include <cstdint>
#include <system_error>
#include <utility>

namespace winchhall::net {

Worker::Worker(Loop& loop) : loop_(loop), bell_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (!bell_) throw std::system_error(errno, std::generic_category(), "eventfd");
  loop_.add(bell_.get(), POLLIN, [this](short) { deliver(); });
  thread_ = std::thread([this] { work(); });
}

Worker::~Worker() {
  {
    std::lock_guard lock(mutex_);
    ending_ = true;
    waiting_.clear();
  }
  wake_.notify_one();
  thread_.join();
  loop_.remove(bell_.get());
}

void Worker::run(std::function<void()> job, std::function<void()> after) {
  {
    std::lock_guard lock(mutex_);
    waiting_.push_back({std::move(job), std::move(after)});
  }
  wake_.notify_one();
}

void Worker::work() {
  for (;;) {
    Task task;
    {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return ending_ || !waiting_.empty(); });
      if (ending_) return;
      task = std::move(waiting_.front());
      waiting_.pop_front();
    }
    task.job();
    {
      std::lock_guard lock(mutex_);
      done_.push_back(std::move(task.after));
    }
    std::uint64_t one = 1;
    // It can only fail where the bell has been rung already and not been heard.
    [[maybe_unused]] ssize_t n = ::write(bell_.get(), &one, sizeof one);
  }
}

void Worker::deliver() {
  std::uint64_t rung = 0;
  [[maybe_unused]] ssize_t n = ::read(bell_.get(), &rung, sizeof rung);
  std::deque<std::function<void()>> ready;
  {
    std::lock_guard lock(mutex_);
    ready.swap(done_);
  }
  for (auto& after : ready) after();
}

}  // namespace winchhall::net
