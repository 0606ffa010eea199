#include "aggregator/app/lifecycle.hpp"

namespace winchhall::app {
namespace {

// What an order does in a phase.
enum class Transition : char {
  none,                 // nothing, and that is right: ACK
  no,                   // refused: NAK
  drain,                // -> Draining
  resume,               // -> where it would be had it never been sent away
  leave,                // -> Leaving
  endpoints_available,  // notes that it can serve, -> Ready or HandingOver where it waited for that
  predecessor,          // notes that another serves, -> TakingOver where it had not served yet
  successor,            // notes that a later one serves, -> HandingOver where it serves
  alone,  // notes that no other is left, -> Ready where it handed over, Starting where it took over
  stop,   // -> Stopped
};

struct Cell {
  Transition transition;
  const char* message;
};

constexpr Cell kTable[kPhases][kLifecycleEvents] = {
    // drain, resume, terminate, able, predecessor, successor, alone, emptied
    {{Transition::drain, "sent away before it served"},
     {Transition::none, "starting"},
     {Transition::leave, "leaving"},
     {Transition::endpoints_available, "able"},
     {Transition::predecessor, "another serves"},
     {Transition::successor, "a later one serves"},
     {Transition::alone, "alone"},
     {Transition::none, "starting"}},
    {{Transition::drain, "sent away before it served"},
     {Transition::none, "taking over"},
     {Transition::leave, "leaving"},
     {Transition::endpoints_available, "able"},
     {Transition::predecessor, "another serves"},
     {Transition::successor, "a later one serves"},
     {Transition::alone, "alone"},
     {Transition::none, "taking over"}},
    {{Transition::drain, "sending clients away"},
     {Transition::none, "serving"},
     {Transition::leave, "leaving"},
     {Transition::endpoints_available, "serving"},
     {Transition::predecessor, "another serves"},
     {Transition::successor, "a later one serves"},
     {Transition::alone, "alone"},
     {Transition::none, "serving"}},
    {{Transition::drain, "sending clients away"},
     {Transition::none, "serving"},
     {Transition::leave, "leaving"},
     {Transition::endpoints_available, "serving"},
     {Transition::predecessor, "another serves"},
     {Transition::successor, "a later one serves"},
     {Transition::alone, "alone"},
     {Transition::none, "serving"}},
    {{Transition::none, "sending clients away"},
     {Transition::resume, "back to work"},
     {Transition::leave, "leaving"},
     {Transition::endpoints_available, "able"},
     {Transition::predecessor, "another serves"},
     {Transition::successor, "a later one serves"},
     {Transition::alone, "alone"},
     {Transition::none, "empty"}},
    {{Transition::none, "leaving"},
     {Transition::no, "leaving for good"},
     {Transition::none, "leaving"},
     {Transition::none, "leaving"},
     {Transition::none, "leaving"},
     {Transition::none, "leaving"},
     {Transition::none, "leaving"},
     {Transition::stop, "stopped"}},
    {{Transition::none, "stopped"},
     {Transition::no, "stopped"},
     {Transition::none, "stopped"},
     {Transition::none, "stopped"},
     {Transition::none, "stopped"},
     {Transition::none, "stopped"},
     {Transition::none, "stopped"},
     {Transition::none, "stopped"}},
};

}  // namespace

const char* name_of(Phase phase) {
  constexpr const char* kNames[kPhases] = {"starting",     "taking over", "ready",  "handing over",
                                           "sending away", "leaving",     "stopped"};
  return kNames[static_cast<int>(phase)];
}

Lifecycle::Result Lifecycle::give(LifecycleEvent order, Millis now) {
  const Cell& cell = kTable[static_cast<int>(phase_)][static_cast<int>(order)];
  Phase before = phase_;
  bool drain = phase_ == Phase::Draining;
  switch (cell.transition) {
    case Transition::none:
    case Transition::no:
      break;
    case Transition::drain:
      phase_ = Phase::Draining;
      draining_since_ = now;
      break;
    case Transition::leave:
      // Who was sent away before goes on counting from then.
      if (!drain) draining_since_ = now;
      phase_ = Phase::Leaving;
      break;
    case Transition::stop:
      phase_ = Phase::Stopped;
      break;
    case Transition::endpoints_available:
      endpoints_available_ = true;
      break;
    case Transition::predecessor:
      has_predecessor_ = true;
      break;
    case Transition::successor:
      has_successor_ = true;
      break;
    case Transition::alone:
      has_predecessor_ = has_successor_ = false;
      break;
    case Transition::resume:
      drain = false;
      break;
  }
  bool notes = cell.transition == Transition::endpoints_available ||
               cell.transition == Transition::predecessor || cell.transition == Transition::successor ||
               cell.transition == Transition::alone || cell.transition == Transition::resume;
  if (notes && !drain)
    phase_ = endpoints_available_ ? (has_successor_ ? Phase::HandingOver : Phase::Ready)
             : has_predecessor_   ? Phase::TakingOver
                                  : Phase::Starting;
  return {cell.transition != Transition::no, cell.message, phase_ != before};
}

}  // namespace winchhall::app
