// When the list is asked for and until when it may be gone by, at its limits and over whole fleets.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "aggregator/membership/endpoint_list_freshness.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "aggregator/membership/member_list.hpp"

using namespace winchhall;
using membership::CallEnd;
using membership::EndpointListFreshness;
using membership::EndpointListTerms;
using membership::Millis;

namespace {

EndpointListTerms on_request(int instances = 1) { return {true, false, instances, 10000, 2000}; }

// The watch is open, its first line came at `now` and then nothing.
EndpointListFreshness watching(const EndpointListTerms& terms, Millis now, std::uint64_t seed = 1) {
  EndpointListFreshness c(terms, seed);
  c.start(now);
  REQUIRE(c.should_request(now));
  c.on_keepalive(now);
  c.on_update(now);
  return c;
}

// When the clock next asks, looked for in steps of the module's pulse; 0 if not by then.
Millis asks_at(EndpointListFreshness& c, Millis from, Millis until) {
  for (Millis now = from; now < until; now += 10)
    if (c.should_request(now)) return now;
  return 0;
}

}  // namespace

TEST_CASE("a watch that says nothing after its first line is asked for anew, and the list overdue in time") {
  EndpointListFreshness c = watching(on_request(), 1000);
  CHECK(asks_at(c, 1000, 3400) == 0);
  CHECK(c.is_fresh(8700));
  // 6 s after it fell silent what it missed counts as told; 2 s of grace for sends, less our own slack.
  CHECK(c.stale_at() < 1000 + 6000 + 2000);
  CHECK(c.stale_at() > 1000 + 6000 + 1500);
  CHECK_FALSE(c.is_fresh(9000));
  Millis must_poll = asks_at(c, 3400, 9000);
  CHECK(must_poll > 3400);
  CHECK(must_poll < 4000);
  CHECK_FALSE(c.is_fresh(9000));  // a call alone tells nothing
  c.on_update(9100);
  CHECK(c.is_fresh(9200));
}

TEST_CASE("an empty line every 2 s keeps the list, however long") {
  EndpointListFreshness c = watching(on_request(), 0);
  for (Millis now = 10; now < 100000; now += 10) {
    if (static_cast<int>(now) % 2000 == 0) c.on_keepalive(now);
    REQUIRE_FALSE(c.should_request(now));
    REQUIRE(c.is_fresh(now));
  }
}

TEST_CASE("a source that never says that it hears has no silence: its watch lasts until it fails") {
  EndpointListFreshness c(on_request(), 1);
  c.start(0);
  REQUIRE(c.should_request(0));
  c.on_update(5);
  CHECK(asks_at(c, 10, 60000) == 0);
  CHECK(c.is_fresh(60000));
}

TEST_CASE(
    "300 instances whose watches fall silent in one moment all have called twice before the list is "
    "overdue") {
  std::vector<Millis> first;
  for (std::uint64_t seed = 0; seed < 300; ++seed) {
    EndpointListFreshness c = watching(on_request(300), 0, seed);
    Millis a = asks_at(c, 10, 8000);
    REQUIRE(a > 0);
    first.push_back(a);
    c.on_call_failed(a + 1000, CallEnd::failed);  // it waited for its turn, in vain
    Millis b = asks_at(c, a + 1000, 8000);
    REQUIRE(b > 0);
    // The second one still has its turn before the list is overdue.
    CHECK(b + 500 < c.stale_at());
  }
  // Spread evenly: in no half second more than a third of them call.
  std::sort(first.begin(), first.end());
  std::size_t most = 0;
  for (std::size_t i = 0, j = 0; i < first.size(); ++i) {
    while (first[i] - first[j] > 500) ++j;
    most = std::max(most, i - j + 1);
  }
  CHECK(most < 100);
}

TEST_CASE(
    "a watch that ends before our eyes holds its list 6 s from its last line, however often calls fail") {
  for (int instances : {1, 3, 30, 300})
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      EndpointListFreshness c = watching(on_request(instances), 0, seed);
      c.on_keepalive(2000);
      c.on_call_failed(2100, CallEnd::failed);
      Millis now = 2100;
      int calls = 0;
      // Refused and failed by somebody, in turn with calls that nobody answers: all of it is no news.
      while (Millis at = asks_at(c, now, 2000 + 6000 + 2000)) {
        now = at + (calls % 3 == 0 ? 1000 : 10);
        c.on_call_failed(now, calls % 2 == 0 ? CallEnd::failed : CallEnd::unresponsive);
        ++calls;
      }
      CHECK(calls >= 2);
      CHECK(c.is_fresh(2000 + 6000 + 1500));
      CHECK_FALSE(c.is_fresh(2000 + 6000 + 2000));
    }
}

TEST_CASE("a start without an answer holds the list of before 6 s, and asks again and again") {
  for (int instances : {3, 300}) {
    EndpointListFreshness c(on_request(instances), 5);
    c.start(1000);
    CHECK(c.is_fresh(1000 + 6000));
    CHECK_FALSE(c.is_fresh(1000 + 6000 + 2000));
    Millis now = asks_at(c, 1000, 1020);
    REQUIRE(now > 0);
    c.on_call_failed(now + 1000, CallEnd::failed);
    Millis again = asks_at(c, now + 1000, 1000 + 6000 + 2000);
    CHECK(again > 0);
    c.on_keepalive(9500);
    c.on_update(9500);
    CHECK(c.is_fresh(9500 + 6000));
  }
}

TEST_CASE("while connections are refused nobody could be told: the list holds 6 s from the last refusal") {
  EndpointListFreshness c = watching(on_request(), 0);
  c.on_call_failed(100, CallEnd::failed);
  Millis now = 100, must_poll = 0;
  while (now < 60000) {
    must_poll = asks_at(c, now, now + 5000);
    REQUIRE(must_poll > 0);
    REQUIRE(c.is_fresh(must_poll));
    now = must_poll + 5;
    c.on_call_failed(now, CallEnd::refused);
  }
  CHECK(c.is_fresh(must_poll + 6000));
  CHECK_FALSE(c.is_fresh(must_poll + 6000 + 2000));
  // It is there again, and says no: that is no refusal of the connection any more.
  now = asks_at(c, now, now + 5000);
  c.on_call_failed(now + 1000, CallEnd::failed);
  CHECK_FALSE(c.is_fresh(must_poll + 6000 + 2000));
}

TEST_CASE("calls that fail spread further and further once the list is overdue") {
  EndpointListFreshness c = watching(on_request(300), 0);
  c.on_call_failed(100, CallEnd::failed);
  Millis now = 100;
  std::vector<Millis> waits;
  for (int i = 0; i < 40; ++i) {
    Millis at = asks_at(c, now, now + 100000);
    REQUIRE(at > 0);
    if (!c.is_fresh(now)) waits.push_back(at - now);
    now = at + 1000;
    c.on_call_failed(now, CallEnd::failed);
  }
  REQUIRE(waits.size() > 20);
  Millis total = 0;
  for (Millis w : waits) total += w;
  CHECK(total >
        30 * 300 * static_cast<Millis>(waits.size()) / 2);  // far above what the service takes at once
}

TEST_CASE(
    "calls that reach nobody go on every second at the latest, and are answered soon after the cut is over") {
  EndpointListFreshness c = watching(on_request(300), 0);
  Millis now = asks_at(c, 10, 8000);
  while (now < 6000) {
    c.on_call_failed(now + 1000, CallEnd::unresponsive);
    Millis next = asks_at(c, now + 1000, now + 5000);
    REQUIRE(next > 0);
    CHECK(next - now <= 2010);
    now = next;
  }
  CHECK(now < c.stale_at());
}

TEST_CASE(
    "where lists are pushed, what the agent has is told at once: from the start, and when the watch ends") {
  EndpointListFreshness c({true, true, 300, 10000, 2000}, 1);
  c.start(0);
  CHECK(c.is_fresh(1700));
  CHECK_FALSE(c.is_fresh(2000));
  REQUIRE(c.should_request(0));
  c.on_keepalive(100);
  c.on_update(100);
  CHECK(c.is_fresh(7000));
  c.on_call_failed(3000, CallEnd::failed);
  CHECK(c.is_fresh(4700));
  CHECK_FALSE(c.is_fresh(5000));
  CHECK(asks_at(c, 3000, 5000) <= 3210);  // nobody else calls the agent beside us
}

TEST_CASE("a move of the service: what it tells counts 4 s later, and the call is spread but soon") {
  EndpointListFreshness c = watching(on_request(300), 0);
  c.on_keepalive(2000);
  c.on_service_moved(3000);
  CHECK_FALSE(c.is_fresh(3000 + 4000 + 2000));
  Millis at = asks_at(c, 3000, 6000);
  CHECK(at > 0);
  CHECK(at <= 4010);
  c.on_keepalive(at + 10);
  c.on_update(at + 10);
  CHECK(c.is_fresh(at + 7000));
}

TEST_CASE("objects of a watch are cut whole, in lines or indented, whatever pieces they come in") {
  const std::string text =
      "\n{\"revision\":1,\"members\":[{\"id\":\"a}]\\\"{\"}]}\n\r\n{\n  \"revision\": 2,\n\n  \"members\": "
      "[\n  ]\n}\n\n";
  for (std::size_t piece = 1; piece <= text.size(); ++piece) {
    http::JsonObjectSplitter cutter;
    std::vector<std::string> objects;
    int empty = 0;
    for (std::size_t at = 0; at < text.size(); at += piece) {
      cutter.feed(text.substr(at, piece));
      std::string object;
      for (auto p = cutter.next(object); p != http::JsonObjectSplitter::Token::none;
           p = cutter.next(object)) {
        REQUIRE(p != http::JsonObjectSplitter::Token::bad);
        p == http::JsonObjectSplitter::Token::object ? objects.push_back(object) : void(++empty);
      }
    }
    REQUIRE(objects.size() == 2);
    CHECK(http::read_members(objects[0])->revision == 1);
    CHECK(http::read_members(objects[1])->revision == 2);
    CHECK(empty >= 3);
  }
  http::JsonObjectSplitter bad;
  bad.feed("<html>");
  std::string object;
  CHECK(bad.next(object) == http::JsonObjectSplitter::Token::bad);
}
