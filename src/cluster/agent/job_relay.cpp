#include "cluster/agent/job_relay.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis kDefaultDeadline{3000};
constexpr std::uint32_t kRepeatedRejectionRetryAfterMs = 500;
// A waiter that has at least this much time left when its relay reaches the deadline is relayed again, with
// its own deadline.
constexpr Millis kMinTimeToRelayAgain{200};

std::string request_key(const wire::JobRequest& request) {
  return std::to_string(request.verb()) + "/" + request.service() + "/" + request.terms().queue() + "/" +
         request.id();
}

wire::JobRequest identity_of(const wire::JobRequest& request) {
  wire::JobRequest identity;
  identity.set_origin(request.origin());
  identity.set_number(request.number());
  return identity;
}

wire::Envelope to_envelope(wire::JobReply reply, Millis relayed) {
  wire::Envelope envelope;
  reply.set_relayed_ms(static_cast<std::uint32_t>(relayed.count()));
  *envelope.mutable_job_reply() = std::move(reply);
  return envelope;
}

}  // namespace

JobRelay::JobRelay(const LeaderCallContext& context) : context_(context), router_(context) {}

void JobRelay::handle(const wire::JobRequest& request, const ReplyCallback& reply) {
  if (request.verb() == wire::JOB_SUBMIT && repeat_rejection(request, reply)) return;
  const Millis timeout = request.deadline_ms() == 0 ? kDefaultDeadline : Millis(request.deadline_ms());
  const TimePoint deadline = context_.runtime.now() + timeout;
  const std::string key = request_key(request);
  const auto [entry, is_new] = open_requests_.try_emplace(key);
  entry->second.waiters.push_back({deadline, reply, identity_of(request)});
  if (!is_new) return;
  entry->second.request = request;
  entry->second.started = context_.runtime.now();
  entry->second.deadline = deadline;
  router_.route(request, deadline, [this, key](const wire::JobReply& result) { finish(key, result); });
}

void JobRelay::finish(const std::string& key, const wire::JobReply& result) {
  const auto node = open_requests_.extract(key);
  const OpenRequest& finished = node.mapped();
  const TimePoint now = context_.runtime.now();
  const bool deadline_reached = result.outcome() == wire::JOB_IN_DOUBT && now >= finished.deadline;
  for (const Waiter& waiter : finished.waiters) {
    const auto time_left = std::chrono::duration_cast<Millis>(waiter.deadline - now);
    if (deadline_reached && time_left >= kMinTimeToRelayAgain) {
      wire::JobRequest retry = finished.request;
      retry.set_origin(waiter.identity.origin());
      retry.set_number(waiter.identity.number());
      retry.set_deadline_ms(static_cast<std::uint32_t>(time_left.count()));
      handle(retry, waiter.reply);
    } else {
      reply_to(waiter, result, std::chrono::duration_cast<Millis>(now - finished.started));
    }
  }
}

void JobRelay::reply_to(const Waiter& waiter, const wire::JobReply& result, Millis relayed) {
  if (result.outcome() == wire::JOB_REJECTED) rejected_.record(waiter.identity);
  waiter.reply(to_envelope(result, relayed));
}

bool JobRelay::repeat_rejection(const wire::JobRequest& request, const ReplyCallback& reply) {
  const EarlierRejection earlier = rejected_.find(request);
  if (earlier == EarlierRejection::none) return false;
  reply(to_envelope(repeated_rejection_reply(earlier, kRepeatedRejectionRetryAfterMs), Millis(0)));
  return true;
}

}  // namespace winchhall::cluster
