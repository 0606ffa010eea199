// Tests of the configuration service: operators' changes with lost responses, concurrent changes, retries and
// invalid bodies; long polls; snapshots.
#include <catch2/catch.hpp>

#include "cluster/control/configuration_responses.hpp"
#include "tests/cluster/support/configuration_fixture.hpp"
#include "tests/cluster/worker_agent/worker_fixture.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::configuration_test;
using winchhall::cluster::worker_test::ScriptedRuntime;

namespace {

using Delivery = SharedRegisters::Delivery;
using Outcome = ConfigurationOutcomeKind;

struct ConfigurationServiceFixture {
  ConfigurationServiceFixture()
      : service(runtime, registers,
                ConfigurationDependencies{[this] { return leaders; },
                                          [] { return std::vector<wire::Member>(); }, [] { return true; }}) {}

  ConfigurationOutcome put(const std::string& base, const std::string& body,
                           Delivery delivery = Delivery::delivered) {
    return change(base, body, delivery, &ConfigurationService::put);
  }
  ConfigurationOutcome patch(const std::string& base, const std::string& body,
                             Delivery delivery = Delivery::delivered) {
    return change(base, body, delivery, &ConfigurationService::patch);
  }
  ConfigurationRead get() {
    ConfigurationRead result;
    service.get([&](ConfigurationRead read) { result = std::move(read); });
    registers.run_all();
    return result;
  }
  std::shared_ptr<std::optional<wire::ConfigurationUpdate>> watch(std::uint64_t version, std::uint64_t digest,
                                                                  std::uint32_t wait_ms = 1000) {
    auto update = std::make_shared<std::optional<wire::ConfigurationUpdate>>();
    wire::Envelope request;
    request.mutable_configuration_watch()->set_version(version);
    request.mutable_configuration_watch()->set_leaders_digest(digest);
    request.mutable_configuration_watch()->set_wait_ms(wait_ms);
    service.handle(request,
                   [update](const wire::Envelope& answer) { *update = answer.configuration_update(); });
    return update;
  }

  ScriptedRuntime runtime;
  SharedRegisters registers;
  std::vector<wire::ShardLeader> leaders;
  ConfigurationService service;

 private:
  using Change = void (ConfigurationService::*)(const std::optional<std::string>&, std::string,
                                                ConfigurationService::ChangeCallback);
  ConfigurationOutcome change(const std::string& base, const std::string& body, Delivery delivery,
                              Change call) {
    ConfigurationOutcome result;
    (service.*call)(base, body, [&](ConfigurationOutcome outcome) { result = std::move(outcome); });
    if (registers.pending() > 0) registers.run_oldest(delivery);
    registers.run_all();
    return result;
  }
};

std::string route_patch(std::uint64_t version, const std::string& name) {
  return R"({"version":)" + std::to_string(version) + R"(,"upsert":{"routes":[)" + route_json(name, name) +
         "]}}";
}

}  // namespace

TEST_CASE_METHOD(ConfigurationServiceFixture, "a first configuration is applied and read back as sent") {
  CHECK(get().kind == ConfigurationReadKind::missing);
  CHECK(put("0", small_configuration(5)).kind == Outcome::applied);
  const ConfigurationRead read = get();
  CHECK(read.kind == ConfigurationReadKind::found);
  CHECK(read.json == small_configuration(5));
  REQUIRE(service.newest() != nullptr);
  CHECK(service.newest()->version == 5);
}

TEST_CASE_METHOD(ConfigurationServiceFixture,
                 "a retried change that was applied is acknowledged again, also after newer changes") {
  put("0", small_configuration(5));
  CHECK(patch("5", route_patch(7, "r-2")).kind == Outcome::applied);
  CHECK(patch("7", route_patch(9, "r-3")).kind == Outcome::applied);
  const ConfigurationOutcome again = put("0", small_configuration(5));
  CHECK(again.kind == Outcome::applied);
  CHECK(again.version == 5);
  CHECK(patch("5", route_patch(7, "r-2")).kind == Outcome::applied);
  CHECK(get().version == 9);
}

TEST_CASE_METHOD(ConfigurationServiceFixture,
                 "a change whose response was lost is acknowledged when it is retried") {
  put("0", small_configuration(5));
  CHECK(patch("5", route_patch(7, "r-2"), Delivery::response_lost).kind == Outcome::unavailable);
  CHECK(patch("5", route_patch(7, "r-2")).kind == Outcome::applied);
  CHECK(patch("7", route_patch(8, "r-3"), Delivery::request_lost).kind == Outcome::unavailable);
  CHECK(patch("7", route_patch(8, "r-3")).kind == Outcome::applied);
}

TEST_CASE_METHOD(ConfigurationServiceFixture, "of two changes on the same base version one is applied") {
  put("0", small_configuration(5));
  CHECK(patch("5", route_patch(7, "r-2")).kind == Outcome::applied);
  const ConfigurationOutcome other = patch("5", route_patch(7, "r-3"));
  CHECK(other.kind == Outcome::conflict);
  CHECK(other.version == 7);
  CHECK(put("5", small_configuration(8)).kind == Outcome::conflict);
  CHECK(put("4", small_configuration(8)).kind == Outcome::conflict);
  CHECK(get().json.find("r-3") == std::string::npos);
}

TEST_CASE_METHOD(ConfigurationServiceFixture,
                 "the same body on another base or of another kind is a different change") {
  put("0", small_configuration(5));
  CHECK(put("5", small_configuration(5)).kind == Outcome::invalid);
  CHECK(patch("0", small_configuration(5)).kind == Outcome::conflict);
}

TEST_CASE_METHOD(ConfigurationServiceFixture, "invalid changes are rejected and change nothing") {
  put("0", small_configuration(5));
  CHECK(put("5", small_configuration(5)).kind == Outcome::invalid);
  CHECK(put("5", small_configuration(4)).kind == Outcome::invalid);
  CHECK(put("5", small_configuration(7).substr(0, 200)).kind == Outcome::invalid);
  CHECK(put("five", small_configuration(7)).kind == Outcome::invalid);
  CHECK(put("-1", small_configuration(7)).kind == Outcome::invalid);
  CHECK(patch("5", route_patch(5, "r-2")).kind == Outcome::invalid);
  CHECK(patch("5", R"({"version":7,"delete":{"services":["core"]}})").kind == Outcome::invalid);
  CHECK(get().json == small_configuration(5));
}

TEST_CASE_METHOD(ConfigurationServiceFixture,
                 "of two nodes' concurrent changes one is applied, the other is a conflict") {
  ConfigurationService other(
      runtime, registers,
      ConfigurationDependencies{[] { return std::vector<wire::ShardLeader>(); },
                                [] { return std::vector<wire::Member>(); }, [] { return true; }});
  put("0", small_configuration(5));
  ConfigurationOutcome first;
  ConfigurationOutcome second;
  service.put("5", small_configuration(8), [&](const ConfigurationOutcome& outcome) { first = outcome; });
  other.put("5", configuration_json(8, route_json("r-9", "nine")),
            [&](const ConfigurationOutcome& outcome) { second = outcome; });
  registers.run_all();
  CHECK(first.kind == Outcome::applied);
  CHECK(second.kind == Outcome::conflict);
  CHECK(get().json == small_configuration(8));
}

TEST_CASE_METHOD(ConfigurationServiceFixture,
                 "an applied change is never rejected on retry, however many changes followed") {
  const auto send = [this](std::uint64_t version) {
    return put(std::to_string(version - 1), small_configuration(version)).kind;
  };
  std::uint64_t retried = 0;
  for (std::uint64_t version = 1; version <= 2100; ++version) {
    REQUIRE(send(version) == Outcome::applied);
    // Sends one of the earlier changes again, and a competing change with the same base, which was never
    // applied.
    retried = 1 + (retried * 7 + version) % version;
    const Outcome again = send(retried);
    const Outcome losing = put(std::to_string(retried - 1), small_configuration(retried) + " ").kind;
    CAPTURE(version, retried);
    REQUIRE((again == Outcome::applied || again == Outcome::unavailable));
    REQUIRE(losing != Outcome::applied);
    // A change that the record still lists has a definite outcome.
    if (version - retried >= 1000) continue;
    REQUIRE(again == Outcome::applied);
    REQUIRE(losing == Outcome::conflict);
  }
  CHECK(send(500) == Outcome::unavailable);
  CHECK(send(1) == Outcome::applied);
  CHECK(registers.value().value.size() < 64 * 1024);
}

TEST_CASE_METHOD(ConfigurationServiceFixture,
                 "a change that can't have been applied is rejected, however many changes followed") {
  for (std::uint64_t version = 1; version <= 1500; ++version)
    put(std::to_string(version - 1), small_configuration(version));
  CHECK(put("0", small_configuration(300)).kind == Outcome::conflict);     // not the first change
  CHECK(put("200", small_configuration(1600)).kind == Outcome::conflict);  // the version was never in force
  CHECK(put("1500", small_configuration(200)).kind == Outcome::invalid);   // the version is too low
  CHECK(put("300", small_configuration(300)).kind == Outcome::conflict);   // a version is not based on itself
  CHECK(put("1499", small_configuration(1500) + " ").kind == Outcome::conflict);
}

TEST_CASE_METHOD(ConfigurationServiceFixture, "a watcher is notified of a newer version at once") {
  put("0", small_configuration(5));
  const std::uint64_t digest = [&] { return watch(0, 0).get()->value().leaders_digest(); }();
  const auto waiting = watch(5, digest);
  CHECK_FALSE(waiting->has_value());
  put("5", small_configuration(6));
  REQUIRE(waiting->has_value());
  CHECK((*waiting)->version() == 6);
  CHECK((*waiting)->configuration() == small_configuration(6));
  CHECK((*waiting)->in_touch());
}

TEST_CASE_METHOD(ConfigurationServiceFixture, "a long poll without changes times out with an empty update") {
  put("0", small_configuration(5));
  const std::uint64_t digest = watch(0, 0)->value().leaders_digest();
  const auto waiting = watch(5, digest, 1000);
  runtime.advance(Millis(940));
  CHECK_FALSE(waiting->has_value());
  runtime.advance(Millis(120));
  REQUIRE(waiting->has_value());
  CHECK((*waiting)->version() == 5);
  CHECK((*waiting)->configuration().empty());
  const auto at_once = watch(5, digest, 0);
  CHECK(at_once->has_value());
}

TEST_CASE_METHOD(ConfigurationServiceFixture,
                 "a watcher is notified of a new leader, not of a renewed lease") {
  put("0", small_configuration(5));
  const std::uint64_t digest = watch(0, 0)->value().leaders_digest();
  const auto waiting = watch(5, digest);
  wire::ShardLeader leader;
  leader.set_shard("service/core");
  leader.set_epoch(3);
  leader.set_address("10.0.0.1:7000");
  leader.set_remaining_ms(900);
  leaders.push_back(leader);
  runtime.advance(Millis(60));
  REQUIRE(waiting->has_value());
  REQUIRE((*waiting)->leaders_size() == 1);
  const auto next = watch(5, (*waiting)->leaders_digest());
  leaders[0].set_remaining_ms(500);
  runtime.advance(Millis(60));
  CHECK_FALSE(next->has_value());
  service.stop();
  CHECK(next->has_value());
}

TEST_CASE_METHOD(ConfigurationServiceFixture, "an older chosen value never replaces a newer one") {
  put("0", small_configuration(5));
  const RegisterValue older = registers.value();
  put("5", small_configuration(6));
  service.on_register_value(older);
  CHECK(service.newest()->version == 6);
  service.on_register_value(RegisterValue{{}, "no record"});
  CHECK(service.newest()->version == 6);
  CHECK(watch(0, 0)->value().version() == 6);
}

TEST_CASE("outcomes map to HTTP responses") {
  CHECK(change_response({Outcome::applied, 7, {}}).result_int() == 200);
  CHECK(change_response({Outcome::applied, 7, {}}).body() == R"({"version":7})");
  CHECK(change_response({Outcome::conflict, 8, {}}).result_int() == 412);
  CHECK(change_response({Outcome::invalid, 0, {"Config.Put", "version", "0", "more"}}).result_int() == 400);
  CHECK(change_response({Outcome::unavailable, 0, {}}).result_int() == 503);
  CHECK(read_response({ConfigurationReadKind::found, 7, "{}"}).result_int() == 200);
  CHECK(read_response({ConfigurationReadKind::missing, 0, ""}).result_int() == 404);
  CHECK(read_response({ConfigurationReadKind::unavailable, 0, ""}).result_int() == 503);
}

// ---------------------------------------------------------------- records that name snapshots

namespace {

std::string configuration_with_routes(std::uint64_t version, unsigned count) {
  std::string routes = route_json("r-0", "p-0");
  for (unsigned number = 1; number < count; ++number) {
    const std::string text = std::to_string(number);
    routes += "," + route_json("r-" + text, "p-" + text);
  }
  return configuration_json(version, routes);
}

}  // namespace

TEST_CASE_METHOD(ConfigurationServiceFixture,
                 "a patch of one route writes a record of the same size with 3,000 routes as with 30") {
  const auto record_bytes_after_patch = [](unsigned routes) {
    ConfigurationServiceFixture fixture;
    REQUIRE(fixture.put("0", configuration_with_routes(5, routes)).kind == Outcome::applied);
    REQUIRE(fixture.patch("5", route_patch(7, "r-2")).kind == Outcome::applied);
    return fixture.registers.value().value.size();
  };
  CHECK(record_bytes_after_patch(3000) < 1000);
  CHECK(record_bytes_after_patch(3000) == record_bytes_after_patch(30));
}

TEST_CASE_METHOD(ConfigurationServiceFixture, "patches are applied across many snapshots") {
  REQUIRE(put("0", configuration_with_routes(1, 50)).kind == Outcome::applied);
  for (std::uint64_t version = 2; version <= 400; ++version) {
    const std::string name = "r-" + std::to_string(version % 90);
    REQUIRE(patch(std::to_string(version - 1), route_patch(version, name)).kind == Outcome::applied);
    REQUIRE(registers.value().value.size() < 64 * 1024);
  }
  CHECK(parsed(get().json).routes.size() == 90);
  CHECK(parsed(get().json).version == 400);
}

TEST_CASE_METHOD(ConfigurationServiceFixture,
                 "a node that missed changes reads the snapshot before it proposes a change") {
  ConfigurationService other(
      runtime, registers,
      ConfigurationDependencies{[] { return std::vector<wire::ShardLeader>(); },
                                [] { return std::vector<wire::Member>(); }, [] { return true; }});
  put("0", configuration_with_routes(5, 20));
  patch("5", route_patch(7, "r-30"));
  ConfigurationOutcome outcome;
  other.patch("7", route_patch(9, "r-31"), [&](const ConfigurationOutcome& result) { outcome = result; });
  registers.run_all();
  CHECK(outcome.kind == Outcome::applied);
  REQUIRE(other.newest() != nullptr);
  CHECK(other.newest()->routes.size() == 22);
  CHECK(get().version == 9);
}

TEST_CASE_METHOD(ConfigurationServiceFixture, "a lagging node validates a change against its base version") {
  ConfigurationService other(
      runtime, registers,
      ConfigurationDependencies{[] { return std::vector<wire::ShardLeader>(); },
                                [] { return std::vector<wire::Member>(); }, [] { return true; }});
  put("0", small_configuration(5));
  other.get([](const ConfigurationRead&) {});
  registers.run_all();
  REQUIRE(other.newest() != nullptr);
  patch("5", route_patch(7, "r-30"));
  const std::string same_prefix = R"({"version":9,"upsert":{"routes":[)" + route_json("r-31", "r-30") + "]}}";
  ConfigurationOutcome outcome;
  other.patch("7", same_prefix, [&](const ConfigurationOutcome& result) { outcome = result; });
  registers.run_all();
  CHECK(outcome.kind == Outcome::invalid);
  CHECK(outcome.error.field == "upsert.routes[0].path_prefix");
  CHECK(get().version == 7);
}

TEST_CASE_METHOD(ConfigurationServiceFixture, "no record names a snapshot that isn't durable on a majority") {
  ConfigurationOutcome outcome;
  service.put("0", small_configuration(5), [&](const ConfigurationOutcome& result) { outcome = result; });
  registers.run_oldest();                        // shows that the snapshot must be written first
  registers.run_oldest(Delivery::request_lost);  // no majority accepts it
  CHECK(outcome.kind == Outcome::unavailable);
  CHECK(registers.pending() == 0);
  CHECK(registers.value().value.empty());
}

TEST_CASE("while a member can't read snapshots, records contain the complete configuration") {
  ScriptedRuntime runtime;
  SharedRegisters registers;
  bool all_read = false;
  ConfigurationService service(runtime, registers,
                               ConfigurationDependencies{[] { return std::vector<wire::ShardLeader>(); },
                                                         [] { return std::vector<wire::Member>(); },
                                                         [] { return true; }, [&] { return all_read; }});
  const auto record = [&] {
    wire::ConfigurationRecord record;
    REQUIRE(record.ParseFromString(registers.value().value));
    return record;
  };
  const auto ignore = [](const ConfigurationOutcome&) {};
  service.put("0", small_configuration(5), ignore);
  registers.run_all();
  service.patch("5", route_patch(7, "r-2"), ignore);
  registers.run_all();
  CHECK_FALSE(record().has_snapshot());
  CHECK(parsed(record().json()).routes.size() == 2);
  all_read = true;
  service.patch("7", route_patch(8, "r-3"), ignore);
  registers.run_all();
  CHECK(record().has_snapshot());
  CHECK(record().json().empty());
  all_read = false;  // as if a member were unreachable; all members could read snapshots before
  service.patch("8", route_patch(9, "r-4"), ignore);
  registers.run_all();
  CHECK(record().patches_size() == 1);
}

TEST_CASE("snapshots that no record can name any more are dropped, newer ones are kept") {
  ScriptedRuntime runtime;
  SharedRegisters registers;
  std::vector<std::string> keys;
  LocalRegisterReplicas local;
  local.drop = [&](const std::function<bool(const std::string&)>& unneeded) {
    std::erase_if(keys, unneeded);
  };
  ConfigurationSnapshots snapshots(registers, local);
  const auto key_of = [](std::uint64_t version, const std::string& json) {
    SharedRegisters probe;
    ConfigurationSnapshots(probe, LocalRegisterReplicas())
        .write(ConfigurationSnapshots::id_of(version, json), json, Millis(100), [](bool) {});
    return probe.oldest_key();
  };
  keys = {"configuration",      "members",       key_of(3, "{3}"), key_of(5, "{5}"),
          key_of(5, "{other}"), key_of(9, "{9}")};
  const std::vector<std::string> kept{keys[0], keys[1], keys[3], keys[5]};
  wire::ConfigurationRecord record;
  record.set_version(7);
  *record.mutable_snapshot() = ConfigurationSnapshots::id_of(5, "{5}");
  snapshots.drop_unneeded(record);
  CHECK(keys == kept);
}
