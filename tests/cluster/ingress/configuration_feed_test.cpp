// How an ingress keeps its configuration.
#include <catch2/catch.hpp>

#include "cluster/ingress/configuration_subscription.hpp"
#include "tests/cluster/support/fake_runtime.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::testing;

namespace {

constexpr char kAgent[] = "127.0.0.1:7381";

struct FeedFixture {
  FakeRuntime runtime;
  std::vector<std::uint64_t> seen;
  ConfigurationSubscription feed{
      runtime, kAgent, [this](const Configuration& configuration) { seen.push_back(configuration.version); }};
  wire::ConfigurationUpdate update;
  std::unique_ptr<Timer> held;

  FeedFixture() {
    update.set_in_touch(true);
    offer(3);
    start_agent();
    feed.start();
  }

  void offer(std::uint64_t version) {
    update.set_version(version);
    update.set_configuration(configuration_json(version, {{"/a/", "first"}}));
  }

  // An agent that answers at once when it has something newer, else after the wait.
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
      held = runtime.after(Millis(watch.wait_ms()), answer);
    };
  }

  std::uint64_t version() const { return feed.current() ? feed.current()->version : 0; }
};

}  // namespace

TEST_CASE_METHOD(FeedFixture, "the first configuration is taken and kept up to date") {
  CHECK_FALSE(feed.in_touch());
  runtime.run_for(Millis(10));
  CHECK(version() == 3);
  CHECK(feed.in_touch());
  offer(4);
  runtime.run_for(Millis(2100));
  CHECK(version() == 4);
  CHECK(seen == std::vector<std::uint64_t>{3, 4});
}

TEST_CASE_METHOD(FeedFixture, "a restarted agent with an older configuration changes nothing") {
  runtime.run_for(Millis(10));
  offer(2);
  runtime.run_for(Millis(10000));
  CHECK(version() == 3);
  CHECK(feed.in_touch());
}

TEST_CASE_METHOD(FeedFixture, "an agent that is gone is noticed and found again") {
  runtime.run_for(Millis(10));
  runtime.peers.clear();
  held.reset();
  runtime.run_for(Millis(6000));
  CHECK_FALSE(feed.in_touch());
  CHECK(version() == 3);
  offer(5);
  start_agent();
  runtime.run_for(Millis(100));
  CHECK(feed.in_touch());
  CHECK(version() == 5);
}

TEST_CASE_METHOD(FeedFixture, "an agent that hears no control node makes the ingress not in touch") {
  runtime.run_for(Millis(10));
  update.set_in_touch(false);
  runtime.run_for(Millis(2100));
  CHECK_FALSE(feed.in_touch());
}

TEST_CASE_METHOD(FeedFixture,
                 "a configuration that can't be read is not taken and not asked for in a storm") {
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

TEST_CASE_METHOD(FeedFixture, "a configuration at rest costs one call a second") {
  runtime.run_for(Millis(10));
  const auto before = runtime.calls_made;
  runtime.run_for(Millis(20000));
  CHECK(runtime.calls_made - before <= 21);
}
