// When the list of servers is asked for, and until when it may be gone by: one place for choice, drains and
// cold servers alike. No I/O, no clock of its own: times are milliseconds of the caller's clock, any origin.
//
// A list is told once it was written to us; but whatever the service has and could be asked for counts as
// told a fixed time later, whether or not it came: behind a watch that fell silent or ended, and after calls
// that failed, were refused or given up, however many. What an agent beside us has counts at once. So the
// list is current up to some moment (a line of the watch, an answer, a refusal that shows that nobody could
// be asked), and so long after it a send may be against a drain that we have not heard of: the list is
// overdue, and says nothing any more. The wait for silence, the spread of the calls of a whole fleet and a
// call that fails once have to fit in before that.
#pragma once

#include <cstdint>
#include <limits>
#include <random>

#include "winchhall/coordinator.hpp"

namespace winchhall::fleet {

using Millis = double;

struct ListTerms {
  bool asked = false;      // a watch must be held: lists come by it alone
  bool pushed = false;     // an agent beside us has the list: what it has is told, watch or no watch
  int brokers = 1;         // how many instances ask the same service
  Millis must_ask_in = 0;  // at least this often while there is no watch
  Millis grace = 0;        // a send still counts as in time this long after its server's drain was told
};

using winchhall::CallEnd;

class ListClock {
 public:
  ListClock(const ListTerms& terms, std::uint64_t seed) : terms_(terms), random_(seed) {}
  void change(const ListTerms& terms) { terms_ = terms; }

  void start(Millis now);                // with the list of before at the most
  void heard(Millis now);                // the watch wrote something, if only its empty line
  void told(Millis now);                 // a list came in answer to a call, or a change on the watch
  void failed(Millis now, CallEnd end);  // a call failed, or the watch ended before our eyes
  void moved(Millis now);  // the service is at another address; the old watch tells nothing more

  // Is a call due? If so it counts as made.
  bool ask(Millis now);
  // May the list be gone by?
  bool believable(Millis now) const { return now < overdue_at_; }
  Millis overdue_at() const { return overdue_at_; }
  // Until when a server that certainly did not drain at `proved_at` may be chosen: so long as the list may be
  // gone by, or it is known not to drain otherwise.
  Millis choose_by(Millis proved_at) const;
  // ... and a send to it be written: half of our own slack later.
  Millis write_by(Millis proved_at) const;

 private:
  static constexpr Millis kEver = std::numeric_limits<Millis>::infinity();
  Millis safe_after_proof() const;
  Millis spread(Millis now) const;
  void current(Millis at);  // all that the service had by then, or nobody could have asked it
  void plan(Millis now, Millis within, Millis least = 0);

  ListTerms terms_;
  std::mt19937_64 random_;
  bool watching_ = false, open_call_ = false;
  // A watch fell silent, or the service moved: what came since may count as told before a fixed time is over.
  bool blind_ = false;
  Millis heard_at_ = -kEver;  // of the watch; the source may never say
  Millis asked_at_ = 0, ask_at_ = kEver, wait_ = 0, overdue_at_ = kEver;
  Millis round_ = 0;  // in which each instance of the fleet calls once; 0: no call has failed of late
};

}  // namespace winchhall::fleet
