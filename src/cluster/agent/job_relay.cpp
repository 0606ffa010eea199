#include "cluster/agent/job_relay.hpp"

#include <algorithm>

namespace winchhall::cluster {

namespace {

constexpr Millis kDefaultDeadline{3000};

wire::JobReply reply_of(wire::JobOutcome outcome) {
  wire::JobReply reply;
  reply.set_outcome(outcome);
  return reply;
}

// Gathers the replies of several services into one.
class ReplyGathering {
 public:
  ReplyGathering(std::size_t expected, LeaderCall::Done done) : missing_(expected), done_(std::move(done)) {}

  void add(const wire::JobReply& reply) {
    if (!done_) return;
    --missing_;
    if (reply.outcome() == wire::JOB_OK) return finish(reply);
    if (reply.outcome() != wire::JOB_NOT_FOUND) all_clear_ = false;
    if (missing_ > 0) return;
    finish(reply_of(all_clear_ ? wire::JOB_NOT_FOUND : wire::JOB_IN_DOUBT));
  }

 private:
  void finish(const wire::JobReply& reply) {
    const auto done = std::move(done_);
    done_ = nullptr;
    done(reply);
  }

  std::size_t missing_;
  bool all_clear_ = true;
  LeaderCall::Done done_;
};

}  // namespace

JobRelay::JobRelay(const LeaderCallContext& context) : context_(context) {}

void JobRelay::handle(const wire::JobRequest& request, const Replier& reply) {
  const Millis time = request.deadline_ms() == 0 ? kDefaultDeadline : Millis(request.deadline_ms());
  const TimePoint deadline = context_.runtime.now() + time;
  ++open_;
  const Done done = [this, reply](const wire::JobReply& answer) {
    --open_;
    wire::Envelope envelope;
    *envelope.mutable_job_reply() = answer;
    reply(std::move(envelope));
  };
  switch (request.verb()) {
    case wire::JOB_SUBMIT:
      return submit(request, deadline, done);
    case wire::JOB_QUERY:
    case wire::JOB_CANCEL:
      return find_and(request, deadline, done);
    case wire::JOB_COUNT:
      return ask(request, deadline, done);
    default:
      return done(reply_of(wire::JOB_INVALID));
  }
}

void JobRelay::on_leaders_changed() {
  for (auto next = calls_.begin(); next != calls_.end();) {
    const auto call = *next++;
    call->on_leaders_changed();
  }
}

// A job that a service took before its queue moved must not be taken by a second one.
void JobRelay::submit(const wire::JobRequest& request, TimePoint deadline, const Done& done) {
  const auto earlier = earlier_services(request);
  if (earlier.empty()) return ask(request, deadline, done);
  wire::JobRequest query = request;
  query.set_verb(wire::JOB_QUERY);
  query.clear_spec();
  ask_all(earlier, query, deadline, [this, request, deadline, done](const wire::JobReply& reply) {
    if (reply.outcome() != wire::JOB_NOT_FOUND) return done(reply);
    ask(request, deadline, done);
  });
}

void JobRelay::find_and(const wire::JobRequest& request, TimePoint deadline, const Done& done) {
  ask(request, deadline, [this, request, deadline, done](const wire::JobReply& reply) {
    if (reply.outcome() != wire::JOB_NOT_FOUND) return done(reply);
    const auto others = all_other_services(request);
    if (others.empty()) return done(reply);
    ask_all(others, request, deadline, done);
  });
}

std::vector<std::string> JobRelay::earlier_services(const wire::JobRequest& request) const {
  const Configuration* configuration = context_.view.configuration();
  if (configuration == nullptr) return {};
  auto services = context_.view.history().other_services(request.terms().queue(), request.service(),
                                                         context_.runtime.now());
  const auto not_in_force = [&](const std::string& name) {
    return configuration->find_service(name) == nullptr;
  };
  services.erase(std::remove_if(services.begin(), services.end(), not_in_force), services.end());
  return services;
}

std::vector<std::string> JobRelay::all_other_services(const wire::JobRequest& request) const {
  std::vector<std::string> services;
  const Configuration* configuration = context_.view.configuration();
  if (configuration == nullptr) return services;
  for (const Service& service : configuration->services) {
    if (service.name != request.service()) services.push_back(service.name);
  }
  return services;
}

void JobRelay::ask_all(const std::vector<std::string>& services, const wire::JobRequest& request,
                       TimePoint deadline, const Done& done) {
  const auto gathering = std::make_shared<ReplyGathering>(services.size(), done);
  for (const std::string& service : services) {
    wire::JobRequest copy = request;
    copy.set_service(service);
    ask(std::move(copy), deadline, [gathering](const wire::JobReply& reply) { gathering->add(reply); });
  }
}

void JobRelay::ask(wire::JobRequest request, TimePoint deadline, Done done) {
  const auto place = calls_.emplace(calls_.end());
  const auto ended = [this, place, done = std::move(done)](const wire::JobReply& reply) {
    const auto keep = std::move(*place);
    calls_.erase(place);
    done(reply);
  };
  const auto call = std::make_shared<LeaderCall>(context_, std::move(request), deadline, ended);
  *place = call;
  call->start();
}

}  // namespace winchhall::cluster
