// A desk for stories about the exchange alone.
#pragma once

#include <map>

#include "tests/aggregator/support/stage.hpp"

namespace winchhall::testing {

// A carrier for stories in which nothing is sent.
struct Nobody : core::Carrier {
  void launch(const core::Order&) override {}
  void flush() override {}
  void abandon(core::AttemptNumber) override {}
  bool recall(core::AttemptNumber) override { return false; }
  void probe(const std::string&, const std::string&) override {}
  void close_idle(const std::string&) override {}
  void retire(const std::string&) override {}
};

// The exchange by itself, on a clock that the test sets; the test is carrier, roster and directory of ranges.
struct Desk : core::Carrier, core::MembershipSource, core::RangeSource {
  explicit Desk(winchhall::Settings settings = two_classes())
      : exchange(
            std::move(settings), 3, [this] { return now; }, [](const std::string&) {}) {
    exchange.attach(*this, *this, this);
    exchange.start({member("a", 1, 0), member("b", 2, 1)});
  }
  void launch(const core::Order& o) override { out[o.attempt] = o; }
  void flush() override {}
  void abandon(core::AttemptNumber n) override {
    out.erase(n);
    ++abandoned;
  }
  bool recall(core::AttemptNumber) override { return false; }  // all that is launched here is written
  void probe(const std::string&, const std::string&) override {}
  void close_idle(const std::string&) override {}
  void retire(const std::string&) override {}
  void watch(bool) override {}
  void fetch() override {}
  void refresh() override { ++refreshed; }

  void ask(int query_class, core::Millis lasts, int parts = 4) {
    core::QuerySpec q{
        .id = "q" + std::to_string(asked++), .query_class = query_class, .give_up_at = now + lasts};
    for (int i = 0; i < parts; ++i) q.parts.push_back({i, 1.0 / parts, 10.0});
    last = exchange.submit(q, [this](core::Verdict v) {
      verdicts.push_back(v);
      decided_at = now;
    });
    exchange.run();
  }
  void ask_spans(int query_class, core::Millis lasts, std::vector<ranges::Span> spans) {
    last = exchange.submit({.id = "q" + std::to_string(asked++),
                            .query_class = query_class,
                            .give_up_at = now + lasts,
                            .spans = std::move(spans)},
                           [this](core::Verdict v) {
                             verdicts.push_back(v);
                             decided_at = now;
                           });
    exchange.run();
  }
  void remap(const ranges::RangeMap& map) {
    exchange.remap(map);
    exchange.run();
  }
  // The attempt that is out for this span.
  core::AttemptNumber out_for(const ranges::Span& span) {
    for (const auto& [n, order] : out)
      if (order.span == span) return n;
    FAIL("nothing is out for ", ranges::text_of(span));
    return 0;
  }
  bool is_out(const ranges::Span& span) const {
    return std::any_of(out.begin(), out.end(), [&](const auto& o) { return o.second.span == span; });
  }
  void deny(core::AttemptNumber n, ranges::NotMine words) {
    out.erase(n);
    core::Result r{.outcome = core::Outcome::not_mine};
    r.denial = std::make_shared<const ranges::NotMine>(std::move(words));
    exchange.attempt_ended(n, r);
    exchange.run();
  }
  void end(core::AttemptNumber n, core::Outcome outcome, const std::string& value = "v") {
    out.erase(n);
    core::Result r{.outcome = outcome};
    if (outcome == core::Outcome::ok) r.values = {value};
    exchange.attempt_ended(n, r);
    exchange.run();
  }
  void pass(core::Millis time) {
    for (core::Millis until = now + time; now < until; now += 5) exchange.run();
  }

  core::Millis now = 1000;
  core::Exchange exchange;
  std::map<core::AttemptNumber, core::Order> out;
  std::vector<core::Verdict> verdicts;
  core::QueryNumber last = 0;
  core::Millis decided_at = 0;
  int asked = 0, abandoned = 0, refreshed = 0;
};

}  // namespace winchhall::testing
