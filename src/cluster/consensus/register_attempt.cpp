#include "cluster/consensus/register_attempt.hpp"

#include <algorithm>
#include <utility>

#include "cluster/consensus/ballot.hpp"
#include "cluster/consensus/member_record.hpp"

namespace winchhall::cluster {

namespace {
constexpr Millis kPhaseTimeout{700};
}

RegisterAttempt::RegisterAttempt(GroupContext& group, std::string key, wire::Ballot ballot,
                                 RegisterValue known, RegisterChange change,
                                 std::function<void(AttemptResult)> done)
    : group_(group),
      key_(std::move(key)),
      ballot_(std::move(ballot)),
      known_(std::move(known)),
      change_(std::move(change)),
      done_(std::move(done)),
      record_(group.record()) {}

void RegisterAttempt::start() {
  wire::Envelope request;
  wire::RegisterPrepare& prepare = *request.mutable_register_prepare();
  prepare.set_key(key_);
  *prepare.mutable_ballot() = ballot_;
  *prepare.mutable_known() = known_.ballot;
  prepare.set_member_epoch(record_.epoch());
  broadcast(request);
}

void RegisterAttempt::broadcast(const wire::Envelope& request) {
  agreed_.clear();
  rejected_ = false;
  unanswered_ = static_cast<std::size_t>(record_.members_size());
  for (const wire::Member& member : record_.members()) {
    group_.call(member, request, kPhaseTimeout,
                [self = shared_from_this(), phase = phase_, member](const CallResult& result) {
                  if (self->done_) self->on_answer(phase, member, result);
                });
  }
}

void RegisterAttempt::on_answer(Phase phase, const wire::Member& member, const CallResult& result) {
  if (phase != phase_) return;
  --unanswered_;
  if (result.answer && result.answer->has_register_promise()) {
    const wire::RegisterPromise& promise = result.answer->register_promise();
    if (promise.member_epoch() != record_.epoch())
      group_.on_member_epoch_observed(promise.member_epoch(), member);
    if (phase == Phase::prepare) on_promise(promise);
  } else if (result.answer && result.answer->has_register_accepted()) {
    const wire::RegisterAccepted& accepted = result.answer->register_accepted();
    if (accepted.member_epoch() != record_.epoch())
      group_.on_member_epoch_observed(accepted.member_epoch(), member);
    if (phase == Phase::accept) on_accepted(accepted);
  }
  if (done_ && phase == phase_) fail_if_majority_impossible();
}

bool RegisterAttempt::counts_for_majority(std::uint64_t acceptor, bool voting,
                                          std::uint64_t member_epoch) const {
  return voting && member_epoch == record_.epoch() && find_member(record_, acceptor) != nullptr;
}

void RegisterAttempt::on_rejection(const wire::Ballot& highest) {
  rejected_ = true;
  highest_counter_ = std::max(highest_counter_, highest.counter());
}

void RegisterAttempt::on_promise(const wire::RegisterPromise& promise) {
  if (!counts_for_majority(promise.acceptor(), promise.voting(), promise.member_epoch())) {
    rejected_ = true;
    return;
  }
  if (!promise.promised()) return on_rejection(promise.highest());
  const bool first = agreed_.empty();
  if (!agreed_.insert(promise.acceptor()).second) return;
  if (!first && !same_ballot(promise.accepted(), newest_ballot_)) unanimous_ = false;
  if (first || is_lower(newest_ballot_, promise.accepted())) {
    newest_ballot_ = promise.accepted();
    newest_value_ = same_ballot(promise.accepted(), known_.ballot) ? known_.value : promise.value();
  }
  if (agreed_.size() >= majority(record_)) on_majority_promised();
}

void RegisterAttempt::on_accepted(const wire::RegisterAccepted& accepted) {
  if (!counts_for_majority(accepted.acceptor(), accepted.voting(), accepted.member_epoch())) {
    rejected_ = true;
    return;
  }
  if (!accepted.accepted()) return on_rejection(accepted.highest());
  agreed_.insert(accepted.acceptor());
  if (agreed_.size() < majority(record_)) return;
  finish({AttemptOutcome::chosen, RegisterValue{ballot_, proposed_}, true});
}

void RegisterAttempt::fail_if_majority_impossible() {
  if (agreed_.size() + unanswered_ >= majority(record_)) return;
  finish({rejected_ ? AttemptOutcome::rejected : AttemptOutcome::no_majority, {}, false});
}

void RegisterAttempt::on_majority_promised() {
  const std::string current = newest_value_;
  std::optional<std::string> next = change_(current);
  if (!done_) return;
  if (next) return start_accept(std::move(*next));
  if (unanimous_) return finish({AttemptOutcome::chosen, RegisterValue{newest_ballot_, current}, false});
  start_accept(current);
}

void RegisterAttempt::start_accept(std::string value) {
  if (group_.record().epoch() != record_.epoch()) return finish({AttemptOutcome::rejected, {}, false});
  proposed_ = std::move(value);
  phase_ = Phase::accept;
  wire::Envelope request;
  wire::RegisterAccept& accept = *request.mutable_register_accept();
  accept.set_key(key_);
  *accept.mutable_ballot() = ballot_;
  accept.set_value(proposed_);
  accept.set_member_epoch(record_.epoch());
  broadcast(request);
}

void RegisterAttempt::finish(AttemptResult result) {
  const std::function<void(AttemptResult)> done = std::exchange(done_, nullptr);
  if (done) done(std::move(result));
}

}  // namespace winchhall::cluster
