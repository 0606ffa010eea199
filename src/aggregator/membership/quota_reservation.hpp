// Shares of one rate limit over a sliding time window, used by many instances without a common clock.
//
// Method: escrow (P. E. O'Neil, "The Escrow Transactional Method", ACM TODS 11(4), 1986) in the form of
// bounded counters (V. Balegas et al., "Putting Consistency Back into Eventual Consistency", EuroSys 2015). A
// share moves between instances only as a lease (C. G. Gray and D. R. Cheriton, "Leases", SOSP 1989), whose
// term counts from the borrower's request.
//
// Invariant: what all instances spend within any window stays within the bound, also when messages are lost,
// duplicated or delayed (proof: docs/fleet-state-design.md).
//
// Units: amounts in the unit of the bound (attempts, or ms of work); times in ms of this instance's own
// steady clock, whose rate differs from real time by at most `drift`. No I/O; not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace winchhall::membership {

using Millis = double;

// Parameters; equal in all instances.
struct QuotaReservationSettings {
  double bound = 0;      // limit for all instances together, in any window
  int instances = 1;     // number of instances; each owns bound / instances
  Millis window = 1000;  // ms, length of the window
  Millis lease = 2000;   // ms: a loan may be spent this long after its request
  double drift = 0.01;   // maximum relative error of a clock's rate
};

// A request to another instance to lend a part of its share.
struct ReservationRequest {
  std::uint64_t number = 0;  // sequence number of the requesting instance
  double amount = 0;
};

// A loan.
struct Reservation {
  std::uint64_t number = 0;  // number of the request that it answers
  double amount = 0;
};

// The account of one instance.
class QuotaReservation {
 public:
  // Throws std::invalid_argument for a bound below 0, less than one instance, a window or lease not above 0,
  // or a drift outside [0, 0.5).
  explicit QuotaReservation(QuotaReservationSettings settings);

  double own_share() const { return settings_.bound / settings_.instances; }
  // Amount that may be spent now: own share plus borrowed, less what was spent and lent within the window.
  double free(Millis now);
  // Spends `amount` if it is available; else returns false and changes nothing.
  bool spend(Millis now, double amount);
  // Creates a request for a loan and records its time, from which the lease counts.
  ReservationRequest request(Millis now, double amount);
  // Lends up to the requested amount from the free own share, never from borrowed amounts; nothing if none is
  // free.
  std::optional<Reservation> lend(Millis now, const ReservationRequest& request);
  // Accepts a loan and returns its amount; 0 for one that is a duplicate, unknown or past its lease.
  double take(Millis now, const Reservation& loan);

 private:
  struct Entry {
    Millis until = 0;
    double amount = 0;
  };
  void expire(Millis now);
  double charged() const;

  QuotaReservationSettings settings_;
  std::vector<Entry> charged_;                        // spent and lent, each until it leaves every window
  std::vector<Entry> borrowed_;                       // borrowed, each until its lease ends
  std::map<std::uint64_t, Millis> pending_requests_;  // unanswered requests: when each was made
  std::deque<std::uint64_t> request_order_;           // to drop the oldest first
  std::uint64_t next_request_ = 1;
};

}  // namespace winchhall::membership
