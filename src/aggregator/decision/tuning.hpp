// Tuning constants of the decision module, each with its unit.
#pragma once

#include "winchhall/estimate.hpp"

namespace winchhall::detail {

// ---- Estimates

constexpr double kHintClamp = 8;       // x class mean: a cost estimate further off is clamped as an error
constexpr int kMinSamples = 12;        // samples before a learned value replaces its default
constexpr double kLateDeviations = 4;  // deviations above the mean response time: later is late
constexpr double kPatienceShareOfTarget = 0.5;  // of the latency target: limit of the patience
constexpr double kMaxSparseFactor = 8;     // x: how much longer statistics of rarely used servers are kept
constexpr double kMaxReportedLoad = 1000;  // queue items: a load report above this is ignored as invalid
constexpr double kPaceOutlierRatio = 1.5;  // x the peers' median: from here on a server's pace is different
constexpr double kMaxPace = 16;  // x: upper limit of the pace factor, so that a recovered server is tried
constexpr Millis kPaceDecayTime = 5000;  // ms: time constant with which an old pace decays to the peers'
constexpr double kMedianStep = 1.05;     // x per sample: step with which the median response is followed

// ---- Outlier detection

// Strikes that eject a server: two failures in a row, or a majority of many ...
constexpr double kEjectionStrikes = 1.6;
constexpr double kStrikeDecay = 0.5;           // ... as each success leaves this fraction of the strikes.
constexpr Millis kBaseEjectionTime = 500;      // ms of the first ejection; doubles with each relapse
constexpr Millis kMaxEjectionTime = 4000;      // ms of an ejection at most
constexpr Millis kMinRestartTime = 1500;       // ms: a crashed process doesn't answer again sooner
constexpr std::size_t kCrashSuspectCount = 2;  // servers crashed by one query before it is sent part by part
constexpr Millis kCrashSuspectTime = 60000;    // ms of caution after a query that crashed servers

// ---- Slow start

// Fraction of the allowance that is used: reserve for other instances' sends and for random variation.
constexpr double kWarmUpSafety = 0.8;
constexpr double kWarmUpLotShare = 0.75;      // of that, for random admission: the sum over instances varies
constexpr double kMaxUnusedLotIntervals = 4;  // unused intervals that count: they may be spent in one burst
constexpr double kMinServerCores = 1;         // ms of work per ms: minimum rate of a warm server
// ms of work: assumed for a part without a cost estimate until response times of its class are known.
constexpr Millis kUnknownPartWork = 50;

// ---- Retries and hedging

// Tokens for late retries per first attempt: such retries must not cause more lateness.
constexpr double kLateRetryShare = 0.1;
constexpr double kMaxLateRetryTokens = 5;  // tokens saved at most, or the parts of the largest query
constexpr double kHedgeDelayRatio = 3;     // x the median response time: later a hedged attempt is sent
constexpr double kMinUsefulShare = 0.5;    // x the mean response time: with less time left a part isn't sent
constexpr Millis kListPropagationTime = 60;  // ms until a server that denied a range may have a newer map

// ---- Load shedding

// Fraction of the remaining time: if queueing takes more, parts of low weight are left out.
constexpr double kOverloadTimeShare = 0.5;
// Share of unserved queries that single servers explain; at twice this value overload is certain.
constexpr double kLowUnservedShare = 0.2;

// ---- Housekeeping

constexpr Millis kTickInterval = 10;  // ms between checks of open queries, or two event ticks if longer
constexpr Millis kForgetRemovedAfter = 30000;  // ms after which a removed server's state is dropped
constexpr double kLogLines = 200;              // log lines in a burst ...
constexpr double kLogPerSecond = 1;            // ... and lines per second afterwards

constexpr double kInfinity = std::numeric_limits<double>::infinity(), kNever = -kInfinity;
constexpr double kWeightSlack = 5e-5;  // rounding tolerance of sums of weights ...
constexpr double kLeastSlack = 1e-9;   // ... and its lower limit

}  // namespace winchhall::detail
