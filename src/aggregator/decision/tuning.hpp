// Tuned values, unit and reason beside each.
#pragma once

#include "winchhall/estimate.hpp"

namespace winchhall::detail {

constexpr double kHintClamp = 8;        // x class mean: a hint further off than this is taken for an error
constexpr int kTrusted = 12;            // samples before a learned figure replaces its starting value
constexpr double kDevs = 4;             // mean + this many deviations: later than nearly all, likewise
constexpr double kPatienceOfAim = 0.5;  // of the aim: patience at the most, so that one more try still fits
constexpr double kSparseMost = 8;       // x: memory of servers seldom heard of stretches so far at most
constexpr double kReportMax = 1000;     // queued items: a report above this is taken for nonsense
constexpr double kPaceOff = 1.5;        // x the peers' median: a server's pace is clearly off from here on
constexpr double kPaceMax = 16;         // x: bound on pace, so that a mended server is tried again
constexpr Millis kPaceDrift = 5000;     // ms: without news, what a pace is off by shrinks e-fold in this time
constexpr double kStrikes = 1.6;        // failures that set a server aside: two in a row, or most of many ...
constexpr double kForgive = 0.5;        // ... as each success leaves this share of the strikes
constexpr Millis kRest = 500;        // ms set aside at first: a few service times; doubles with each relapse
constexpr Millis kRestMax = 4000;    // ms set aside at most: a sound server is found again within this time
constexpr double kColdSafety = 0.8;  // of the cold allowance: slack for what others send and for chance
constexpr double kTurnShare = 0.75;  // of that, by lot: all brokers' lots together stray by chance
constexpr double kTurnsSaved = 4;    // spans without an occasion that add to a lot: a burst spends them
constexpr double kLeastCores = 1;    // work ms per ms: what any warm server does at the least
constexpr double kMoveShare = 0.1;  // of first attempts may be repeated for lateness: it must not feed itself
constexpr double kMoveMost = 5;     // saved up at most: one query's parts
constexpr double kHedgeAfter = 3;   // x the usual response: later than that a second copy is sent
constexpr double kMedianStep = 1.05;  // x a sample: how fast the usual response is followed
constexpr double kLeastFit = 0.5;     // x mean response: with less time left a part is not sent any more
constexpr Millis kMoment = 60;  // ms: one that has not what it was asked for may have heard of a change then
constexpr Millis kRestart = 1500;      // ms: a process that fell does not answer again sooner
constexpr std::size_t kFellMany = 2;   // servers lost under one query before its parts go one at a time
constexpr Millis kSuspectFor = 60000;  // ms of wariness after a felling query: its clients ask again
constexpr double kPressed = 0.5;  // of the time left: where queues take more, parts that weigh little wait
constexpr double kUnservedFew = 0.2;   // up to here single servers are to blame; two steps on, overload is
constexpr Millis kPulse = 10;          // ms between checks of what is open, or two ticks where that is longer
constexpr Millis kForgetGone = 30000;  // ms after which nothing is owed on account of a server that is gone
constexpr double kLogLines = 200;      // log lines at once: enough for a bad hour, never a flood ...
constexpr double kLogPerSecond = 1;    // ... and so many a second again, or a long day ends without a word

constexpr double kEver = std::numeric_limits<double>::infinity(), kNever = -kEver;
constexpr double kWeightSlack = 5e-5;  // sums of weights may fall short by rounding ...
constexpr double kLeastSlack = 1e-9;   // ... and by so much however they were made

}  // namespace winchhall::detail
