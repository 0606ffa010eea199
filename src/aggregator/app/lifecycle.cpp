#include "aggregator/app/lifecycle.hpp"

namespace winchhall::app {
namespace {

// Effect of an event in a phase.
enum class Transition : char {
  no_op,                // accepted without effect: ACK
  rejected,             // NAK
  drain,                // -> Draining
  resume,               // -> the phase it would be in without the drain
  terminate,            // -> Leaving
  endpoints_available,  // records that it can serve; Starting, TakingOver -> Ready or HandingOver
  predecessor,          // records that an older process serves; Starting -> TakingOver
  successor,            // records that a newer process serves; Ready -> HandingOver
  no_siblings,          // records that no other process is left; HandingOver -> Ready, TakingOver -> Starting
  stop,                 // -> Stopped
};

struct TableEntry {
  Transition transition;
  const char* message;
};

constexpr TableEntry kTable[kPhases][kLifecycleEvents] = {
    // Columns: drain, resume, terminate, endpoints_available, predecessor, successor, no_siblings, drained.
    {{Transition::drain, "sent away before it served"},
     {Transition::no_op, "starting"},
     {Transition::terminate, "leaving"},
     {Transition::endpoints_available, "able"},
     {Transition::predecessor, "another serves"},
     {Transition::successor, "a later one serves"},
     {Transition::no_siblings, "alone"},
     {Transition::no_op, "starting"}},
    {{Transition::drain, "sent away before it served"},
     {Transition::no_op, "taking over"},
     {Transition::terminate, "leaving"},
     {Transition::endpoints_available, "able"},
     {Transition::predecessor, "another serves"},
     {Transition::successor, "a later one serves"},
     {Transition::no_siblings, "alone"},
     {Transition::no_op, "taking over"}},
    {{Transition::drain, "sending clients away"},
     {Transition::no_op, "serving"},
     {Transition::terminate, "leaving"},
     {Transition::endpoints_available, "serving"},
     {Transition::predecessor, "another serves"},
     {Transition::successor, "a later one serves"},
     {Transition::no_siblings, "alone"},
     {Transition::no_op, "serving"}},
    {{Transition::drain, "sending clients away"},
     {Transition::no_op, "serving"},
     {Transition::terminate, "leaving"},
     {Transition::endpoints_available, "serving"},
     {Transition::predecessor, "another serves"},
     {Transition::successor, "a later one serves"},
     {Transition::no_siblings, "alone"},
     {Transition::no_op, "serving"}},
    {{Transition::no_op, "sending clients away"},
     {Transition::resume, "back to work"},
     {Transition::terminate, "leaving"},
     {Transition::endpoints_available, "able"},
     {Transition::predecessor, "another serves"},
     {Transition::successor, "a later one serves"},
     {Transition::no_siblings, "alone"},
     {Transition::no_op, "empty"}},
    {{Transition::no_op, "leaving"},
     {Transition::rejected, "leaving for good"},
     {Transition::no_op, "leaving"},
     {Transition::no_op, "leaving"},
     {Transition::no_op, "leaving"},
     {Transition::no_op, "leaving"},
     {Transition::no_op, "leaving"},
     {Transition::stop, "stopped"}},
    {{Transition::no_op, "stopped"},
     {Transition::rejected, "stopped"},
     {Transition::no_op, "stopped"},
     {Transition::no_op, "stopped"},
     {Transition::no_op, "stopped"},
     {Transition::no_op, "stopped"},
     {Transition::no_op, "stopped"},
     {Transition::no_op, "stopped"}},
};

}  // namespace

const char* name_of(Phase phase) {
  constexpr const char* kNames[kPhases] = {"starting",     "taking over", "ready",  "handing over",
                                           "sending away", "leaving",     "stopped"};
  return kNames[static_cast<int>(phase)];
}

Lifecycle::Result Lifecycle::handle(LifecycleEvent event, Millis now) {
  const TableEntry& entry = kTable[static_cast<int>(phase_)][static_cast<int>(event)];
  Phase before = phase_;
  bool was_draining = phase_ == Phase::Draining;
  switch (entry.transition) {
    case Transition::no_op:
    case Transition::rejected:
      break;
    case Transition::drain:
      phase_ = Phase::Draining;
      draining_since_ = now;
      break;
    case Transition::terminate:
      // If it was draining already, the delays count from the start of the drain.
      if (!was_draining) draining_since_ = now;
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
    case Transition::no_siblings:
      has_predecessor_ = has_successor_ = false;
      break;
    case Transition::resume:
      was_draining = false;
      break;
  }
  bool updates_phase = entry.transition == Transition::endpoints_available ||
                       entry.transition == Transition::predecessor ||
                       entry.transition == Transition::successor ||
                       entry.transition == Transition::no_siblings || entry.transition == Transition::resume;
  if (updates_phase && !was_draining)
    phase_ = endpoints_available_ ? (has_successor_ ? Phase::HandingOver : Phase::Ready)
             : has_predecessor_   ? Phase::TakingOver
                                  : Phase::Starting;
  return {entry.transition != Transition::rejected, entry.message, phase_ != before};
}

}  // namespace winchhall::app
