// Freshness of the endpoint list: when it has to be requested, and until when it may be used to select
// servers. No I/O, no clock: times are in ms on the caller's clock, with any origin. Not thread-safe.
//
// Rule of the operators: a server's drain counts as notified when an update was delivered to this instance,
// but also a fixed time (kAssumedDelivery) after the service had it, delivered or not, whether a watch was
// silent or ended and however many calls failed. For updates pushed by a local agent that time is zero. From
// the notification on, sends to the server are allowed for `grace` only.
//
// Invariant: the list is known to be current up to some time (the last keepalive or answer, or a refused
// connection, which shows that no update could be requested). It is stale once a drain after that time could
// count as notified and its grace be over. The detection of a silent watch, the spread of all instances'
// requests and one failed request must fit in before it is stale.
#pragma once

#include <cstdint>
#include <limits>
#include <random>

#include "winchhall/coordinator.hpp"

namespace winchhall::membership {

using Millis = double;

// How updates arrive, from the settings.
struct EndpointListTerms {
  bool must_poll = false;        // a watch must be kept open; if false, the list never gets stale
  bool pushed = false;           // a local agent pushes updates: they count as notified at once
  int instances = 1;             // instances that use the same service
  Millis max_poll_interval = 0;  // maximum interval between requests without a watch
  Millis grace = 0;              // sends to a server are allowed this long after its drain was notified
};

using winchhall::CallEnd;

// State machine of one list: watch, retries and staleness.
class EndpointListFreshness {
 public:
  EndpointListFreshness(const EndpointListTerms& terms, std::uint64_t seed) : terms_(terms), random_(seed) {}
  // Applies changed settings.
  void change(const EndpointListTerms& terms) { terms_ = terms; }

  void start(Millis now);                        // with a list from an earlier run, or none
  void on_keepalive(Millis now);                 // the watch delivered data, possibly just a keepalive line
  void on_update(Millis now);                    // a list was received, or a change on the watch
  void on_call_failed(Millis now, CallEnd end);  // a request failed or the watch ended
  void on_service_moved(Millis now);             // new service address; the old watch is lost

  // Whether a request is due now. If true, the caller must send it: it is recorded as sent.
  bool should_request(Millis now);
  // Whether the list may be used.
  bool is_fresh(Millis now) const { return now < stale_at_; }
  // When it becomes stale unless confirmed; infinity if never.
  Millis stale_at() const { return stale_at_; }
  // Until when a server known not to be draining at `proved_at` may be selected: while the list is fresh, or
  // while that knowledge itself is recent enough.
  Millis selectable_until(Millis proved_at) const;
  // Until when a request to it may still be written: half of kMargin later.
  Millis sendable_until(Millis proved_at) const;

 private:
  static constexpr Millis kInfinity = std::numeric_limits<Millis>::infinity();
  Millis safe_after_proof() const;
  Millis request_spread(Millis now) const;
  void confirm_current(Millis at);  // the list is current as of `at`
  void schedule_request(Millis now, Millis within, Millis least = 0);

  EndpointListTerms terms_;
  std::mt19937_64 random_;
  bool watching_ = false, request_pending_ = false;
  // The watch was silent, or the service moved: updates since then may count as notified already.
  bool may_have_missed_updates_ = false;
  Millis last_keepalive_at_ = -kInfinity;  // of the watch; some sources send no keepalives
  Millis last_request_at_ = 0, next_request_at_ = kInfinity, backoff_ = 0, stale_at_ = kInfinity;
  Millis retry_round_ = 0;  // ms in which each instance sends one retry; 0: no recent failure
};

}  // namespace winchhall::membership
