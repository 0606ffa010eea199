// The services that a queue was routed to until recently.
#include "cluster/agent/route_history.hpp"

#include <catch2/catch.hpp>

#include "tests/cluster/support/fake_runtime.hpp"

using namespace winchhall::cluster;
using testing::configuration_json;

namespace {

// Applies configurations and returns the changes of the routes.
struct ReplicaFixture {
  ConfigurationReplica replica;

  const std::vector<RouteChange>& apply(std::uint64_t version,
                                        const std::map<std::string, std::string>& services) {
    REQUIRE(replica.apply_json(configuration_json(version, services), "test") == ApplyOutcome::applied);
    return replica.last_route_changes();
  }
};

using Names = std::vector<std::string>;

}  // namespace

TEST_CASE_METHOD(ReplicaFixture, "a queue that never moved has no other service") {
  RouteHistory history;
  const TimePoint now{std::chrono::hours(1)};
  history.record_changes(apply(1, {{"/a/", "first"}, {"/b/", "second"}}), now);
  CHECK(history.recent_other_services("queue/a/", "first", now).empty());
  CHECK(history.recent_other_services("unknown", "first", now).empty());
}

TEST_CASE_METHOD(ReplicaFixture, "a moved queue keeps its previous service for the retention time") {
  RouteHistory history;
  const TimePoint now{std::chrono::hours(1)};
  history.record_changes(apply(1, {{"/a/", "first"}}), now);
  history.record_changes(apply(2, {{"/a/", "second"}}), now + Millis(1000));
  CHECK(history.recent_other_services("queue/a/", "second", now + Millis(2000)) == Names{"first"});
  CHECK(history.recent_other_services("queue/a/", "second", now + Millis(62000)).empty());
  // An ingress with the older configuration must query the newer service.
  CHECK(history.recent_other_services("queue/a/", "first", now + Millis(62000)) == Names{"second"});
}

TEST_CASE_METHOD(ReplicaFixture, "a queue removed and added again elsewhere has moved") {
  RouteHistory history;
  const TimePoint now{std::chrono::hours(1)};
  history.record_changes(apply(1, {{"/a/", "first"}, {"/b/", "second"}}), now);
  history.record_changes(apply(2, {{"/b/", "second"}}), now + Millis(1000));
  history.record_changes(apply(3, {{"/a/", "second"}, {"/b/", "second"}}), now + Millis(2000));
  CHECK(history.recent_other_services("queue/a/", "second", now + Millis(3000)) == Names{"first"});
}

TEST_CASE_METHOD(ReplicaFixture, "a former route that comes with the configuration is kept from then on") {
  RouteHistory history;
  const TimePoint now{std::chrono::hours(1)};
  history.record_changes(apply(5, {{"/a/", "second"}, {"/b/", "second"}}), now);
  history.record_former_routes({{"jobs.example", "/a/", "first", 0}}, now);
  CHECK(history.recent_other_services("queue/a/", "second", now + Millis(60000)) == Names{"first"});
  CHECK(history.recent_other_services("queue/b/", "second", now).empty());
  CHECK(history.recent_other_services("queue/a/", "second", now + Millis(60001)).empty());
}

TEST_CASE_METHOD(ReplicaFixture, "a former route that stands for any route counts for every queue") {
  RouteHistory history;
  const TimePoint now{std::chrono::hours(1)};
  history.record_changes(apply(5, {{"/a/", "second"}, {"/b/", "first"}}), now);
  history.record_former_routes({{"", "", "first", 0}}, now);
  CHECK(history.recent_other_services("queue/a/", "second", now) == Names{"first"});
  CHECK(history.recent_other_services("queue/b/", "first", now).empty());
}

TEST_CASE_METHOD(ReplicaFixture, "a former route that changes counts from then on") {
  RouteHistory history;
  const TimePoint now{std::chrono::hours(1)};
  history.record_changes(apply(1, {{"/a/", "first"}}), now);
  history.record_changes(apply(2, {{"/a/", "second"}}), now);
  history.record_former_routes({{"jobs.example", "/a/", "first", 0}}, now + Millis(30000));
  CHECK(history.recent_other_services("queue/a/", "second", now + Millis(90000)) == Names{"first"});
  CHECK(history.recent_other_services("queue/a/", "second", now + Millis(90001)).empty());
}
