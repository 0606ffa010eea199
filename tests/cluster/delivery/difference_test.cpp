// Differences between versions of the configuration: how they are made, checked and applied.
#include <catch2/catch.hpp>

#include "tests/cluster/delivery/delivery_fixture.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::testing;

namespace {

struct DifferenceFixture {
  OperatorsConfiguration operators;
  Holder holder;
  ConfigurationReplica replica;

  DifferenceFixture() {
    operators.version = 1;
    operators.add_routes(100);
    holder.hold(operators);
    REQUIRE(replica.take(difference()) == TakeOutcome::taken);
  }
  void next(std::uint64_t version) {
    operators.version = version;
    holder.hold(operators);
  }
  wire::ConfigurationDifference difference() const {
    return holder.table.difference_from(replica.table().id());
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
  CHECK(replica.take(made) == TakeOutcome::taken);
  CHECK(holds(replica, operators));
  CHECK(replica.configuration()->find_route("jobs.example", "/r-9/x") == nullptr);
}

TEST_CASE_METHOD(DifferenceFixture, "versions passed over cost what they changed together") {
  for (std::uint64_t version = 2; version <= 40; ++version) {
    operators.put(route_named("r-7", static_cast<std::uint32_t>(version)));
    next(version);
  }
  CHECK(difference().items_size() == 1);
  CHECK(replica.take(difference()) == TakeOutcome::taken);
  CHECK(holds(replica, operators));
}

TEST_CASE_METHOD(DifferenceFixture, "a route that was removed and came back has its last state") {
  const wire::ConfigurationDifference nothing = difference();
  operators.routes.erase("r-3");
  next(2);
  operators.put(route_named("r-3", 900));
  next(3);
  CHECK(replica.take(difference()) == TakeOutcome::taken);
  CHECK(holds(replica, operators));
  CHECK(nothing.items_size() == 0);
}

TEST_CASE_METHOD(DifferenceFixture, "two routes may exchange their prefixes in one change") {
  operators.put(route_named("r-1", 3000, "r-2"));
  operators.put(route_named("r-2", 3000, "r-1"));
  next(2);
  CHECK(replica.take(difference()) == TakeOutcome::taken);
  CHECK(holds(replica, operators));
}

TEST_CASE_METHOD(DifferenceFixture, "a difference for another base is not applied") {
  operators.put(route_named("r-7", 500));
  next(2);
  const wire::ConfigurationDifference from_first = difference();
  operators.put(route_named("r-8", 500));
  next(3);
  REQUIRE(replica.take(difference()) == TakeOutcome::taken);
  wire::ConfigurationDifference newer = from_first;
  newer.set_version(9);
  CHECK(replica.take(newer) == TakeOutcome::unusable);
  CHECK(replica.take(from_first) == TakeOutcome::stale);
  CHECK(holds(replica, operators));
}

TEST_CASE_METHOD(DifferenceFixture, "a version of the same number with other content is another base") {
  OperatorsConfiguration other = operators;
  other.put(route_named("r-7", 1));
  Holder strange;
  strange.hold(other);
  other.version = 2;
  other.put(route_named("r-8", 1));
  strange.hold(other);
  const wire::ConfigurationDifference made = strange.table.difference_from(replica.table().id());
  CHECK(made.base_version() == 0);
  wire::ConfigurationDifference forged = strange.table.difference_from({1, strange.table.id().digest});
  forged.set_base_version(1);
  CHECK(replica.take(forged) == TakeOutcome::unusable);
  CHECK(replica.take(made) == TakeOutcome::taken);
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
  CHECK(replica.take(damaged) == TakeOutcome::unusable);
  wire::ConfigurationDifference short_one = difference();
  short_one.mutable_items()->RemoveLast();
  CHECK(replica.take(short_one) == TakeOutcome::unusable);
  wire::ConfigurationDifference doubled = difference();
  *doubled.add_items() = doubled.items(0);
  CHECK(replica.take(doubled) == TakeOutcome::unusable);
  CHECK(holds(replica, before));
  CHECK(replica.take(difference()) == TakeOutcome::taken);
  CHECK(holds(replica, operators));
}

TEST_CASE_METHOD(DifferenceFixture, "who is too far behind gets the whole configuration") {
  for (std::uint64_t version = 2; version <= ItemTable::kMostPastVersions + 10; ++version) {
    operators.put(route_named("r-7", static_cast<std::uint32_t>(version)));
    if (version == 5) operators.routes.erase("r-9");
    next(version);
  }
  const wire::ConfigurationDifference made = difference();
  CHECK(made.base_version() == 0);
  CHECK(made.items_size() == 101);  // 99 routes, a service, the limits
  CHECK(replica.take(made) == TakeOutcome::taken);
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
  holder.table.apply(holder.table.difference_to(2, items));
  CHECK(replica.take(difference()) == TakeOutcome::taken);
  CHECK(replica.version() == 2);
  CHECK(replica.table().difference_from({}).items_size() == 103);
}

TEST_CASE_METHOD(DifferenceFixture, "what came whole as JSON is the base of differences all the same") {
  ConfigurationReplica other;
  REQUIRE(other.take_json(configuration_json(operators.whole()), "test") == TakeOutcome::taken);
  CHECK(other.table().id() == replica.table().id());
  operators.put(route_named("r-7", 500));
  next(2);
  CHECK(other.take(difference()) == TakeOutcome::taken);
  CHECK(holds(other, operators));
}
