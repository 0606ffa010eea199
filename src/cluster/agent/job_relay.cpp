#include "cluster/agent/job_relay.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

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

JobRelay::JobRelay(const LeaderCallContext& context, ServiceListFetcher& service_lists)
    : context_(context), router_(context, service_lists) {}

void JobRelay::handle(const wire::JobRequest& request, const ReplyCallback& reply) {
  if (request.verb() == wire::JOB_SUBMIT && repeat_rejection(request, reply)) return;
  const Millis timeout = request.deadline_ms() == 0 ? kDefaultDeadline : Millis(request.deadline_ms());
  const TimePoint deadline = context_.runtime.now() + timeout;
  const std::string key = request_key(request);
  if (must_hold(request, key)) return hold(request, deadline, reply);
  const auto [entry, is_new] = open_requests_.try_emplace(key);
  entry->second.waiters.push_back({deadline, reply, identity_of(request)});
  if (!is_new) return;
  if (request.verb() == wire::JOB_SUBMIT) open_submits_[request.id()] = key;
  entry->second.request = request;
  entry->second.started = context_.runtime.now();
  entry->second.deadline = deadline;
  router_.route(request, deadline, [this, key](const wire::JobReply& result) { finish(key, result); });
}

bool JobRelay::must_hold(const wire::JobRequest& request, const std::string& key) const {
  if (request.verb() != wire::JOB_SUBMIT) return false;
  const auto open = open_submits_.find(request.id());
  return open != open_submits_.end() && open->second != key;
}

void JobRelay::hold(const wire::JobRequest& request, TimePoint deadline, const ReplyCallback& reply) {
  const auto held = held_submits_.insert(held_submits_.end(), {request, deadline, reply, nullptr});
  const auto wait = std::chrono::duration_cast<Millis>(deadline - context_.runtime.now());
  held->timer = context_.runtime.after(std::max(wait, Millis(1)), [this, held] {
    const ReplyCallback answer = std::move(held->reply);
    held_submits_.erase(held);
    wire::JobReply in_doubt;
    in_doubt.set_outcome(wire::JOB_IN_DOUBT);
    answer(to_envelope(std::move(in_doubt), Millis(0)));
  });
}

void JobRelay::release_held(const std::string& job) {
  std::list<HeldSubmit> released;
  for (auto next = held_submits_.begin(); next != held_submits_.end();) {
    const auto held = next++;
    if (held->request.id() == job) released.splice(released.end(), held_submits_, held);
  }
  for (HeldSubmit& held : released) {
    const auto time_left = std::chrono::duration_cast<Millis>(held.deadline - context_.runtime.now());
    held.request.set_deadline_ms(static_cast<std::uint32_t>(std::max(time_left, Millis(1)).count()));
    handle(held.request, held.reply);
  }
}

void JobRelay::finish(const std::string& key, const wire::JobReply& result) {
  const auto node = open_requests_.extract(key);
  const OpenRequest& finished = node.mapped();
  const bool was_submit = finished.request.verb() == wire::JOB_SUBMIT;
  if (was_submit) open_submits_.erase(finished.request.id());
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
  if (was_submit) release_held(finished.request.id());
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
