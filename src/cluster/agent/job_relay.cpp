#include "cluster/agent/job_relay.hpp"

#include <algorithm>

namespace winchhall::cluster {

namespace {

constexpr Millis kDefaultDeadline{3000};
// A request that joined a relay and has this much more time than it gets a relay of its own.
constexpr Millis kMinTimeToRelayAgain{200};

std::string key_of(const wire::JobRequest& request) {
  return std::to_string(request.verb()) + "/" + request.service() + "/" + request.terms().queue() + "/" +
         request.id();
}

wire::JobReply reply_of(wire::JobOutcome outcome) {
  wire::JobReply reply;
  reply.set_outcome(outcome);
  return reply;
}

// Gathers the replies of several services into one.
class ReplyAggregator {
 public:
  ReplyAggregator(std::size_t expected, LeaderCall::Done done) : missing_(expected), done_(std::move(done)) {}

  void add(const wire::JobReply& reply) {
    if (!done_) return;
    --missing_;
    if (reply.outcome() == wire::JOB_OK) return finish(reply);
    if (reply.outcome() != wire::JOB_NOT_FOUND) all_not_found_ = false;
    if (missing_ > 0) return;
    finish(reply_of(all_not_found_ ? wire::JOB_NOT_FOUND : wire::JOB_IN_DOUBT));
  }

 private:
  void finish(const wire::JobReply& reply) {
    const auto done = std::move(done_);
    done_ = nullptr;
    done(reply);
  }

  std::size_t missing_;
  bool all_not_found_ = true;
  LeaderCall::Done done_;
};

}  // namespace

JobRelay::JobRelay(const LeaderCallContext& context) : context_(context) {}

void JobRelay::handle(const wire::JobRequest& request, const ReplyCallback& reply) {
  const Millis time = request.deadline_ms() == 0 ? kDefaultDeadline : Millis(request.deadline_ms());
  const TimePoint deadline = context_.runtime.now() + time;
  const std::string key = key_of(request);
  const auto [entry, is_new] = open_.try_emplace(key);
  entry->second.waiting.push_back({deadline, reply});
  if (!is_new) return;
  entry->second.request = request;
  entry->second.started = context_.runtime.now();
  entry->second.deadline = deadline;
  start(request, deadline, [this, key](const wire::JobReply& answer) { finish(key, answer); });
}

void JobRelay::start(const wire::JobRequest& request, TimePoint deadline, const Done& done) {
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

// Whoever joined a relay that has run out of time and has more of it is served by a new relay.
void JobRelay::finish(const std::string& key, const wire::JobReply& answer) {
  const auto node = open_.extract(key);
  const OpenRequest& finished = node.mapped();
  const TimePoint now = context_.runtime.now();
  const bool out_of_time = answer.outcome() == wire::JOB_IN_DOUBT && now >= finished.deadline;
  for (const Waiting& waiting : finished.waiting) {
    const auto left = std::chrono::duration_cast<Millis>(waiting.deadline - now);
    if (out_of_time && left >= kMinTimeToRelayAgain) {
      wire::JobRequest again = finished.request;
      again.set_deadline_ms(static_cast<std::uint32_t>(left.count()));
      handle(again, waiting.reply);
      continue;
    }
    wire::Envelope envelope;
    *envelope.mutable_job_reply() = answer;
    const auto age = std::chrono::duration_cast<Millis>(now - finished.started);
    envelope.mutable_job_reply()->set_relayed_ms(static_cast<std::uint32_t>(age.count()));
    waiting.reply(std::move(envelope));
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
  const auto earlier = previous_services(request);
  if (earlier.empty()) return call_leader(request, deadline, done);
  wire::JobRequest query = request;
  query.set_verb(wire::JOB_QUERY);
  query.clear_spec();
  call_leaders(earlier, query, deadline, [this, request, deadline, done](const wire::JobReply& reply) {
    if (reply.outcome() != wire::JOB_NOT_FOUND) return done(reply);
    call_leader(request, deadline, done);
  });
}

void JobRelay::search_services(const wire::JobRequest& request, TimePoint deadline, const Done& done) {
  call_leader(request, deadline, [this, request, deadline, done](const wire::JobReply& reply) {
    if (reply.outcome() != wire::JOB_NOT_FOUND) return done(reply);
    const auto others = all_other_services(request);
    if (others.empty()) return done(reply);
    call_leaders(others, request, deadline, done);
  });
}

std::vector<std::string> JobRelay::previous_services(const wire::JobRequest& request) const {
  const Configuration* configuration = context_.view.configuration();
  if (configuration == nullptr) return {};
  auto services = context_.view.history().recent_other_services(request.terms().queue(), request.service(),
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

void JobRelay::call_leaders(const std::vector<std::string>& services, const wire::JobRequest& request,
                            TimePoint deadline, const Done& done) {
  const auto gathering = std::make_shared<ReplyAggregator>(services.size(), done);
  for (const std::string& service : services) {
    wire::JobRequest copy = request;
    copy.set_service(service);
    call_leader(std::move(copy), deadline,
                [gathering](const wire::JobReply& reply) { gathering->add(reply); });
  }
}

void JobRelay::call_leader(wire::JobRequest request, TimePoint deadline, Done done) {
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
