// Which updates of the directory the follower applies or rejects, and when it asks again. No sockets, no
// clock.
#include "aggregator/ranges/follower.hpp"

#include <doctest/doctest.h>

#include "aggregator/ranges/replan.hpp"
#include "tests/aggregator/ranges/ranges_fixture.hpp"

using namespace winchhall::ranges;
using namespace winchhall::ranges::testing;

TEST_CASE("changes are applied in order; gaps, stale and impossible updates are rejected") {
  Follower f;
  CHECK(f.needs_full_map());
  auto complete = [&](Revision r) {
    Update u;
    u.revision = r;
    u.complete = true;
    u.ranges = small_map().all();
    return u;
  };
  auto changes = [&](Revision r, std::vector<Change> list) {
    Update u;
    u.revision = r;
    u.changes = std::move(list);
    return u;
  };
  f.on_watch_opened(0);
  CHECK(f.apply_update(changes({3, 7}, {SetWeight{{0, 0}, 2}}), 1) == UpdateResult::gap);
  CHECK(f.needs_reopen());
  f.on_watch_closed(1, 0.5);
  CHECK(f.next_request_at() > 1);  // not at once, so that a faulty directory is not asked in a tight loop
  f.on_watch_opened(50);
  CHECK(f.apply_update(complete({3, 7}), 50) == UpdateResult::applied);
  CHECK(f.apply_update(changes({3, 8}, {SetWeight{{0, 0}, 2}}), 51) == UpdateResult::applied);
  CHECK(f.map().revision() == Revision{3, 8});
  CHECK(f.apply_update(changes({3, 8}, {SetWeight{{0, 0}, 2}}), 52) == UpdateResult::unchanged);
  // Two changes, of which the first has already been applied.
  CHECK(f.apply_update(changes({3, 9}, {SetWeight{{0, 0}, 2}, SetWeight{{0, 0}, 3}}), 53) ==
        UpdateResult::applied);
  CHECK(f.map().find(0).weight == 3);
  CHECK(f.apply_update(changes({3, 12}, {SetWeight{{0, 0}, 4}}), 54) == UpdateResult::gap);
  CHECK(f.map().find(0).weight == 3);
  f.on_watch_closed(54, 0.5);
  f.on_watch_opened(60);
  CHECK(f.apply_update(complete({2, 99}), 61) == UpdateResult::stale);
  CHECK(f.fault().find("older incarnation") != std::string::npos);
  CHECK(f.map().revision() == Revision{3, 9});
  // One change of the update is impossible: none of them is applied.
  CHECK(f.apply_update(changes({3, 11}, {SetWeight{{0, 0}, 5}, Remove{{0, 0}, "zz"}}), 62) ==
        UpdateResult::impossible);
  CHECK(f.map().find(0).weight == 3);
  CHECK(f.needs_full_map());
  f.on_watch_closed(62, 0.5);
  f.on_watch_opened(200);
  CHECK(f.apply_update(complete({3, 11}), 201) == UpdateResult::applied);
  CHECK_FALSE(f.needs_full_map());
  CHECK(f.apply_update(complete({4, 1}), 202) == UpdateResult::applied);
}

TEST_CASE("after an older full map of the same incarnation, only a newer full map is applied") {
  Follower f;
  f.on_watch_opened(0);
  Update u;
  u.revision = {1, 50};
  u.complete = true;
  u.ranges = small_map().all();
  CHECK(f.apply_update(u, 0) == UpdateResult::applied);
  u.revision = {1, 45};
  CHECK(f.apply_update(u, 10) == UpdateResult::stale);
  // It continues from there: its revision 51 differs from the one that would follow this map.
  Update c;
  c.revision = {1, 51};
  c.changes = {SetWeight{{0, 0}, 9}};
  CHECK(f.apply_update(c, 20) == UpdateResult::gap);
  CHECK(f.map().find(0).weight == 1);
  u.revision = {1, 51};
  CHECK(f.apply_update(u, 30) == UpdateResult::applied);
}

TEST_CASE("a map in pages is applied with its last page, and an interrupted one is discarded") {
  Follower f;
  f.on_watch_opened(0);
  auto all = even_ranges(9);
  auto page = [&](std::size_t from, std::size_t to, bool more, std::uint64_t number = 4) {
    Update u;
    u.revision = {1, number};
    u.complete = true;
    u.more = more;
    u.ranges.assign(all.begin() + static_cast<long>(from), all.begin() + static_cast<long>(to));
    return u;
  };
  CHECK(f.apply_update(page(0, 3, true), 0) == UpdateResult::page);
  CHECK(f.map().empty());
  f.on_watch_lost(1, 0.5);  // before the last page
  f.on_watch_opened(60);
  CHECK(f.apply_update(page(0, 3, true), 60) == UpdateResult::page);
  CHECK(f.apply_update(page(3, 6, true, 5), 61) == UpdateResult::page);  // another revision begins in between
  CHECK(f.apply_update(page(6, 9, false, 5), 62) == UpdateResult::impossible);
  f.on_watch_closed(62, 0.5);
  f.on_watch_opened(300);
  CHECK(f.apply_update(page(0, 3, true, 6), 300) == UpdateResult::page);
  CHECK(f.apply_update(page(3, 9, false, 6), 301) == UpdateResult::applied);
  CHECK(f.map().size() == 9);
}

TEST_CASE("an unreachable directory is asked with growing delays, and at once if a node has a newer map") {
  Follower f;
  double last = 0;
  for (int i = 0; i < 12; ++i) {
    f.on_watch_lost(1000, 0.0);
    CHECK(f.next_request_at() - 1000 >= last);
    last = f.next_request_at() - 1000;
  }
  CHECK(last <= Follower::kMaxBackoff);
  f.refresh(1000);
  CHECK(f.next_request_at() == 1000);
  f.on_watch_opened(1000);
  CHECK_FALSE(f.keepalive_timed_out(1000 + Follower::kKeepaliveTimeout));
  CHECK(f.keepalive_timed_out(1001 + Follower::kKeepaliveTimeout));
  f.refresh(1050);  // within kMinRefreshInterval of the last one
  CHECK_FALSE(f.needs_reopen());
  f.refresh(1200);
  CHECK(f.needs_reopen());
}
