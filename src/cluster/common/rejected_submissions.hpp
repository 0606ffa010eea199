// Memory of the submissions that this process rejected, so that a late duplicate of one is not accepted.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>

#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// What the memory says about a submission.
enum class EarlierRejection {
  none,      // this message was not rejected here
  rejected,  // it was: its duplicate has to be rejected as well
  unknown,   // it may have been: the entry that would tell was dropped, or the sender doesn't number its
             // messages
};

// A message may arrive more than once and late, as a silent connection gets others beside it (see
// PeerConnections), and a duplicate may come when there is capacity again. Whoever rejects a submission has
// told its client that the job will not run, so the same message must never be accepted afterwards. A new
// attempt of the client under the same job id has another number and may be accepted.
//
// Invariant: a message that was recorded is never reported as `none` afterwards by this object, while its
// origin is remembered. The bounds: the 16,384 newest rejections, a minute of 280 submissions a second that
// are all rejected, about 1 MB; and 4,096 origins, which are the processes of ingresses. Duplicates reach a
// process only over connections that were open when they were sent, so nothing has to outlive the process.
//
// Not thread-safe.
class RejectedSubmissions {
 public:
  // `request` names its origin and number; one without an origin can't be recognised.
  EarlierRejection find(const wire::JobRequest& request) const;
  void record(const wire::JobRequest& request);

  std::size_t size() const { return newest_.size(); }

 private:
  struct Origin {
    std::set<std::uint64_t> rejected;
    std::uint64_t dropped_up_to = 0;  // the highest number whose entry was dropped; 0: none
    std::uint64_t last_recorded = 0;  // position in the order of all recordings
  };

  void drop_oldest();
  void drop_oldest_origin();

  std::map<std::uint64_t, Origin> origins_;
  std::deque<std::pair<std::uint64_t, std::uint64_t>> newest_;  // (origin, number), oldest first
  std::uint64_t recordings_ = 0;
};

// The reply to a submission for which the memory says something: rejected again, or in doubt. Not for `none`.
wire::JobReply repeated_rejection_reply(EarlierRejection earlier, std::uint32_t retry_after_ms);

}  // namespace winchhall::cluster
