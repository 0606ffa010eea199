// The program's phases from start to exit, as one state machine: a table of states and legal moves. No I/O
// and no clock of its own. Every order in every phase has a stated result.
#pragma once

#include <string>

namespace winchhall::app {

using Millis = double;

enum class Phase {
  Starting,     // no list of servers yet
  TakingOver,   // as Starting, and another process of this name serves: it is to know of us first
  Ready,        // serves and takes clients
  HandingOver,  // the same, beside a later process of this name: what is shared is halved
  Draining,     // an operator emptied it: clients are sent away, and may be called back
  Leaving,      // SIGTERM: as Draining, for good
  Stopped,
};
constexpr int kPhases = 7;

enum class Order {
  drain,        // by the operators' door
  resume,       //
  terminate,    // SIGTERM
  able,         // a list is known and whoever was asked has answered: it can serve
  predecessor,  // an earlier process of this name was found
  successor,    // a later process of this name serves
  alone,        // no other process of this name is left
  emptied,      // nothing taken is unanswered, nothing waits to be written, no client is left
};
constexpr int kOrders = 8;

const char* name_of(Phase phase);

class Lifecycle {
 public:
  struct Result {
    bool taken = false;     // what the operators' door says: ACK or NAK ...
    const char* word = "";  // ... and why
    bool changed = false;   // the phase is another now
  };

  Phase phase() const { return phase_; }
  const char* name() const { return name_of(phase_); }

  Result give(Order order, Millis now);

  bool admits() const { return phase_ == Phase::Ready || phase_ == Phase::HandingOver; }  // what /ready tells
  bool leaving() const { return phase_ == Phase::Leaving || phase_ == Phase::Stopped; }
  // Clients are to go elsewhere: each answer is the last one on its connection ...
  bool drains() const { return phase_ == Phase::Draining || leaving(); }
  // ... and, once those who send new ones have heard of it, connections that stand idle are closed as well.
  bool closes_idle(Millis now) const { return drains() && now >= away_since_ + kCrossing; }
  // Leaving: no new connection is expected any more; the listener may be closed.
  bool closes_door(Millis now) const { return leaving() && now >= away_since_ + kStayOpen; }

 private:
  // ms in which clients are still sent here: the front asks every 0.1 s, and stops 0.2 s after a no.
  static constexpr Millis kCrossing = 500;
  static constexpr Millis kStayOpen = 1000;  // ms after SIGTERM in which clients may still find us

  Phase phase_ = Phase::Starting;
  bool able_ = false;  // survives being sent away: who resumes is where it was
  bool elder_ = false, heir_ = false;
  Millis away_since_ = 0;
};

}  // namespace winchhall::app
