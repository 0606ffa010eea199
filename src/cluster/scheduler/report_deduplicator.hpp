// Sorts out reports that arrive twice, late or out of order.
#pragma once

#include <cstdint>
#include <deque>

namespace winchhall::cluster::scheduling {

// Decides which reports of one node are new. A session is one process of the node's worker-agent; it numbers
// its reports upwards, and its session ID is random, so that IDs don't tell which process is the later one.
// Reports of an earlier process may still arrive after the first of its successor.
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
  static constexpr std::uint64_t kMaxReportsInFlight = 3;  // of one process
  static constexpr std::size_t kMaxRetiredSessions = 8;

  Session current_;
  std::deque<Session> retired_;  // earlier sessions, newest last
};

}  // namespace winchhall::cluster::scheduling
