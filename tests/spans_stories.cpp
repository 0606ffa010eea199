// Queries over accounts while ranges move: the exchange alone, both fronts and both carriers, the directory's
// watch. Each story causes one of the hard cases of docs/ranges.md.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "command.pb.h"
#include "desk.hpp"
#include "flight.pb.h"
#include "flight/arrow.hpp"
#include "flight/flight_pool.hpp"
#include "flight/flight_server.hpp"
#include "flight/grpc.hpp"
#include "platform/range_directory.hpp"
#include "platform/range_words.hpp"
#include "ranges/change.hpp"

using namespace winchhall;
using namespace winchhall::testing;
using namespace winchhall::ranges;
using core::Outcome;
using core::Verdict;

namespace {

HoldersPtr held(std::vector<std::string> servers) {
  Holders list;
  for (auto& s : servers) list.push_back({s, Role::serving});
  return std::make_shared<const Holders>(std::move(list));
}

// Three ranges of 100 keys and the rest, each held by a and b.
RangeMap four(Revision revision = {1, 5}) {
  std::string why;
  auto map = RangeMap::build(revision,
                             {{0, {0, 100}, 1, held({"a", "b"})},
                              {1, {100, 200}, 1, held({"a", "b"})},
                              {2, {200, 300}, 1, held({"a", "b"})},
                              {3, {300, kKeyEnd}, 1, held({"a", "b"})}},
                             why);
  REQUIRE_MESSAGE(map, why);
  return *map;
}

RangeMap after(const RangeMap& map, const Change& change) {
  std::string why;
  auto next = apply(map, change, why);
  REQUIRE_MESSAGE(next, why);
  return *next;
}

RangeMap after_all(RangeMap map, const std::vector<Change>& changes) {
  for (const Change& c : changes) map = after(map, c);
  return map;
}

const Change kSplitFirst = Split{{0, 0}, 40, 4, 5, 1, 1};

}  // namespace

TEST_CASE("spans are cut into parts by the map, and rows name interval and revision") {
  Desk d;
  d.remap(four());
  d.ask_spans(0, 5000, {{50, 250}});
  REQUIRE(d.out.size() == 3);
  for (const auto& [n, order] : std::map(d.out)) d.end(n, Outcome::ok, text_of(order.span));
  REQUIRE(d.verdicts.size() == 1);
  CHECK(d.verdicts[0].whole);
  CHECK(d.verdicts[0].share == 1);
  REQUIRE(d.verdicts[0].rows.size() == 3);
  CHECK(d.verdicts[0].rows[0].span == Span{50, 100});
  CHECK(d.verdicts[0].rows[2].span == Span{200, 250});
  CHECK(d.verdicts[0].rows[1].revision == Revision{1, 5});
  CHECK(d.verdicts[0].rows[1].values[0] == "[100, 200)");
}

TEST_CASE("without a map a query is refused at once, and says why; too many ranges are unfit") {
  Desk d;
  d.ask_spans(0, 5000, {{50, 250}});
  REQUIRE(d.verdicts.size() == 1);
  CHECK(d.verdicts[0].kind == Verdict::Kind::refused);
  CHECK(d.verdicts[0].retry_after > 0);
  CHECK(d.verdicts[0].why.find("no map") != std::string::npos);
  CHECK(d.decided_at == d.now);
  CHECK(d.exchange.open_queries() == 0);
}

TEST_CASE("a range splits while its part is out: the old holder's answer counts, under its old revision") {
  Desk d;
  d.remap(four());
  d.ask_spans(0, 5000, {{0, 100}});
  auto first = d.out_for({0, 100});
  d.remap(after(four(), kSplitFirst));
  CHECK(d.out.size() == 1);  // nothing is sent beside it
  CHECK(d.exchange.moves().held_back == 1);
  d.end(first, Outcome::ok, "all of it");
  REQUIRE(d.verdicts.size() == 1);
  CHECK(d.verdicts[0].whole);
  REQUIRE(d.verdicts[0].rows.size() == 1);
  CHECK(d.verdicts[0].rows[0].revision == Revision{1, 5});
}

TEST_CASE("it fails after the split: its children are asked, with the attempts that are left") {
  Desk d;
  d.remap(four());
  d.ask_spans(0, 20000, {{0, 100}});
  d.end(d.out_for({0, 100}), Outcome::error);  // 1
  d.remap(after(four(), kSplitFirst));
  d.end(d.out_for({0, 100}), Outcome::error);  // 2
  REQUIRE(d.is_out({0, 40}));
  REQUIRE(d.is_out({40, 100}));
  // Again while its children are out.
  RangeMap twice = after_all(four(), {kSplitFirst, Split{{4, 0}, 10, 6, 7, 1, 1}});
  d.remap(twice);
  SUBCASE("both come in") {
    d.end(d.out_for({0, 40}), Outcome::ok);
    d.end(d.out_for({40, 100}), Outcome::ok);
    REQUIRE(d.verdicts.size() == 1);
    CHECK(d.verdicts[0].whole);
    CHECK(d.verdicts[0].rows.size() == 2);
  }
  SUBCASE("one fails: it has no fourth attempt, however it is split") {
    d.end(d.out_for({0, 40}), Outcome::error);  // 3
    CHECK_FALSE(d.is_out({0, 10}));
    CHECK_FALSE(d.is_out({10, 40}));
    REQUIRE(d.verdicts.size() == 1);
    CHECK(d.verdicts[0].kind != Verdict::Kind::answered);
  }
}

TEST_CASE("an answer to a parent that was given up comes after its children's and is in no verdict") {
  Desk d;
  d.remap(four());
  d.ask_spans(0, 20000, {{0, 100}});
  auto parent = d.out_for({0, 100});
  d.remap(after(four(), kSplitFirst));
  d.pass(1500);  // its patience is over
  REQUIRE(d.is_out({0, 40}));
  d.end(d.out_for({0, 40}), Outcome::ok, "child");
  d.end(parent, Outcome::ok, "late parent");
  CHECK(d.verdicts.empty());
  auto child = d.out_for({40, 100});
  d.end(child, Outcome::ok, "child");
  d.end(child, Outcome::ok, "again");
  REQUIRE(d.verdicts.size() == 1);
  REQUIRE(d.verdicts[0].rows.size() == 2);
  for (const auto& row : d.verdicts[0].rows) CHECK(row.values == std::vector<std::string>{"child"});
}

TEST_CASE("a merge while both halves are out; a failed half is asked of the merged range's holders") {
  Desk d;
  RangeMap map = four();
  d.remap(map);
  d.ask_spans(0, 20000, {{0, 200}});
  d.remap(after(map, Merge{{0, 0}, {1, 100}, 4, {{"b", Role::serving}}}));
  CHECK(d.out.size() == 2);
  auto left = d.out_for({0, 100});
  d.end(left, Outcome::error);
  CHECK(d.out.at(d.out_for({0, 100})).server == "b");
  d.end(d.out_for({0, 100}), Outcome::ok);
  d.end(d.out_for({100, 200}), Outcome::ok);
  REQUIRE(d.verdicts.size() == 1);
  CHECK(d.verdicts[0].whole);
}

TEST_CASE("split, merge and split of one range within one query") {
  Desk d;
  d.remap(four());
  d.ask_spans(0, 20000, {{0, 100}});
  RangeMap map = four();
  for (const Change& c :
       std::vector<Change>{kSplitFirst, Merge{{4, 0}, {5, 40}, 6, {}}, Split{{6, 0}, 70, 7, 8, 1, 1}}) {
    map = after(map, c);
    d.remap(map);
  }
  d.end(d.out_for({0, 100}), Outcome::reset);
  d.end(d.out_for({0, 70}), Outcome::ok);
  d.end(d.out_for({70, 100}), Outcome::ok);
  REQUIRE(d.verdicts.size() == 1);
  CHECK(d.verdicts[0].whole);
}

TEST_CASE("a split that is merged back before the attempt ends lets the part go on") {
  Desk d;
  d.remap(four());
  d.ask_spans(0, 20000, {{0, 100}});
  RangeMap map = after(four(), kSplitFirst);
  d.remap(map);
  d.remap(after(map, Merge{{4, 0}, {5, 40}, 6, {}}));
  d.end(d.out_for({0, 100}), Outcome::error);
  d.end(d.out_for({0, 100}), Outcome::ok);
  REQUIRE(d.verdicts.size() == 1);
}

TEST_CASE(
    "a move leaves one sound holder, which pauses: one final answer in time, and no other node is asked") {
  Desk d;
  d.remap(four());
  d.ask_spans(0, 1500, {{0, 100}});
  auto first = d.out_for({0, 100});
  std::string was = d.out.at(first).server, other = was == "a" ? "b" : "a";
  d.remap(after(four(), Remove{{0, 0}, was}));
  d.end(first, Outcome::connect_failed);
  CHECK(d.out.at(d.out_for({0, 100})).server == other);
  std::size_t asked = 0;
  for (int i = 0; i < 400; ++i) {
    d.pass(5);
    for (const auto& [n, order] : d.out) {
      CHECK(order.server == other);
      asked = std::max<std::size_t>(asked, n);
    }
  }
  REQUIRE(d.verdicts.size() == 1);
  CHECK(d.verdicts[0].kind != Verdict::Kind::answered);
  CHECK(d.decided_at < 1000 + 1500);
}

TEST_CASE("the only holder that is left starts cold: it is not pushed over") {
  pewterrill::Settings s = two_classes();
  s.cold_time = 10000;
  s.cold_share = 0.25;
  s.fall_multiple = 4;
  s.fall_time = 1000;
  Desk d(s);
  d.pass(1200);  // so long after our own start that what others sent before it is over
  core::Member cold = member("c", 3, 0);
  cold.entry.started = d.now;
  d.exchange.list(pewterrill::ServerList::Kind::changes, {cold});
  d.exchange.run();
  std::string why;
  RangeMap map = *RangeMap::build({1, 5}, {{0, {0, kKeyEnd}, 1, held({"c"})}}, why);
  d.remap(map);
  for (int i = 0; i < 40; ++i)
    d.exchange.submit(
        {.id = "w" + std::to_string(i), .give_up_at = d.now + 8000, .spans = {{0, 100}}, .hint = 100.0},
        [](Verdict) {});
  d.exchange.run();
  // 4 x a quarter of a core for a second, less what is kept back: 800 ms of work at the most.
  CHECK(d.out.size() <= 8);
  CHECK(d.out.size() >= 1);
}

TEST_CASE("a node that says not mine for ever costs three attempts, and its query is refused at once then") {
  Desk d;
  d.remap(four());
  d.ask_spans(0, 20000, {{0, 100}});
  int attempts = 0;
  for (int i = 0; i < 100 && d.verdicts.empty(); ++i) {
    while (!d.out.empty()) {
      ++attempts;
      d.deny(d.out.begin()->first, {{1, 4}, {}});
    }
    d.pass(50);
  }
  CHECK(attempts == 3);
  REQUIRE(d.verdicts.size() == 1);
  CHECK(d.verdicts[0].kind == Verdict::Kind::refused);
  CHECK(d.verdicts[0].retry_after > 0);
  CHECK(d.exchange.moves().denied == 3);
}

TEST_CASE("a node behind is given a moment: the other holder is asked first, itself later") {
  Desk d;
  std::string why;
  d.remap(*RangeMap::build({1, 5}, {{0, {0, kKeyEnd}, 1, held({"a"})}}, why));
  d.ask_spans(0, 20000, {{0, 100}});
  d.deny(d.out.begin()->first, {{1, 4}, {}});
  CHECK(d.out.empty());  // the only holder isn't asked again at once
  CHECK(d.refreshed == 0);
  d.pass(120);
  CHECK(d.out.size() == 1);
}

TEST_CASE("a node ahead: the directory is asked at once, and no further attempt is spent before its word") {
  Desk d;
  d.remap(four());
  d.ask_spans(0, 20000, {{0, 100}});
  d.deny(d.out_for({0, 100}), {{1, 6}, {}});
  CHECK(d.refreshed == 1);
  CHECK(d.out.empty());
  SUBCASE("its word comes") {
    d.remap(after(four(), kSplitFirst));
    CHECK(d.is_out({0, 40}));
    CHECK(d.is_out({40, 100}));
  }
  SUBCASE("it doesn't: after a while the other holder of the old map is asked") {
    d.pass(100);
    CHECK(d.out.empty());
    d.pass(100);
    CHECK(d.is_out({0, 100}));
  }
}

TEST_CASE("a node ahead that names successors: they are asked at once; ones that don't cover are not") {
  Desk d;
  d.remap(four());
  d.ask_spans(0, 20000, {{0, 100}});
  auto part = d.out_for({0, 100});
  SUBCASE("covering") {
    d.deny(part, {{1, 6}, {{{0, 30}, 8, {}, held({"a"}), 0, {}}, {{30, 100}, 9, {}, held({"b"}), 0, {}}}});
    CHECK(d.out.at(d.out_for({0, 30})).server == "a");
    CHECK(d.out.at(d.out_for({30, 100})).server == "b");
    CHECK(d.out.at(d.out_for({30, 100})).revision == Revision{1, 6});
  }
  SUBCASE("another holder of the same keys") {
    std::string other = d.out.at(part).server == "a" ? "b" : "a";
    d.deny(part, {{1, 6}, {{{0, 100}, 8, {}, held({other}), 0, {}}}});
    CHECK(d.out.at(d.out_for({0, 100})).server == other);
  }
  SUBCASE("with a gap") {
    d.deny(part, {{1, 6}, {{{0, 30}, 8, {}, held({"a"}), 0, {}}, {{40, 100}, 9, {}, held({"b"}), 0, {}}}});
    CHECK(d.out.empty());
    CHECK(d.refreshed == 1);
  }
  SUBCASE("of the revision that we hold: the directory's word stands") {
    d.deny(part, {{1, 5}, {{{0, 100}, 8, {}, held({"zz"}), 0, {}}}});
    CHECK(d.refreshed == 1);
    CHECK(d.is_out({0, 100}));
  }
}

TEST_CASE("not mine for a part whose range was split while it was out: its children are asked, not itself") {
  Desk d;
  d.remap(four());
  d.ask_spans(0, 20000, {{0, 100}});
  d.remap(after(four(), kSplitFirst));
  d.deny(d.out_for({0, 100}), {{1, 6}, {}});
  CHECK_FALSE(d.is_out({0, 100}));
  CHECK(d.is_out({0, 40}));
  CHECK(d.is_out({40, 100}));
}

TEST_CASE("two holders that disagree on the revision, and one has it: it is answered") {
  Desk d;
  d.remap(four());
  d.ask_spans(0, 20000, {{0, 100}});
  d.deny(d.out_for({0, 100}), {{1, 3}, {}});
  d.end(d.out_for({0, 100}), Outcome::ok);
  REQUIRE(d.verdicts.size() == 1);
  CHECK(d.verdicts[0].whole);
}

TEST_CASE("a corridor report at its least share, when weights shift under it") {
  Desk d;  // class 1: floor 0.5
  std::string why;
  RangeMap map = *RangeMap::build({1, 1},
                                  {{0, {0, 100}, 6, held({"a", "b"})},
                                   {1, {100, 200}, 4, held({"a", "b"})},
                                   {2, {200, kKeyEnd}, 1, held({"a", "b"})}},
                                  why);
  d.remap(map);
  d.ask_spans(1, 6000, {{0, 200}});
  REQUIRE(d.out.size() == 2);
  // The first range becomes light, and is split; what was asked for stays what it was.
  d.remap(after_all(map, {Weigh{{0, 0}, 0.1}, Split{{0, 0}, 50, 3, 4, 0.05, 0.05}}));
  d.end(d.out_for({100, 200}), Outcome::ok);
  d.pass(400);  // past the aim, with 40%
  CHECK(d.verdicts.empty());
  // The silent node was left for the children's holders.
  d.end(d.out_for({0, 50}), Outcome::ok);
  d.pass(50);
  REQUIRE(d.verdicts.size() == 1);
  CHECK(d.verdicts[0].kind == Verdict::Kind::answered);
  CHECK_FALSE(d.verdicts[0].whole);
  CHECK(d.verdicts[0].share == doctest::Approx(0.7));
}

TEST_CASE("a sliver of a range is asked for like any part: without it nothing is whole") {
  Desk d;
  std::string why;
  d.remap(*RangeMap::build(
      {1, 1}, {{0, {0, 1'000'000}, 1, held({"a", "b"})}, {1, {1'000'000, kKeyEnd}, 1e-9, held({"a", "b"})}},
      why));
  d.ask_spans(0, 5000, {{0, 1'000'010}});
  REQUIRE(d.out.size() == 2);  // also the one that weighs next to nothing
  d.end(d.out_for({0, 1'000'000}), Outcome::ok);
  CHECK(d.verdicts.empty());
  d.end(d.out_for({1'000'000, 1'000'010}), Outcome::ok);
  REQUIRE(d.verdicts.size() == 1);
  CHECK(d.verdicts[0].whole);
}

TEST_CASE("a map that comes between a query's planning and the module's hearing of it, in either order") {
  Desk d;
  d.remap(four());
  bool map_first = false;
  SUBCASE("the query first") {}
  SUBCASE("the map first") { map_first = true; }
  if (map_first) d.exchange.remap(after(four(), kSplitFirst));
  d.exchange.submit({.id = "x", .give_up_at = d.now + 5000, .spans = {{0, 100}}},
                    [&](Verdict v) { d.verdicts.push_back(v); });
  if (!map_first) d.exchange.remap(after(four(), kSplitFirst));
  d.exchange.run();
  // Never a parent and its children beside each other, and never more than three attempts for an account.
  int at_zero = 0;
  for (int round = 0; round < 4 && d.verdicts.empty(); ++round) {
    SpanSet out;
    for (const auto& [n, order] : d.out) {
      CHECK_FALSE(out.overlaps(order.span));
      out.add(order.span);
      at_zero += order.span.contains(0);
    }
    if (round == 0) CHECK(out.contains({0, 100}));
    for (const auto& [n, order] : std::map(d.out)) d.end(n, Outcome::error);
    d.pass(600);
  }
  CHECK(at_zero <= 3);
  REQUIRE(d.verdicts.size() == 1);
  CHECK(d.verdicts[0].kind != Verdict::Kind::answered);
  CHECK(d.exchange.moves().dropped == 0);
}

TEST_CASE("many reshuffles under many queries: one verdict each, every account once, nothing left behind") {
  Desk d;
  RangeMap map = four();
  d.remap(map);
  std::uint64_t dice = 42;
  auto below = [&](std::uint64_t n) {  // Knuth's MMIX constants
    dice = dice * 6364136223846793005ULL + 1442695040888963407ULL;
    return (dice >> 33) % n;
  };
  for (int round = 0; round < 600; ++round) {
    if (d.exchange.open_queries() < 6) d.ask_spans(0, 4000, {{below(150), 151 + below(149)}});
    Place p = map.find(below(300));
    if (below(2) == 0 && p.span.size() > 4 && p.span.to <= 300)
      map = after(
          map,
          Split{
              {p.id, p.span.from}, p.span.from + p.span.size() / 2, map.next_id(), map.next_id() + 1, 1, 1});
    else if (p.span.to < 300)
      map = after(map, Merge{{p.id, p.span.from}, {map.find(p.span.to).id, p.span.to}, map.next_id(), {}});
    d.remap(map);
    for (const auto& [n, order] : std::map(d.out)) {
      std::uint64_t what = below(8);
      if (what < 3) d.end(n, Outcome::ok, text_of(order.span));
      if (what == 3) d.end(n, Outcome::error);
      if (what == 4) d.deny(n, {map.revision(), {}});
    }
    d.pass(10);
  }
  d.pass(6000);
  CHECK(d.verdicts.size() == static_cast<std::size_t>(d.asked));
  CHECK(d.exchange.open_queries() == 0);
  CHECK(d.exchange.attempts_out() == 0);
  std::size_t whole = 0;
  for (const Verdict& v : d.verdicts) {
    SpanSet seen;
    for (const auto& row : v.rows) {
      CHECK_FALSE(seen.overlaps(row.span));
      CHECK(row.values[0] == text_of(row.span));
      seen.add(row.span);
    }
    whole += v.whole;
    if (v.whole) CHECK(seen.spans().size() == 1);
  }
  CHECK(whole > d.verdicts.size() / 4);
}

// ---- On the wires

namespace {

// Platform's fronts and carriers with spans on, and a directory whose word is the test's.
struct SpanStage {
  explicit SpanStage(pewterrill::Settings settings = patient())
      : exchange(
            std::move(settings), 7, [this] { return loop.now(); }, [](const std::string&) {}),
        pool(loop, exchange, {1, 32, 250, 30000, 50, true}),
        front(loop, exchange, loopback(0), {exchange.settings(), 16, true}, 100, [] { return true; }) {
    spdlog::set_level(spdlog::level::off);
    exchange.attach(pool, none);
  }
  void until(const std::function<bool()>& done) {
    net::Millis give_up = loop.now() + 60000;  // only ends a test that hangs
    while (!done()) {
      loop.turn(std::clamp(exchange.next_due() - loop.now(), 0.0, 20.0));
      exchange.run();
      REQUIRE(loop.now() < give_up);
    }
  }
  std::shared_ptr<Peer> dial() {
    auto peer = std::make_shared<Peer>(loop);
    peer->dial(front.port());
    return peer;
  }
  static std::string request(const std::string& body, const std::string& id = "q1") {
    return "POST /lookup HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + id +
           "\r\nX-Timeout: 60000m\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  net::Loop loop;
  core::Exchange exchange;
  NoDiscovery none;
  platform::LeafPool pool;
  platform::ClientFront front;
};

// A leaf whose frames the test reads as they are.
struct RawLeaf {
  explicit RawLeaf(net::Loop& loop)
      : listener(loop, loopback(0), [this, &loop](net::UniqueFd fd) {
          peers.push_back(std::make_shared<Peer>(loop));
          Peer* raw = peers.back().get();
          raw->heard = [this, raw](std::string& in) {
            bool bad = false;
            while (auto frame = platform::take_frame(in, bad)) on_frame(*raw, *frame);
          };
          raw->adopt(std::move(fd));
        }) {}
  net::Listener listener;
  std::vector<std::shared_ptr<Peer>> peers;
  std::function<void(Peer&, const platform::Frame&)> on_frame;
};

}  // namespace

TEST_CASE("spans over HTTP and frames: interval and revision on the wire, not mine, successors, rows") {
  SpanStage s;
  RawLeaf a(s.loop), b(s.loop);
  std::vector<std::string> asked;
  auto serve = [&](Peer& from, const platform::Frame& f) {
    if (f.letter != 'D') return;
    asked.push_back(f.rest);
    std::string part = f.rest.substr(0, f.rest.find(' '));
    std::string words = platform::write_denial(
        {{1, 6}, {{{0, 40}, 8, {}, held({"a"}), 0, {}}, {{40, 100}, 9, {}, held({"b"}), 0, {}}}});
    bool whole = has(f.rest, "from=0,to=100,");
    from.stream->write(platform::make_frame(
        'O', part + (whole ? " 421 1 busy_reqs=1\n" + words : " 200 1 busy_reqs=1\nrows of " + part)));
  };
  a.on_frame = b.on_frame = serve;
  s.exchange.start({member("a", a.listener.port(), 0), member("b", b.listener.port(), 1)});
  s.exchange.remap(four());
  auto client = s.dial();
  client->stream->write(SpanStage::request(R"({"spans":[{"from":0,"to":100}],"expr":"c41e","hint":9000})"));
  s.until([&] { return has(client->text, "\r\n\r\n{\"exact\""); });
  REQUIRE(asked.size() == 3);
  CHECK(asked[0].find("q1.r0 0 d=") == 0);
  CHECK(has(asked[0], ",from=0,to=100,rev=1.5 4\nc41e"));
  CHECK(has(client->text, R"("exact":true)"));
  CHECK(has(client->text, R"({"data":"rows of q1.r1","from":0,"rev":"1.6","to":40})"));
  CHECK(has(client->text, R"({"data":"rows of q1.r2","from":40,"rev":"1.6","to":100})"));
}

TEST_CASE("errors say in their body what was wrong, and spans are wrong where no directory is followed") {
  SpanStage s;
  s.exchange.remap(four());
  auto client = s.dial();
  auto wrong = [&](const std::string& request, const std::string& status, const std::string& words) {
    client->text.clear();
    client->stream->write(request);
    s.until([&] { return has(client->text, "}"); });
    INFO(client->text);
    CHECK(has(client->text, "HTTP/1.1 " + status));
    CHECK(has(client->text, "{\"error\":\""));
    CHECK(has(client->text, words));
  };
  wrong(SpanStage::request(R"({"spans":[{"from":5,"to":5}]})"), "400", "[5, 5)");
  wrong(SpanStage::request(R"({"spans":[{"from":0,"to":9},{"from":8,"to":20}]})"), "400", "overlaps");
  wrong(SpanStage::request(R"({"spans":[{"from":-1,"to":9}]})"), "400", "whole numbers from 0");
  wrong(SpanStage::request(R"({"spans":[]})"), "400", "'spans' is empty");
  wrong(SpanStage::request(R"({"spans":[{"from":0,"to":9}],"parts":[]})"), "400", "both 'parts' and 'spans'");
  wrong(SpanStage::request("{"), "400", "a JSON object is wanted");
  wrong("POST /nothing HTTP/1.1\r\nX-Request-ID: a\r\nContent-Length: 0\r\n\r\n", "404",
        "known are lookup, report");
  wrong("GET /lookup HTTP/1.1\r\nX-Request-ID: a\r\nContent-Length: 0\r\n\r\n", "405", "wanted is POST");

  Stage off;
  off.begin({});
  auto other = off.dial();
  std::string answer = off.ask(*other, SpanStage::request(R"({"spans":[{"from":0,"to":9}]})"));
  CHECK(has(answer, "400"));
  CHECK(has(answer, "no directory of ranges is followed here"));
}

TEST_CASE("with the feature off, what passes on the platform's sockets is byte for byte what it was") {
  Stage s(patient());
  RawLeaf leaf(s.loop);
  std::string frames;
  leaf.on_frame = [&](Peer& from, const platform::Frame& f) {
    // The time to wait differs from run to run; it is the only thing that does.
    std::string rest = f.rest;
    if (std::size_t d = rest.find("d="); d != std::string::npos)
      rest.replace(d, rest.find(' ', d) - d, "d=N");
    frames += f.letter + rest + "\n--\n";
    if (f.letter != 'D') return;
    std::string part = f.rest.substr(0, f.rest.find(' '));
    from.stream->write(platform::make_frame('O', part + " 200 1840277719 inflight=7,util=0.61\n5be2a07c"));
  };
  s.begin({member("a", leaf.listener.port(), 0)});
  auto client = s.dial();
  CHECK(s.ask(*client, Stage::query("9b1f", kTwoParts)) ==
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 77\r\n\r\n"
        R"({"exact":true,"rows":[{"data":"5be2a07c","id":3},{"data":"5be2a07c","id":4}]})");
  CHECK(frames == "D9b1f.4 4 d=N 8\nc41e77d0\n--\nD9b1f.3 3 d=N 8\nc41e77d0\n--\n");
  CHECK(s.ask(*client, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n") ==
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  // An end that only parts of spans can have is no answer here.
  leaf.on_frame = [&](Peer& from, const platform::Frame& f) {
    if (f.letter != 'D') return;
    from.stream->write(platform::make_frame('O', f.rest.substr(0, f.rest.find(' ')) + " 421 1 -\n{}"));
  };
  client->stream->write(Stage::query("9b20", kTwoParts));
  s.until([&] { return leaf.peers.front()->over; });
}

TEST_CASE("spans over Flight, to nodes over Flight: schema, interval, not mine, rows") {
  struct Node : flight::Http2::Handler {
    explicit Node(net::Loop& loop)
        : listener(loop, loopback(0), [this, &loop](net::UniqueFd fd) {
            http2 = std::make_unique<flight::Http2>(loop, *this, true);
            http2->adopt(std::move(fd));
          }) {}
    void head(std::int32_t, const flight::Headers&) override {}
    void data(std::int32_t id, std::string_view bytes) override { in[id].append(bytes); }
    void peer_done(std::int32_t id) override {
      bool bad = false;
      arrow::flight::protocol::Ticket ticket;
      PartCommand command;
      REQUIRE(ticket.ParseFromString(*flight::take_message(in[id], flight::kMessageMost, bad)));
      REQUIRE(command.ParseFromString(ticket.ticket()));
      asked.push_back(command);
      flight::Headers trailers;
      std::string body;
      const auto& i = command.interval();
      if (asked.size() == 1) {
        trailers = flight::status_trailers(flight::Status::failed_precondition, "");
        flight::add_denial(
            trailers,
            {{1, 6}, {{{0, 40}, 8, {}, held({"a"}), 0, {}}, {{40, 100}, 9, {}, held({"a"}), 0, {}}}});
      } else {
        trailers = flight::status_trailers(flight::Status::ok, "");
        flight::ArrowRow row;
        row.span = {i.from(), i.to()};
        if (bent) row.span.to += 1;
        row.data = "rows";
        for (const auto& m : {flight::schema_message(flight::Layout::spans),
                              flight::batch_message({row}, flight::Layout::spans)}) {
          arrow::flight::protocol::FlightData part;
          part.set_data_header(m.header);
          part.set_data_body(m.body);
          body += flight::frame_message(part.SerializeAsString());
        }
      }
      http2->respond(id, {{":status", "200"}, {"content-type", "application/grpc"}}, body, trailers);
      http2->pump();
    }
    void closed(std::int32_t, std::uint32_t) override {}
    void down() override {}
    net::Listener listener;
    std::unique_ptr<flight::Http2> http2;
    std::map<std::int32_t, std::string> in;
    std::vector<PartCommand> asked;
    bool bent = false;
  };
  struct Client : flight::Http2::Handler {
    explicit Client(net::Loop& loop) : http2(loop, *this, false) {}
    void head(std::int32_t, const flight::Headers& h) override {
      headers.insert(headers.end(), h.begin(), h.end());
    }
    void data(std::int32_t, std::string_view bytes) override { in.append(bytes); }
    void peer_done(std::int32_t) override { done = true; }
    void closed(std::int32_t, std::uint32_t) override { done = true; }
    void down() override { done = true; }
    flight::Http2 http2;
    flight::Headers headers;
    std::string in;
    bool done = false;
  };
  net::Loop loop;
  spdlog::set_level(spdlog::level::off);
  core::Exchange exchange(
      patient(), 7, [&] { return loop.now(); }, [](const std::string&) {});
  flight::FlightPool pool(loop, exchange, {});
  NoDiscovery none;
  exchange.attach(pool, none);
  flight::FlightServer front(loop, exchange, loopback(0), 16, 9, 20, true);
  Node node(loop);
  exchange.start({member("a", node.listener.port(), 0)});
  std::string why;
  exchange.remap(*RangeMap::build({1, 5}, {{0, {0, kKeyEnd}, 1, held({"a"})}}, why));
  Client client(loop);
  REQUIRE(client.http2.connect(loopback(front.port())));
  QueryCommand command;
  command.set_query_class("lookup");
  command.set_text("c41e");
  auto* span = command.add_spans();
  span->set_from(0);
  span->set_to(100);
  arrow::flight::protocol::Ticket ticket;
  ticket.set_ticket(command.SerializeAsString());
  client.http2.request({{":method", "POST"},
                        {":scheme", "http"},
                        {":path", "/arrow.flight.protocol.FlightService/DoGet"},
                        {":authority", "x"},
                        {"te", "trailers"},
                        {"content-type", "application/grpc"}},
                       flight::frame_message(ticket.SerializeAsString()));
  client.http2.pump();
  SUBCASE("rows of the interval that was asked for") {}
  SUBCASE("rows of another interval are no answer") { node.bent = true; }
  net::Millis give_up = loop.now() + 60000;
  while (!client.done) {
    loop.turn(std::clamp(exchange.next_due() - loop.now(), 0.0, 20.0));
    exchange.run();
    REQUIRE(loop.now() < give_up);
  }
  REQUIRE(node.asked.size() >= 3);
  CHECK(node.asked[0].interval().to() == 100);
  CHECK(node.asked[0].interval().revision() == 5);
  CHECK(node.asked[1].interval().revision() == 6);
  if (node.bent) {
    CHECK(*flight::find_header(client.headers, "grpc-status") != "0");
    return;
  }
  CHECK(*flight::find_header(client.headers, "grpc-status") == "0");
  std::vector<flight::ArrowRow> rows;
  bool bad = false;
  while (auto message = flight::take_message(client.in, flight::kMessageMost, bad)) {
    arrow::flight::protocol::FlightData data;
    REQUIRE(data.ParseFromString(*message));
    CHECK(flight::read_arrow(data.data_header(), data.data_body(), rows, flight::Layout::spans) !=
          flight::ArrowKind::bad);
  }
  REQUIRE(rows.size() == 2);
  CHECK(rows[0].span == Span{0, 40});
  CHECK(rows[1].span == Span{40, 100});
  CHECK(rows[0].revision == "1.6");
}

// ---- The directory's watch

namespace {

struct DirectoryStage {
  DirectoryStage()
      : exchange(
            two_classes(), 7, [this] { return loop.now(); }, [](const std::string&) {}),
        listener(std::make_unique<net::Listener>(loop, loopback(0),
                                                 [this](net::UniqueFd fd) { accept(std::move(fd)); })),
        port(listener->port()),
        directory(loop, exchange, "127.0.0.1:" + std::to_string(port), {1000, 1000}, 5) {
    spdlog::set_level(spdlog::level::off);
    exchange.attach(nobody, none);
    directory.start();
  }
  void accept(net::UniqueFd fd) {
    peers.push_back(std::make_shared<Peer>(loop));
    Peer* raw = peers.back().get();
    raw->heard = [this, raw](std::string& in) {
      if (!has(in, "\r\n\r\n")) return;
      asked.push_back(in.substr(0, in.find('\r')));
      in.clear();
      raw->stream->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    };
    raw->adopt(std::move(fd));
  }
  void say(const std::string& line) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
    peers.back()->stream->write(size + line + "\n\r\n");
  }
  void say(const RangeMap& map) { say(platform::write_update({map.revision(), true, false, map.all(), {}})); }
  void say(Revision revision, std::vector<Change> changes) {
    say(platform::write_update({revision, false, false, {}, std::move(changes)}));
  }
  void until(const std::function<bool()>& done) {
    net::Millis give_up = loop.now() + 60000;
    while (!done()) {
      loop.turn(20);
      exchange.run();
      REQUIRE(loop.now() < give_up);
    }
  }
  void until_asked(std::size_t times) {
    until([&] { return asked.size() >= times; });
  }
  Revision revision() const { return exchange.map().revision(); }

  net::Loop loop;
  core::Exchange exchange;
  Nobody nobody;
  NoDiscovery none;
  std::vector<std::shared_ptr<Peer>> peers;
  std::vector<std::string> asked;
  std::unique_ptr<net::Listener> listener;
  int port;
  platform::RangeDirectory directory;
};

}  // namespace

TEST_CASE("the directory is watched: whole map, changes, a broken watch, a gap, an older revision") {
  DirectoryStage s;
  s.until_asked(1);
  CHECK(s.asked[0] == "GET /v1/ranges?watch=1 HTTP/1.1");
  s.say(four());
  s.until([&] { return s.revision() == Revision{1, 5}; });
  s.say({1, 6}, {kSplitFirst});
  s.until([&] { return s.revision() == Revision{1, 6}; });
  // The watch breaks: it asks for what came after the revision held.
  s.peers.back()->stream->close();
  s.until_asked(2);
  CHECK(s.asked[1] == "GET /v1/ranges?watch=1&incarnation=1&after=6 HTTP/1.1");
  s.say({1, 7}, {Weigh{{4, 0}, 3}});
  s.until([&] { return s.revision() == Revision{1, 7}; });
  // A change is lost on the way.
  s.say({1, 9}, {Weigh{{4, 0}, 5}});
  s.until_asked(3);
  CHECK(s.asked[2] == "GET /v1/ranges?watch=1&incarnation=1&after=7 HTTP/1.1");
  CHECK(s.revision() == Revision{1, 7});
  // It comes back with less than it told: what is held serves on, and its changes are not believed.
  s.say(four());
  s.until([&] { return s.directory.figures().refused >= 2; });
  s.say({1, 8}, {Weigh{{4, 0}, 9}});
  s.until_asked(4);
  CHECK(s.asked[3] == "GET /v1/ranges?watch=1 HTTP/1.1");
  CHECK(s.revision() == Revision{1, 7});
  s.say(four({2, 1}));
  s.until([&] { return s.revision() == Revision{2, 1}; });
}

TEST_CASE("a directory that speaks nonsense, or is away: the last map serves on, and it is asked again") {
  DirectoryStage s;
  s.until_asked(1);
  s.say(four());
  s.until([&] { return !s.exchange.map().empty(); });
  s.say("{\"incarnation\":1,\"revision\":6,\"changes\":[{\"op\":\"frob\"}]}");
  s.until_asked(2);
  CHECK(s.directory.figures().refused == 1);
  CHECK(s.revision() == Revision{1, 5});
  // Away altogether, then back.
  s.listener.reset();
  s.peers.back()->stream->close();
  std::size_t broken = s.directory.figures().broken;
  s.until([&] { return s.directory.figures().broken >= broken + 2; });
  CHECK(s.revision() == Revision{1, 5});
  s.listener = std::make_unique<net::Listener>(s.loop, loopback(s.port),
                                               [&](net::UniqueFd fd) { s.accept(std::move(fd)); });
  s.until_asked(3);
  s.say({1, 6}, {kSplitFirst});
  s.until([&] { return s.revision() == Revision{1, 6}; });
}

TEST_CASE("a map over the bound is refused, and a refresh reopens the watch at once") {
  DirectoryStage s;
  s.until_asked(1);
  std::vector<Range> many;
  for (std::size_t i = 0; i < 1001; ++i)
    many.push_back({i, {i, i == 1000 ? kKeyEnd : i + 1}, 1, held({"a"})});
  s.say(platform::write_update({{1, 1}, true, false, many, {}}));
  s.until_asked(2);
  CHECK(s.exchange.map().empty());
  s.say(four());
  s.until([&] { return !s.exchange.map().empty(); });
  s.directory.refresh();
  s.until_asked(3);
  CHECK(s.asked[2] == "GET /v1/ranges?watch=1&incarnation=1&after=5 HTTP/1.1");
  s.say({1, 6}, {kSplitFirst});
  s.until([&] { return s.revision() == Revision{1, 6}; });
}
