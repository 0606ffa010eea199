// Answers agents' job requests through a service's scheduler, and acknowledges changes only once they are
// durable.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "cluster/common/rejected_submissions.hpp"
#include "cluster/common/runtime.hpp"
#include "cluster/scheduler/scheduler.hpp"

namespace winchhall::cluster {

// Handles the job requests of one service while this node leads it.
//
// Owns the replies that are held back until the record changes that they report are durable. The scheduler
// belongs to the caller, which passes it in only while it holds the lease. Single-threaded.
//
// Invariant: a reply of JOB_OK to a submission or cancellation is sent only after its changes are durable on
// a majority. If that can no longer be determined, the reply is JOB_IN_DOUBT. A rejected submission stays
// rejected, however late a duplicate of its message arrives, also under a later lease. A reply of
// JOB_NOT_FOUND that promises to reject late submissions is sent only after that promise is durable.
class JobRequestEndpoint {
 public:
  // `runtime` must outlive the endpoint.
  JobRequestEndpoint(Runtime& runtime, std::string service)
      : runtime_(runtime), service_(std::move(service)) {}

  // Executes a request and replies, either now or once `send_durable_replies` is called for its changes.
  // Returns true if the scheduler may have changed and must plan.
  bool handle(Scheduler& scheduler, const wire::JobRequest& request, const ReplyCallback& reply);
  // Sends the replies that wait for change batches up to `durable`.
  void send_durable_replies(ChangeBatchNumber durable);
  // Sends JOB_IN_DOUBT in place of all replies that are held back. `leader` is the address of the new leader,
  // empty if unknown. Called when the lease is lost.
  void send_in_doubt_replies(const Address& leader);

  // Number of replies that are held back.
  std::size_t pending_replies() const { return pending_.size(); }

 private:
  struct PendingJobReply {
    ChangeBatchNumber durable_after = 0;
    wire::JobReply message;
    ReplyCallback reply;
  };

  void submit(Scheduler& scheduler, const wire::JobRequest& request, const ReplyCallback& reply);
  SubmitResult submit_unless_late(Scheduler& scheduler, const wire::JobRequest& request);
  void confirm_unknown(Scheduler& scheduler, const wire::JobRequest& request, const ReplyCallback& reply);
  void cancel(Scheduler& scheduler, const wire::JobRequest& request, const ReplyCallback& reply);
  void reply_when_durable(ChangeBatchNumber number, wire::JobReply message, const ReplyCallback& reply);

  Runtime& runtime_;
  const std::string service_;
  std::vector<PendingJobReply> pending_;
  RejectedSubmissions rejected_;
};

}  // namespace winchhall::cluster
