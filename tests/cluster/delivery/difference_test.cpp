// Differences between versions of the configuration: how they are made, checked and applied.
#include <catch2/catch.hpp>

#include "tests/cluster/delivery/delivery_fixture.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::testing;

namespace {

struct DifferenceFixture {
  OperatorsConfiguration operators;
  ConfigurationSource source;
  ConfigurationReplica replica;

  DifferenceFixture() {
    operators.version = 1;
    operators.add_routes(100);
    source.store_version(operators);
    REQUIRE(replica.apply(difference()) == ApplyOutcome::applied);
  }
  void next(std::uint64_t version) {
    operators.version = version;
    source.store_version(operators);
  }
  wire::ConfigurationDifference difference() const {
    return source.table.difference_since(replica.table().id());
  }
};

}  // namespace

TEST_CASE_METHOD(DifferenceFixture, "a difference holds what has changed and nothing else") {
  operators.put(route_named("r-7", 500));
  operators.put(route_named("new", 700));
  operators.routes.erase("r-9");
  next(4);
  const wire::ConfigurationDifference made = difference();
  CHECK(made.base_version() == 1);
  CHECK(made.items_size() == 3);
  CHECK(replica.apply(made) == ApplyOutcome::applied);
  CHECK(holds(replica, operators));
  CHECK(replica.configuration()->find_route("jobs.example", "/r-9/x") == nullptr);
}

TEST_CASE_METHOD(DifferenceFixture, "versions passed over cost what they changed together") {
  for (std::uint64_t version = 2; version <= 40; ++version) {
    operators.put(route_named("r-7", static_cast<std::uint32_t>(version)));
    next(version);
  }
  CHECK(difference().items_size() == 1);
  CHECK(replica.apply(difference()) == ApplyOutcome::applied);
  CHECK(holds(replica, operators));
}

TEST_CASE_METHOD(DifferenceFixture, "a route that was removed and came back has its last state") {
  const wire::ConfigurationDifference nothing = difference();
  operators.routes.erase("r-3");
  next(2);
  operators.put(route_named("r-3", 900));
  next(3);
  CHECK(replica.apply(difference()) == ApplyOutcome::applied);
  CHECK(holds(replica, operators));
  CHECK(nothing.items_size() == 0);
}

TEST_CASE_METHOD(DifferenceFixture, "two routes may exchange their prefixes in one change") {
  operators.put(route_named("r-1", 3000, "r-2"));
  operators.put(route_named("r-2", 3000, "r-1"));
  next(2);
  CHECK(replica.apply(difference()) == ApplyOutcome::applied);
  CHECK(holds(replica, operators));
}

TEST_CASE_METHOD(DifferenceFixture, "a difference for another base is not applied") {
  operators.put(route_named("r-7", 500));
  next(2);
  const wire::ConfigurationDifference from_first = difference();
  operators.put(route_named("r-8", 500));
  next(3);
  REQUIRE(replica.apply(difference()) == ApplyOutcome::applied);
  wire::ConfigurationDifference newer = from_first;
  newer.set_version(9);
  CHECK(replica.apply(newer) == ApplyOutcome::rejected);
  CHECK(replica.apply(from_first) == ApplyOutcome::stale);
  CHECK(holds(replica, operators));
}

TEST_CASE_METHOD(DifferenceFixture, "a version of the same number with other content is another base") {
  OperatorsConfiguration other = operators;
  other.put(route_named("r-7", 1));
  ConfigurationSource strange;
  strange.store_version(other);
  other.version = 2;
  other.put(route_named("r-8", 1));
  strange.store_version(other);
  const wire::ConfigurationDifference made = strange.table.difference_since(replica.table().id());
  CHECK(made.base_version() == 0);
  wire::ConfigurationDifference forged = strange.table.difference_since({1, strange.table.id().digest});
  forged.set_base_version(1);
  CHECK(replica.apply(forged) == ApplyOutcome::rejected);
  CHECK(replica.apply(made) == ApplyOutcome::applied);
  CHECK(holds(replica, other));
}

TEST_CASE_METHOD(DifferenceFixture, "a difference that was damaged is not applied, in part or whole") {
  operators.put(route_named("r-7", 500));
  operators.put(route_named("r-8", 500));
  next(2);
  const OperatorsConfiguration before = [&] {
    OperatorsConfiguration first;
    first.version = 1;
    first.add_routes(100);
    return first;
  }();
  wire::ConfigurationDifference damaged = difference();
  damaged.mutable_items(1)->mutable_encoded()->back() ^= 1;
  CHECK(replica.apply(damaged) == ApplyOutcome::rejected);
  wire::ConfigurationDifference short_one = difference();
  short_one.mutable_items()->RemoveLast();
  CHECK(replica.apply(short_one) == ApplyOutcome::rejected);
  wire::ConfigurationDifference doubled = difference();
  *doubled.add_items() = doubled.items(0);
  CHECK(replica.apply(doubled) == ApplyOutcome::rejected);
  CHECK(holds(replica, before));
  CHECK(replica.apply(difference()) == ApplyOutcome::applied);
  CHECK(holds(replica, operators));
}

TEST_CASE_METHOD(DifferenceFixture, "who is too far behind gets the whole configuration") {
  for (std::uint64_t version = 2; version <= ConfigurationItemTable::kMaxPastVersions + 10; ++version) {
    operators.put(route_named("r-7", static_cast<std::uint32_t>(version)));
    if (version == 5) operators.routes.erase("r-9");
    next(version);
  }
  const wire::ConfigurationDifference made = difference();
  CHECK(made.base_version() == 0);
  CHECK(made.items_size() == 101);  // 99 routes, a service, the limits
  CHECK(replica.apply(made) == ApplyOutcome::applied);
  CHECK(holds(replica, operators));
}

TEST_CASE_METHOD(DifferenceFixture,
                 "items of a kind that is not known here are handed on and don't disturb") {
  std::vector<wire::ConfigurationItem> items = items_of(operators.whole());
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

TEST_CASE_METHOD(DifferenceFixture, "what came whole as JSON is the base of differences all the same") {
  ConfigurationReplica other;
  REQUIRE(other.apply_json(configuration_json(operators.whole()), "test") == ApplyOutcome::applied);
  CHECK(other.table().id() == replica.table().id());
  operators.put(route_named("r-7", 500));
  next(2);
  CHECK(other.apply(difference()) == ApplyOutcome::applied);
  CHECK(holds(other, operators));
}
