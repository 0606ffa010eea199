// When to look at a folder that somebody writes to: once it has been quiet for a moment, but not later than a
// bound from the first word of a change, or a busy writer could put it off for ever. Decides by what it is
// told; the time only has to go forward (a clock that steps back must not reach it).
#pragma once

#include <limits>

namespace winchhall::generations {

using Millis = double;

class Settling {
 public:
  static constexpr Millis kQuiet = 40;     // ms without an event: writers of a set are done in less
  static constexpr Millis kLongest = 400;  // ms from the first event: then it is looked at all the same
  static constexpr Millis kAnyway =
      10000;                             // ms between looks without any event: some file systems tell nothing
  static constexpr Millis kAgain = 100;  // ms to the next look after one that found half a set

  void event(Millis now) {
    if (first_ < 0) first_ = now;
    last_ = now;
  }
  // What the look found was changed under it, or could not be read as a whole: it counts as an event.
  void disturbed(Millis now) { event(now); }
  // A look begins: whatever is told from now on is a new change.
  void looking(Millis now) {
    first_ = -1;
    looked_ = now;
  }
  // A set that contradicts itself may be half of one: it is looked at once more, soon, without an event.
  void doubtful(Millis now) { again_ = now + kAgain; }

  Millis due() const {
    Millis at = looked_ + kAnyway;
    if (again_ > looked_ && again_ < at) at = again_;
    if (first_ >= 0) {
      Millis settled = last_ + kQuiet < first_ + kLongest ? last_ + kQuiet : first_ + kLongest;
      if (settled < at) at = settled;
    }
    return at;
  }
  Millis first_event() const { return first_; }

 private:
  Millis first_ = -1, last_ = -1, again_ = -1;
  Millis looked_ = -std::numeric_limits<double>::infinity();
};

}  // namespace winchhall::generations
