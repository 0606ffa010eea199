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
  TimerId id{when, next_++};
  timers_.emplace(id, std::move(run));
  return id;
}

void Loop::cancel(TimerId& timer) {
  timers_.erase(timer);
  timer = {};
}

void Loop::add(int fd, short events, std::function<void(short)> run) {
  watched_[fd] = {events, next_++, std::make_shared<std::function<void(short)>>(std::move(run))};
}

void Loop::set_events(int fd, short events) {
  if (auto it = watched_.find(fd); it != watched_.end()) it->second.events = events;
}

void Loop::remove(int fd) { watched_.erase(fd); }

void Loop::run_once(Millis longest) {
  Millis wait = deferred_.empty() ? longest : 0;
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
    // Guards against a descriptor closed and reused earlier in this turn: the event was the old one's.
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
  // Once through: what these put off in their turn waits for the next, or a client that has hundreds of
  // requests in its buffer would keep all others waiting.
  for (auto& run : std::exchange(deferred_, {})) run();
}

}  // namespace winchhall::event_loop
