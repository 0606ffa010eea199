// The request router without transport and event loop, for tests of its decisions.
#pragma once

#include <map>

#include "tests/aggregator/support/program_fixture.hpp"

namespace winchhall::testing {

// A transport for tests in which nothing is sent.
struct NullTransport : coordination::Transport {
  void launch(const coordination::AttemptRequest&) override {}
  void flush() override {}
  void abandon(coordination::AttemptNumber) override {}
  bool recall(coordination::AttemptNumber) override { return false; }
  void probe(const std::string&, const std::string&) override {}
  void close_idle(const std::string&) override {}
  void retire(const std::string&) override {}
};

// The request router on a clock (ms) that the test sets. The fixture is its transport, membership source and
// range source, with two servers "a" and "b".
struct RouterFixture : coordination::Transport, coordination::MembershipSource, coordination::RangeSource {
  explicit RouterFixture(winchhall::Settings settings = two_classes())
      : router(
            std::move(settings), 3, [this] { return now; }, [](const std::string&) {}) {
    router.attach(*this, *this, this);
    router.start({member("a", 1, 0), member("b", 2, 1)});
  }
  void launch(const coordination::AttemptRequest& o) override { in_flight[o.attempt] = o; }
  void flush() override {}
  void abandon(coordination::AttemptNumber n) override {
    in_flight.erase(n);
    ++abandoned;
  }
  // Every attempt counts as written when launched.
  bool recall(coordination::AttemptNumber) override { return false; }
  void probe(const std::string&, const std::string&) override {}
  void close_idle(const std::string&) override {}
  void retire(const std::string&) override {}
  void watch(bool) override {}
  void fetch() override {}
  void refresh() override { ++refreshed; }

  void submit(int query_class, coordination::Millis timeout, int parts = 4) {
    coordination::QuerySpec q{
        .id = "q" + std::to_string(query_count++), .query_class = query_class, .give_up_at = now + timeout};
    for (int i = 0; i < parts; ++i) q.parts.push_back({i, 1.0 / parts, 10.0});
    last_query = router.submit(q, [this](coordination::QueryResult v) {
      results.push_back(v);
      result_at = now;
    });
    router.run();
  }
  void submit_spans(int query_class, coordination::Millis timeout, std::vector<ranges::Span> spans) {
    last_query = router.submit({.id = "q" + std::to_string(query_count++),
                                .query_class = query_class,
                                .give_up_at = now + timeout,
                                .spans = std::move(spans)},
                               [this](coordination::QueryResult v) {
                                 results.push_back(v);
                                 result_at = now;
                               });
    router.run();
  }
  void update_ranges(const ranges::RangeMap& map) {
    router.update_ranges(map);
    router.run();
  }
  // The attempt in flight for this span; fails the test if there is none.
  coordination::AttemptNumber attempt_for(const ranges::Span& span) {
    for (const auto& [n, request] : in_flight)
      if (request.span == span) return n;
    FAIL("no attempt in flight for ", ranges::text_of(span));
    return 0;
  }
  bool has_attempt_for(const ranges::Span& span) const {
    return std::any_of(in_flight.begin(), in_flight.end(),
                       [&](const auto& o) { return o.second.span == span; });
  }
  void deny(coordination::AttemptNumber n, ranges::Denial denial) {
    in_flight.erase(n);
    coordination::AttemptResult r{.outcome = coordination::Outcome::not_mine};
    r.denial = std::make_shared<const ranges::Denial>(std::move(denial));
    router.attempt_ended(n, r);
    router.run();
  }
  void end_attempt(coordination::AttemptNumber n, coordination::Outcome outcome,
                   const std::string& value = "v") {
    in_flight.erase(n);
    coordination::AttemptResult r{.outcome = outcome};
    if (outcome == coordination::Outcome::ok) r.values = {value};
    router.attempt_ended(n, r);
    router.run();
  }
  // Runs the router every 5 ms for `time` ms.
  void advance(coordination::Millis time) {
    for (coordination::Millis until = now + time; now < until; now += 5) router.run();
  }

  coordination::Millis now = 1000;
  coordination::RequestRouter router;
  std::map<coordination::AttemptNumber, coordination::AttemptRequest> in_flight;
  std::vector<coordination::QueryResult> results;
  coordination::QueryNumber last_query = 0;
  coordination::Millis result_at = 0;
  int query_count = 0, abandoned = 0, refreshed = 0;
};

}  // namespace winchhall::testing
