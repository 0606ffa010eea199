// The event loop: poll(2), timers, and work put off to the end of a turn.
#pragma once

#include <poll.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace winchhall::event_loop {

using Millis = double;
using TimerId = std::pair<Millis, std::uint64_t>;

class Loop {
 public:
  Loop();
  ~Loop();  // what timers and deferred work hold may still call the loop as it goes

  // Unix time in milliseconds at the loop's start, carried on by the steady clock: it compares with the times
  // that discovery tells and never steps back.
  Millis now() const;

  TimerId run_at(Millis when, std::function<void()> run);
  void cancel(TimerId& timer);  // leaves it empty; cancelling an empty or past timer does nothing

  void add(int fd, short events, std::function<void(short)> run);
  void set_events(int fd, short events);
  void remove(int fd);

  // Runs at the end of this turn; what a callback is still using is destroyed there and not under its feet.
  void defer(std::function<void()> run) { deferred_.push_back(std::move(run)); }
  template <class T>
  void destroy_later(std::shared_ptr<T> dead) {
    defer([dead] {});
  }

  void run_once(Millis longest);

 private:
  struct Watched {
    short events;
    std::uint64_t serial;
    std::shared_ptr<std::function<void(short)>> run;
  };
  void run_deferred();

  Millis offset_;
  std::uint64_t next_ = 1;
  std::map<int, Watched> watched_;
  std::map<TimerId, std::function<void()>> timers_;
  std::vector<std::function<void()>> deferred_;
};

}  // namespace winchhall::event_loop
