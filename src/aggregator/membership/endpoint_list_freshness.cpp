#include "aggregator/membership/endpoint_list_freshness.hpp"

#include <algorithm>
#include <utility>

namespace winchhall::membership {
namespace {
constexpr Millis kKeepaliveInterval = 2000;  // ms between a watch's empty lines (protocol)
constexpr Millis kKeepaliveSlack = 400;      // ms that a line may be late by the network and by us
constexpr Millis kAssumedDelivery =
    6000;  // ms: what the service has counts as told so long after (operators' page)
constexpr Millis kAssumedDeliveryAfterMove = 4000;  // ms after a move of the service, likewise
constexpr Millis kMargin = 200;  // ms before that: from a choice to the last byte of the send
constexpr Millis kPollSpacingPerInstance =
    30;  // ms of the service for each broker: all are spread over their sum
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
Millis EndpointListFreshness::safe_after_proof() const {
  return std::max(0.0, terms_.grace - kMargin) +
         (terms_.pushed || blind_ || watching_ ? 0 : kAssumedDelivery);
}

Millis EndpointListFreshness::selectable_until(Millis proved_at) const {
  return std::max(stale_at_, proved_at + safe_after_proof());
}

Millis EndpointListFreshness::sendable_until(Millis proved_at) const {
  return selectable_until(proved_at) + kMargin / 2;
}

// All fail in one moment, and a service that all of them ask again at once answers none in time: their calls
// are spread over a time that grows with the fleet, never past what is left. In that time each keeps its
// place from round to round (drawn anew, the second calls would crowd into what is left); then follows
// exponential backoff with full jitter (Brooker 2015).
Millis EndpointListFreshness::spread(Millis now) const {
  Millis first =
      std::max(terms_.max_poll_interval / 40, kPollSpacingPerInstance * std::max(1, terms_.brokers));
  if (stale_at_ == kInfinity || now >= stale_at_) return first;
  return std::min(first, kShareOfLeft * (stale_at_ - now));
}

void EndpointListFreshness::plan(Millis now, Millis within, Millis least) {
  next_request_at_ = now + std::max(least, within * std::uniform_real_distribution<>(0, 1)(random_));
}

void EndpointListFreshness::current(Millis at) {
  stale_at_ = std::max(stale_at_ == kInfinity ? -kInfinity : stale_at_,
                       at + kAssumedDelivery + terms_.grace - kMargin);
}

void EndpointListFreshness::start(Millis now) {
  if (!terms_.must_poll) return;
  // Nobody is told anything before it is there.
  if (terms_.pushed)
    stale_at_ = now + safe_after_proof();
  else
    current(now);
  next_request_at_ = now;
}

void EndpointListFreshness::on_keepalive(Millis now) {
  if (!terms_.must_poll || (!watching_ && !open_call_)) return;
  last_keepalive_at_ = now;
  current(now);
}

void EndpointListFreshness::on_update(Millis now) {
  if (!terms_.must_poll) return;
  open_call_ = blind_ = false;
  watching_ = true;
  next_request_at_ = kInfinity;
  wait_ = round_ = 0;
  // A source that never says that it hears has no silence: what it told holds until it fails.
  if (last_keepalive_at_ != -kInfinity)
    on_keepalive(now);
  else
    stale_at_ = kInfinity;
}

void EndpointListFreshness::on_call_failed(Millis now, CallEnd end) {
  if (!terms_.must_poll) return;
  open_call_ = false;
  bool ended = std::exchange(watching_, false);
  if (terms_.pushed) {
    if (ended) stale_at_ = std::min(stale_at_, now + safe_after_proof());
    return plan(now, kPushedAgain);
  }
  // Up to its end such a source would have told.
  if (ended && (stale_at_ == kInfinity || end == CallEnd::ended)) current(now);
  if (end == CallEnd::refused) current(last_request_at_);
  Millis first = spread(now);
  bool reached = end == CallEnd::failed || end == CallEnd::ended;
  if (now < stale_at_ && reached) {
    if (round_ > 0) return void(next_request_at_ = std::max(now, last_request_at_ + round_));
    round_ = first;
    return plan(now, round_);
  }
  Millis most = std::max(terms_.max_poll_interval / 4, 4 * first);
  wait_ = wait_ > 0 ? std::min(2 * wait_, reached ? most : std::max(first, kUnreached)) : first;
  if (!reached) return plan(now, std::min(wait_, kUnreached), std::min(wait_, kUnreached) / 2);
  plan(now, wait_);
}

void EndpointListFreshness::on_service_moved(Millis now) {
  if (!terms_.must_poll) return;
  watching_ = open_call_ = false;
  blind_ = true;
  stale_at_ = std::min(stale_at_, now + kAssumedDeliveryAfterMove + terms_.grace - kMargin);
  plan(now, std::min(spread(now), kUnreached));
}

bool EndpointListFreshness::should_request(Millis now) {
  if (!terms_.must_poll) return false;
  // A watch that fell silent is broken, and asked for anew; that it was is not forgotten until a list has
  // come.
  if (watching_ && last_keepalive_at_ != -kInfinity &&
      now - last_keepalive_at_ > kKeepaliveInterval + kKeepaliveSlack) {
    watching_ = false;
    blind_ = true;
    round_ = terms_.pushed ? 0 : spread(now);
    plan(now, round_);
  }
  // A call without an answer counts as failed after half the time in which we must have asked.
  bool lost = open_call_ && now - last_request_at_ > terms_.max_poll_interval / 2;
  if (watching_ || (now < next_request_at_ && !lost)) return false;
  open_call_ = true;
  last_request_at_ = now;
  next_request_at_ = kInfinity;
  return true;
}

}  // namespace winchhall::membership
