// Differences between versions of the configuration: making, checking and applying them.
#include <catch2/catch.hpp>

#include "cluster/config/configuration_json.hpp"
#include "tests/cluster/delivery/delivery_fixture.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::testing;

namespace {

// A source with 100 routes at version 1, and a replica that has applied this version.
struct DifferenceFixture {
  OperatorConfiguration operator_configuration;
  ConfigurationSource source;
  ConfigurationReplica replica;

  DifferenceFixture() {
    operator_configuration.version = 1;
    operator_configuration.add_routes(100);
    source.apply(operator_configuration);
    REQUIRE(replica.apply(difference()) == ApplyOutcome::applied);
  }
  // The operator's configuration becomes the source's next version.
  void publish(std::uint64_t version) {
    operator_configuration.version = version;
    source.apply(operator_configuration);
  }
  wire::ConfigurationDifference difference() const {
    return source.table.difference_since(replica.table().id());
  }
};

}  // namespace

TEST_CASE_METHOD(DifferenceFixture, "a difference contains the changed items only") {
  operator_configuration.put(route_named("r-7", 500));
  operator_configuration.put(route_named("new", 700));
  operator_configuration.routes.erase("r-9");
  publish(4);
  const wire::ConfigurationDifference made = difference();
  CHECK(made.base_version() == 1);
  CHECK(made.items_size() == 3);
  CHECK(replica.apply(made) == ApplyOutcome::applied);
  CHECK(equals(replica, operator_configuration));
  CHECK(replica.configuration()->find_route("jobs.example", "/r-9/x") == nullptr);
}

TEST_CASE_METHOD(DifferenceFixture, "a difference over several versions contains each changed item once") {
  for (std::uint64_t version = 2; version <= 40; ++version) {
    operator_configuration.put(route_named("r-7", static_cast<std::uint32_t>(version)));
    publish(version);
  }
  CHECK(difference().items_size() == 1);
  CHECK(replica.apply(difference()) == ApplyOutcome::applied);
  CHECK(equals(replica, operator_configuration));
}

TEST_CASE_METHOD(DifferenceFixture, "a route that was removed and added again has its latest state") {
  const wire::ConfigurationDifference nothing = difference();
  operator_configuration.routes.erase("r-3");
  publish(2);
  operator_configuration.put(route_named("r-3", 900));
  publish(3);
  CHECK(replica.apply(difference()) == ApplyOutcome::applied);
  CHECK(equals(replica, operator_configuration));
  CHECK(nothing.items_size() == 0);
}

TEST_CASE_METHOD(DifferenceFixture, "two routes can exchange their path prefixes in one difference") {
  operator_configuration.put(route_named("r-1", 3000, "r-2"));
  operator_configuration.put(route_named("r-2", 3000, "r-1"));
  publish(2);
  CHECK(replica.apply(difference()) == ApplyOutcome::applied);
  CHECK(equals(replica, operator_configuration));
}

TEST_CASE_METHOD(DifferenceFixture, "a difference for another base version is not applied") {
  operator_configuration.put(route_named("r-7", 500));
  publish(2);
  const wire::ConfigurationDifference from_first = difference();
  operator_configuration.put(route_named("r-8", 500));
  publish(3);
  REQUIRE(replica.apply(difference()) == ApplyOutcome::applied);
  wire::ConfigurationDifference newer = from_first;
  newer.set_version(9);
  CHECK(replica.apply(newer) == ApplyOutcome::rejected);
  CHECK(replica.apply(from_first) == ApplyOutcome::stale);
  CHECK(equals(replica, operator_configuration));
}

TEST_CASE_METHOD(DifferenceFixture, "the same version with other content is another base") {
  OperatorConfiguration other = operator_configuration;
  other.put(route_named("r-7", 1));
  ConfigurationSource diverged;
  diverged.apply(other);
  other.version = 2;
  other.put(route_named("r-8", 1));
  diverged.apply(other);
  const wire::ConfigurationDifference made = diverged.table.difference_since(replica.table().id());
  CHECK(made.base_version() == 0);
  wire::ConfigurationDifference forged = diverged.table.difference_since({1, diverged.table.id().digest});
  forged.set_base_version(1);
  CHECK(replica.apply(forged) == ApplyOutcome::rejected);
  CHECK(replica.apply(made) == ApplyOutcome::applied);
  CHECK(equals(replica, other));
}

TEST_CASE_METHOD(DifferenceFixture, "a damaged difference is not applied, not even in part") {
  operator_configuration.put(route_named("r-7", 500));
  operator_configuration.put(route_named("r-8", 500));
  publish(2);
  const OperatorConfiguration before = [&] {
    OperatorConfiguration first;
    first.version = 1;
    first.add_routes(100);
    return first;
  }();
  wire::ConfigurationDifference damaged = difference();
  damaged.mutable_items(1)->mutable_encoded()->back() ^= 1;
  CHECK(replica.apply(damaged) == ApplyOutcome::rejected);
  wire::ConfigurationDifference truncated = difference();
  truncated.mutable_items()->RemoveLast();
  CHECK(replica.apply(truncated) == ApplyOutcome::rejected);
  wire::ConfigurationDifference duplicated = difference();
  *duplicated.add_items() = duplicated.items(0);
  CHECK(replica.apply(duplicated) == ApplyOutcome::rejected);
  CHECK(equals(replica, before));
  CHECK(replica.apply(difference()) == ApplyOutcome::applied);
  CHECK(equals(replica, operator_configuration));
}

TEST_CASE_METHOD(DifferenceFixture,
                 "a replica that is too many versions behind gets the full configuration") {
  for (std::uint64_t version = 2; version <= ConfigurationItemTable::kMaxPastVersions + 10; ++version) {
    operator_configuration.put(route_named("r-7", static_cast<std::uint32_t>(version)));
    if (version == 5) operator_configuration.routes.erase("r-9");
    publish(version);
  }
  const wire::ConfigurationDifference made = difference();
  CHECK(made.base_version() == 0);
  CHECK(made.items_size() == 101);  // 99 routes, a service, the limits
  CHECK(replica.apply(made) == ApplyOutcome::applied);
  CHECK(equals(replica, operator_configuration));
}

TEST_CASE_METHOD(DifferenceFixture, "items of unknown kinds are served to others and otherwise ignored") {
  std::vector<wire::ConfigurationItem> items = items_of(operator_configuration.make_configuration());
  wire::ConfigurationItem item;
  item.set_kind(static_cast<wire::ConfigurationItemKind>(77));
  item.set_name("later");
  item.set_encoded("of a newer version of the program");
  items.push_back(item);
  source.table.apply(source.table.difference_to_items(2, items));
  CHECK(replica.apply(difference()) == ApplyOutcome::applied);
  CHECK(replica.version() == 2);
  CHECK(replica.table().difference_since({}).items_size() == 103);
}

TEST_CASE_METHOD(DifferenceFixture, "a configuration received as JSON can be the base of a difference") {
  ConfigurationReplica other;
  REQUIRE(other.apply_json(configuration_json(operator_configuration.make_configuration()), "test") ==
          ApplyOutcome::applied);
  CHECK(other.table().id() == replica.table().id());
  operator_configuration.put(route_named("r-7", 500));
  publish(2);
  CHECK(other.apply(difference()) == ApplyOutcome::applied);
  CHECK(equals(other, operator_configuration));
}
