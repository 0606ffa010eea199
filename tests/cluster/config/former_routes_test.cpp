// The record of the services that routes named before they were changed or removed.
#include "cluster/config/former_routes.hpp"

#include <catch2/catch.hpp>
#include <set>

using namespace winchhall::cluster;

namespace {

constexpr std::int64_t kStartWallMs = 1700000000000;
constexpr std::int64_t kSecond = 1000;

Route route(const std::string& prefix, const std::string& service,
            const std::string& hostname = "jobs.example") {
  Route route;
  route.name = prefix;
  route.hostname = hostname;
  route.path_prefix = prefix;
  route.backend = service;
  return route;
}

RouteChange removal(const Route& before) { return {before, std::nullopt}; }
RouteChange addition(const Route& after) { return {std::nullopt, after}; }

using Entries = std::vector<FormerRoute>;

// Numbers the versions, and leaves them out of the entries.
struct RecordedRoutes {
  FormerRoutes routes;
  std::uint64_t version = 0;

  void record(const std::vector<RouteChange>& changes, std::int64_t wall_ms) {
    routes.record(changes, wall_ms, ++version);
  }
  Entries entries() const {
    Entries entries = routes.entries();
    for (FormerRoute& entry : entries) entry.ended_version = 0;
    return entries;
  }
};

}  // namespace

TEST_CASE("a removed route is recorded until it is in force again") {
  RecordedRoutes former;
  former.record({removal(route("/a/", "first", "Jobs.Example"))}, kStartWallMs);
  CHECK(former.entries() == Entries{{"jobs.example", "/a/", "first", kStartWallMs}});
  SECTION("with another service") {
    former.record({addition(route("/a/", "second"))}, kStartWallMs + kSecond);
    CHECK(former.entries().size() == 1);
  }
  SECTION("with the same service") {
    former.record({addition(route("/a/", "first"))}, kStartWallMs + kSecond);
    CHECK(former.entries().empty());
  }
}

TEST_CASE("routes that exchange their paths have moved") {
  RecordedRoutes former;
  former.record(
      {{route("/a/", "first"), route("/b/", "first")}, {route("/b/", "second"), route("/a/", "second")}},
      kStartWallMs);
  CHECK(former.entries() == Entries{{"jobs.example", "/a/", "first", kStartWallMs},
                                    {"jobs.example", "/b/", "second", kStartWallMs}});
}

TEST_CASE("a route that keeps its path and service is not recorded") {
  RecordedRoutes former;
  former.record({{route("/a/", "first"), route("/a/", "first")}}, kStartWallMs);
  CHECK(former.entries().empty());
}

TEST_CASE("former routes expire with the first change after the retention time") {
  const std::int64_t retention = FormerRoutes::kRetention.count();
  RecordedRoutes former;
  former.record({removal(route("/a/", "first"))}, kStartWallMs);
  former.record({removal(route("/b/", "first"))}, kStartWallMs + retention);
  CHECK(former.entries().size() == 2);
  former.record({}, kStartWallMs + retention + 1);
  CHECK(former.entries() == Entries{{"jobs.example", "/b/", "first", kStartWallMs + retention}});
}

TEST_CASE("a former route of unknown time expires after the next change with a time") {
  const std::int64_t retention = FormerRoutes::kRetention.count();
  RecordedRoutes former;
  former.record({removal(route("/a/", "first"))}, 0);
  former.record({}, kStartWallMs);
  CHECK(former.entries() == Entries{{"jobs.example", "/a/", "first", kStartWallMs}});
  former.record({}, kStartWallMs + retention + 1);
  CHECK(former.entries().empty());
}

TEST_CASE("beyond the limit the oldest former routes stand for any route of their services") {
  constexpr std::size_t kAdditional = 3;
  RecordedRoutes former;
  for (std::size_t number = 0; number < FormerRoutes::kMaxEntries + kAdditional; ++number) {
    const std::string service = number < kAdditional ? "old" : "new";
    former.record({removal(route("/" + std::to_string(number) + "/", service))},
                  kStartWallMs + static_cast<std::int64_t>(number));
  }
  const Entries entries = former.entries();
  REQUIRE(entries.size() == FormerRoutes::kMaxEntries + 1);
  CHECK(entries.front() == FormerRoute{"", "", "old", kStartWallMs + kAdditional - 1});
  for (std::size_t index = 1; index < entries.size(); ++index) CHECK(entries[index].service == "new");
}

// Guards against a second run: a service that was in force once more left no trace where the clock had
// jumped.
TEST_CASE("a former route names the newest version that ended it, also after a jump of the clock") {
  FormerRoutes former;
  former.record({{route("/a/", "first"), route("/a/", "second")}}, kStartWallMs, 1);
  former.record({{route("/a/", "second"), route("/a/", "first")}}, kStartWallMs, 2);
  former.record({{route("/a/", "first"), route("/a/", "second")}}, kStartWallMs - kSecond, 3);
  former.record({{route("/a/", "second"), route("/a/", "first")}}, kStartWallMs - kSecond, 4);
  REQUIRE(former.entries().size() == 1);
  CHECK(former.entries().front().service == "second");
  CHECK(former.entries().front().ended_version == 4);
}

TEST_CASE("former routes that were written and read again continue alike") {
  FormerRoutes former;
  former.record({removal(route("/a/", "first")), removal(route("/b/", "second"))}, kStartWallMs, 1);
  FormerRoutes read(former.entries());
  CHECK(read.entries() == former.entries());
  for (FormerRoutes* routes : {&former, &read})
    routes->record({addition(route("/a/", "first"))}, kStartWallMs, 2);
  CHECK(read.entries() == former.entries());
}

TEST_CASE("the moves between two configurations leave out the routes that stay") {
  Configuration before;
  Configuration after;
  const auto fill = [](Configuration& configuration, const std::vector<Route>& routes) {
    for (const Route& added : routes) {
      configuration.route_index.add(added.hostname, added.path_prefix, configuration.routes.size());
      configuration.routes.push_back(added);
    }
  };
  fill(before, {route("/a/", "first"), route("/b/", "first"), route("/c/", "first")});
  fill(after, {route("/a/", "first"), route("/b/", "second")});
  RecordedRoutes former;
  former.record(route_moves_between(before, after), kStartWallMs);
  CHECK(former.entries() == Entries{{"jobs.example", "/b/", "first", kStartWallMs},
                                    {"jobs.example", "/c/", "first", kStartWallMs}});
}
