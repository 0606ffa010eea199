// Tells the reports of the worker-agent process that runs now from late ones of earlier processes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "cluster/scheduler/run.hpp"

namespace winchhall::cluster::scheduling {

// Whether a report may have an effect.
enum class ReportStatus {
  outdated,     // not newer than one that has arrived from the same process
  unconfirmed,  // the process may have ended since it sent the report
  current,      // sent by the process that runs now
};

// What the tracker needs of a report.
struct ReportOrigin {
  std::uint64_t session = 0;       // ID of the process; random
  std::uint64_t number = 0;        // increases within a session
  Revision received_revision = 0;  // highest revision of this leader that the process has received
};

// Decides which reports of one node count. A session is one process of the node's worker-agent. Session IDs
// don't show which of two processes is the later one, and a report may arrive long after its process has
// ended, in any number.
//
// Challenge and response: when a report of another session than the current one arrives, that session is
// given a revision that no answer has named before. The session becomes the current one with a report that
// confirms this revision, which shows that its process was running after the challenge.
//
// Invariants: there is at most one current session; a session becomes current only by a response to a
// challenge that was made after the previous one had become current.
class WorkerSessionTracker {
 public:
  // Classifies a report. `next_revision`: higher than any revision that an answer to this node has named; it
  // is used up if `challenge` equals it afterwards.
  ReportStatus observe(const ReportOrigin& report, Revision next_revision);
  // The revision that the session must confirm; 0 if it is current or unknown. Answers to it must name at
  // least this revision.
  Revision challenge(std::uint64_t session) const;

 private:
  struct Session {
    std::uint64_t id = 0;
    std::uint64_t newest = 0;  // highest number of a report
    Revision challenge = 0;
  };
  static constexpr std::size_t kMaxCandidates = 8;

  Session* find_candidate(std::uint64_t session);

  Session current_;
  std::deque<Session> candidates_;  // not confirmed; oldest first
};

}  // namespace winchhall::cluster::scheduling
