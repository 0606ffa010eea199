#include "cluster/ingress/job_gateway.hpp"

#include <algorithm>
#include <optional>

#include "cluster/http/error_response.hpp"
#include "cluster/ingress/job_json.hpp"
#include "cluster/ingress/job_responses.hpp"

namespace winchhall::cluster {

namespace {

// Kept back of what a client waits, for the answer's way.
constexpr Millis kAnswerReserve{100};
constexpr Millis kLeastTimeout{200};
// Kept back of the agent's call, so that its own answer arrives before the call times out.
constexpr Millis kAgentReserve{50};
constexpr Millis kCountTimeout{300};
// Without an answer a request is sent to the agent again: a restarted agent knows nothing of the first. The
// ID makes that safe.
constexpr Millis kTryTimeout{1400};
constexpr Millis kRetryPause{50};
constexpr Millis kRetryWithoutConfiguration{1000};
// A count may be two seconds old when it arrives; what is kept back covers its way to the client.
constexpr Millis kCountLifetime{1500};
constexpr Millis kRetryCount{500};

Millis timeout_of(const RequestTarget& target, const HttpRequest& request) {
  if (target.verb == wire::JOB_COUNT) return kCountTimeout;
  const Millis route_timeout(target.route->timeout_ms);
  const Millis wait = std::min(client_deadline(request).value_or(route_timeout), route_timeout);
  return std::max(wait - kAnswerReserve, kLeastTimeout);
}

wire::QueueTerms terms_of(const Route& route) {
  wire::QueueTerms terms;
  terms.set_queue(route.name);
  terms.set_priority(route.priority);
  terms.set_max_retries(route.max_retries);
  terms.set_stretch(route.stretch);
  terms.set_target_latency_ms(route.target_latency_ms);
  return terms;
}

HttpResponse target_error_answer(TargetError error) {
  switch (error) {
    case TargetError::wrong_method:
      return json_response(405, "{}");
    case TargetError::malformed:
      return error_response(400, {"request", "path", "", "the path prefix of a queue and 16 hex digits"});
    default:
      return json_response(404, "{}");
  }
}

// The job in a body; none: `reply` has been told why it can't be read.
std::optional<wire::JobSpec> read_job(const HttpRequest& request, const HttpReplyCallback& reply) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<wire::JobSpec>> {
        BOOST_LEAF_AUTO(job, parse_job(request.body()));
        return std::optional<wire::JobSpec>(std::move(job));
      },
      [&](const InvalidInput& error) -> std::optional<wire::JobSpec> {
        reply(error_response(400, error));
        return std::nullopt;
      },
      [&]() -> std::optional<wire::JobSpec> {
        reply(json_response(400, "{}"));
        return std::nullopt;
      });
}

wire::JobReply reply_in_doubt() {
  wire::JobReply reply;
  reply.set_outcome(wire::JOB_IN_DOUBT);
  return reply;
}

}  // namespace

JobGateway::JobGateway(Runtime& runtime, Address agent) : runtime_(runtime), agent_(std::move(agent)) {}

void JobGateway::handle(const Configuration* configuration, const HttpRequest& request,
                        HttpReplyCallback reply) {
  if (configuration == nullptr) return reply(make_unavailable_response(kRetryWithoutConfiguration));
  const RequestTarget target = resolve_target(*configuration, request);
  if (target.error != TargetError::none) return reply(target_error_answer(target.error));
  if (target.verb != wire::JOB_SUBMIT) return forward(target, request, {}, std::move(reply));
  auto job = read_job(request, reply);
  if (job) forward(target, request, std::move(*job), std::move(reply));
}

void JobGateway::fail_all_pending() {
  while (!calls_.empty()) finish(calls_.begin()->first, reply_in_doubt());
}

void JobGateway::forward(const RequestTarget& target, const HttpRequest& request, wire::JobSpec spec,
                         HttpReplyCallback reply) {
  const std::uint64_t number = ++last_number_;
  PendingCall& call = calls_[number];
  call.deadline = runtime_.now() + timeout_of(target, request);
  call.reply = std::move(reply);
  call.request.set_verb(target.verb);
  call.request.set_service(target.route->backend);
  call.request.set_id(target.id);
  *call.request.mutable_terms() = terms_of(*target.route);
  if (target.verb == wire::JOB_SUBMIT) *call.request.mutable_spec() = std::move(spec);
  send(number);
}

void JobGateway::send(std::uint64_t number) {
  const auto found = calls_.find(number);
  if (found == calls_.end()) return;
  PendingCall& call = found->second;
  const auto left = std::chrono::duration_cast<Millis>(call.deadline - runtime_.now());
  if (left <= Millis::zero()) return finish(number, reply_in_doubt());
  if (++call.tries == 2) call.second_attempt_at = runtime_.now();
  const Millis agent_time = std::max({left - kAgentReserve, left / 2, Millis(1)});
  wire::Envelope envelope;
  *envelope.mutable_job_request() = call.request;
  envelope.mutable_job_request()->set_deadline_ms(static_cast<std::uint32_t>(agent_time.count()));
  // A rest too short for another try is left to this one.
  const Millis timeout = left < kTryTimeout + kLeastTimeout ? left : kTryTimeout;
  runtime_.call(agent_, std::move(envelope), timeout,
                [this, number](const CallResult& result) { on_result(number, result); });
}

void JobGateway::on_result(std::uint64_t number, const CallResult& result) {
  if (calls_.count(number) == 0) return;
  if (result.answer && result.answer->has_job_reply()) return finish(number, result.answer->job_reply());
  if (!result.answer && result.error == CallError::timed_out) return send(number);
  retry_later(number);
}

void JobGateway::retry_later(std::uint64_t number) {
  calls_.at(number).retry = runtime_.after(kRetryPause, [this, number] { send(number); });
}

void JobGateway::finish(std::uint64_t number, const wire::JobReply& reply) {
  auto node = calls_.extract(number);
  const PendingCall& call = node.mapped();
  const wire::JobVerb verb = call.request.verb();
  if (verb == wire::JOB_COUNT) return call.reply(count_answer(call.request.terms().queue(), reply));
  if (reply.outcome() == wire::JOB_REJECTED && is_outcome_unknown(call, reply))
    return call.reply(make_unknown_outcome_response());
  call.reply(make_job_response(verb, reply));
}

// An agent that was restarted between two tries knows nothing of the first one, which may have been taken.
// One that has dealt with the request since before the second try has seen them all.
bool JobGateway::is_outcome_unknown(const PendingCall& call, const wire::JobReply& reply) const {
  if (call.tries < 2) return false;
  return runtime_.now() - Millis(reply.relayed_ms()) >= call.second_attempt_at;
}

HttpResponse JobGateway::count_answer(const std::string& queue, const wire::JobReply& reply) {
  const TimePoint now = runtime_.now();
  if (reply.outcome() == wire::JOB_OK) cached_counts_[queue] = {reply.pending(), now};
  const auto newest = cached_counts_.find(queue);
  const bool fresh = newest != cached_counts_.end() && now - newest->second.at <= kCountLifetime;
  if (!fresh) return make_unavailable_response(kRetryCount);
  wire::JobReply answer;
  answer.set_outcome(wire::JOB_OK);
  answer.set_pending(newest->second.pending);
  return make_job_response(wire::JOB_COUNT, answer);
}

}  // namespace winchhall::cluster
