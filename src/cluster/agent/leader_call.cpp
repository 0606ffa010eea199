#include "cluster/agent/leader_call.hpp"

#include <algorithm>

namespace winchhall::cluster {

namespace {

constexpr Millis kAttemptTimeout{700};
constexpr Millis kInitialCallBackoff{30};
constexpr Millis kMaxCallBackoff{200};
constexpr unsigned kMaxRedirects = 3;
// A submit for which no leader becomes known within this time is rejected, so that its client retries later.
constexpr Millis kUnsentSubmitTimeout{2000};
constexpr std::uint32_t kRetryAfterMs = 500;

}  // namespace

LeaderCall::LeaderCall(const LeaderCallContext& context, wire::JobRequest request, TimePoint deadline,
                       Done done)
    : context_(context),
      request_(std::move(request)),
      started_(context.runtime.now()),
      deadline_(deadline),
      done_(std::move(done)),
      backoff_(kInitialCallBackoff) {}

void LeaderCall::start() {
  deadline_timer_ = context_.runtime.after(time_until(deadline_), [self = weak_from_this()] {
    if (const auto call = self.lock()) call->give_up();
  });
  context_.budget.record_first_attempt(context_.runtime.now());
  begin_attempt();
}

void LeaderCall::on_leaders_changed() {
  if (finished_) return;
  const Address leader = context_.view.leader_of(request_.service());
  if (leader.empty() || leader == attempt_target_) return;
  const bool waits_for_retry = attempt_target_.empty() && retry_timer_ != nullptr;
  const bool is_in_flight = !attempt_target_.empty();
  if (waits_for_retry || is_in_flight) send(leader);
}

void LeaderCall::begin_attempt() {
  retry_timer_.reset();
  const auto now = context_.runtime.now();
  if (was_never_sent() && now >= unsent_deadline()) return give_up();
  const Address leader = context_.view.leader_of(request_.service());
  if (leader.empty()) {
    context_.watcher.refresh({});
    return back_off();
  }
  if (attempts_ > 0 && !context_.budget.try_acquire(now)) return retry_after(kMaxCallBackoff);
  send(leader);
}

void LeaderCall::send(const Address& target) {
  retry_timer_.reset();
  const unsigned attempt = ++attempts_;
  attempt_target_ = target;
  const Millis timeout = std::min(kAttemptTimeout, time_until(deadline_));
  wire::Envelope envelope;
  *envelope.mutable_job_request() = request_;
  envelope.mutable_job_request()->set_deadline_ms(static_cast<std::uint32_t>(timeout.count()));
  context_.runtime.call(target, std::move(envelope), timeout,
                        [self = shared_from_this(), attempt, target](const CallResult& result) {
                          self->on_result(attempt, target, result);
                        });
}

void LeaderCall::on_result(unsigned attempt, const Address& target, const CallResult& result) {
  if (finished_) return;
  const bool answered = result.answer && result.answer->has_job_reply();
  const bool newest = attempt == attempts_ && !attempt_target_.empty();
  if (!newest) {
    // Of an attempt that was superseded by another one, only a success counts.
    if (answered && result.answer->job_reply().outcome() == wire::JOB_OK) finish(result.answer->job_reply());
    return;
  }
  attempt_target_.clear();
  if (answered) return on_reply(result.answer->job_reply(), target);
  retry_after_failure(target);
}

void LeaderCall::on_reply(const wire::JobReply& reply, const Address& target) {
  switch (reply.outcome()) {
    case wire::JOB_OK:
    case wire::JOB_NOT_FOUND:
    case wire::JOB_INVALID:
    case wire::JOB_NO_QUEUE:
      return finish(reply);
    case wire::JOB_REJECTED:
      // Another node may have accepted an earlier attempt of a submit.
      return attempts_ == 1 || request_.verb() != wire::JOB_SUBMIT ? finish(reply) : give_up();
    case wire::JOB_NOT_LEADER:
      return on_not_leader(reply, target);
    default:
      return retry_after_failure(target);
  }
}

void LeaderCall::on_not_leader(const wire::JobReply& reply, const Address& target) {
  const Address& leader = reply.leader_address();
  const bool is_other_node = !leader.empty() && leader != target;
  if (!is_other_node || redirects_followed_ >= kMaxRedirects) return retry_after_failure(target);
  ++redirects_followed_;
  send(leader);
}

void LeaderCall::retry_after_failure(const Address& failed) {
  context_.watcher.refresh(failed);
  back_off();
}

void LeaderCall::back_off() {
  const auto half = static_cast<std::uint64_t>(backoff_.count()) / 2;
  const Millis delay(half + context_.runtime.random() % (half + 1));
  backoff_ = std::min(backoff_ * 2, kMaxCallBackoff);
  retry_after(delay);
}

void LeaderCall::retry_after(Millis delay) {
  retry_timer_ = context_.runtime.after(delay, [self = weak_from_this()] {
    if (const auto call = self.lock()) call->begin_attempt();
  });
}

TimePoint LeaderCall::unsent_deadline() const {
  if (request_.verb() != wire::JOB_SUBMIT) return deadline_;
  return std::min(deadline_, started_ + kUnsentSubmitTimeout);
}

void LeaderCall::give_up() {
  wire::JobReply reply;
  const bool rejected = request_.verb() == wire::JOB_SUBMIT && was_never_sent();
  reply.set_outcome(rejected ? wire::JOB_REJECTED : wire::JOB_IN_DOUBT);
  if (rejected) reply.set_retry_after_ms(kRetryAfterMs);
  finish(reply);
}

void LeaderCall::finish(const wire::JobReply& reply) {
  if (finished_) return;
  finished_ = true;
  retry_timer_.reset();
  deadline_timer_.reset();
  const auto done = std::move(done_);
  done(reply);
}

Millis LeaderCall::time_until(TimePoint end) const {
  const auto time_left = std::chrono::duration_cast<Millis>(end - context_.runtime.now());
  return std::max(time_left, Millis(1));
}

}  // namespace winchhall::cluster
