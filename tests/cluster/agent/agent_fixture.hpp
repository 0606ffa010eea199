// Fixture for tests of the agent with scripted control nodes.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/agent/edge_agent.hpp"
#include "tests/cluster/support/fake_runtime.hpp"

namespace winchhall::cluster::testing {

// A control node that serves watches like a real one and answers job requests with the test's handler.
class ScriptedControl {
 public:
  using JobHandler = std::function<void(const wire::JobRequest&, const ReplyCallback&)>;

  ScriptedControl(FakeRuntime& runtime, Address address) : address_(std::move(address)), runtime_(runtime) {
    start();
  }

  const Address& address() const { return address_; }
  void start() {
    runtime_.peers[address_] = [this](const wire::Envelope& request, const ReplyCallback& reply) {
      handle(request, reply);
    };
  }
  // The node is down: calls to it fail at once.
  void stop() {
    runtime_.peers.erase(address_);
    polls_.clear();
  }
  // The node receives calls and never answers.
  void hang() {
    polls_.clear();
    runtime_.peers[address_] = [](const wire::Envelope&, const ReplyCallback&) {};
  }

  // The node is slow: every answer comes this much later.
  void delay_answers(Millis delay) {
    runtime_.peers[address_] = [this, delay](const wire::Envelope& request, const ReplyCallback& reply) {
      handle(request, [this, delay, reply](const wire::Envelope& answer) {
        delayed_answers_.push_back(runtime_.after(delay, [reply, answer] { reply(answer); }));
      });
    };
  }

  void set_configuration(std::uint64_t version, std::string json) {
    update_.set_version(version);
    update_.set_configuration(std::move(json));
    answer_polls();
  }
  void set_quorum_contact(bool has_contact) { update_.set_in_touch(has_contact); }
  void add_member(const Address& address, const std::string& zone) {
    auto& member = *update_.add_members();
    member.set_id(static_cast<std::uint64_t>(update_.members_size()));
    member.set_address(address);
    member.set_zone(zone);
  }
  void set_leader(const std::string& service, std::uint64_t epoch, const Address& leader) {
    auto& entry = *update_.add_leaders();
    entry.set_shard("service/" + service);
    entry.set_epoch(epoch);
    entry.set_address(leader);
    update_.set_leaders_digest(update_.leaders_digest() + 1);
    answer_polls();
  }

  // Every answer with a list of the services comes this much later.
  void delay_lists(Millis delay) { list_delay_ = delay; }

  JobHandler on_job;
  std::vector<wire::JobRequest> jobs;
  unsigned watches = 0;
  // For watches that want it; none: the node is of an earlier version.
  std::optional<wire::ServiceList> service_list;
  unsigned lists_read = 0;

 private:
  struct Poll {
    wire::ConfigurationWatch watch;
    ReplyCallback reply;
    std::unique_ptr<Timer> timer;
  };

  void handle(const wire::Envelope& request, const ReplyCallback& reply) {
    if (request.has_job_request()) {
      jobs.push_back(request.job_request());
      if (on_job) on_job(request.job_request(), reply);
    }
    if (request.has_configuration_watch()) serve_watch(request.configuration_watch(), reply);
  }

  void serve_watch(const wire::ConfigurationWatch& watch, const ReplyCallback& reply) {
    ++watches;
    if (watch.wants_services() && service_list) return answer_with_services(watch, reply);
    if (has_newer(watch)) return answer(watch, reply);
    polls_.push_back({watch, reply, nullptr});
    const auto poll = std::prev(polls_.end());
    poll->timer = runtime_.after(Millis(watch.wait_ms()), [this, poll] {
      answer(poll->watch, poll->reply);
      polls_.erase(poll);
    });
  }

  bool has_newer(const wire::ConfigurationWatch& watch) const {
    return update_.version() > watch.version() || update_.leaders_digest() != watch.leaders_digest();
  }

  void answer(const wire::ConfigurationWatch& watch, const ReplyCallback& reply) const {
    wire::Envelope envelope;
    auto& update = *envelope.mutable_configuration_update();
    update = update_;
    if (update.version() <= watch.version()) update.clear_configuration();
    reply(std::move(envelope));
  }

  void answer_with_services(const wire::ConfigurationWatch& watch, const ReplyCallback& reply) {
    ++lists_read;
    const auto reply_with_list = [reply, list = *service_list](wire::Envelope envelope) {
      *envelope.mutable_configuration_update()->mutable_services() = list;
      reply(std::move(envelope));
    };
    delayed_answers_.push_back(
        runtime_.after(list_delay_, [this, watch, reply_with_list] { answer(watch, reply_with_list); }));
  }

  void answer_polls() {
    std::list<Poll> polls;
    polls.swap(polls_);
    for (auto& poll : polls) {
      if (has_newer(poll.watch)) {
        answer(poll.watch, poll.reply);
      } else {
        serve_watch(poll.watch, poll.reply);
      }
    }
  }

  Address address_;
  FakeRuntime& runtime_;
  wire::ConfigurationUpdate update_;
  std::list<Poll> polls_;
  Millis list_delay_{0};
  std::vector<std::unique_ptr<Timer>> delayed_answers_;
};

inline ScriptedControl::JobHandler answer_with(wire::JobOutcome outcome, const Address& leader = {}) {
  return [outcome, leader](const wire::JobRequest&, const ReplyCallback& reply) {
    wire::Envelope envelope;
    envelope.mutable_job_reply()->set_outcome(outcome);
    envelope.mutable_job_reply()->set_leader_address(leader);
    reply(std::move(envelope));
  };
}

// The agent's answer to a request.
struct AgentAnswer {
  std::optional<wire::Envelope> envelope;  // none: not answered yet
  TimePoint at;
};

// Five control nodes (ports 7380), of which the first three are seeds; services "first" and "second", led by
// nodes 0 and 1; queues "/a/" and "/b/".
struct AgentFixture {
  FakeRuntime runtime;
  std::vector<std::unique_ptr<ScriptedControl>> controls;
  std::unique_ptr<EdgeAgent> agent;

  AgentFixture() {
    for (int number = 0; number < 5; ++number) {
      controls.push_back(std::make_unique<ScriptedControl>(runtime, address_of(number)));
    }
    for (auto& control : controls) {
      control->set_quorum_contact(true);
      control->set_configuration(1, configuration_json(1, {{"/a/", "first"}, {"/b/", "second"}}));
      for (int number = 0; number < 5; ++number) control->add_member(address_of(number), zone_of(number));
    }
    set_leader("first", 1, address_of(0));
    set_leader("second", 1, address_of(1));
  }

  static Address ip_of(int number) { return "10.0.0." + std::to_string(number + 1); }
  static Address address_of(int number) { return ip_of(number) + ":7380"; }
  static std::string zone_of(int number) { return number < 3 ? "far" : "near"; }

  void set_leader(const std::string& service, std::uint64_t epoch, const Address& leader) {
    for (auto& control : controls) control->set_leader(service, epoch, leader);
  }
  void set_configuration(std::uint64_t version, const std::map<std::string, std::string>& services) {
    for (auto& control : controls) control->set_configuration(version, configuration_json(version, services));
  }

  void start_agent() {
    NodeSettings settings;
    settings.zone = "near";
    settings.ip = "10.0.1.1";
    settings.internal_port_first = 7380;
    settings.internal_port_last = 7395;
    for (int number = 0; number < 3; ++number) settings.seeds.push_back(ip_of(number) + ":8144");
    agent = std::make_unique<EdgeAgent>(runtime, settings);
    agent->start();
  }

  std::shared_ptr<AgentAnswer> send(const wire::Envelope& request) {
    auto answer = std::make_shared<AgentAnswer>();
    agent->handle(request, [this, answer](wire::Envelope envelope) {
      answer->envelope = std::move(envelope);
      answer->at = runtime.now();
    });
    return answer;
  }

  std::shared_ptr<AgentAnswer> job(wire::JobVerb verb, const std::string& service = "first",
                                   const std::string& queue = "queue/a/") {
    wire::Envelope request;
    auto& job = *request.mutable_job_request();
    job.set_verb(verb);
    job.set_service(service);
    job.set_id("5c0e7a21d94b36f8");
    job.mutable_terms()->set_queue(queue);
    job.set_deadline_ms(2800);
    return send(request);
  }

  std::shared_ptr<AgentAnswer> watch(std::uint64_t version, Millis wait) {
    wire::Envelope request;
    request.mutable_configuration_watch()->set_version(version);
    request.mutable_configuration_watch()->set_wait_ms(static_cast<std::uint32_t>(wait.count()));
    return send(request);
  }
};

inline wire::JobOutcome outcome_of(const std::shared_ptr<AgentAnswer>& answer) {
  return answer->envelope ? answer->envelope->job_reply().outcome() : wire::JOB_OUTCOME_NONE;
}

}  // namespace winchhall::cluster::testing
