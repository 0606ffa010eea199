#include "cluster/scheduler/report_deduplicator.hpp"

#include <algorithm>

namespace winchhall::cluster::scheduling {

bool ReportDeduplicator::accept(std::uint64_t session, std::uint64_t number) {
  if (session == current_.id) {
    if (number <= current_.newest) return false;
    current_.newest = number;
    return true;
  }
  auto earlier = std::find_if(retired_.begin(), retired_.end(),
                              [&](const Session& retired) { return retired.id == session; });
  if (earlier != retired_.end()) {
    // A higher number can't have been in flight when the session was retired: the process is still alive.
    if (number <= earlier->newest + kMaxReportsInFlight) return false;
    retired_.erase(earlier);
  }
  retired_.push_back(current_);
  if (retired_.size() > kMaxRetiredSessions) retired_.pop_front();
  current_ = {session, number};
  return true;
}

}  // namespace winchhall::cluster::scheduling
