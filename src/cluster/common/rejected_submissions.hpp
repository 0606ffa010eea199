// Records the submissions that this process rejected, so that a late duplicate of one is not accepted.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>

#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// Whether a submission was rejected earlier by this process.
enum class EarlierRejection {
  none,      // this message was not rejected here
  rejected,  // this message was rejected here: a duplicate has to be rejected as well
  unknown,   // this message may have been rejected here: its entry has been dropped since
};

// A message may arrive more than once and late, because a request is sent on several connections while the
// peer doesn't respond (see PeerConnections), and a duplicate may arrive when there is capacity again. The
// client of a rejected submission has been told that the job will not run, so the same message must never be
// accepted afterwards. A new attempt of the client with the same job ID has another message number and may be
// accepted.
//
// Invariant: while the origin of a recorded message is held, this object never reports the message as `none`.
// Limits: the 16,384 newest rejections (one minute of 280 submissions per second that are all rejected, about
// 1 MB) and 4,096 origins (an origin is one ingress process). Duplicates reach a process only over
// connections that were open when they were sent, so the records need not outlive the process.
//
// Not thread-safe.
class RejectedSubmissions {
 public:
  // Looks up the request by its origin and message number. A request without an origin (0) is never recorded
  // and always reported as `none`.
  EarlierRejection find(const wire::JobRequest& request) const;
  // Records a rejected request. Drops the oldest entries beyond the limits.
  void record(const wire::JobRequest& request);

  // Number of rejections held.
  std::size_t size() const { return newest_.size(); }

 private:
  struct Origin {
    std::set<std::uint64_t> rejected;
    std::uint64_t dropped_up_to = 0;  // highest message number whose entry was dropped; 0: none
    std::uint64_t last_recorded = 0;  // value of `recordings_` at the last recording for this origin
  };

  void drop_oldest();
  void drop_oldest_origin();

  std::map<std::uint64_t, Origin> origins_;
  std::deque<std::pair<std::uint64_t, std::uint64_t>> newest_;  // (origin, number), oldest first
  std::uint64_t recordings_ = 0;
};

// The reply to a repeated submission: JOB_REJECTED with `retry_after_ms` for `rejected`, JOB_IN_DOUBT for
// `unknown`. Not to be called for `none`.
wire::JobReply repeated_rejection_reply(EarlierRejection earlier, std::uint32_t retry_after_ms);

}  // namespace winchhall::cluster
