// Filters out reports that arrive twice, late or out of order.
#pragma once

#include <cstdint>
#include <deque>

namespace winchhall::cluster::scheduling {

// Decides which reports of one node are new. A session is one process of the node's worker-agent. Report
// numbers increase within a session. Session IDs are random, so they don't show which process is the later
// one, and reports of an earlier process may still arrive after the first report of its successor.
class ReportDeduplicator {
 public:
  // Returns true if the report is newer than all that were accepted, and records it; false if it must be
  // dropped.
  bool accept(std::uint64_t session, std::uint64_t number);

 private:
  struct Session {
    std::uint64_t id = 0;
    std::uint64_t newest = 0;  // highest accepted report number
  };
  static constexpr std::uint64_t kMaxReportsInFlight = 3;  // per session
  static constexpr std::size_t kMaxRetiredSessions = 8;

  Session current_;
  std::deque<Session> retired_;  // earlier sessions, newest last
};

}  // namespace winchhall::cluster::scheduling
