// Choice of the candidate with the least cost, with random choice among equals.
#pragma once

#include <random>
#include <utility>

namespace winchhall::placement {

// Keeps the best of the candidates that are offered one after the other: the lowest rank, and among those the
// least cost. Of equal candidates each is equally likely to be kept, however many there are (reservoir
// sampling with a reservoir of one; Vitter, "Random Sampling with a Reservoir", 1985).
//
// `Candidate` is copied and default-constructible. Not thread-safe.
template <class Candidate>
class LeastCost {
 public:
  // `cost` in any unit, the same for all candidates. `generator`: a uniform random bit generator, drawn from
  // only to break ties.
  template <class Generator>
  void offer(Candidate candidate, double cost, Generator& generator, int rank = 0) {
    std::pair<int, double> key{rank, cost};
    if (ties_ > 0 && best_key_ < key) return;
    if (key < best_key_) ties_ = 0;
    ++ties_;
    best_key_ = key;
    if (ties_ == 1 || std::uniform_int_distribution<>(1, ties_)(generator) == 1) best_ = candidate;
  }

  // True until a candidate is offered.
  bool empty() const { return ties_ == 0; }
  // The candidate kept; a default-constructed one while `empty`.
  const Candidate& best() const { return best_; }

 private:
  Candidate best_{};
  std::pair<int, double> best_key_;  // rank, then cost
  int ties_ = 0;                     // candidates seen that are as good as the best
};

}  // namespace winchhall::placement
