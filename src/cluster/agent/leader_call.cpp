#include "cluster/agent/leader_call.hpp"

#include <algorithm>

namespace winchhall::cluster {

namespace {

constexpr Millis kAttemptTimeout{700};
constexpr Millis kInitialCallBackoff{30};
constexpr Millis kMaxCallBackoff{200};
constexpr unsigned kMaxRedirects = 3;
// A submit that was sent nowhere is given up after this long, so that its client may come back later.
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
  end_timer_ = context_.runtime.after(left_until(deadline_), [self = weak_from_this()] {
    if (const auto call = self.lock()) call->give_up();
  });
  context_.budget.record_first_attempt(context_.runtime.now());
  begin_attempt();
}

void LeaderCall::on_leaders_changed() {
  if (finished_) return;
  const Address leader = context_.view.leader_of(request_.service());
  if (leader.empty() || leader == attempt_target_) return;
  const bool waits = attempt_target_.empty() && timer_ != nullptr;
  const bool elsewhere = !attempt_target_.empty();
  if (waits || elsewhere) send(leader);
}

void LeaderCall::begin_attempt() {
  timer_.reset();
  const auto now = context_.runtime.now();
  if (was_never_sent() && now >= unsent_deadline()) return give_up();
  const Address next = context_.view.leader_of(request_.service());
  if (next.empty()) {
    context_.watcher.refresh({});
    return back_off();
  }
  if (attempts_ > 0 && !context_.budget.try_acquire(now)) return wait(kMaxCallBackoff);
  send(next);
}

void LeaderCall::send(const Address& target) {
  timer_.reset();
  const auto number = ++attempts_;
  attempt_target_ = target;
  const Millis timeout = std::min(kAttemptTimeout, left_until(deadline_));
  wire::Envelope envelope;
  *envelope.mutable_job_request() = request_;
  envelope.mutable_job_request()->set_deadline_ms(static_cast<std::uint32_t>(timeout.count()));
  context_.runtime.call(target, std::move(envelope), timeout,
                        [self = shared_from_this(), number, target](const CallResult& result) {
                          self->on_result(number, target, result);
                        });
}

void LeaderCall::on_result(unsigned try_number, const Address& target, const CallResult& result) {
  if (finished_) return;
  const bool answered = result.answer && result.answer->has_job_reply();
  const bool newest = try_number == attempts_ && !attempt_target_.empty();
  if (!newest) {
    // A try that another has replaced: only its success still counts.
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
      // With an earlier try, another node may have taken it all the same.
      return attempts_ == 1 ? finish(reply) : give_up();
    case wire::JOB_NOT_LEADER:
      return on_not_leader(reply, target);
    default:
      return retry_after_failure(target);
  }
}

void LeaderCall::on_not_leader(const wire::JobReply& reply, const Address& target) {
  const Address& hint = reply.leader_address();
  const bool follow = !hint.empty() && hint != target && redirects_followed_ < kMaxRedirects;
  if (!follow) return retry_after_failure(target);
  ++redirects_followed_;
  send(hint);
}

void LeaderCall::retry_after_failure(const Address& failed) {
  context_.watcher.refresh(failed);
  back_off();
}

void LeaderCall::back_off() {
  const auto span = static_cast<std::uint64_t>(backoff_.count());
  const Millis pause(span / 2 + context_.runtime.random() % (span / 2 + 1));
  backoff_ = std::min(backoff_ * 2, kMaxCallBackoff);
  wait(pause);
}

void LeaderCall::wait(Millis pause) {
  timer_ = context_.runtime.after(pause, [self = weak_from_this()] {
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
  timer_.reset();
  end_timer_.reset();
  const auto done = std::move(done_);
  done(reply);
}

Millis LeaderCall::left_until(TimePoint end) const {
  const auto left = std::chrono::duration_cast<Millis>(end - context_.runtime.now());
  return std::max(left, Millis(1));
}

}  // namespace winchhall::cluster
