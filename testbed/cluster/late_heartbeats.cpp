#include "testbed/cluster/late_heartbeats.hpp"

#include <utility>

namespace winchhall::testbed::cluster {

namespace {

// The response to a late call isn't needed: its connection is closed soon.
constexpr std::chrono::milliseconds kDeliveryTimeout{50};

}  // namespace

LateHeartbeats::LateHeartbeats() : thread_([this] { run(); }) {}

LateHeartbeats::~LateHeartbeats() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void LateHeartbeats::deliver_later(HttpCall call, std::chrono::milliseconds delay) {
  call.timeout = kDeliveryTimeout;
  {
    const std::lock_guard lock(mutex_);
    pending_.emplace(Clock::now() + delay, std::move(call));
  }
  changed_.notify_all();
}

unsigned LateHeartbeats::delivered() const {
  const std::lock_guard lock(mutex_);
  return delivered_;
}

void LateHeartbeats::run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    if (pending_.empty()) {
      changed_.wait(lock);
      continue;
    }
    const auto next = pending_.begin();
    if (Clock::now() < next->first) {
      changed_.wait_until(lock, next->first);
      continue;
    }
    const HttpCall call = std::move(next->second);
    pending_.erase(next);
    ++delivered_;
    lock.unlock();
    send_http_call(call);
    lock.lock();
  }
}

}  // namespace winchhall::testbed::cluster
