#include "aggregator/event_loop/event_loop.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace winchhall::event_loop {
namespace {
template <class Clock>
Millis read() {
  return std::chrono::duration<double, std::milli>(Clock::now().time_since_epoch()).count();
}
}  // namespace

Loop::Loop() : offset_(read<std::chrono::system_clock>() - read<std::chrono::steady_clock>()) {}

Loop::~Loop() {
  auto timers = std::exchange(timers_, {});
  auto deferred = std::exchange(deferred_, {});
}

Millis Loop::now() const { return read<std::chrono::steady_clock>() + offset_; }

TimerId Loop::run_at(Millis when, std::function<void()> run) {
  TimerId id{when, next_serial_++};
  timers_.emplace(id, std::move(run));
  return id;
}

void Loop::cancel(TimerId& timer) {
  timers_.erase(timer);
  timer = {};
}

void Loop::add(int fd, short events, std::function<void(short)> run) {
  watched_[fd] = {events, next_serial_++, std::make_shared<std::function<void(short)>>(std::move(run))};
}

void Loop::set_events(int fd, short events) {
  if (auto it = watched_.find(fd); it != watched_.end()) it->second.events = events;
}

void Loop::remove(int fd) { watched_.erase(fd); }

void Loop::run_once(Millis max_wait) {
  Millis wait = deferred_.empty() ? max_wait : 0;
  if (!timers_.empty()) wait = std::min(wait, timers_.begin()->first.first - now());
  std::vector<pollfd> polled;
  std::vector<std::uint64_t> serials;
  polled.reserve(watched_.size());
  for (const auto& [fd, w] : watched_) {
    polled.push_back({fd, w.events, 0});
    serials.push_back(w.serial);
  }
  int ready =
      ::poll(polled.data(), polled.size(), static_cast<int>(std::ceil(std::clamp(wait, 0.0, 60000.0))));
  for (std::size_t i = 0; ready > 0 && i < polled.size(); ++i) {
    if (polled[i].revents == 0) continue;
    // A descriptor that was closed and reused earlier in this iteration has another serial: the event
    // belonged to its predecessor.
    auto it = watched_.find(polled[i].fd);
    if (it == watched_.end() || it->second.serial != serials[i]) continue;
    auto run = it->second.run;
    (*run)(polled[i].revents);
  }
  for (Millis until = now(); !timers_.empty() && timers_.begin()->first.first <= until;) {
    auto node = timers_.extract(timers_.begin());
    node.mapped()();
  }
  run_deferred();
}

void Loop::run_deferred() {
  // Callbacks deferred by these callbacks wait for the next iteration; otherwise a client with hundreds of
  // buffered requests would delay all others.
  for (auto& run : std::exchange(deferred_, {})) run();
}

}  // namespace winchhall::event_loop
