// Seeded random numbers (PCG), so that a run can be repeated. Different streams of one seed are independent.
#pragma once

#include <cmath>
#include <cstdint>
#include <pcg_random.hpp>

namespace winchhall::testbed {

class Random {
 public:
  explicit Random(std::uint64_t seed, std::uint64_t stream = 1) : engine_(seed, stream) {}
  std::uint64_t bits() { return engine_(); }
  std::uint64_t below(std::uint64_t n) { return n == 0 ? 0 : engine_() % n; }
  double unit() { return static_cast<double>(engine_() >> 11) * 0x1p-53; }
  double between(double a, double b) { return a + (b - a) * unit(); }
  bool chance(double p) { return unit() < p; }
  double exponential(double mean) { return -mean * std::log(1 - unit()); }

 private:
  pcg64 engine_;
};

}  // namespace winchhall::testbed
