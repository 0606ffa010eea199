// When the endpoint list is requested and until when it may be used, at the limits and for many instances at
// once.
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

// A list whose watch delivered its first line at `now` and then nothing.
EndpointListFreshness watched_list(const EndpointListTerms& terms, Millis now, std::uint64_t seed = 1) {
  EndpointListFreshness list(terms, seed);
  list.start(now);
  REQUIRE(list.should_request(now));
  list.on_keepalive(now);
  list.on_update(now);
  return list;
}

// Time of the next request, searched in steps of 10 ms; 0 if there is none before `until`.
Millis next_request_at(EndpointListFreshness& list, Millis from, Millis until) {
  for (Millis now = from; now < until; now += 10)
    if (list.should_request(now)) return now;
  return 0;
}

}  // namespace

TEST_CASE("a watch without a line after its first is requested again, and its list becomes stale in time") {
  EndpointListFreshness list = watched_list(on_request(), 1000);
  CHECK(next_request_at(list, 1000, 3400) == 0);
  CHECK(list.is_fresh(8700));
  // Missed updates count as notified 6 s after the last line; then 2 s of grace for sends, less our own
  // margin.
  CHECK(list.stale_at() < 1000 + 6000 + 2000);
  CHECK(list.stale_at() > 1000 + 6000 + 1500);
  CHECK_FALSE(list.is_fresh(9000));
  Millis requested_at = next_request_at(list, 3400, 9000);
  CHECK(requested_at > 3400);
  CHECK(requested_at < 4000);
  CHECK_FALSE(list.is_fresh(9000));  // a request alone confirms nothing
  list.on_update(9100);
  CHECK(list.is_fresh(9200));
}

TEST_CASE("an empty line every 2 s keeps the list fresh for any time") {
  EndpointListFreshness list = watched_list(on_request(), 0);
  for (Millis now = 10; now < 100000; now += 10) {
    if (static_cast<int>(now) % 2000 == 0) list.on_keepalive(now);
    REQUIRE_FALSE(list.should_request(now));
    REQUIRE(list.is_fresh(now));
  }
}

TEST_CASE("a source without keepalives can't be silent: its watch lasts until it fails") {
  EndpointListFreshness list(on_request(), 1);
  list.start(0);
  REQUIRE(list.should_request(0));
  list.on_update(5);
  CHECK(next_request_at(list, 10, 60000) == 0);
  CHECK(list.is_fresh(60000));
}

TEST_CASE(
    "300 instances whose watches become silent at the same time all send two requests before the list is "
    "stale") {
  std::vector<Millis> first;
  for (std::uint64_t seed = 0; seed < 300; ++seed) {
    EndpointListFreshness list = watched_list(on_request(300), 0, seed);
    Millis a = next_request_at(list, 10, 8000);
    REQUIRE(a > 0);
    first.push_back(a);
    list.on_call_failed(a + 1000, CallEnd::failed);  // queued at the service, without success
    Millis b = next_request_at(list, a + 1000, 8000);
    REQUIRE(b > 0);
    // The second request can still be answered before the list is stale.
    CHECK(b + 500 < list.stale_at());
  }
  // Spread evenly: in no half second do more than a third of them send a request.
  std::sort(first.begin(), first.end());
  std::size_t most = 0;
  for (std::size_t i = 0, j = 0; i < first.size(); ++i) {
    while (first[i] - first[j] > 500) ++j;
    most = std::max(most, i - j + 1);
  }
  CHECK(most < 100);
}

TEST_CASE(
    "after the observed end of a watch its list stays fresh 6 s from the last line, however often requests "
    "fail") {
  for (int instances : {1, 3, 30, 300})
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      EndpointListFreshness list = watched_list(on_request(instances), 0, seed);
      list.on_keepalive(2000);
      list.on_call_failed(2100, CallEnd::failed);
      Millis now = 2100;
      int calls = 0;
      // Failed requests in turn with unanswered ones: neither confirms the list.
      while (Millis at = next_request_at(list, now, 2000 + 6000 + 2000)) {
        now = at + (calls % 3 == 0 ? 1000 : 10);
        list.on_call_failed(now, calls % 2 == 0 ? CallEnd::failed : CallEnd::unresponsive);
        ++calls;
      }
      CHECK(calls >= 2);
      CHECK(list.is_fresh(2000 + 6000 + 1500));
      CHECK_FALSE(list.is_fresh(2000 + 6000 + 2000));
    }
}

TEST_CASE("after a start without an answer the earlier list stays fresh for 6 s, and requests are repeated") {
  for (int instances : {3, 300}) {
    EndpointListFreshness list(on_request(instances), 5);
    list.start(1000);
    CHECK(list.is_fresh(1000 + 6000));
    CHECK_FALSE(list.is_fresh(1000 + 6000 + 2000));
    Millis now = next_request_at(list, 1000, 1020);
    REQUIRE(now > 0);
    list.on_call_failed(now + 1000, CallEnd::failed);
    Millis again = next_request_at(list, now + 1000, 1000 + 6000 + 2000);
    CHECK(again > 0);
    list.on_keepalive(9500);
    list.on_update(9500);
    CHECK(list.is_fresh(9500 + 6000));
  }
}

TEST_CASE(
    "while connections are refused no drain can be notified: the list stays fresh 6 s from the last "
    "refusal") {
  EndpointListFreshness list = watched_list(on_request(), 0);
  list.on_call_failed(100, CallEnd::failed);
  Millis now = 100, requested_at = 0;
  while (now < 60000) {
    requested_at = next_request_at(list, now, now + 5000);
    REQUIRE(requested_at > 0);
    REQUIRE(list.is_fresh(requested_at));
    now = requested_at + 5;
    list.on_call_failed(now, CallEnd::refused);
  }
  CHECK(list.is_fresh(requested_at + 6000));
  CHECK_FALSE(list.is_fresh(requested_at + 6000 + 2000));
  // The service is up again and rejects the request, which is no refused connection.
  now = next_request_at(list, now, now + 5000);
  list.on_call_failed(now + 1000, CallEnd::failed);
  CHECK_FALSE(list.is_fresh(requested_at + 6000 + 2000));
}

TEST_CASE("failed requests back off further and further once the list is stale") {
  EndpointListFreshness list = watched_list(on_request(300), 0);
  list.on_call_failed(100, CallEnd::failed);
  Millis now = 100;
  std::vector<Millis> waits;
  for (int i = 0; i < 40; ++i) {
    Millis at = next_request_at(list, now, now + 100000);
    REQUIRE(at > 0);
    if (!list.is_fresh(now)) waits.push_back(at - now);
    now = at + 1000;
    list.on_call_failed(now, CallEnd::failed);
  }
  REQUIRE(waits.size() > 20);
  Millis total = 0;
  for (Millis w : waits) total += w;
  CHECK(total >
        30 * 300 * static_cast<Millis>(waits.size()) / 2);  // far above what the service can handle at once
}

TEST_CASE(
    "requests that reach no service are repeated at least every second, so that one succeeds soon after an "
    "outage") {
  EndpointListFreshness list = watched_list(on_request(300), 0);
  Millis now = next_request_at(list, 10, 8000);
  while (now < 6000) {
    list.on_call_failed(now + 1000, CallEnd::unresponsive);
    Millis next = next_request_at(list, now + 1000, now + 5000);
    REQUIRE(next > 0);
    CHECK(next - now <= 2010);
    now = next;
  }
  CHECK(now < list.stale_at());
}

TEST_CASE("with pushed lists, updates count as notified at once: from the start, and when the watch ends") {
  EndpointListFreshness list({true, true, 300, 10000, 2000}, 1);
  list.start(0);
  CHECK(list.is_fresh(1700));
  CHECK_FALSE(list.is_fresh(2000));
  REQUIRE(list.should_request(0));
  list.on_keepalive(100);
  list.on_update(100);
  CHECK(list.is_fresh(7000));
  list.on_call_failed(3000, CallEnd::failed);
  CHECK(list.is_fresh(4700));
  CHECK_FALSE(list.is_fresh(5000));
  CHECK(next_request_at(list, 3000, 5000) <= 3210);  // the agent has no other clients
}

TEST_CASE(
    "after a move of the service, updates count as notified 4 s later, and the request is spread over 1 s") {
  EndpointListFreshness list = watched_list(on_request(300), 0);
  list.on_keepalive(2000);
  list.on_service_moved(3000);
  CHECK_FALSE(list.is_fresh(3000 + 4000 + 2000));
  Millis at = next_request_at(list, 3000, 6000);
  CHECK(at > 0);
  CHECK(at <= 4010);
  list.on_keepalive(at + 10);
  list.on_update(at + 10);
  CHECK(list.is_fresh(at + 7000));
}

TEST_CASE("the objects of a watch are split correctly, on one line or indented, for any fragmentation") {
  const std::string text =
      "\n{\"revision\":1,\"members\":[{\"id\":\"a}]\\\"{\"}]}\n\r\n{\n  \"revision\": 2,\n\n  \"members\": "
      "[\n  ]\n}\n\n";
  for (std::size_t fragment_size = 1; fragment_size <= text.size(); ++fragment_size) {
    http::JsonObjectSplitter splitter;
    std::vector<std::string> objects;
    int empty = 0;
    for (std::size_t at = 0; at < text.size(); at += fragment_size) {
      splitter.feed(text.substr(at, fragment_size));
      std::string object;
      for (auto p = splitter.next(object); p != http::JsonObjectSplitter::Token::none;
           p = splitter.next(object)) {
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
