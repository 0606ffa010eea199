// Single-threaded event loop: descriptors watched with poll(2), timers, and callbacks deferred to the end of
// an iteration.
#pragma once

#include <poll.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace winchhall::event_loop {

using Millis = double;  // milliseconds: a duration, or a time on the clock of Loop::now()
// Identifies a pending timer by its time and a sequence number; a default-constructed id is none.
using TimerId = std::pair<Millis, std::uint64_t>;

// Owns the callbacks of timers, watched descriptors and deferred work; the descriptors stay their owners'.
// Not thread-safe: all calls come from the thread that calls run_once().
class Loop {
 public:
  Loop();
  ~Loop();  // objects held by timers and deferred callbacks may still call the loop from their destructors

  // Unix time in ms, read once at the loop's start and advanced by the steady clock: it is comparable with
  // the times that the discovery service reports and never steps back.
  Millis now() const;

  // Calls `run` once, in the first iteration at or after `when`.
  TimerId run_at(Millis when, std::function<void()> run);
  // Cancels the timer and clears the id; does nothing for an empty id or a timer that has already run.
  void cancel(TimerId& timer);

  // Calls `run` with poll(2) revents whenever one of `events` is ready on `fd`, until remove().
  void add(int fd, short events, std::function<void(short)> run);
  void set_events(int fd, short events);
  void remove(int fd);

  // Calls `run` at the end of the current iteration. Objects that a callback on the stack still uses are
  // destroyed this way.
  void defer(std::function<void()> run) { deferred_.push_back(std::move(run)); }
  template <class T>
  void destroy_later(std::shared_ptr<T> object) {
    defer([object] {});
  }

  // One iteration: waits up to `max_wait` ms for an event or timer, then calls what is due: descriptors,
  // timers, deferred callbacks. Returns at once if a callback is already deferred.
  void run_once(Millis max_wait);

 private:
  struct Watched {
    short events;
    std::uint64_t serial;
    std::shared_ptr<std::function<void(short)>> run;
  };
  void run_deferred();

  Millis offset_;                  // from the steady clock to Unix time
  std::uint64_t next_serial_ = 1;  // of timers and watched descriptors
  std::map<int, Watched> watched_;
  std::map<TimerId, std::function<void()>> timers_;
  std::vector<std::function<void()>> deferred_;
};

}  // namespace winchhall::event_loop
