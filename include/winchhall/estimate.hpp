// Smoothed figures: data structures alone, no decision is taken here. Times are milliseconds of any origin.
#pragma once

#include <algorithm>
#include <cmath>

#include "winchhall/coordinator.hpp"

namespace winchhall::detail {

constexpr double kMeanGain = 1.0 / 8;  // smoothing of means, as in TCP's round-trip estimate (RFC 6298)
constexpr double kDevGain = 1.0 / 4;   // smoothing of deviations, likewise
constexpr Millis kFade = 2000;         // ms: what was learned over time fades e-fold in this

inline bool sound(double x) { return std::isfinite(x) && x >= 0; }

// Mean and mean deviation of what is seen, both smoothed.
struct Estimate {
  double mean = 0, dev = 0;
  int seen = 0;
  void add(double x) {
    if (!sound(x)) return;
    double off = seen++ == 0 ? x / 2 : std::abs(x - mean);
    dev += std::max(kDevGain, 1.0 / seen) * (off - dev);
    mean += std::max(kMeanGain, 1.0 / seen) * (x - mean);
  }
};

// Mean over the last moments, by time and not by count: with many brokers each sees little, and what it saw
// of the whole tier tells more about a server than nothing.
struct Recent {
  double sum = 0, weight = 0;
  Millis at = 0;
  double left(Millis now) const { return std::exp((at - now) / kFade); }
  void add(double x, Millis now) {
    double keep = left(now);
    sum = keep * sum + x;
    weight = keep * weight + 1;
    at = now;
  }
  double mean(Millis now, double start) const {  // `start` counts as one event
    double keep = left(now);
    return (keep * sum + start) / (keep * weight + 1);
  }
};

}  // namespace winchhall::detail
