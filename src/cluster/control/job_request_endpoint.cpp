#include "cluster/control/job_request_endpoint.hpp"

#include <utility>

#include "cluster/common/log.hpp"
#include "cluster/control/service_replies.hpp"

namespace winchhall::cluster {
namespace {

constexpr std::uint32_t kRetryAfterMs = 1000;

wire::JobReply query_reply(const Scheduler& scheduler, const wire::JobRequest& request) {
  const wire::JobState state = scheduler.state(request.id());
  wire::JobReply reply;
  reply.set_outcome(state == wire::JOB_UNKNOWN ? wire::JOB_NOT_FOUND : wire::JOB_OK);
  reply.set_state(state);
  return reply;
}

wire::JobOutcome outcome_of(JobKnowledge knowledge) {
  switch (knowledge) {
    case JobKnowledge::known:
      return wire::JOB_OK;
    case JobKnowledge::unknown:
      return wire::JOB_NOT_FOUND;
    case JobKnowledge::cancelled:
      return wire::JOB_REJECTED;
    default:
      return wire::JOB_IN_DOUBT;
  }
}

wire::JobReply count_reply(const Scheduler& scheduler, const wire::JobRequest& request) {
  wire::JobReply reply;
  reply.set_outcome(wire::JOB_OK);
  reply.set_pending(scheduler.pending(request.terms().queue()));
  return reply;
}

wire::JobReply unknown_verb_reply() {
  wire::JobReply reply;
  reply.set_outcome(wire::JOB_INVALID);
  reply.set_reason("unknown verb");
  return reply;
}

}  // namespace

bool JobRequestEndpoint::handle(Scheduler& scheduler, const wire::JobRequest& request,
                                const ReplyCallback& reply) {
  switch (request.verb()) {
    case wire::JOB_SUBMIT:
      submit(scheduler, request, reply);
      return true;
    case wire::JOB_CANCEL:
      cancel(scheduler, request, reply);
      return true;
    case wire::JOB_QUERY:
      if (request.confirms_unknown()) {
        confirm_unknown(scheduler, request, reply);
        return true;
      }
      reply(job_reply_envelope(query_reply(scheduler, request)));
      return false;
    case wire::JOB_COUNT:
      reply(job_reply_envelope(count_reply(scheduler, request)));
      return false;
    default:
      reply(job_reply_envelope(unknown_verb_reply()));
      return false;
  }
}

void JobRequestEndpoint::submit(Scheduler& scheduler, const wire::JobRequest& request,
                                const ReplyCallback& reply) {
  const EarlierRejection earlier = rejected_.find(request);
  const bool is_known_job = scheduler.state(request.id()) != wire::JOB_UNKNOWN;
  if (earlier == EarlierRejection::rejected || (earlier == EarlierRejection::unknown && !is_known_job))
    return reply(job_reply_envelope(repeated_rejection_reply(earlier, kRetryAfterMs)));
  const SubmitResult result = submit_unless_late(scheduler, request);
  wire::JobReply message;
  message.set_outcome(result.outcome);
  message.set_reason(result.reason);
  if (result.outcome == wire::JOB_REJECTED) {
    message.set_retry_after_ms(kRetryAfterMs);
    rejected_.record(request);
  }
  if (log_enabled(LogLevel::debug)) {
    log_event(LogLevel::debug, "job_submitted",
              {{"service", service_},
               {"job", request.id()},
               {"outcome", static_cast<std::int64_t>(result.outcome)}});
  }
  reply_when_durable(result.durable_after, std::move(message), reply);
}

SubmitResult JobRequestEndpoint::submit_unless_late(Scheduler& scheduler, const wire::JobRequest& request) {
  if (scheduler.rejects_submission(request.id(), request.configuration_version()))
    return {wire::JOB_REJECTED, 0, "the submission is late"};
  return scheduler.submit(request.id(), request.spec(), request.terms(), runtime_.now(),
                          runtime_.wall_clock_ms());
}

void JobRequestEndpoint::confirm_unknown(Scheduler& scheduler, const wire::JobRequest& request,
                                         const ReplyCallback& reply) {
  const JobLookup result = scheduler.confirm_unknown(request.id(), request.configuration_version(),
                                                     runtime_.now(), runtime_.wall_clock_ms());
  wire::JobReply message;
  message.set_outcome(outcome_of(result.knowledge));
  message.set_state(scheduler.state(request.id()));
  if (result.knowledge == JobKnowledge::cancelled) message.set_retry_after_ms(kRetryAfterMs);
  reply_when_durable(result.durable_after, std::move(message), reply);
}

void JobRequestEndpoint::cancel(Scheduler& scheduler, const wire::JobRequest& request,
                                const ReplyCallback& reply) {
  const JobLookup result = scheduler.cancel(request.id(), runtime_.now(), runtime_.wall_clock_ms());
  wire::JobReply message;
  message.set_outcome(outcome_of(result.knowledge));
  reply_when_durable(result.durable_after, std::move(message), reply);
}

void JobRequestEndpoint::reply_when_durable(ChangeBatchNumber number, wire::JobReply message,
                                            const ReplyCallback& reply) {
  if (number == 0) {
    reply(job_reply_envelope(std::move(message)));
  } else {
    pending_.push_back({number, std::move(message), reply});
  }
}

void JobRequestEndpoint::send_durable_replies(ChangeBatchNumber durable) {
  std::vector<PendingJobReply> released;
  std::erase_if(pending_, [&](PendingJobReply& pending) {
    if (pending.durable_after > durable) return false;
    released.push_back(std::move(pending));
    return true;
  });
  for (PendingJobReply& pending : released) pending.reply(job_reply_envelope(std::move(pending.message)));
}

void JobRequestEndpoint::send_in_doubt_replies(const Address& leader) {
  const std::vector<PendingJobReply> failed = std::exchange(pending_, {});
  for (const PendingJobReply& pending : failed) pending.reply(job_in_doubt_reply(leader));
}

}  // namespace winchhall::cluster
