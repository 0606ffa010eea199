// What a follower of the directory takes and refuses, and when it asks again. No sockets, no clock.
#include "aggregator/ranges/follower.hpp"

#include <doctest/doctest.h>

#include "aggregator/ranges/replan.hpp"
#include "tests/aggregator/ranges/ranges_fixture.hpp"

using namespace winchhall::ranges;
using namespace winchhall::ranges::testing;

TEST_CASE("the follower takes changes in order and refuses a gap, what is stale, and what is impossible") {
  Follower f;
  CHECK(f.wants_whole());
  auto whole = [&](Revision r) {
    Update u;
    u.revision = r;
    u.complete = true;
    u.ranges = small().all();
    return u;
  };
  auto changes = [&](Revision r, std::vector<Change> list) {
    Update u;
    u.revision = r;
    u.changes = std::move(list);
    return u;
  };
  f.opened(0);
  CHECK(f.take(changes({3, 7}, {Weigh{{0, 0}, 2}}), 1) == Taken::gap);
  CHECK(f.wants_reopen());
  f.reopening(1, 0.5);
  CHECK(f.ask_at() > 1);  // not at once: a directory that speaks nonsense is not asked without end
  f.opened(50);
  CHECK(f.take(whole({3, 7}), 50) == Taken::taken);
  CHECK(f.take(changes({3, 8}, {Weigh{{0, 0}, 2}}), 51) == Taken::taken);
  CHECK(f.map().revision() == Revision{3, 8});
  CHECK(f.take(changes({3, 8}, {Weigh{{0, 0}, 2}}), 52) == Taken::nothing);
  // Two of which one is held already.
  CHECK(f.take(changes({3, 9}, {Weigh{{0, 0}, 2}, Weigh{{0, 0}, 3}}), 53) == Taken::taken);
  CHECK(f.map().find(0).weight == 3);
  CHECK(f.take(changes({3, 12}, {Weigh{{0, 0}, 4}}), 54) == Taken::gap);
  CHECK(f.map().find(0).weight == 3);
  f.reopening(54, 0.5);
  f.opened(60);
  CHECK(f.take(whole({2, 99}), 61) == Taken::stale);
  CHECK(f.fault().find("older incarnation") != std::string::npos);
  CHECK(f.map().revision() == Revision{3, 9});
  // One change of a line is impossible: none of the line is taken.
  CHECK(f.take(changes({3, 11}, {Weigh{{0, 0}, 5}, Remove{{0, 0}, "zz"}}), 62) == Taken::impossible);
  CHECK(f.map().find(0).weight == 3);
  CHECK(f.wants_whole());
  f.reopening(62, 0.5);
  f.opened(200);
  CHECK(f.take(whole({3, 11}), 201) == Taken::taken);
  CHECK_FALSE(f.wants_whole());
  CHECK(f.take(whole({4, 1}), 202) == Taken::taken);
}

TEST_CASE("a directory that comes back with an older revision is not believed until it is newer and whole") {
  Follower f;
  f.opened(0);
  Update u;
  u.revision = {1, 50};
  u.complete = true;
  u.ranges = small().all();
  CHECK(f.take(u, 0) == Taken::taken);
  u.revision = {1, 45};
  CHECK(f.take(u, 10) == Taken::stale);
  // It counts on from there: its 51 is not ours.
  Update c;
  c.revision = {1, 51};
  c.changes = {Weigh{{0, 0}, 9}};
  CHECK(f.take(c, 20) == Taken::gap);
  CHECK(f.map().find(0).weight == 1);
  u.revision = {1, 51};
  CHECK(f.take(u, 30) == Taken::taken);
}

TEST_CASE("a map in pages is taken with its last page, and a broken one leaves nothing behind") {
  Follower f;
  f.opened(0);
  auto all = even(9);
  auto page = [&](std::size_t from, std::size_t to, bool more, std::uint64_t number = 4) {
    Update u;
    u.revision = {1, number};
    u.complete = true;
    u.more = more;
    u.ranges.assign(all.begin() + static_cast<long>(from), all.begin() + static_cast<long>(to));
    return u;
  };
  CHECK(f.take(page(0, 3, true), 0) == Taken::page);
  CHECK(f.map().empty());
  f.broke(1, 0.5);  // in the middle of it
  f.opened(60);
  CHECK(f.take(page(0, 3, true), 60) == Taken::page);
  CHECK(f.take(page(3, 6, true, 5), 61) == Taken::page);  // another revision begins in between
  CHECK(f.take(page(6, 9, false, 5), 62) == Taken::impossible);
  f.reopening(62, 0.5);
  f.opened(300);
  CHECK(f.take(page(0, 3, true, 6), 300) == Taken::page);
  CHECK(f.take(page(3, 9, false, 6), 301) == Taken::taken);
  CHECK(f.map().size() == 9);
}

TEST_CASE("a directory that is away is asked again, each time later, and at once where a node is ahead") {
  Follower f;
  double last = 0;
  for (int i = 0; i < 12; ++i) {
    f.broke(1000, 0.0);
    CHECK(f.ask_at() - 1000 >= last);
    last = f.ask_at() - 1000;
  }
  CHECK(last <= Follower::kLongestWait);
  f.refresh(1000);
  CHECK(f.ask_at() == 1000);
  f.opened(1000);
  CHECK_FALSE(f.silent(1000 + Follower::kSilence));
  CHECK(f.silent(1001 + Follower::kSilence));
  f.refresh(1050);  // a burst is one question
  CHECK_FALSE(f.wants_reopen());
  f.refresh(1200);
  CHECK(f.wants_reopen());
}
