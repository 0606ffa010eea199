// Tuning constants of the decision module, each with its unit and reason.
#pragma once

#include "winchhall/estimate.hpp"

namespace winchhall::detail {

// ---- Estimates

// x class mean: a cost estimate further off than this is treated as an error and clamped.
constexpr double kHintClamp = 8;
// Samples before a learned value replaces its default.
constexpr int kMinSamples = 12;
// Deviations above the mean response time: an attempt that takes longer is late.
constexpr double kLateDeviations = 4;
// Fraction of the latency target: upper limit of the patience, so that one more attempt fits.
constexpr double kPatienceShareOfTarget = 0.5;
// x: upper limit of how much longer statistics of rarely used servers are kept.
constexpr double kMaxSparseFactor = 8;
// Queue items: a load report above this is ignored as invalid.
constexpr double kMaxReportedLoad = 1000;
// x the peers' median: from here on a server's pace counts as different.
constexpr double kPaceOutlierRatio = 1.5;
// x: upper limit of the pace factor, so that a recovered server is tried again.
constexpr double kMaxPace = 16;
// ms: time constant with which a pace without new samples decays to the peers'.
constexpr Millis kPaceDecayTime = 5000;
// x per sample: step with which the median response time is followed.
constexpr double kMedianStep = 1.05;

// ---- Outlier detection

// Strikes that eject a server: two failures in a row, or a majority of many ...
constexpr double kEjectionStrikes = 1.6;
// ... as each success leaves this fraction of the strikes.
constexpr double kStrikeDecay = 0.5;
// ms of the first ejection: a few service times; doubles with each relapse.
constexpr Millis kBaseEjectionTime = 500;
// ms of an ejection at most: a recovered server is used again within this time.
constexpr Millis kMaxEjectionTime = 4000;
// ms: a crashed process doesn't answer again sooner.
constexpr Millis kMinRestartTime = 1500;
// Servers crashed by one query before its parts are sent one at a time.
constexpr std::size_t kCrashSuspectCount = 2;
// ms of caution after a query that crashed servers: its client is likely to retry.
constexpr Millis kCrashSuspectTime = 60000;

// ---- Slow start

// Fraction of the allowance that is used: reserve for other instances' sends and for random variation.
constexpr double kWarmUpSafety = 0.8;
// Fraction of that for random admission: the sum over all instances varies.
constexpr double kWarmUpLotShare = 0.75;
// Unused intervals that raise the admission probability at most: they may be spent in one burst.
constexpr double kMaxUnusedLotIntervals = 4;
// ms of work per ms: minimum rate of a warm server.
constexpr double kMinServerCores = 1;

// ---- Retries and hedging

// Tokens for late retries per first attempt: such retries must not cause more lateness.
constexpr double kLateRetryShare = 0.1;
// Tokens saved at most, or the parts of the largest query if that is more.
constexpr double kMaxLateRetryTokens = 5;
// x the median response time: later than that a hedged attempt is sent.
constexpr double kHedgeDelayRatio = 3;
// x the mean response time: with less time left a part isn't sent.
constexpr double kMinUsefulShare = 0.5;
// ms: a server that wasn't the owner of a range may have received a newer map by then.
constexpr Millis kListPropagationTime = 60;

// ---- Load shedding

// Fraction of the remaining time: if queueing takes more, parts of low weight are left out.
constexpr double kOverloadTimeShare = 0.5;
// Share of unserved queries that single servers explain; at twice this value overload is certain.
constexpr double kLowUnservedShare = 0.2;

// ---- Housekeeping

// ms between checks of the open queries, or two event ticks if that is longer.
constexpr Millis kTickInterval = 10;
// ms after which the state of a removed server is dropped.
constexpr Millis kForgetRemovedAfter = 30000;
// Log lines in a burst, and lines per second afterwards.
constexpr double kLogLines = 200;
constexpr double kLogPerSecond = 1;

constexpr double kInfinity = std::numeric_limits<double>::infinity(), kNever = -kInfinity;
// Rounding tolerance of sums of weights, and its lower limit.
constexpr double kWeightSlack = 5e-5;
constexpr double kLeastSlack = 1e-9;

}  // namespace winchhall::detail
