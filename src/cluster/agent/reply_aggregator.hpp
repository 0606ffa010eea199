// Combines the replies of several services to one job request.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>

#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// Reports the first JOB_OK at once; otherwise, once all services have replied, JOB_NOT_FOUND if every reply
// was that, JOB_REJECTED if some were that and all others JOB_NOT_FOUND, and JOB_IN_DOUBT if not. Not
// thread-safe.
class ReplyAggregator {
 public:
  using Done = std::function<void(const wire::JobReply&)>;

  // `expected`: number of replies, at least 1. `done` is called exactly once.
  ReplyAggregator(std::size_t expected, Done done);

  // Adds the reply of one service. Replies after the result are ignored.
  void add(const wire::JobReply& reply);

 private:
  wire::JobReply combined_reply() const;
  void finish(const wire::JobReply& reply);

  std::size_t missing_;
  bool is_in_doubt_ = false;                 // a reply was neither JOB_OK, JOB_NOT_FOUND nor JOB_REJECTED
  std::optional<wire::JobReply> rejection_;  // the newest one
  Done done_;                                // empty once it was called
};

}  // namespace winchhall::cluster
