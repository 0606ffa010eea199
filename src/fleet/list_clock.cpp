#include "fleet/list_clock.hpp"

#include <algorithm>
#include <utility>

namespace winchhall::fleet {
namespace {
constexpr Millis kLineEvery = 2000;  // ms between a watch's empty lines (protocol)
constexpr Millis kLineSlack = 400;   // ms that a line may be late by the network and by us
constexpr Millis kToldAnyway =
    6000;  // ms after falling silent: what was missed counts as told (operators' page)
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

Millis ListClock::safe_after_proof() const { return std::max(0.0, terms_.grace - kMargin); }

// Exponential backoff with full jitter (Brooker 2015) over a time that grows with the fleet: all fail in one
// moment, and a service that all of them ask again at once answers none in time. Never past what is left.
Millis ListClock::spread(Millis now) const {
  Millis first = std::max(terms_.must_ask_in / 40, kAskEach * std::max(1, terms_.brokers));
  if (overdue_at_ == kEver || now >= overdue_at_) return first;
  return std::min(first, kShareOfLeft * (overdue_at_ - now));
}

void ListClock::plan(Millis now, Millis within, Millis least) {
  ask_at_ = now + std::max(least, within * std::uniform_real_distribution<>(0, 1)(random_));
}

void ListClock::start(Millis now) {
  if (!terms_.asked) return;
  if (terms_.pushed) overdue_at_ = now + safe_after_proof();
  ask_at_ = now;
}

void ListClock::heard(Millis now) {
  if (!terms_.asked || (!watching_ && !open_call_)) return;
  heard_at_ = now;
  overdue_at_ = now + kToldAnyway + terms_.grace - kMargin;
}

void ListClock::told(Millis now) {
  if (!terms_.asked) return;
  open_call_ = false;
  watching_ = true;
  ask_at_ = kEver;
  wait_ = 0;
  if (heard_at_ != -kEver) heard(now);
}

void ListClock::failed(Millis now, bool reached) {
  if (!terms_.asked) return;
  open_call_ = false;
  bool ended = std::exchange(watching_, false);
  // One that ended before our eyes is no silent one: the list holds for the time in which we must ask. Only
  // an agent's word goes on counting as it is said.
  if (ended) overdue_at_ = terms_.pushed ? std::min(overdue_at_, now + safe_after_proof()) : kEver;
  if (terms_.pushed) return plan(now, kPushedAgain);
  Millis first = spread(now), most = std::max(terms_.must_ask_in / 4, 4 * first);
  wait_ = wait_ > 0 ? std::min(2 * wait_, reached ? most : std::max(first, kUnreached)) : first;
  if (!reached) return plan(now, std::min(wait_, kUnreached), std::min(wait_, kUnreached) / 2);
  plan(now, overdue_at_ == kEver || now >= overdue_at_ ? wait_ : std::min(wait_, first));
}

void ListClock::moved(Millis now) {
  if (!terms_.asked) return;
  watching_ = open_call_ = false;
  overdue_at_ = std::min(overdue_at_, now + kToldMoved + terms_.grace - kMargin);
  plan(now, std::min(spread(now), kUnreached));
}

bool ListClock::ask(Millis now) {
  if (!terms_.asked) return false;
  // A watch that fell silent is broken, and asked for anew; that it was is not forgotten until a list has
  // come.
  if (watching_ && heard_at_ != -kEver && now - heard_at_ > kLineEvery + kLineSlack) {
    watching_ = false;
    plan(now, terms_.pushed ? 0 : spread(now));
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
