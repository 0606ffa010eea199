#include "cluster/agent/reply_aggregator.hpp"

#include <utility>

namespace winchhall::cluster {

ReplyAggregator::ReplyAggregator(std::size_t expected, Done done)
    : missing_(expected), done_(std::move(done)) {}

void ReplyAggregator::add(const wire::JobReply& reply) {
  if (!done_) return;
  --missing_;
  if (reply.outcome() == wire::JOB_OK) return finish(reply);
  if (reply.outcome() != wire::JOB_NOT_FOUND) all_not_found_ = false;
  if (missing_ > 0) return;
  wire::JobReply result;
  result.set_outcome(all_not_found_ ? wire::JOB_NOT_FOUND : wire::JOB_IN_DOUBT);
  finish(result);
}

void ReplyAggregator::finish(const wire::JobReply& reply) {
  const Done done = std::exchange(done_, nullptr);
  done(reply);
}

}  // namespace winchhall::cluster
