#include "aggregator/membership/endpoint_list_freshness.hpp"

#include <algorithm>
#include <utility>

namespace winchhall::membership {
namespace {
constexpr Millis kKeepaliveInterval = 2000;  // ms between keepalive lines of a watch (protocol)
constexpr Millis kKeepaliveSlack = 400;      // ms a keepalive may be late by network and processing
// ms after which an update counts as notified, delivered or not (operators' page).
constexpr Millis kAssumedDelivery = 6000;
constexpr Millis kAssumedDeliveryAfterMove = 4000;  // ms, likewise after a move of the service
constexpr Millis kMargin = 200;                     // ms reserved from the selection to the last byte sent
// ms of the service's time per instance: requests are spread over the sum.
constexpr Millis kPollSpacingPerInstance = 30;
// ms between requests that reach no service, at most: they put no load on it.
constexpr Millis kMaxUnreachableRetry = 1000;
constexpr Millis kLocalAgentRetry = 200;  // ms between requests to a local agent, which has no other clients
// Fraction of the time until the list is stale that a request may be delayed; the rest is for the answer and
// for one more request if this one fails.
constexpr double kDelayShareOfRemaining = 0.4;
}  // namespace

// ms for which a server may be used after it was known not to be draining. Its drain may be notified right
// after that, which leaves the grace. Where a drain can only be notified by an answer to a request of this
// instance, it counts as notified kAssumedDelivery later.
Millis EndpointListFreshness::safe_after_proof() const {
  return std::max(0.0, terms_.grace - kMargin) +
         (terms_.pushed || may_have_missed_updates_ || watching_ ? 0 : kAssumedDelivery);
}

Millis EndpointListFreshness::selectable_until(Millis proved_at) const {
  return std::max(stale_at_, proved_at + safe_after_proof());
}

Millis EndpointListFreshness::sendable_until(Millis proved_at) const {
  return selectable_until(proved_at) + kMargin / 2;
}

// ms over which requests of all instances are spread after a failure, since all of them see it at once and
// the service couldn't answer them together. It grows with the number of instances, within the time left
// until the list is stale. While it is fresh an instance keeps its offset from round to round, as new random
// offsets would concentrate the second requests; afterwards exponential backoff with full jitter follows (M.
// Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog, 2015).
Millis EndpointListFreshness::request_spread(Millis now) const {
  Millis first =
      std::max(terms_.max_poll_interval / 40, kPollSpacingPerInstance * std::max(1, terms_.instances));
  if (stale_at_ == kInfinity || now >= stale_at_) return first;
  return std::min(first, kDelayShareOfRemaining * (stale_at_ - now));
}

void EndpointListFreshness::schedule_request(Millis now, Millis within, Millis least) {
  next_request_at_ = now + std::max(least, within * std::uniform_real_distribution<>(0, 1)(random_));
}

void EndpointListFreshness::confirm_current(Millis at) {
  stale_at_ = std::max(stale_at_ == kInfinity ? -kInfinity : stale_at_,
                       at + kAssumedDelivery + terms_.grace - kMargin);
}

void EndpointListFreshness::start(Millis now) {
  if (!terms_.must_poll) return;
  // No update counts as notified to an instance before its start.
  if (terms_.pushed)
    stale_at_ = now + safe_after_proof();
  else
    confirm_current(now);
  next_request_at_ = now;
}

void EndpointListFreshness::on_keepalive(Millis now) {
  if (!terms_.must_poll || (!watching_ && !request_pending_)) return;
  last_keepalive_at_ = now;
  confirm_current(now);
}

void EndpointListFreshness::on_update(Millis now) {
  if (!terms_.must_poll) return;
  request_pending_ = may_have_missed_updates_ = false;
  watching_ = true;
  next_request_at_ = kInfinity;
  backoff_ = retry_round_ = 0;
  // A source without keepalives can't be silent: its list stays fresh until it fails.
  if (last_keepalive_at_ != -kInfinity)
    on_keepalive(now);
  else
    stale_at_ = kInfinity;
}

void EndpointListFreshness::on_call_failed(Millis now, CallEnd end) {
  if (!terms_.must_poll) return;
  request_pending_ = false;
  bool ended = std::exchange(watching_, false);
  if (terms_.pushed) {
    if (ended) stale_at_ = std::min(stale_at_, now + safe_after_proof());
    return schedule_request(now, kLocalAgentRetry);
  }
  // Updates before the end of the watch were delivered.
  if (ended && (stale_at_ == kInfinity || end == CallEnd::ended)) confirm_current(now);
  if (end == CallEnd::refused) confirm_current(last_request_at_);
  Millis first = request_spread(now);
  bool reached = end == CallEnd::failed || end == CallEnd::ended;
  if (now < stale_at_ && reached) {
    if (retry_round_ > 0) return void(next_request_at_ = std::max(now, last_request_at_ + retry_round_));
    retry_round_ = first;
    return schedule_request(now, retry_round_);
  }
  Millis most = std::max(terms_.max_poll_interval / 4, 4 * first);
  backoff_ =
      backoff_ > 0 ? std::min(2 * backoff_, reached ? most : std::max(first, kMaxUnreachableRetry)) : first;
  if (!reached)
    return schedule_request(now, std::min(backoff_, kMaxUnreachableRetry),
                            std::min(backoff_, kMaxUnreachableRetry) / 2);
  schedule_request(now, backoff_);
}

void EndpointListFreshness::on_service_moved(Millis now) {
  if (!terms_.must_poll) return;
  watching_ = request_pending_ = false;
  may_have_missed_updates_ = true;
  stale_at_ = std::min(stale_at_, now + kAssumedDeliveryAfterMove + terms_.grace - kMargin);
  schedule_request(now, std::min(request_spread(now), kMaxUnreachableRetry));
}

bool EndpointListFreshness::should_request(Millis now) {
  if (!terms_.must_poll) return false;
  // A silent watch is broken and requested again. `may_have_missed_updates_` stays set until a list is
  // received.
  if (watching_ && last_keepalive_at_ != -kInfinity &&
      now - last_keepalive_at_ > kKeepaliveInterval + kKeepaliveSlack) {
    watching_ = false;
    may_have_missed_updates_ = true;
    retry_round_ = terms_.pushed ? 0 : request_spread(now);
    schedule_request(now, retry_round_);
  }
  // A request without an answer counts as lost after half of the maximum interval.
  bool lost = request_pending_ && now - last_request_at_ > terms_.max_poll_interval / 2;
  if (watching_ || (now < next_request_at_ && !lost)) return false;
  request_pending_ = true;
  last_request_at_ = now;
  next_request_at_ = kInfinity;
  return true;
}

}  // namespace winchhall::membership
