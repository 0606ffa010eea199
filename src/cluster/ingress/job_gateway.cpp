#include "cluster/ingress/job_gateway.hpp"

#include <algorithm>
#include <optional>

#include "cluster/http/error_response.hpp"
#include "cluster/ingress/job_json.hpp"
#include "cluster/ingress/job_responses.hpp"

namespace winchhall::cluster {

namespace {

// Part of the time that the client waits which is reserved for the transmission of the response.
constexpr Millis kResponseReserve{100};
constexpr Millis kMinTimeout{200};
// Part of the remaining time that is not given to the agent, so that its reply arrives before the attempt
// times out.
constexpr Millis kAgentReserve{50};
constexpr Millis kCountTimeout{300};
// Time after which an attempt without a reply is repeated, because a restarted agent does not know of it.
// Repeating is safe because requests are idempotent by the job's ID.
constexpr Millis kAttemptTimeout{1400};
constexpr Millis kRetryDelay{50};
constexpr Millis kRetryAfterWithoutConfiguration{1000};
constexpr Millis kRetryAfterForCount{500};

Millis request_timeout(const RequestTarget& target, const HttpRequest& request) {
  if (target.verb == wire::JOB_COUNT) return kCountTimeout;
  const Millis route_timeout(target.route->timeout_ms);
  const Millis wait = std::min(client_deadline(request).value_or(route_timeout), route_timeout);
  return std::max(wait - kResponseReserve, kMinTimeout);
}

wire::QueueTerms queue_terms(const Route& route) {
  wire::QueueTerms terms;
  terms.set_queue(route.name);
  terms.set_priority(route.priority);
  terms.set_max_retries(route.max_retries);
  terms.set_stretch(route.stretch);
  terms.set_target_latency_ms(route.target_latency_ms);
  return terms;
}

HttpResponse make_target_error_response(TargetError error) {
  switch (error) {
    case TargetError::wrong_method:
      return json_response(405, "{}");
    case TargetError::malformed:
      return error_response(400, {"request", "path", "", "the path prefix of a queue and 16 hex digits"});
    default:
      return json_response(404, "{}");
  }
}

// Parses the job in the request's body. If it is invalid, replies with an error and returns none.
std::optional<wire::JobSpec> parse_job_or_reject(const HttpRequest& request, const HttpReplyCallback& reply) {
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

wire::JobReply unknown_outcome_reply() {
  wire::JobReply reply;
  reply.set_outcome(wire::JOB_IN_DOUBT);
  return reply;
}

}  // namespace

JobGateway::JobGateway(Runtime& runtime, Address agent)
    : runtime_(runtime), agent_(std::move(agent)), origin_(std::max<std::uint64_t>(runtime.random(), 1)) {}

void JobGateway::handle(const Configuration* configuration, const HttpRequest& request,
                        HttpReplyCallback reply) {
  if (configuration == nullptr) return reply(make_unavailable_response(kRetryAfterWithoutConfiguration));
  const RequestTarget target = resolve_target(*configuration, request);
  if (target.error != TargetError::none) return reply(make_target_error_response(target.error));
  if (target.verb != wire::JOB_SUBMIT) return forward(target, request, {}, std::move(reply));
  auto job = parse_job_or_reject(request, reply);
  if (job) forward(target, request, std::move(*job), std::move(reply));
}

void JobGateway::fail_all_pending() {
  while (!calls_.empty()) finish(calls_.begin()->first, unknown_outcome_reply());
}

void JobGateway::forward(const RequestTarget& target, const HttpRequest& request, wire::JobSpec spec,
                         HttpReplyCallback reply) {
  const std::uint64_t call_number = ++last_call_number_;
  PendingCall& call = calls_[call_number];
  call.deadline = runtime_.now() + request_timeout(target, request);
  call.reply = std::move(reply);
  call.request.set_verb(target.verb);
  call.request.set_origin(origin_);
  call.request.set_number(call_number);
  call.request.set_configuration_version(target.configuration_version);
  call.request.set_service(target.route->backend);
  call.request.set_id(target.id);
  *call.request.mutable_terms() = queue_terms(*target.route);
  if (target.verb == wire::JOB_SUBMIT) *call.request.mutable_spec() = std::move(spec);
  send(call_number);
}

void JobGateway::send(std::uint64_t call_number) {
  const auto found = calls_.find(call_number);
  if (found == calls_.end()) return;
  PendingCall& call = found->second;
  const auto time_left = std::chrono::duration_cast<Millis>(call.deadline - runtime_.now());
  if (time_left <= Millis::zero()) return finish(call_number, unknown_outcome_reply());
  if (++call.attempts == 2) call.second_attempt_at = runtime_.now();
  const Millis agent_time = std::max({time_left - kAgentReserve, time_left / 2, Millis(1)});
  wire::Envelope envelope;
  *envelope.mutable_job_request() = call.request;
  envelope.mutable_job_request()->set_deadline_ms(static_cast<std::uint32_t>(agent_time.count()));
  // If too little time would be left for another attempt, this one gets all of it.
  const Millis timeout = time_left < kAttemptTimeout + kMinTimeout ? time_left : kAttemptTimeout;
  runtime_.call(agent_, std::move(envelope), timeout,
                [this, call_number](const CallResult& result) { on_result(call_number, result); });
}

void JobGateway::on_result(std::uint64_t call_number, const CallResult& result) {
  if (calls_.count(call_number) == 0) return;
  if (result.answer && result.answer->has_job_reply()) return finish(call_number, result.answer->job_reply());
  if (!result.answer && result.error == CallError::timed_out) return send(call_number);
  retry_later(call_number);
}

void JobGateway::retry_later(std::uint64_t call_number) {
  calls_.at(call_number).retry_timer =
      runtime_.after(kRetryDelay, [this, call_number] { send(call_number); });
}

void JobGateway::finish(std::uint64_t call_number, const wire::JobReply& reply) {
  auto node = calls_.extract(call_number);
  const PendingCall& call = node.mapped();
  const wire::JobVerb verb = call.request.verb();
  if (verb == wire::JOB_COUNT) return call.reply(make_count_response(call.request.terms().queue(), reply));
  if (reply.outcome() == wire::JOB_REJECTED && is_outcome_unknown(call, reply))
    return call.reply(make_unknown_outcome_response());
  call.reply(make_job_response(verb, reply));
}

// An agent that was restarted after the first attempt does not know of it, and that attempt may have been
// accepted. An agent that has been processing the request since before the second attempt knows of all
// attempts.
bool JobGateway::is_outcome_unknown(const PendingCall& call, const wire::JobReply& reply) const {
  if (call.attempts < 2) return false;
  return runtime_.now() - Millis(reply.relayed_ms()) >= call.second_attempt_at;
}

HttpResponse JobGateway::make_count_response(const std::string& queue, const wire::JobReply& reply) {
  const TimePoint now = runtime_.now();
  if (reply.outcome() == wire::JOB_OK) counts_.record(queue, reply.pending(), now);
  const std::optional<std::uint32_t> pending = counts_.find(queue, now);
  if (!pending) return make_unavailable_response(kRetryAfterForCount);
  wire::JobReply count;
  count.set_outcome(wire::JOB_OK);
  count.set_pending(*pending);
  return make_job_response(wire::JOB_COUNT, count);
}

}  // namespace winchhall::cluster
