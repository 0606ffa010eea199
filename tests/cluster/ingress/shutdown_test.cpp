// Readiness and graceful shutdown of an ingress, on loopback sockets and virtual time.
#include <catch2/catch.hpp>
#include <optional>

#include "cluster/ingress/ingress.hpp"
#include "tests/cluster/support/fake_runtime.hpp"
#include "tests/cluster/support/loopback_client.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::testing;
namespace asio = boost::asio;

namespace {

constexpr Millis kStep{10};

using Client = LoopbackClient;

// An ingress whose sockets are real and whose timers and agent are simulated.
struct IngressFixture {
  FakeRuntime runtime;
  asio::io_context loop;
  NodeSettings settings;
  Ingress ingress{runtime, settings, loop};
  std::vector<std::unique_ptr<Timer>> pending_polls;
  std::optional<TimePoint> done_at;

  IngressFixture() : IngressFixture(make_settings()) {}
  explicit IngressFixture(NodeSettings node_settings) : settings(std::move(node_settings)) {
    ingress.start();
  }

  static NodeSettings make_settings() {
    NodeSettings settings;
    settings.front = "127.0.0.1:0";
    settings.ready = "127.0.0.1:0";
    settings.internal_port_first = 7380;
    return settings;
  }

  void start_agent() {
    runtime.peers[settings.agent_listener_address()] = [this](const wire::Envelope& request,
                                                              const ReplyCallback& reply) {
      if (!request.has_configuration_watch()) return;
      wire::Envelope envelope;
      auto& update = *envelope.mutable_configuration_update();
      update.set_version(1);
      update.set_in_touch(true);
      if (request.configuration_watch().version() == 1) {
        pending_polls.push_back(runtime.after(Millis(request.configuration_watch().wait_ms()),
                                              [reply, envelope] { reply(envelope); }));
        return;
      }
      update.set_configuration(configuration_json(1, {{"/a/", "first"}}));
      reply(std::move(envelope));
    };
  }

  // Advances virtual time in steps and serves the sockets between them.
  void advance(Millis span) {
    for (Millis passed{0}; passed < span; passed += kStep) {
      serve();
      runtime.run_for(kStep);
    }
    serve();
  }
  void serve() {
    loop.restart();
    while (loop.poll() > 0) {
    }
  }
  // Serves the sockets until the condition holds, for five seconds of real time at most.
  template <typename Condition>
  bool serve_until(Condition condition) {
    const auto end = SteadyClock::now() + std::chrono::seconds(5);
    while (!condition() && SteadyClock::now() < end) {
      loop.restart();
      loop.run_one_for(Millis(20));
    }
    return condition();
  }
  void shut_down() {
    ingress.shut_down([this] { done_at = runtime.now(); });
  }
  bool probe_returns(const std::string& status) {
    Client client(loop, ingress.ready_port());
    client.send("GET /v1/readiness HTTP/1.1\r\nHost: a\r\n\r\n");
    return serve_until([&] { return client.has("HTTP/1.1 " + status); });
  }
};

constexpr char kSubmit[] =
    "POST /a/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: 24\r\n\r\n"
    R"({"stages":[{"count":1}]})";

}  // namespace

TEST_CASE_METHOD(IngressFixture, "an ingress is ready while it has a configuration and its agent responds") {
  advance(Millis(100));
  CHECK(probe_returns("503"));
  start_agent();
  advance(Millis(100));
  CHECK(probe_returns("200"));
  runtime.peers.clear();
  pending_polls.clear();
  advance(Millis(6000));
  CHECK(probe_returns("503"));
}

TEST_CASE_METHOD(IngressFixture,
                 "a graceful shutdown fails readiness, then drains, and answers every request") {
  start_agent();
  advance(Millis(100));
  Client idle(loop, ingress.front_port());
  Client busy(loop, ingress.front_port());
  shut_down();
  CHECK(probe_returns("503"));
  advance(Millis(2300));
  CHECK_FALSE(idle.ended());
  busy.send(kSubmit);
  advance(Millis(100));
  CHECK_FALSE(done_at);
  advance(Millis(200));
  REQUIRE(serve_until([&] { return idle.ended(); }));
  CHECK_FALSE(busy.ended());
  advance(Millis(2500));
  REQUIRE(serve_until([&] { return busy.has("HTTP/1.1 504"); }));
  CHECK(busy.has("Connection: close"));
  CHECK(done_at);
}

TEST_CASE_METHOD(IngressFixture,
                 "an ingress without connections ends as soon as the platform has noticed its shutdown") {
  start_agent();
  advance(Millis(100));
  const auto start = runtime.now();
  shut_down();
  advance(Millis(3000));
  REQUIRE(done_at);
  CHECK(*done_at - start >= Millis(2500));
  CHECK(*done_at - start <= Millis(2600));
}

TEST_CASE("an ingress with the unsupported command mode invocation accepts no jobs") {
  NodeSettings settings = IngressFixture::make_settings();
  settings.commands = CommandMode::invocation;
  IngressFixture fixture(settings);
  fixture.start_agent();
  fixture.advance(Millis(100));
  CHECK(fixture.probe_returns("503"));
  Client client(fixture.loop, fixture.ingress.front_port());
  client.send(kSubmit);
  REQUIRE(fixture.serve_until([&] { return client.has("HTTP/1.1 503"); }));
  CHECK(client.has("Retry-After"));
}
