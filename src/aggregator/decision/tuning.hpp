// Tuning constants of the decision module, each with its unit and reason.
#pragma once

#include "winchhall/estimate.hpp"

namespace winchhall::detail {

// ---- Estimates

// Factor around the class's mean. A cost estimate further off is treated as an error and clamped.
constexpr double kHintClamp = 8;
// Number of samples after which a learned value replaces its default.
constexpr int kMinSamples = 12;
// Deviations above the mean response time. An attempt that takes longer is late.
constexpr double kLateDeviations = 4;
// Fraction of the latency target. An attempt counts as late at this time at the latest, so that one more
// attempt fits into the target.
constexpr double kLateShareOfTarget = 0.5;
// Upper limit of the factor by which statistics of rarely used servers are kept longer.
constexpr double kMaxSparseFactor = 8;
// Queue items. A load report above this is ignored as invalid.
constexpr double kMaxReportedLoad = 1000;
// Multiple of the median server's response ratio. From here on a server counts as slower than its peers.
constexpr double kSlowdownThreshold = 1.5;
// Upper limit of the slowdown factor, so that a server that has recovered is tried again.
constexpr double kMaxSlowdown = 16;
// Time constant in ms with which a slowdown without new samples decays to that of the peers.
constexpr Millis kSlowdownDecayTime = 5000;
// Factor per sample by which the estimated median response time follows the samples.
constexpr double kMedianStep = 1.05;

// ---- Outlier detection

// Failure score that ejects a server. With kFailureScoreDecay this means two failures in a row, or failures
// in the majority of many attempts.
constexpr double kEjectionScore = 1.6;
// Fraction of the failure score that is left after a success.
constexpr double kFailureScoreDecay = 0.5;
// Duration of the first ejection, in ms: a few service times. It doubles with each relapse.
constexpr Millis kBaseEjectionTime = 500;
// Maximum duration of an ejection, in ms: a server that has recovered is used again within this time.
constexpr Millis kMaxEjectionTime = 4000;
// Minimum time in ms for which a crashed process gives no answer.
constexpr Millis kMinRestartTime = 1500;
// Number of servers that one query must have crashed before its parts are sent one at a time.
constexpr std::size_t kCrashSuspectCount = 2;
// Time in ms for which a class is sent with caution after one of its queries crashed servers: the client of
// that query is likely to retry it.
constexpr Millis kCrashSuspectTime = 60000;

// ---- Slow start

// Fraction of the allowance that is used: reserve for other instances' sends and for random variation.
constexpr double kWarmUpSafety = 0.8;
// Fraction of the used allowance that random admission may spend. It is below 1 because the sum over all
// instances varies.
constexpr double kWarmUpAdmissionShare = 0.75;
// Maximum number of unused intervals that raise the admission probability. It is limited because the parts
// admitted for them may be sent in one burst.
constexpr double kMaxUnusedIntervals = 4;
// Minimum processing rate of a warm server, in ms of work per ms.
constexpr double kMinServerCores = 1;
// Work in ms, assumed for a part without a cost estimate until response times of its class are known.
constexpr Millis kUnknownPartWork = 50;

// ---- Retries and hedging

// Tokens for late retries per first attempt: such retries must not cause more lateness.
constexpr double kLateRetryShare = 0.1;
// Maximum number of saved tokens, or the number of parts of the largest query if that is more.
constexpr double kMaxLateRetryTokens = 5;
// Multiple of the median response time after which a hedged attempt is sent.
constexpr double kHedgeDelayRatio = 3;
// Fraction of the mean response time. With less time left a part is not sent.
constexpr double kMinUsefulShare = 0.5;
// Time in ms after which a server that rejected a part as not the owner of its range may have a newer map.
constexpr Millis kListPropagationTime = 60;

// ---- Load shedding

// Fraction of the remaining time: if queueing takes more, parts of low weight are left out.
constexpr double kOverloadTimeShare = 0.5;
// Share of unserved queries that single servers explain; at twice this value overload is certain.
constexpr double kLowUnservedShare = 0.2;

// ---- Housekeeping

// Interval in ms between checks of the open queries, or two event ticks if that is longer.
constexpr Millis kTickInterval = 10;
// Time in ms after which the state of a removed server is dropped.
constexpr Millis kForgetRemovedAfter = 30000;
// Maximum number of log lines in a burst.
constexpr double kLogBurst = 200;
// Log lines per second after a burst.
constexpr double kLogLinesPerSecond = 1;

constexpr double kInfinity = std::numeric_limits<double>::infinity(), kNever = -kInfinity;
// Rounding tolerance of sums of weights, as a fraction of the whole.
constexpr double kWeightSlack = 5e-5;
// Lower limit of that tolerance where parts of very small weight reduce it.
constexpr double kMinWeightSlack = 1e-9;

}  // namespace winchhall::detail
