#include "aggregator/app/lifecycle.hpp"

namespace winchhall::app {
namespace {

// What an order does in a phase.
enum class Move : char {
  none,         // nothing, and that is right: ACK
  no,           // refused: NAK
  away,         // -> Draining
  back,         // -> where it would be had it never been sent away
  leave,        // -> Leaving
  able,         // notes that it can serve, -> Ready or HandingOver where it waited for that
  predecessor,  // notes that another serves, -> TakingOver where it had not served yet
  successor,    // notes that a later one serves, -> HandingOver where it serves
  alone,        // notes that no other is left, -> Ready where it handed over, Starting where it took over
  stop,         // -> Stopped
};

struct Cell {
  Move move;
  const char* word;
};

constexpr Cell kTable[kPhases][kOrders] = {
    // drain, resume, terminate, able, predecessor, successor, alone, emptied
    {{Move::away, "sent away before it served"},
     {Move::none, "starting"},
     {Move::leave, "leaving"},
     {Move::able, "able"},
     {Move::predecessor, "another serves"},
     {Move::successor, "a later one serves"},
     {Move::alone, "alone"},
     {Move::none, "starting"}},
    {{Move::away, "sent away before it served"},
     {Move::none, "taking over"},
     {Move::leave, "leaving"},
     {Move::able, "able"},
     {Move::predecessor, "another serves"},
     {Move::successor, "a later one serves"},
     {Move::alone, "alone"},
     {Move::none, "taking over"}},
    {{Move::away, "sending clients away"},
     {Move::none, "serving"},
     {Move::leave, "leaving"},
     {Move::able, "serving"},
     {Move::predecessor, "another serves"},
     {Move::successor, "a later one serves"},
     {Move::alone, "alone"},
     {Move::none, "serving"}},
    {{Move::away, "sending clients away"},
     {Move::none, "serving"},
     {Move::leave, "leaving"},
     {Move::able, "serving"},
     {Move::predecessor, "another serves"},
     {Move::successor, "a later one serves"},
     {Move::alone, "alone"},
     {Move::none, "serving"}},
    {{Move::none, "sending clients away"},
     {Move::back, "back to work"},
     {Move::leave, "leaving"},
     {Move::able, "able"},
     {Move::predecessor, "another serves"},
     {Move::successor, "a later one serves"},
     {Move::alone, "alone"},
     {Move::none, "empty"}},
    {{Move::none, "leaving"},
     {Move::no, "leaving for good"},
     {Move::none, "leaving"},
     {Move::none, "leaving"},
     {Move::none, "leaving"},
     {Move::none, "leaving"},
     {Move::none, "leaving"},
     {Move::stop, "stopped"}},
    {{Move::none, "stopped"},
     {Move::no, "stopped"},
     {Move::none, "stopped"},
     {Move::none, "stopped"},
     {Move::none, "stopped"},
     {Move::none, "stopped"},
     {Move::none, "stopped"},
     {Move::none, "stopped"}},
};

}  // namespace

const char* name_of(Phase phase) {
  constexpr const char* kNames[kPhases] = {"starting",     "taking over", "ready",  "handing over",
                                           "sending away", "leaving",     "stopped"};
  return kNames[static_cast<int>(phase)];
}

Lifecycle::Result Lifecycle::give(Order order, Millis now) {
  const Cell& cell = kTable[static_cast<int>(phase_)][static_cast<int>(order)];
  Phase before = phase_;
  bool away = phase_ == Phase::Draining;
  switch (cell.move) {
    case Move::none:
    case Move::no:
      break;
    case Move::away:
      phase_ = Phase::Draining;
      away_since_ = now;
      break;
    case Move::leave:
      // Who was sent away before goes on counting from then.
      if (!away) away_since_ = now;
      phase_ = Phase::Leaving;
      break;
    case Move::stop:
      phase_ = Phase::Stopped;
      break;
    case Move::able:
      able_ = true;
      break;
    case Move::predecessor:
      elder_ = true;
      break;
    case Move::successor:
      heir_ = true;
      break;
    case Move::alone:
      elder_ = heir_ = false;
      break;
    case Move::back:
      away = false;
      break;
  }
  bool notes = cell.move == Move::able || cell.move == Move::predecessor || cell.move == Move::successor ||
               cell.move == Move::alone || cell.move == Move::back;
  if (notes && !away)
    phase_ = able_    ? (heir_ ? Phase::HandingOver : Phase::Ready)
             : elder_ ? Phase::TakingOver
                      : Phase::Starting;
  return {cell.move != Move::no, cell.word, phase_ != before};
}

}  // namespace winchhall::app
