// Smoothed estimators of observed values. Times are in milliseconds, on any clock that doesn't run backwards.
#pragma once

#include <algorithm>
#include <cmath>

#include "winchhall/coordinator.hpp"

namespace winchhall::detail {

constexpr double kMeanGain = 1.0 / 8;  // smoothing of means, as in TCP's round-trip estimate (RFC 6298)
constexpr double kDevGain = 1.0 / 4;   // smoothing of deviations, likewise
constexpr Millis kDecayTime = 2000;    // ms: time constant of exponential decay

inline bool is_finite_nonnegative(double x) { return std::isfinite(x) && x >= 0; }

// Exponentially smoothed mean and mean deviation per sample (V. Jacobson, "Congestion Avoidance and Control",
// SIGCOMM 1988; constants of RFC 6298). The first samples are averaged with equal weight. Samples that are
// negative or not finite are ignored. `mean` and `dev` have the unit of the samples.
struct Estimate {
  double mean = 0, dev = 0;
  int samples = 0;
  void add(double x) {
    if (!is_finite_nonnegative(x)) return;
    double off = samples++ == 0 ? x / 2 : std::abs(x - mean);
    dev += std::max(kDevGain, 1.0 / samples) * (off - dev);
    mean += std::max(kMeanGain, 1.0 / samples) * (x - mean);
  }
};

// Mean with exponential decay over time (kDecayTime) rather than per sample, so that it also ages while an
// instance that shares the servers with many others sees few samples.
struct DecayingMean {
  double sum = 0, weight = 0;
  Millis at = 0;
  // Weight that remains at `now` of samples up to the last one.
  double remaining(Millis now) const { return std::exp((at - now) / kDecayTime); }
  void add(double x, Millis now) {
    double keep = remaining(now);
    sum = keep * sum + x;
    weight = keep * weight + 1;
    at = now;
  }
  // `start` counts as one current sample, which makes it the result where there are no others.
  double mean(Millis now, double start) const {
    double keep = remaining(now);
    return (keep * sum + start) / (keep * weight + 1);
  }
};

}  // namespace winchhall::detail
