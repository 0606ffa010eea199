#include "cluster/agent/job_router.hpp"

#include <algorithm>
#include <set>

#include "cluster/agent/reply_aggregator.hpp"

namespace winchhall::cluster {

namespace {

// A submit that has waited this long for the configuration is rejected, so that its client retries later.
constexpr Millis kMaxConfigurationWait{2000};
constexpr std::uint32_t kConfigurationRetryAfterMs = 500;

wire::JobReply reply_of(wire::JobOutcome outcome) {
  wire::JobReply reply;
  reply.set_outcome(outcome);
  return reply;
}

wire::JobReply configuration_missing_reply(wire::JobVerb verb) {
  wire::JobReply reply;
  const bool rejected = verb == wire::JOB_SUBMIT;
  reply.set_outcome(rejected ? wire::JOB_REJECTED : wire::JOB_IN_DOUBT);
  if (rejected) reply.set_retry_after_ms(kConfigurationRetryAfterMs);
  return reply;
}

}  // namespace

JobRouter::JobRouter(const LeaderCallContext& context, ServiceListFetcher& service_lists)
    : context_(context), service_lists_(service_lists) {}

void JobRouter::route(const wire::JobRequest& request, TimePoint deadline, const Done& done) {
  const bool may_wait = request.verb() != wire::JOB_COUNT;
  if (may_wait && !knows_configuration_of(request)) return wait_for_configuration(request, deadline, done);
  route_now(request, deadline, done);
}

// An ingress of an earlier version doesn't name its configuration, but has one.
bool JobRouter::knows_configuration_of(const wire::JobRequest& request) const {
  return context_.view.version() >= std::max<std::uint64_t>(request.configuration_version(), 1);
}

void JobRouter::wait_for_configuration(const wire::JobRequest& request, TimePoint deadline,
                                       const Done& done) {
  const TimePoint now = context_.runtime.now();
  const auto time_left = std::chrono::duration_cast<Millis>(deadline - now);
  const Millis wait =
      request.verb() == wire::JOB_SUBMIT ? std::min(time_left, kMaxConfigurationWait) : time_left;
  const auto waiting = waiting_.insert(waiting_.end(), {request, deadline, done, nullptr});
  waiting->timer =
      context_.runtime.after(std::max(wait, Millis(1)), [this, waiting] { give_up_waiting(waiting); });
}

void JobRouter::give_up_waiting(std::list<WaitingRequest>::iterator waiting) {
  const auto done = std::move(waiting->done);
  const wire::JobReply reply = configuration_missing_reply(waiting->request.verb());
  waiting_.erase(waiting);
  done(reply);
}

void JobRouter::on_configuration_changed() {
  std::list<WaitingRequest> ready;
  for (auto next = waiting_.begin(); next != waiting_.end();) {
    const auto waiting = next++;
    if (knows_configuration_of(waiting->request)) ready.splice(ready.end(), waiting_, waiting);
  }
  for (const WaitingRequest& waiting : ready) route_now(waiting.request, waiting.deadline, waiting.done);
}

void JobRouter::route_now(const wire::JobRequest& request, TimePoint deadline, const Done& done) {
  switch (request.verb()) {
    case wire::JOB_SUBMIT:
      return submit(request, deadline, done);
    case wire::JOB_QUERY:
    case wire::JOB_CANCEL:
      return search_services(request, deadline, done);
    case wire::JOB_COUNT:
      return call_leader(request, deadline, done);
    default:
      return done(reply_of(wire::JOB_INVALID));
  }
}

void JobRouter::on_leaders_changed() {
  // A call may finish, and remove itself from the list, while it is notified.
  for (auto next = calls_.begin(); next != calls_.end();) {
    const auto call = *next++;
    call->on_leaders_changed();
  }
}

void JobRouter::submit(const wire::JobRequest& request, TimePoint deadline, const Done& done) {
  const auto previous = previous_services(request);
  if (previous.empty()) return call_leader(request, deadline, done);
  wire::JobRequest query = request;
  query.set_verb(wire::JOB_QUERY);
  query.set_confirms_unknown(true);
  query.clear_spec();
  call_leaders(previous, query, deadline, [this, request, deadline, done](const wire::JobReply& reply) {
    if (reply.outcome() != wire::JOB_NOT_FOUND) return done(reply);
    call_leader(request, deadline, done);
  });
}

void JobRouter::search_services(const wire::JobRequest& request, TimePoint deadline, const Done& done) {
  call_leader(request, deadline, [this, request, deadline, done](const wire::JobReply& reply) {
    if (reply.outcome() != wire::JOB_NOT_FOUND) return done(reply);
    search_known_services(request, deadline, done);
  });
}

void JobRouter::search_known_services(const wire::JobRequest& request, TimePoint deadline, const Done& done) {
  const std::set<std::string> known = known_services(request);
  std::set<std::string> others = known;
  others.erase(request.service());
  call_leaders(others, request, deadline,
               [this, request, known, deadline, done](const wire::JobReply& reply) {
                 if (reply.outcome() != wire::JOB_NOT_FOUND) return done(reply);
                 search_listed_services(request, known, deadline, done);
               });
}

void JobRouter::search_listed_services(const wire::JobRequest& request, const std::set<std::string>& queried,
                                       TimePoint deadline, const Done& done) {
  service_lists_.fetch(deadline, [this, request, queried, deadline, done](const ServiceListResult& listed) {
    on_services_listed(request, queried, deadline, done, listed);
  });
}

void JobRouter::on_services_listed(const wire::JobRequest& request, const std::set<std::string>& queried,
                                   TimePoint deadline, const Done& done, const ServiceListResult& listed) {
  if (listed.kind == ServiceListKind::unavailable) return done(reply_of(wire::JOB_IN_DOUBT));
  if (listed.list.configuration_version() > context_.view.version()) {
    wire::JobRequest newer = request;
    newer.set_configuration_version(listed.list.configuration_version());
    return wait_for_configuration(newer, deadline, done);
  }
  std::set<std::string> others = known_services(request);  // the configuration may be newer by now
  others.insert(listed.list.services().begin(), listed.list.services().end());
  for (const std::string& service : queried) others.erase(service);
  call_leaders(others, request, deadline, done);
}

std::set<std::string> JobRouter::previous_services(const wire::JobRequest& request) const {
  const auto services = context_.view.history().recent_other_services(
      request.terms().queue(), request.service(), context_.runtime.now());
  return {services.begin(), services.end()};
}

std::set<std::string> JobRouter::known_services(const wire::JobRequest& request) const {
  std::set<std::string> services = context_.view.services();
  services.insert(request.service());
  // A late submission may still reach a service that the queue was routed to, also if it has no records yet.
  services.merge(previous_services(request));
  return services;
}

void JobRouter::call_leaders(const std::set<std::string>& services, const wire::JobRequest& request,
                             TimePoint deadline, const Done& done) {
  if (services.empty()) return done(reply_of(wire::JOB_NOT_FOUND));
  const auto aggregator = std::make_shared<ReplyAggregator>(services.size(), done);
  for (const std::string& service : services) {
    wire::JobRequest copy = request;
    copy.set_service(service);
    call_leader(std::move(copy), deadline,
                [aggregator](const wire::JobReply& reply) { aggregator->add(reply); });
  }
}

void JobRouter::call_leader(wire::JobRequest request, TimePoint deadline, Done done) {
  const auto entry = calls_.emplace(calls_.end());
  const auto on_end = [this, entry, done = std::move(done)](const wire::JobReply& reply) {
    const auto keep_alive = std::move(*entry);  // the call owns this callback, which is still running
    calls_.erase(entry);
    done(reply);
  };
  const auto call = std::make_shared<LeaderCall>(context_, std::move(request), deadline, on_end);
  *entry = call;
  call->start();
}

}  // namespace winchhall::cluster
