// State machine of the program's phases from start to exit, as a table of phases and events. No I/O and no
// clock of its own: times are in ms on the caller's clock. Every event has a defined result in every phase.
#pragma once

#include <string>

namespace winchhall::app {

using Millis = double;

enum class Phase {
  Starting,     // no server list yet
  TakingOver,   // as Starting, and an older process of this name serves, which has to acknowledge this one
  Ready,        // serves and accepts clients
  HandingOver,  // as Ready, beside a newer process of this name: the shared limits are divided between them
  Draining,     // drained by an operator: clients are sent away until an operator resumes it
  Leaving,      // SIGTERM was received: as Draining, without a way back
  Stopped,
};
constexpr int kPhases = 7;

enum class LifecycleEvent {
  drain,                // command of the admin port
  resume,               // command of the admin port
  terminate,            // SIGTERM
  endpoints_available,  // a server list is known and all older processes have acknowledged: it can serve
  predecessor,          // an older process of this name was found
  successor,            // a newer process of this name serves
  no_siblings,          // no other process of this name is left
  drained,              // no query is open, nothing is left to write, and no client is connected
};
constexpr int kLifecycleEvents = 8;

// The phase's name in the log, on the admin port and in the state file.
const char* name_of(Phase phase);

// Current phase, with the conditions that decide which phase follows. Not thread-safe.
class Lifecycle {
 public:
  struct Result {
    bool accepted = false;     // ACK or NAK on the admin port ...
    const char* message = "";  // ... with this text
    bool changed = false;      // whether the phase changed
  };

  Phase phase() const { return phase_; }
  const char* name() const { return name_of(phase_); }

  // Applies an event that happened at `now`.
  Result handle(LifecycleEvent event, Millis now);

  // The answer to /ready.
  bool is_ready() const { return phase_ == Phase::Ready || phase_ == Phase::HandingOver; }
  bool is_leaving() const { return phase_ == Phase::Leaving || phase_ == Phase::Stopped; }
  // Clients must go elsewhere: each response is the last one on its connection ...
  bool is_draining() const { return phase_ == Phase::Draining || is_leaving(); }
  // ... and idle connections are closed as well, once load balancers have noticed the drain.
  bool closes_idle_connections(Millis now) const {
    return is_draining() && now >= draining_since_ + kIdleCloseDelay;
  }
  // Leaving: no new connection is expected any more, so the listener may be closed.
  bool closes_listener(Millis now) const {
    return is_leaving() && now >= draining_since_ + kListenerCloseDelay;
  }

 private:
  // ms in which clients are still sent here: the load balancer checks /ready every 0.1 s and stops sending
  // 0.2 s after a negative answer.
  static constexpr Millis kIdleCloseDelay = 500;
  static constexpr Millis kListenerCloseDelay = 1000;  // ms after SIGTERM in which clients may still connect

  Phase phase_ = Phase::Starting;
  bool endpoints_available_ = false;  // kept while draining, so that resume returns to the phase before
  bool has_predecessor_ = false, has_successor_ = false;
  Millis draining_since_ = 0;
};

}  // namespace winchhall::app
