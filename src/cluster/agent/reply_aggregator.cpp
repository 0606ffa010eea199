#include "cluster/agent/reply_aggregator.hpp"

#include <utility>

namespace winchhall::cluster {

ReplyAggregator::ReplyAggregator(std::size_t expected, Done done)
    : missing_(expected), done_(std::move(done)) {}

void ReplyAggregator::add(const wire::JobReply& reply) {
  if (!done_) return;
  --missing_;
  if (reply.outcome() == wire::JOB_OK) return finish(reply);
  if (reply.outcome() == wire::JOB_REJECTED) {
    rejection_ = reply;
  } else if (reply.outcome() != wire::JOB_NOT_FOUND) {
    is_in_doubt_ = true;
  }
  if (missing_ == 0) finish(combined_reply());
}

wire::JobReply ReplyAggregator::combined_reply() const {
  if (rejection_ && !is_in_doubt_) return *rejection_;
  wire::JobReply reply;
  reply.set_outcome(is_in_doubt_ ? wire::JOB_IN_DOUBT : wire::JOB_NOT_FOUND);
  return reply;
}

void ReplyAggregator::finish(const wire::JobReply& reply) {
  const Done done = std::exchange(done_, nullptr);
  done(reply);
}

}  // namespace winchhall::cluster
