// An ingress gets its configuration from its agent by long polls.
#include "cluster/ingress/configuration_subscription.hpp"

#include <catch2/catch.hpp>

#include "tests/cluster/support/fake_runtime.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::testing;

namespace {

constexpr char kAgent[] = "127.0.0.1:7381";

// A subscription to an agent that offers version 3.
struct SubscriptionFixture {
  FakeRuntime runtime;
  std::vector<std::uint64_t> updates;
  ConfigurationSubscription subscription{runtime, kAgent, [this](const Configuration& configuration) {
                                           updates.push_back(configuration.version);
                                         }};
  wire::ConfigurationUpdate update;
  std::unique_ptr<Timer> pending_poll;

  SubscriptionFixture() {
    update.set_in_touch(true);
    offer(3);
    start_agent();
    subscription.start();
  }

  void offer(std::uint64_t version) {
    update.set_version(version);
    update.set_configuration(configuration_json(version, {{"/a/", "first"}}));
  }

  // An agent that responds at once if it has a newer version, or else when the long poll ends.
  void start_agent() {
    runtime.peers[kAgent] = [this](const wire::Envelope& request, const ReplyCallback& reply) {
      const auto& watch = request.configuration_watch();
      const auto answer = [this, reply, version = watch.version()] {
        wire::Envelope envelope;
        *envelope.mutable_configuration_update() = update;
        if (update.version() <= version) envelope.mutable_configuration_update()->clear_configuration();
        reply(std::move(envelope));
      };
      if (update.version() > watch.version()) return answer();
      pending_poll = runtime.after(Millis(watch.wait_ms()), answer);
    };
  }

  std::uint64_t version() const { return subscription.current() ? subscription.current()->version : 0; }
};

}  // namespace

TEST_CASE_METHOD(SubscriptionFixture, "the first configuration and every newer one are applied") {
  CHECK_FALSE(subscription.is_connected());
  runtime.run_for(Millis(10));
  CHECK(version() == 3);
  CHECK(subscription.is_connected());
  offer(4);
  runtime.run_for(Millis(2100));
  CHECK(version() == 4);
  CHECK(updates == std::vector<std::uint64_t>{3, 4});
}

TEST_CASE_METHOD(SubscriptionFixture, "an older configuration of a restarted agent is ignored") {
  runtime.run_for(Millis(10));
  offer(2);
  runtime.run_for(Millis(10000));
  CHECK(version() == 3);
  CHECK(subscription.is_connected());
}

TEST_CASE_METHOD(SubscriptionFixture, "the loss and the return of the agent are detected") {
  runtime.run_for(Millis(10));
  runtime.peers.clear();
  pending_poll.reset();
  runtime.run_for(Millis(6000));
  CHECK_FALSE(subscription.is_connected());
  CHECK(version() == 3);
  offer(5);
  start_agent();
  runtime.run_for(Millis(100));
  CHECK(subscription.is_connected());
  CHECK(version() == 5);
}

TEST_CASE_METHOD(SubscriptionFixture, "an agent without quorum contact makes the ingress disconnected") {
  runtime.run_for(Millis(10));
  update.set_in_touch(false);
  runtime.run_for(Millis(2100));
  CHECK_FALSE(subscription.is_connected());
}

TEST_CASE_METHOD(SubscriptionFixture,
                 "an invalid configuration is not applied and not requested in a tight loop") {
  runtime.run_for(Millis(10));
  update.set_version(9);
  update.set_configuration("{");
  const auto before = runtime.calls_made;
  runtime.run_for(Millis(10000));
  CHECK(version() == 3);
  CHECK(runtime.calls_made - before <= 12);
  offer(10);
  runtime.run_for(Millis(1100));
  CHECK(version() == 10);
}

TEST_CASE_METHOD(SubscriptionFixture, "an unchanged configuration costs one call a second") {
  runtime.run_for(Millis(10));
  const auto before = runtime.calls_made;
  runtime.run_for(Millis(20000));
  CHECK(runtime.calls_made - before <= 21);
}
