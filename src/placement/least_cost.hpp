// The choice among servers: least cost of what is there plus the new piece of work, ties broken at random.
#pragma once

#include <random>
#include <utility>

namespace winchhall::placement {

// Keeps the best of the candidates that it is offered, one after the other. A lower rank goes before any
// cost; of equal candidates each is as likely to be kept as the others (reservoir sampling).
template <class Candidate>
class LeastCost {
 public:
  // `generator` is a uniform random bit generator, used only for ties.
  template <class Generator>
  void offer(Candidate candidate, double cost, Generator& generator, int rank = 0) {
    std::pair<int, double> key{rank, cost};
    if (ties_ > 0 && best_key_ < key) return;
    if (key < best_key_) ties_ = 0;
    ++ties_;
    best_key_ = key;
    if (ties_ == 1 || std::uniform_int_distribution<>(1, ties_)(generator) == 1) best_ = candidate;
  }

  bool empty() const { return ties_ == 0; }
  // The candidate kept; meaningless while `empty`.
  const Candidate& best() const { return best_; }

 private:
  Candidate best_{};
  std::pair<int, double> best_key_;  // rank, then cost
  int ties_ = 0;                     // candidates seen that are as good as the best
};

}  // namespace winchhall::placement
