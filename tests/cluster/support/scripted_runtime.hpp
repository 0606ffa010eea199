// Runtime for unit tests with a manual clock, whose calls the test answers.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster::testing {

// A runtime whose clock moves only with `advance`. Calls wait until the test answers them or they time out.
class ScriptedRuntime : public Runtime {
 public:
  struct Call {
    Address peer;
    wire::Envelope request;
    std::function<void(CallResult)> done;
  };

  TimePoint now() const override { return now_; }
  std::int64_t wall_clock_ms() const override { return 0; }
  std::uint64_t random() override { return ++random_; }

  std::unique_ptr<Timer> after(Millis delay, std::function<void()> action) override {
    const auto cancelled = std::make_shared<bool>(false);
    add_timer(delay, cancelled, std::move(action));
    return std::make_unique<ScriptedTimer>(cancelled);
  }

  void call(const Address& peer, wire::Envelope request, Millis timeout,
            std::function<void(CallResult)> done) override {
    const auto open = std::make_shared<std::function<void(CallResult)>>(std::move(done));
    const auto finish = [open](CallResult result) {
      if (*open) std::exchange(*open, nullptr)(std::move(result));
    };
    add_timer(timeout, std::make_shared<bool>(false), [finish] {
      finish(CallResult{std::nullopt, CallError::timed_out});
    });
    calls.push_back(Call{peer, std::move(request), finish});
  }

  // Moves the clock and fires the timers that are due.
  void advance(Millis duration) {
    const TimePoint end = now_ + duration;
    while (!timers_.empty() && timers_.begin()->first.first <= end) {
      const auto first = timers_.begin();
      now_ = std::max(now_, first->first.first);
      Entry entry = std::move(first->second);
      timers_.erase(first);
      if (!*entry.cancelled) entry.action();
    }
    now_ = end;
  }

  // Moves the clock without firing timers, as if the process were suspended: they fire late.
  void suspend(Millis duration) { now_ += duration; }

  std::deque<Call> calls;

 private:
  struct Entry {
    std::shared_ptr<bool> cancelled;
    std::function<void()> action;
  };
  struct ScriptedTimer : Timer {
    explicit ScriptedTimer(std::shared_ptr<bool> flag) : cancelled(std::move(flag)) {}
    ~ScriptedTimer() override { *cancelled = true; }
    std::shared_ptr<bool> cancelled;
  };

  void add_timer(Millis delay, std::shared_ptr<bool> cancelled, std::function<void()> action) {
    timers_.emplace(std::make_pair(now_ + delay, ++timer_number_),
                    Entry{std::move(cancelled), std::move(action)});
  }

  TimePoint now_{std::chrono::seconds(1000)};
  std::uint64_t random_ = 0;
  std::uint64_t timer_number_ = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, Entry> timers_;
};

}  // namespace winchhall::cluster::testing
