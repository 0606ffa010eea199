// The program's phases from start to exit.
#pragma once

namespace winchhall::app {

using Millis = double;

enum class Phase { Starting, Ready, Draining, Stopped };

class Lifecycle {
 public:
  Phase phase() const { return phase_; }
  const char* name() const;
  bool admits() const { return phase_ == Phase::Ready; }  // what /ready tells

  // Starting -> Ready: listening, and some list of servers is known.
  void serving();
  // -> Draining, once; a second signal changes nothing.
  void terminate(Millis now);
  // While draining: is the time over in which new work is still expected?
  bool closing(Millis now) const { return phase_ == Phase::Draining && now >= drain_since_ + kStayOpen; }
  // Draining -> Stopped: nothing taken is unanswered, and nothing waits to be written.
  void idle(Millis now);

 private:
  static constexpr Millis kStayOpen = 1000;  // ms after SIGTERM in which clients still find us
  Phase phase_ = Phase::Starting;
  Millis drain_since_ = 0;
};

}  // namespace winchhall::app
