#include "cluster/scheduler/worker_session_tracker.hpp"

#include <algorithm>

namespace winchhall::cluster::scheduling {

WorkerSessionTracker::Session* WorkerSessionTracker::find_candidate(std::uint64_t session) {
  const auto found = std::find_if(candidates_.begin(), candidates_.end(),
                                  [session](const Session& candidate) { return candidate.id == session; });
  return found == candidates_.end() ? nullptr : &*found;
}

ReportStatus WorkerSessionTracker::observe(const ReportOrigin& report, Revision next_revision) {
  const bool is_current = current_.newest > 0 && report.session == current_.id;
  Session* session = is_current ? &current_ : find_candidate(report.session);
  if (session == nullptr) {
    candidates_.push_back({report.session, report.number, next_revision});
    if (candidates_.size() > kMaxCandidates) candidates_.pop_front();
    return ReportStatus::unconfirmed;
  }
  if (report.number <= session->newest) return ReportStatus::outdated;
  session->newest = report.number;
  if (is_current) return ReportStatus::current;
  if (report.received_revision < session->challenge) return ReportStatus::unconfirmed;
  current_ = *session;
  candidates_.clear();  // a response to an earlier challenge may have been sent before this session began
  return ReportStatus::current;
}

Revision WorkerSessionTracker::challenge(std::uint64_t session) const {
  const auto found = std::find_if(candidates_.begin(), candidates_.end(),
                                  [session](const Session& candidate) { return candidate.id == session; });
  return found == candidates_.end() ? 0 : found->challenge;
}

}  // namespace winchhall::cluster::scheduling
