// Parts sent to scripted leafs: broken connections, damaged responses, unresponsive and replaced leafs.
#include "tests/aggregator/support/program_fixture.hpp"

using namespace winchhall;
using namespace winchhall::testing;
using winchhall::ServerState;

TEST_CASE("a broken or refused connection costs an attempt, not the response") {
  HttpFixture s;
  ScriptedLeaf breaks(s.loop), sound(s.loop);
  breaks.on_part = [](const ScriptedLeaf::Part& p) { p.from->stream->close(); };
  int refused_port = 0;
  {
    ScriptedLeaf closed(s.loop);
    refused_port = closed.listener.port();
  }
  bool refused = false;
  SUBCASE("breaks") {}
  SUBCASE("refused") { refused = true; }
  s.begin({member("a", refused ? refused_port : breaks.listener.port(), 0),
           member("b", sound.listener.port(), 1)});
  auto client = s.connect();
  for (int i = 0; i < 6; ++i)
    CHECK(has(s.ask(*client, HttpFixture::query("q" + std::to_string(i), kTwoParts)), "\"exact\":true"));
  s.run_until([&] { return s.router.attempts_in_flight() == 0; });
  CHECK(s.router.counters()[0].complete == 6);
  CHECK(s.router.counters()[0].attempts > 12);
}

TEST_CASE("each status of a response has the outcome that the protocol defines") {
  CHECK(http::read_answer("x.1 200 5 -\nvalue")->value == "value");
  CHECK(http::read_answer("x.1 503 5 inflight=9\n")->load.in_flight == 9);
  CHECK(!http::read_answer("x.1 999 5 -\n"));
  CHECK(!http::read_answer("x.1 200 5 -"));
  // After a rejection or an error of one leaf, the other replica is used.
  for (int end : {503, 500}) {
    HttpFixture s;
    ScriptedLeaf bad(s.loop), good(s.loop);
    bad.on_part = [&](const ScriptedLeaf::Part& p) { ScriptedLeaf::answer(p, end); };
    s.begin({member("a", bad.listener.port(), 0), member("b", good.listener.port(), 1)});
    auto client = s.connect();
    CHECK(has(s.ask(*client, HttpFixture::query("q", kTwoParts)), "\"exact\":true"));
    CHECK(has(s.ask(*client, HttpFixture::query("p", kTwoParts)), "\"exact\":true"));
  }
}

TEST_CASE("load reports are parsed with the names of the settings and of the protocol's example") {
  CHECK(http::read_answer("x.1 200 5 busy_reqs=4.774\nv")->load.in_flight == 4.774);
  CHECK(http::read_answer("x.1 200 5 util=0.61,inflight=7\nv")->load.in_flight == 7);
  CHECK(http::read_load("pending=2,svc_ms=8.5").queued == 2);
  CHECK(http::read_load("pending=2,svc_ms=8.5").service_ms == 8.5);
  CHECK(!http::read_load("-").in_flight);
  CHECK(!http::read_load("busy_reqs=,busy_reqs=x,=3,,").in_flight);
}

TEST_CASE("after invalid frames only the connection of that leaf is closed") {
  HttpFixture s;
  ScriptedLeaf faulty(s.loop), sound(s.loop);
  std::string words;
  SUBCASE("length zero") { words = std::string(8, '\0'); }
  SUBCASE("length of gigabytes") { words = "\xff\xff\xff\x7fO"; }
  SUBCASE("unknown type") { words = http::make_frame('Q', "?"); }
  SUBCASE("error message") { words = http::make_frame('Z', "no such frame"); }
  SUBCASE("malformed response") { words = http::make_frame('O', "only words"); }
  faulty.on_part = [&](const ScriptedLeaf::Part& p) { p.from->stream->write(words); };
  s.begin({member("a", faulty.listener.port(), 0), member("b", sound.listener.port(), 1)});
  auto client = s.connect();
  for (int i = 0; i < 3; ++i)
    CHECK(has(s.ask(*client, HttpFixture::query("q" + std::to_string(i), kTwoParts)), "\"exact\":true"));
}

TEST_CASE("a damaged response fails one attempt at once, and its leaf stays selectable") {
  HttpFixture s(long_deadlines());
  ScriptedLeaf a(s.loop), b(s.loop);
  auto send_frame = [](const ScriptedLeaf::Part& p, const std::string& rest) {
    p.from->stream->write(http::make_frame('O', rest));
  };
  std::function<void(const ScriptedLeaf::Part&)> send_damaged;
  SUBCASE("another id") {
    send_damaged = [&](const ScriptedLeaf::Part& p) { send_frame(p, "0123456789abcdef.3 200 7 -\nv"); };
  }
  SUBCASE("an unknown status") {
    send_damaged = [&](const ScriptedLeaf::Part& p) { send_frame(p, p.id + " ? 7 -\nv"); };
  }
  SUBCASE("a value that is not UTF-8") {
    send_damaged = [&](const ScriptedLeaf::Part& p) { send_frame(p, p.id + " 200 7 -\n\xff\xfe"); };
  }
  SUBCASE("a first line without an end") {
    send_damaged = [&](const ScriptedLeaf::Part& p) {
      p.from->stream->write(std::string("\x00\xff\x00\x00O", 5) + std::string(9000, 'x'));
    };
  }
  SUBCASE("a length that is too large") {
    send_damaged = [&](const ScriptedLeaf::Part& p) {
      p.from->stream->write(std::string("\x60\x00\x00\x00O", 5) + p.id + " 200 7 -\nv");
    };
  }
  SUBCASE("a length of gigabytes") {
    send_damaged = [&](const ScriptedLeaf::Part& p) {
      p.from->stream->write("\xd0\x5e\xd0\xb2O" + p.id + " 200 7 -\n" + std::string(30000, 'x'));
    };
  }
  // Three parts are open on the connection when one of their responses is damaged.
  s.begin({member("a", a.listener.port(), 0)});
  std::vector<ScriptedLeaf::Part> held;
  a.on_part = [&](const ScriptedLeaf::Part& p) {
    held.push_back(p);
    if (held.size() == 3) send_damaged(held[1]);
  };
  auto client = s.connect();
  client->stream->write(
      HttpFixture::query("q", R"({"id":1,"w":0.4},{"id":2,"w":0.3},{"id":3,"w":0.3})", "lookup", 50000));
  s.run_until([&] { return held.size() == 6; });
  for (std::size_t i = 3; i < 6; ++i) ScriptedLeaf::answer(held[i]);
  CHECK(has(s.answer(*client), "\"exact\":true"));
  CHECK(a.peers.size() == 2);
  a.on_part = b.on_part = [](const ScriptedLeaf::Part& p) { ScriptedLeaf::answer(p, 200, "-"); };
  s.router.update_endpoints(winchhall::ServerList::Kind::changes, {member("b", b.listener.port(), 1)});
  for (int i = 0; i < 20; ++i)
    s.ask(*client, HttpFixture::query("r" + std::to_string(i), kTwoParts, "lookup", 50000));
  CHECK(a.parts.size() > 10);
}

TEST_CASE("surplus bytes after a response do not damage later ones, nor does an unreadable load report") {
  HttpFixture s(long_deadlines());
  ScriptedLeaf leaf(s.loop);
  std::string surplus, report = "-";
  SUBCASE("the beginning of a frame") { surplus = std::string("\x40\x00\x00\x00O", 5); }
  SUBCASE("random bytes") {
    surplus =
        "j\xd5\x8c\xb5"
        "E\x90)*\r\n\r\n";
  }
  SUBCASE("a second copy") { surplus = "copy"; }
  SUBCASE("no report") { report = "%%%"; }
  SUBCASE("a report without valid numbers") { report = "busy_reqs=nan,pending=-3"; }
  leaf.on_part = [&](const ScriptedLeaf::Part& p) {
    std::string good = http::make_frame('O', p.id + " 200 7 " + report + "\nv");
    p.from->stream->write(good + (surplus == "copy" ? good : surplus));
  };
  s.begin({member("a", leaf.listener.port(), 0)});
  auto client = s.connect();
  for (int i = 0; i < 4; ++i)
    CHECK(
        has(s.ask(*client, HttpFixture::query("q" + std::to_string(i), R"({"id":1,"w":1})", "lookup", 50000)),
            "\"exact\":true"));
  CHECK(leaf.parts.size() == 4);
  CHECK(!http::read_load("busy_reqs=nan,pending=-3,svc_ms=inf").in_flight);
  CHECK(!http::read_load("busy_reqs=nan,pending=-3,svc_ms=inf").queued);
}

TEST_CASE("connections to a removed server are closed, and its replacement is used") {
  HttpFixture s;
  ScriptedLeaf old(s.loop), fresh(s.loop);
  s.begin({member("a", old.listener.port(), 0)});
  auto client = s.connect();
  CHECK(has(s.ask(*client, HttpFixture::query("q", kTwoParts)), "200 OK"));
  bool listed_as_removed = false;
  SUBCASE("absent from a complete list") {}
  SUBCASE("listed as removed") { listed_as_removed = true; }
  auto removed = member("a", old.listener.port(), 0, ServerState::removed);
  auto next = member("b", fresh.listener.port(), 0);
  if (listed_as_removed)
    s.router.update_endpoints(winchhall::ServerList::Kind::changes, {removed, next});
  else
    s.router.update_endpoints(winchhall::ServerList::Kind::complete, {next});
  s.run_until([&] { return old.peers[0]->is_closed; });
  CHECK(s.router.known_servers() == 1);
  CHECK(has(s.ask(*client, HttpFixture::query("p", kTwoParts)), "200 OK"));
  CHECK(fresh.parts.size() == 2);
}

TEST_CASE("parts beyond the limit of a connection open another one, and frames keep their limit of parts") {
  HttpFixture s(two_classes(), {2, 4, 250, 30000, 50});
  ScriptedLeaf leaf(s.loop);
  std::vector<ScriptedLeaf::Part> held;
  leaf.on_part = [&](const ScriptedLeaf::Part& p) { held.push_back(p); };
  s.begin({member("a", leaf.listener.port(), 0)});
  std::string parts;
  for (int i = 0; i < 10; ++i)
    parts += (i ? "," : "") + std::string("{\"id\":") + std::to_string(i) + ",\"w\":0.1}";
  auto client = s.connect();
  client->stream->write(HttpFixture::query("q", parts));
  s.run_until([&] { return held.size() == 10; });
  CHECK(leaf.frames == 5);
  CHECK(leaf.peers.size() == 3);
  for (const auto& p : held) ScriptedLeaf::answer(p);
  CHECK(has(s.answer(*client), "\"exact\":true"));
}

TEST_CASE("an idle connection is closed before the idle timeout of the leaf") {
  HttpFixture s(two_classes(), {1, 32, 250, 500, 50});
  ScriptedLeaf leaf(s.loop);
  s.begin({member("a", leaf.listener.port(), 0)});
  auto client = s.connect();
  CHECK(has(s.ask(*client, HttpFixture::query("q", kTwoParts)), "200 OK"));
  s.run_until([&] { return s.pool.connections() == 0 && leaf.peers[0]->is_closed; });
  CHECK(has(s.ask(*client, HttpFixture::query("p", kTwoParts)), "200 OK"));
  CHECK(leaf.peers.size() == 2);
}

TEST_CASE("an unresponsive connection is retired, and its leaf is used on a new one") {
  winchhall::Settings settings = long_deadlines();
  settings.classes[0].latency_target = 400;  // half of it is the wait for a response
  HttpFixture s(settings);
  ScriptedLeaf leaf(s.loop), other(s.loop);
  s.begin({member("a", leaf.listener.port(), 0), member("b", other.listener.port(), 1)});
  auto client = s.connect();
  // The first connection to the leaf never responds; all later ones do.
  leaf.on_part = [&](const ScriptedLeaf::Part& p) {
    if (p.from != leaf.peers[0].get()) ScriptedLeaf::answer(p, 200, "-");
  };
  other.on_part = [](const ScriptedLeaf::Part& p) { ScriptedLeaf::answer(p, 200, "-"); };
  int asked = 0;
  // The leaf is not selected for a while, and then tried with a part.
  event_loop::Millis give_up = s.loop.now() + 30000;  // only ends a failing test
  while (leaf.peers.size() < 2 && s.loop.now() < give_up)
    s.ask(*client, HttpFixture::query("q" + std::to_string(++asked), kTwoParts, "lookup", 50000));
  CHECK(leaf.peers.size() == 2);
}

TEST_CASE("a restarted server is used on new connections") {
  HttpFixture s;
  ScriptedLeaf leaf(s.loop);
  coordination::Member m = member("a", leaf.listener.port(), 0);
  s.begin({m});
  auto client = s.connect();
  CHECK(has(s.ask(*client, HttpFixture::query("q", kTwoParts)), "200 OK"));
  m.entry.started = 1000.0;
  s.router.update_endpoints(winchhall::ServerList::Kind::changes, {m});
  s.run_until([&] { return leaf.peers[0]->is_closed; });
  CHECK(has(s.ask(*client, HttpFixture::query("p", kTwoParts)), "200 OK"));
  CHECK(leaf.peers.size() == 2);
}
