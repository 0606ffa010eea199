// Fetching the configuration in parts: narrow links, partitions, restarts, late and duplicate replies.
#include <catch2/catch.hpp>
#include <random>
#include <string_view>

#include "tests/cluster/delivery/delivery_fixture.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::testing;

namespace {

constexpr Millis kMaxWait{60000};

// Sources that share one link of limited bandwidth, and a process that fetches from them.
struct FetchFixture {
  FakeRuntime runtime;
  OperatorConfiguration operator_configuration;
  std::map<std::uint64_t, OperatorConfiguration> history;
  std::map<Address, std::unique_ptr<ConfigurationSource>> sources;
  std::map<Address, bool> partitioned;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_per_second = 250'000;
  TimePoint link_free_at;
  std::vector<std::unique_ptr<Timer>> replies_in_flight;

  ConfigurationReplica replica;
  std::vector<std::uint64_t> applied;
  ConfigurationFetcher fetcher{runtime, replica, [this] { record_applied(); }};

  void add_source(const Address& address) {
    sources[address] = std::make_unique<ConfigurationSource>();
    runtime.peers[address] = [this, address](const wire::Envelope& request, const ReplyCallback& reply) {
      if (partitioned[address]) return;
      sources[address]->server.handle(request.configuration_fetch(), [this, reply](wire::Envelope answer) {
        send(std::move(answer), reply);
      });
    };
  }
  // Delivers a reply after the replies before it and its own transmission time.
  void send(wire::Envelope answer, const ReplyCallback& reply) {
    const std::size_t bytes = answer.ByteSizeLong();
    bytes_sent += bytes;
    link_free_at = std::max(link_free_at, runtime.now()) + Millis(bytes * 1000 / bytes_per_second);
    const auto wait = std::chrono::duration_cast<Millis>(link_free_at - runtime.now());
    replies_in_flight.push_back(runtime.after(wait, [reply, answer = std::move(answer)] { reply(answer); }));
  }
  // The operator's configuration becomes the next version of these peers.
  void publish(const std::vector<Address>& peers) {
    ++operator_configuration.version;
    history[operator_configuration.version] = operator_configuration;
    for (const Address& address : peers) sources[address]->apply(operator_configuration);
  }
  void announce(const std::vector<Address>& peers) {
    for (const Address& address : peers) {
      fetcher.on_version_announced(address, sources[address]->table.id().version);
    }
  }
  // Checks that versions only increase and that the replica equals the version that it has applied.
  void record_applied() {
    REQUIRE((applied.empty() || applied.back() < replica.version()));
    REQUIRE(equals(replica, history.at(replica.version())));
    applied.push_back(replica.version());
  }
  // Runs until the replica has the newest version, for kMaxWait at most, and returns the time that it took.
  Millis time_to_newest() {
    const TimePoint start = runtime.now();
    while (replica.version() != operator_configuration.version && runtime.now() - start < kMaxWait) {
      runtime.run_for(Millis(10));
    }
    return std::chrono::duration_cast<Millis>(runtime.now() - start);
  }
};

std::string random_name(std::mt19937& random, std::size_t length) {
  constexpr std::string_view kCharacters = "abcdefghijklmnopqrstuvwxyz0123456789";
  std::string name;
  while (name.size() < length) name += kCharacters[random() % kCharacters.size()];
  return name;
}

// A route whose fields hardly compress, unlike those of `route_named`.
Route random_route(std::mt19937& random) {
  Route route = route_named(random_name(random, 16), 1 + random() % 60'000, random_name(random, 12));
  route.hostname = random_name(random, 8) + ".example";
  route.target_latency_ms = 1 + random() % 10'000;
  route.priority = random() % 10;
  route.max_retries = random() % 5;
  route.stretch = 1 + (random() % 100) / 10.0;
  return route;
}

// A random change of the configuration, or a random fault.
void apply_random_event(FetchFixture& fixture, const std::vector<Address>& all) {
  FakeRuntime& runtime = fixture.runtime;
  const Address& peer = all[runtime.random() % all.size()];
  switch (runtime.random() % 8) {
    case 0:
      fixture.partitioned[peer] = !fixture.partitioned[peer];
      break;
    case 1:
      fixture.operator_configuration.routes.erase("r-" + std::to_string(runtime.random() % 400));
      fixture.publish({peer});
      break;
    case 2:
      fixture.operator_configuration.add_routes(runtime.random() % 400);
      fixture.publish(all);
      break;
    case 3:
      fixture.fetcher.remove_peer(peer);
      break;
    case 4:  // a restart without state, with the newest version only
      fixture.sources[peer] = std::make_unique<ConfigurationSource>();
      fixture.sources[peer]->apply(fixture.operator_configuration);
      break;
    default:
      fixture.operator_configuration.put(
          route_named("r-" + std::to_string(runtime.random() % 400),
                      static_cast<std::uint32_t>(1 + runtime.random() % 9000)));
      fixture.publish({peer});
      break;
  }
}

}  // namespace

TEST_CASE_METHOD(FetchFixture, "3,000 similar routes are fetched over 1.5 Mbit/s within 2.5 s") {
  bytes_per_second = 187'500;
  add_source("one");
  operator_configuration.add_routes(3000);
  publish({"one"});
  announce({"one"});
  CHECK(time_to_newest() <= Millis(2500));
}

TEST_CASE_METHOD(FetchFixture, "3,000 routes with random fields are fetched over 1.5 Mbit/s within 2.5 s") {
  constexpr std::size_t kRoutes = 3000;
  bytes_per_second = 187'500;
  add_source("one");
  std::mt19937 random(1);
  for (std::size_t number = 0; number < kRoutes; ++number) operator_configuration.put(random_route(random));
  publish({"one"});
  announce({"one"});
  const Millis duration = time_to_newest();
  CHECK(equals(replica, operator_configuration));
  CHECK(duration <= Millis(2500));
  // The routes were in fact hard to compress, and little time was lost between the parts.
  CHECK(bytes_sent > kRoutes * 30);
  CHECK(duration <= Millis(bytes_sent * 1000 / bytes_per_second + 250));
}

TEST_CASE_METHOD(FetchFixture, "the bytes for a changed route hardly depend on the number of routes") {
  const auto bytes_of_a_change = [](std::size_t routes) {
    FetchFixture fixture;
    fixture.add_source("one");
    fixture.operator_configuration.add_routes(routes);
    fixture.publish({"one"});
    fixture.announce({"one"});
    fixture.time_to_newest();
    fixture.bytes_sent = 0;
    fixture.operator_configuration.put(route_named("r-7", 1));
    fixture.publish({"one"});
    fixture.announce({"one"});
    fixture.time_to_newest();
    return fixture.bytes_sent;
  };
  const std::uint64_t few = bytes_of_a_change(20);
  CHECK(few < 400);
  CHECK(bytes_of_a_change(20'000) < few + 40);
}

TEST_CASE_METHOD(FetchFixture, "with 3,000 routes and 6 changes per second, each is applied within 0.3 s") {
  bytes_per_second = 187'500;
  add_source("one");
  operator_configuration.add_routes(3000);
  publish({"one"});
  announce({"one"});
  time_to_newest();
  for (std::uint32_t change = 0; change < 60; ++change) {
    operator_configuration.put(route_named("r-" + std::to_string(change * 37), change + 1));
    publish({"one"});
    announce({"one"});
    CHECK(time_to_newest() <= Millis(300));
    runtime.run_for(Millis(160));
  }
}

TEST_CASE_METHOD(FetchFixture, "an interrupted transfer is resumed at the offset reached") {
  add_source("one");
  operator_configuration.add_routes(20'000);
  publish({"one"});
  announce({"one"});
  runtime.run_for(Millis(400));
  const std::uint64_t before = bytes_sent;
  REQUIRE(before > 50'000);
  REQUIRE(replica.version() == 0);
  partitioned["one"] = true;
  runtime.run_for(Millis(5000));
  partitioned["one"] = false;
  time_to_newest();
  CHECK(replica.version() == 1);
  ConfigurationSource complete_source;
  complete_source.apply(operator_configuration);
  wire::ConfigurationFetch fetch_full;
  fetch_full.set_most_bytes(1);
  const std::uint64_t size = complete_source.fetch(fetch_full).size();
  CHECK(bytes_sent < size + 140'000);  // a part that was in flight is sent twice
}

TEST_CASE_METHOD(FetchFixture, "a peer that restarts during a transfer starts a new one at once") {
  bytes_per_second = 100'000;
  add_source("one");
  operator_configuration.add_routes(20'000);
  publish({"one"});
  announce({"one"});
  runtime.run_for(Millis(400));
  REQUIRE(replica.version() == 0);
  sources["one"] = std::make_unique<ConfigurationSource>();
  operator_configuration.put(route_named("r-7", 7));
  publish({"one"});
  announce({"one"});
  const Millis with_restart = time_to_newest();
  FetchFixture undisturbed;
  undisturbed.bytes_per_second = bytes_per_second;
  undisturbed.add_source("one");
  undisturbed.operator_configuration = operator_configuration;
  undisturbed.publish({"one"});
  undisturbed.announce({"one"});
  CHECK(with_restart <= undisturbed.time_to_newest() + Millis(300));
}

TEST_CASE_METHOD(FetchFixture, "the transfer moves to another peer if one stops responding") {
  add_source("one");
  add_source("two");
  operator_configuration.add_routes(3000);
  publish({"one", "two"});
  partitioned["one"] = true;
  fetcher.on_version_announced("one", 1);
  runtime.run_for(Millis(300));
  fetcher.on_version_announced("two", 1);
  CHECK(time_to_newest() <= Millis(2000));
}

TEST_CASE_METHOD(FetchFixture, "a peer that missed versions serves the full configuration") {
  add_source("one");
  add_source("behind");
  operator_configuration.add_routes(50);
  publish({"one"});
  announce({"one"});
  time_to_newest();
  operator_configuration.put(route_named("r-7", 7));
  publish({"behind"});
  partitioned["one"] = true;
  announce({"behind"});
  CHECK(time_to_newest() <= Millis(100));
  CHECK(applied == std::vector<std::uint64_t>{1, 2});
}

TEST_CASE_METHOD(FetchFixture, "a peer whose transfers are invalid gets at most one request per second") {
  runtime.peers["bad"] = [](const wire::Envelope&, const ReplyCallback& reply) {
    wire::Envelope answer;
    wire::ConfigurationPart& part = *answer.mutable_configuration_part();
    part.set_version(5);
    part.set_transfer(1);
    part.set_size(3);
    part.set_bytes("bad");
    reply(std::move(answer));
  };
  fetcher.on_version_announced("bad", 5);
  runtime.run_for(Millis(10'000));
  CHECK(runtime.calls_made <= 11);
  CHECK(replica.version() == 0);
}

// Random schedules of changes, partitions, restarts, lagging peers, and late or reordered replies.
TEST_CASE(
    "under random faults the replica never goes back, always equals its version, and reaches the newest") {
  for (unsigned seed = 1; seed <= 60; ++seed) {
    FetchFixture fixture;
    FakeRuntime& runtime = fixture.runtime;
    for (unsigned skip = 0; skip < seed; ++skip) runtime.random();
    const std::vector<Address> all{"one", "two", "three"};
    for (const Address& address : all) fixture.add_source(address);
    fixture.operator_configuration.add_routes(400);
    fixture.publish(all);
    for (unsigned step = 0; step < 120; ++step) {
      apply_random_event(fixture, all);
      fixture.announce({all[runtime.random() % all.size()]});
      fixture.runtime.one_way = Millis(1 + runtime.random() % 60);
      runtime.run_for(Millis(runtime.random() % 300));
    }
    fixture.partitioned.clear();
    fixture.publish(all);
    fixture.announce(all);
    CAPTURE(seed);
    CHECK(fixture.time_to_newest() <= Millis(4000));
  }
}
