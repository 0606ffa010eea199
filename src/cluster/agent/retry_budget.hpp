// Bounds retries to a share of the first tries plus a floor, so that retries don't feed an overload.
#pragma once

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

class RetryBudget {
 public:
  // Retries allowed for each first try, and a second without any.
  static constexpr double kShare = 0.2;
  static constexpr double kFloorPerSecond = 20;
  // Retries that may be saved up: the floor's of ten seconds.
  static constexpr double kMostSaved = 200;

  explicit RetryBudget(TimePoint now) : refilled_(now) {}

  void note_first_try(TimePoint now);
  // Takes one retry; false: none is left, wait and ask again.
  bool take(TimePoint now);

 private:
  void refill(TimePoint now);

  TimePoint refilled_;
  double saved_ = kFloorPerSecond;
};

}  // namespace winchhall::cluster
