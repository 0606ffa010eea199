#include "cluster/agent/job_router.hpp"

#include <algorithm>

#include "cluster/agent/reply_aggregator.hpp"

namespace winchhall::cluster {

JobRouter::JobRouter(const LeaderCallContext& context) : context_(context) {}

void JobRouter::route(const wire::JobRequest& request, TimePoint deadline, const Done& done) {
  switch (request.verb()) {
    case wire::JOB_SUBMIT:
      return submit(request, deadline, done);
    case wire::JOB_QUERY:
    case wire::JOB_CANCEL:
      return search_services(request, deadline, done);
    case wire::JOB_COUNT:
      return call_leader(request, deadline, done);
    default:
      wire::JobReply invalid;
      invalid.set_outcome(wire::JOB_INVALID);
      return done(invalid);
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
  query.clear_spec();
  call_leaders(previous, query, deadline, [this, request, deadline, done](const wire::JobReply& reply) {
    if (reply.outcome() != wire::JOB_NOT_FOUND) return done(reply);
    call_leader(request, deadline, done);
  });
}

void JobRouter::search_services(const wire::JobRequest& request, TimePoint deadline, const Done& done) {
  call_leader(request, deadline, [this, request, deadline, done](const wire::JobReply& reply) {
    if (reply.outcome() != wire::JOB_NOT_FOUND) return done(reply);
    const auto others = all_other_services(request);
    if (others.empty()) return done(reply);
    call_leaders(others, request, deadline, done);
  });
}

std::vector<std::string> JobRouter::previous_services(const wire::JobRequest& request) const {
  const Configuration* configuration = context_.view.configuration();
  if (configuration == nullptr) return {};
  auto services = context_.view.history().recent_other_services(request.terms().queue(), request.service(),
                                                                context_.runtime.now());
  std::erase_if(services,
                [&](const std::string& name) { return configuration->find_service(name) == nullptr; });
  return services;
}

std::vector<std::string> JobRouter::all_other_services(const wire::JobRequest& request) const {
  std::vector<std::string> services;
  const Configuration* configuration = context_.view.configuration();
  if (configuration == nullptr) return services;
  for (const Service& service : configuration->services) {
    if (service.name != request.service()) services.push_back(service.name);
  }
  return services;
}

void JobRouter::call_leaders(const std::vector<std::string>& services, const wire::JobRequest& request,
                             TimePoint deadline, const Done& done) {
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
