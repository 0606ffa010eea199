// Escrowed shares of one bound that holds over any window of time, spent by many instances that share no
// clock.
//
// Method: escrow (P. E. O'Neil, "The Escrow Transactional Method", ACM TODS 11(4), 1986) in the manner of
// bounded counters (V. Balegas et al., "Putting Consistency Back into Eventual Consistency", EuroSys 2015); a
// share moves only as a loan that is a lease (C. Gray and D. Cheriton, "Leases", SOSP 1989), counted from the
// borrower's ask. Why the fleet's sum stays under the bound: docs/fleet-state-design.md.
//
// Units: amounts in what the bound counts (attempts, ms of work); times in ms of this instance's own steady
// clock, whose rate differs from real time by at most `drift`. No I/O; one owner, not for several threads.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace winchhall::fleet {

using Millis = double;

struct EscrowSettings {
  double bound = 0;      // what the whole fleet may spend in any window
  int fleet = 1;         // instances that the settings count: each owns bound / fleet
  Millis window = 1000;  // ms of the bound's window
  Millis lease = 2000;   // ms: a loan is used at most so long after its ask
  double drift = 0.01;   // share by which a clock's rate may be off real time, at most
};

struct Ask {
  std::uint64_t number = 0;  // this instance's own count of asks
  double amount = 0;
};

struct Loan {
  std::uint64_t number = 0;  // of the ask it answers
  double amount = 0;
};

class Escrow {
 public:
  // Throws std::invalid_argument for a bound below 0, a fleet below 1, a window or lease not above 0, or a
  // drift outside [0, 0.5).
  explicit Escrow(EscrowSettings settings);

  double own_share() const { return settings_.bound / settings_.fleet; }
  // What may be spent now: the own share and loans held, less what is spent and lent in the window.
  double free(Millis now);
  // Spends `amount` where it fits; else false, and nothing changes.
  bool spend(Millis now, double amount);
  // An ask for a loan; its time is kept, as the loan's lease counts from it.
  Ask ask(Millis now, double amount);
  // Lends up to what was asked of the own share that is free now, never of loans held; none where nothing is
  // free.
  std::optional<Loan> lend(Millis now, const Ask& ask);
  // Takes a loan once, while its lease lasts; returns what was taken (0 for a repeated, unknown or late one).
  double take(Millis now, const Loan& loan);

 private:
  struct Entry {
    Millis until = 0;
    double amount = 0;
  };
  void expire(Millis now);
  double against() const;

  EscrowSettings settings_;
  std::vector<Entry> against_;            // spends and loans given, each until it can no longer count
  std::vector<Entry> held_;               // loans taken, each until its lease ends
  std::map<std::uint64_t, Millis> asks_;  // asks not yet answered: when each was made
  std::deque<std::uint64_t> ask_order_;   // to forget the oldest first
  std::uint64_t next_ask_ = 1;
};

}  // namespace winchhall::fleet
