// The choice among servers: least cost of what is there plus the new piece of work, ties broken at random.
#pragma once

#include <cstdint>
#include <random>

namespace winchhall::placement {

// Keeps the best of the candidates that it is offered, one after the other. A lower rank goes before any
// cost; of equal candidates each is as likely to be kept as the others (reservoir sampling).
template <class Candidate>
class LeastCost {
 public:
  // `generator` is a uniform random bit generator, used only for ties.
  template <class Generator>
  void offer(Candidate candidate, double cost, Generator& generator, int rank = 0) {
    if (ties_ > 0 && (rank > rank_ || (rank == rank_ && cost > cost_))) return;
    if (rank < rank_ || cost < cost_) ties_ = 0;
    ++ties_;
    rank_ = rank;
    cost_ = cost;
    if (ties_ == 1 || std::uniform_int_distribution<std::uint32_t>(1, ties_)(generator) == 1)
      best_ = candidate;
  }

  bool empty() const { return ties_ == 0; }
  // The candidate kept; meaningless while `empty`.
  const Candidate& best() const { return best_; }
  double cost() const { return cost_; }
  int rank() const { return rank_; }

 private:
  Candidate best_{};
  double cost_ = 0;
  int rank_ = 0;
  std::uint32_t ties_ = 0;  // candidates seen that are as good as the best
};

}  // namespace winchhall::placement
