#include "aggregator/membership/list_clock.hpp"

#include <algorithm>
#include <utility>

namespace winchhall::fleet {
namespace {
constexpr Millis kLineEvery = 2000;  // ms between a watch's empty lines (protocol)
constexpr Millis kLineSlack = 400;   // ms that a line may be late by the network and by us
constexpr Millis kToldAnyway =
    6000;  // ms: what the service has counts as told so long after (operators' page)
constexpr Millis kToldMoved = 4000;  // ms after a move of the service, likewise
constexpr Millis kMargin = 200;      // ms before that: from a choice to the last byte of the send
constexpr Millis kAskEach = 30;      // ms of the service for each broker: all are spread over their sum
constexpr Millis kUnreached =
    1000;  // ms between calls that reach nobody, at most: they cost the service nothing
constexpr Millis kPushedAgain = 200;  // ms between calls to an agent beside us, which nobody else calls
// Of the time left until the list is overdue, what the wait for a call may take: as much again is left for
// the answer, and for one more call where this one fails.
constexpr double kShareOfLeft = 0.4;
}  // namespace

// A server that did not drain at some moment may be sent to for the grace from then on, as its drain may be
// told in the next. Where nobody can tell it but an answer to a call of ours, it is told later than that:
// what discovery learns from then on counts after the fixed time alone.
Millis ListClock::safe_after_proof() const {
  return std::max(0.0, terms_.grace - kMargin) + (terms_.pushed || blind_ || watching_ ? 0 : kToldAnyway);
}

Millis ListClock::choose_by(Millis proved_at) const {
  return std::max(overdue_at_, proved_at + safe_after_proof());
}

Millis ListClock::write_by(Millis proved_at) const { return choose_by(proved_at) + kMargin / 2; }

// All fail in one moment, and a service that all of them ask again at once answers none in time: their calls
// are spread over a time that grows with the fleet, never past what is left. In that time each keeps its
// place from round to round (drawn anew, the second calls would crowd into what is left); then follows
// exponential backoff with full jitter (Brooker 2015).
Millis ListClock::spread(Millis now) const {
  Millis first = std::max(terms_.must_ask_in / 40, kAskEach * std::max(1, terms_.brokers));
  if (overdue_at_ == kEver || now >= overdue_at_) return first;
  return std::min(first, kShareOfLeft * (overdue_at_ - now));
}

void ListClock::plan(Millis now, Millis within, Millis least) {
  ask_at_ = now + std::max(least, within * std::uniform_real_distribution<>(0, 1)(random_));
}

void ListClock::current(Millis at) {
  overdue_at_ =
      std::max(overdue_at_ == kEver ? -kEver : overdue_at_, at + kToldAnyway + terms_.grace - kMargin);
}

void ListClock::start(Millis now) {
  if (!terms_.asked) return;
  // Nobody is told anything before it is there.
  if (terms_.pushed)
    overdue_at_ = now + safe_after_proof();
  else
    current(now);
  ask_at_ = now;
}

void ListClock::heard(Millis now) {
  if (!terms_.asked || (!watching_ && !open_call_)) return;
  heard_at_ = now;
  current(now);
}

void ListClock::told(Millis now) {
  if (!terms_.asked) return;
  open_call_ = blind_ = false;
  watching_ = true;
  ask_at_ = kEver;
  wait_ = round_ = 0;
  // A source that never says that it hears has no silence: what it told holds until it fails.
  if (heard_at_ != -kEver)
    heard(now);
  else
    overdue_at_ = kEver;
}

void ListClock::failed(Millis now, CallEnd end) {
  if (!terms_.asked) return;
  open_call_ = false;
  bool ended = std::exchange(watching_, false);
  if (terms_.pushed) {
    if (ended) overdue_at_ = std::min(overdue_at_, now + safe_after_proof());
    return plan(now, kPushedAgain);
  }
  // Up to its end such a source would have told.
  if (ended && (overdue_at_ == kEver || end == CallEnd::ended)) current(now);
  if (end == CallEnd::refused) current(asked_at_);
  Millis first = spread(now);
  bool reached = end == CallEnd::failed || end == CallEnd::ended;
  if (now < overdue_at_ && reached) {
    if (round_ > 0) return void(ask_at_ = std::max(now, asked_at_ + round_));
    round_ = first;
    return plan(now, round_);
  }
  Millis most = std::max(terms_.must_ask_in / 4, 4 * first);
  wait_ = wait_ > 0 ? std::min(2 * wait_, reached ? most : std::max(first, kUnreached)) : first;
  if (!reached) return plan(now, std::min(wait_, kUnreached), std::min(wait_, kUnreached) / 2);
  plan(now, wait_);
}

void ListClock::moved(Millis now) {
  if (!terms_.asked) return;
  watching_ = open_call_ = false;
  blind_ = true;
  overdue_at_ = std::min(overdue_at_, now + kToldMoved + terms_.grace - kMargin);
  plan(now, std::min(spread(now), kUnreached));
}

bool ListClock::ask(Millis now) {
  if (!terms_.asked) return false;
  // A watch that fell silent is broken, and asked for anew; that it was is not forgotten until a list has
  // come.
  if (watching_ && heard_at_ != -kEver && now - heard_at_ > kLineEvery + kLineSlack) {
    watching_ = false;
    blind_ = true;
    round_ = terms_.pushed ? 0 : spread(now);
    plan(now, round_);
  }
  // A call without an answer counts as failed after half the time in which we must have asked.
  bool lost = open_call_ && now - asked_at_ > terms_.must_ask_in / 2;
  if (watching_ || (now < ask_at_ && !lost)) return false;
  open_call_ = true;
  asked_at_ = now;
  ask_at_ = kEver;
  return true;
}

}  // namespace winchhall::fleet
