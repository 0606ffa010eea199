// Fetching the configuration part by part: narrow links, cuts, late and doubled parts, versions passed over.
#include <catch2/catch.hpp>

#include "tests/cluster/delivery/delivery_fixture.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::testing;

namespace {

constexpr Millis kForever{60000};

// Holders behind links of one speed, and one process that fetches from them.
struct FetchFixture {
  FakeRuntime runtime;
  OperatorsConfiguration operators;
  std::map<std::uint64_t, OperatorsConfiguration> history;
  std::map<Address, std::unique_ptr<ConfigurationSource>> sources;
  std::map<Address, bool> cut;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_a_second = 250'000;
  TimePoint link_free;
  std::vector<std::unique_ptr<Timer>> under_way;

  ConfigurationReplica replica;
  std::vector<std::uint64_t> applied;
  ConfigurationFetcher fetcher{runtime, replica, [this] { record_applied(); }};

  void add_source(const Address& address) {
    sources[address] = std::make_unique<ConfigurationSource>();
    runtime.peers[address] = [this, address](const wire::Envelope& request, const ReplyCallback& reply) {
      if (cut[address]) return;
      sources[address]->server.handle(request.configuration_fetch(), [this, reply](wire::Envelope answer) {
        send(std::move(answer), reply);
      });
    };
  }
  // An answer takes its time on the link, behind those before it.
  void send(wire::Envelope answer, const ReplyCallback& reply) {
    const std::size_t bytes = answer.ByteSizeLong();
    bytes_sent += bytes;
    link_free = std::max(link_free, runtime.now()) + Millis(bytes * 1000 / bytes_a_second);
    const auto wait = std::chrono::duration_cast<Millis>(link_free - runtime.now());
    under_way.push_back(runtime.after(wait, [reply, answer = std::move(answer)] { reply(answer); }));
  }
  // The operator's next version, held by these.
  void next(const std::vector<Address>& by) {
    ++operators.version;
    history[operators.version] = operators;
    for (const Address& address : by) sources[address]->store_version(operators);
  }
  void on_version_announced(const std::vector<Address>& by) {
    for (const Address& address : by)
      fetcher.on_version_announced(address, sources[address]->table.id().version);
  }
  void record_applied() {
    REQUIRE((applied.empty() || applied.back() < replica.version()));
    REQUIRE(holds(replica, history.at(replica.version())));
    applied.push_back(replica.version());
  }
  Millis time_to_newest() {
    const TimePoint start = runtime.now();
    while (replica.version() != operators.version && runtime.now() - start < kForever)
      runtime.run_for(Millis(10));
    return std::chrono::duration_cast<Millis>(runtime.now() - start);
  }
};

}  // namespace

TEST_CASE_METHOD(FetchFixture, "3,000 routes reach a process behind 1.5 Mbit/s within 2.5 s") {
  bytes_a_second = 187'500;
  add_source("one");
  operators.add_routes(3000);
  next({"one"});
  on_version_announced({"one"});
  CHECK(time_to_newest() <= Millis(2500));
}

TEST_CASE_METHOD(FetchFixture, "a change of one route among 20,000 costs about what one among 20 does") {
  const auto cost_of_a_change = [](std::size_t routes) {
    FetchFixture fixture;
    fixture.add_source("one");
    fixture.operators.add_routes(routes);
    fixture.next({"one"});
    fixture.on_version_announced({"one"});
    fixture.time_to_newest();
    fixture.bytes_sent = 0;
    fixture.operators.put(route_named("r-7", 1));
    fixture.next({"one"});
    fixture.on_version_announced({"one"});
    fixture.time_to_newest();
    return fixture.bytes_sent;
  };
  const std::uint64_t few = cost_of_a_change(20);
  CHECK(few < 400);
  CHECK(cost_of_a_change(20'000) < few + 40);
}

TEST_CASE_METHOD(FetchFixture, "6 changes a second at 3,000 routes are in force within 0.3 s each") {
  bytes_a_second = 187'500;
  add_source("one");
  operators.add_routes(3000);
  next({"one"});
  on_version_announced({"one"});
  time_to_newest();
  for (std::uint32_t change = 0; change < 60; ++change) {
    operators.put(route_named("r-" + std::to_string(change * 37), change + 1));
    next({"one"});
    on_version_announced({"one"});
    CHECK(time_to_newest() <= Millis(300));
    runtime.run_for(Millis(160));
  }
}

TEST_CASE_METHOD(FetchFixture, "a transfer that was cut off goes on where it stopped") {
  add_source("one");
  operators.add_routes(20'000);
  next({"one"});
  on_version_announced({"one"});
  runtime.run_for(Millis(400));
  const std::uint64_t before = bytes_sent;
  REQUIRE(before > 50'000);
  REQUIRE(replica.version() == 0);
  cut["one"] = true;
  runtime.run_for(Millis(5000));
  cut["one"] = false;
  time_to_newest();
  CHECK(replica.version() == 1);
  ConfigurationSource fresh;
  fresh.store_version(operators);
  wire::ConfigurationFetch whole;
  whole.set_most_bytes(1);
  const std::uint64_t size = fresh.fetch(whole).size();
  CHECK(bytes_sent < size + 140'000);  // a part that was on its way comes twice
}

TEST_CASE_METHOD(FetchFixture, "a peer that restarts within a transfer begins its own one at once") {
  bytes_a_second = 100'000;
  add_source("one");
  operators.add_routes(20'000);
  next({"one"});
  on_version_announced({"one"});
  runtime.run_for(Millis(400));
  REQUIRE(replica.version() == 0);
  sources["one"] = std::make_unique<ConfigurationSource>();
  operators.put(route_named("r-7", 7));
  next({"one"});
  on_version_announced({"one"});
  const Millis changed = time_to_newest();
  FetchFixture undisturbed;
  undisturbed.bytes_a_second = bytes_a_second;
  undisturbed.add_source("one");
  undisturbed.operators = operators;
  undisturbed.next({"one"});
  undisturbed.on_version_announced({"one"});
  CHECK(changed <= undisturbed.time_to_newest() + Millis(300));
}

TEST_CASE_METHOD(FetchFixture, "another peer takes over where one falls silent") {
  add_source("one");
  add_source("two");
  operators.add_routes(3000);
  next({"one", "two"});
  cut["one"] = true;
  fetcher.on_version_announced("one", 1);
  runtime.run_for(Millis(300));
  fetcher.on_version_announced("two", 1);
  CHECK(time_to_newest() <= Millis(2000));
}

TEST_CASE_METHOD(FetchFixture, "a peer that missed versions hands the whole configuration on") {
  add_source("one");
  add_source("behind");
  operators.add_routes(50);
  next({"one"});
  on_version_announced({"one"});
  time_to_newest();
  operators.put(route_named("r-7", 7));
  next({"behind"});
  cut["one"] = true;
  on_version_announced({"behind"});
  CHECK(time_to_newest() <= Millis(100));
  CHECK(applied == std::vector<std::uint64_t>{1, 2});
}

TEST_CASE_METHOD(FetchFixture,
                 "a peer whose transfers can't be used is asked for them once a second at most") {
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

// Drawn courses: peers that lag, cuts, answers that come late or after those of a later call.
TEST_CASE("drawn courses never step back, hold what their version says, and end at the newest") {
  for (unsigned seed = 1; seed <= 60; ++seed) {
    FetchFixture fixture;
    FakeRuntime& runtime = fixture.runtime;
    for (unsigned skip = 0; skip < seed; ++skip) runtime.random();
    const std::vector<Address> all{"one", "two", "three"};
    for (const Address& address : all) fixture.add_source(address);
    fixture.operators.add_routes(400);
    fixture.next(all);
    for (unsigned step = 0; step < 120; ++step) {
      const Address& one = all[runtime.random() % all.size()];
      switch (runtime.random() % 8) {
        case 0:
          fixture.cut[one] = !fixture.cut[one];
          break;
        case 1:
          fixture.operators.routes.erase("r-" + std::to_string(runtime.random() % 400));
          fixture.next({one});
          break;
        case 2:
          fixture.operators.add_routes(runtime.random() % 400);
          fixture.next(all);
          break;
        case 3:
          fixture.fetcher.remove_peer(one);
          break;
        case 4:  // the process loses its state and comes back with the newest version alone
          fixture.sources[one] = std::make_unique<ConfigurationSource>();
          fixture.sources[one]->store_version(fixture.operators);
          break;
        default:
          fixture.operators.put(route_named("r-" + std::to_string(runtime.random() % 400),
                                            static_cast<std::uint32_t>(1 + runtime.random() % 9000)));
          fixture.next({one});
          break;
      }
      fixture.on_version_announced({all[runtime.random() % all.size()]});
      fixture.runtime.one_way = Millis(1 + runtime.random() % 60);
      runtime.run_for(Millis(runtime.random() % 300));
    }
    fixture.cut.clear();
    fixture.next(all);
    fixture.on_version_announced(all);
    CAPTURE(seed);
    CHECK(fixture.time_to_newest() <= Millis(4000));
  }
}
