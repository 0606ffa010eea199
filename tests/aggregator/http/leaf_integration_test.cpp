// Stories of the platform's leafs and the connections to them. Each guards against one failure.
#include "tests/aggregator/support/program_fixture.hpp"

using namespace winchhall;
using namespace winchhall::testing;
using winchhall::ServerState;

TEST_CASE("a connection that breaks under a part, or is refused, costs an attempt and no answer") {
  Stage s;
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
  auto client = s.dial();
  for (int i = 0; i < 6; ++i)
    CHECK(has(s.ask(*client, Stage::query("q" + std::to_string(i), kTwoParts)), "\"exact\":true"));
  s.until([&] { return s.router.attempts_in_flight() == 0; });
  CHECK(s.router.counters()[0].complete == 6);
  CHECK(s.router.counters()[0].attempts > 12);
}

TEST_CASE("each way an attempt ends is told as the protocol's table has it") {
  CHECK(http::read_answer("x.1 200 5 -\nvalue")->value == "value");
  CHECK(http::read_answer("x.1 503 5 inflight=9\n")->load.in_flight == 9);
  CHECK(!http::read_answer("x.1 999 5 -\n"));
  CHECK(!http::read_answer("x.1 200 5 -"));
  // A leaf that turns parts away, or errs, is left for the other replica.
  for (int end : {503, 500}) {
    Stage s;
    ScriptedLeaf bad(s.loop), good(s.loop);
    bad.on_part = [&](const ScriptedLeaf::Part& p) { ScriptedLeaf::answer(p, end); };
    s.begin({member("a", bad.listener.port(), 0), member("b", good.listener.port(), 1)});
    auto client = s.dial();
    CHECK(has(s.ask(*client, Stage::query("q", kTwoParts)), "\"exact\":true"));
    CHECK(has(s.ask(*client, Stage::query("p", kTwoParts)), "\"exact\":true"));
  }
}

TEST_CASE("a load report is read under the settings' names, and under those of the protocol's example") {
  CHECK(http::read_answer("x.1 200 5 busy_reqs=4.774\nv")->load.in_flight == 4.774);
  CHECK(http::read_answer("x.1 200 5 util=0.61,inflight=7\nv")->load.in_flight == 7);
  CHECK(http::read_load("pending=2,svc_ms=8.5").queued == 2);
  CHECK(http::read_load("pending=2,svc_ms=8.5").service_ms == 8.5);
  CHECK(!http::read_load("-").in_flight);
  CHECK(!http::read_load("busy_reqs=,busy_reqs=x,=3,,").in_flight);
}

TEST_CASE("a leaf that speaks nonsense loses its connection and nothing else") {
  Stage s;
  ScriptedLeaf mad(s.loop), sound(s.loop);
  std::string words;
  SUBCASE("length nought") { words = std::string(8, '\0'); }
  SUBCASE("length of gigabytes") { words = "\xff\xff\xff\x7fO"; }
  SUBCASE("unknown letter") { words = http::make_frame('Q', "?"); }
  SUBCASE("complaint") { words = http::make_frame('Z', "no such frame"); }
  SUBCASE("unreadable answer") { words = http::make_frame('O', "only words"); }
  mad.on_part = [&](const ScriptedLeaf::Part& p) { p.from->stream->write(words); };
  s.begin({member("a", mad.listener.port(), 0), member("b", sound.listener.port(), 1)});
  auto client = s.dial();
  for (int i = 0; i < 3; ++i)
    CHECK(has(s.ask(*client, Stage::query("q" + std::to_string(i), kTwoParts)), "\"exact\":true"));
}

TEST_CASE("a spoilt answer is an attempt that failed at once, and its leaf stays trusted") {
  Stage s(patient());
  ScriptedLeaf a(s.loop), b(s.loop);
  auto framed = [](const ScriptedLeaf::Part& p, const std::string& rest) {
    p.from->stream->write(http::make_frame('O', rest));
  };
  std::function<void(const ScriptedLeaf::Part&)> spoil;
  SUBCASE("another id") {
    spoil = [&](const ScriptedLeaf::Part& p) { framed(p, "0123456789abcdef.3 200 7 -\nv"); };
  }
  SUBCASE("an end that is none") {
    spoil = [&](const ScriptedLeaf::Part& p) { framed(p, p.id + " ? 7 -\nv"); };
  }
  SUBCASE("a value that no body can carry") {
    spoil = [&](const ScriptedLeaf::Part& p) { framed(p, p.id + " 200 7 -\n\xff\xfe"); };
  }
  SUBCASE("a line that never ends") {
    spoil = [&](const ScriptedLeaf::Part& p) {
      p.from->stream->write(std::string("\x00\xff\x00\x00O", 5) + std::string(9000, 'x'));
    };
  }
  SUBCASE("a length that does not fit") {
    spoil = [&](const ScriptedLeaf::Part& p) {
      p.from->stream->write(std::string("\x60\x00\x00\x00O", 5) + p.id + " 200 7 -\nv");
    };
  }
  SUBCASE("a value said to be of gigabytes") {
    spoil = [&](const ScriptedLeaf::Part& p) {
      p.from->stream->write("\xd0\x5e\xd0\xb2O" + p.id + " 200 7 -\n" + std::string(30000, 'x'));
    };
  }
  // Three parts are out on the connection when one answer on it is spoilt.
  s.begin({member("a", a.listener.port(), 0)});
  std::vector<ScriptedLeaf::Part> held;
  a.on_part = [&](const ScriptedLeaf::Part& p) {
    held.push_back(p);
    if (held.size() == 3) spoil(held[1]);
  };
  auto client = s.dial();
  client->stream->write(
      Stage::query("q", R"({"id":1,"w":0.4},{"id":2,"w":0.3},{"id":3,"w":0.3})", "lookup", 50000));
  s.until([&] { return held.size() == 6; });
  for (std::size_t i = 3; i < 6; ++i) ScriptedLeaf::answer(held[i]);
  CHECK(has(s.answer(*client), "\"exact\":true"));
  CHECK(a.peers.size() == 2);
  a.on_part = b.on_part = [](const ScriptedLeaf::Part& p) { ScriptedLeaf::answer(p, 200, "-"); };
  s.router.update_endpoints(winchhall::ServerList::Kind::changes, {member("b", b.listener.port(), 1)});
  for (int i = 0; i < 20; ++i)
    s.ask(*client, Stage::query("r" + std::to_string(i), kTwoParts, "lookup", 50000));
  CHECK(a.parts.size() > 10);
}

TEST_CASE("what stands behind a good answer spoils no later one, nor does a report that cannot be read") {
  Stage s(patient());
  ScriptedLeaf leaf(s.loop);
  std::string behind, report = "-";
  SUBCASE("the front of a frame") { behind = std::string("\x40\x00\x00\x00O", 5); }
  SUBCASE("noise") {
    behind =
        "j\xd5\x8c\xb5"
        "E\x90)*\r\n\r\n";
  }
  SUBCASE("a second copy") { behind = "copy"; }
  SUBCASE("no report") { report = "%%%"; }
  SUBCASE("a report that is no number") { report = "busy_reqs=nan,pending=-3"; }
  leaf.on_part = [&](const ScriptedLeaf::Part& p) {
    std::string good = http::make_frame('O', p.id + " 200 7 " + report + "\nv");
    p.from->stream->write(good + (behind == "copy" ? good : behind));
  };
  s.begin({member("a", leaf.listener.port(), 0)});
  auto client = s.dial();
  for (int i = 0; i < 4; ++i)
    CHECK(has(s.ask(*client, Stage::query("q" + std::to_string(i), R"({"id":1,"w":1})", "lookup", 50000)),
              "\"exact\":true"));
  CHECK(leaf.parts.size() == 4);
  CHECK(!http::read_load("busy_reqs=nan,pending=-3,svc_ms=inf").in_flight);
  CHECK(!http::read_load("busy_reqs=nan,pending=-3,svc_ms=inf").queued);
}

TEST_CASE("connections to a server that is gone are closed, and one of a new name is called") {
  Stage s;
  ScriptedLeaf old(s.loop), fresh(s.loop);
  s.begin({member("a", old.listener.port(), 0)});
  auto client = s.dial();
  CHECK(has(s.ask(*client, Stage::query("q", kTwoParts)), "200 OK"));
  bool named = false;
  SUBCASE("not in the whole list") {}
  SUBCASE("named as gone") { named = true; }
  auto removed = member("a", old.listener.port(), 0, ServerState::removed);
  auto next = member("b", fresh.listener.port(), 0);
  if (named)
    s.router.update_endpoints(winchhall::ServerList::Kind::changes, {removed, next});
  else
    s.router.update_endpoints(winchhall::ServerList::Kind::complete, {next});
  s.until([&] { return old.peers[0]->over; });
  CHECK(s.router.known_servers() == 1);
  CHECK(has(s.ask(*client, Stage::query("p", kTwoParts)), "200 OK"));
  CHECK(fresh.parts.size() == 2);
}

TEST_CASE("more parts than a connection carries go on a further one, and calls hold no more than a batch") {
  Stage s(two_classes(), {2, 4, 250, 30000, 50});
  ScriptedLeaf leaf(s.loop);
  std::vector<ScriptedLeaf::Part> held;
  leaf.on_part = [&](const ScriptedLeaf::Part& p) { held.push_back(p); };
  s.begin({member("a", leaf.listener.port(), 0)});
  std::string parts;
  for (int i = 0; i < 10; ++i)
    parts += (i ? "," : "") + std::string("{\"id\":") + std::to_string(i) + ",\"w\":0.1}";
  auto client = s.dial();
  client->stream->write(Stage::query("q", parts));
  s.until([&] { return held.size() == 10; });
  CHECK(leaf.frames == 5);
  CHECK(leaf.peers.size() == 3);
  for (const auto& p : held) ScriptedLeaf::answer(p);
  CHECK(has(s.answer(*client), "\"exact\":true"));
}

TEST_CASE("an idle connection is closed before the leaf does it") {
  Stage s(two_classes(), {1, 32, 250, 500, 50});
  ScriptedLeaf leaf(s.loop);
  s.begin({member("a", leaf.listener.port(), 0)});
  auto client = s.dial();
  CHECK(has(s.ask(*client, Stage::query("q", kTwoParts)), "200 OK"));
  s.until([&] { return s.pool.connections() == 0 && leaf.peers[0]->over; });
  CHECK(has(s.ask(*client, Stage::query("p", kTwoParts)), "200 OK"));
  CHECK(leaf.peers.size() == 2);
}

TEST_CASE("a connection that falls silent is left, and its leaf is called on a new one") {
  winchhall::Settings settings = patient();
  settings.classes[0].latency_target = 400;  // patience is half of it
  Stage s(settings);
  ScriptedLeaf leaf(s.loop), other(s.loop);
  s.begin({member("a", leaf.listener.port(), 0), member("b", other.listener.port(), 1)});
  auto client = s.dial();
  // The first connection to the leaf answers nothing, ever; all later ones do.
  leaf.on_part = [&](const ScriptedLeaf::Part& p) {
    if (p.from != leaf.peers[0].get()) ScriptedLeaf::answer(p, 200, "-");
  };
  other.on_part = [](const ScriptedLeaf::Part& p) { ScriptedLeaf::answer(p, 200, "-"); };
  int asked = 0;
  // The leaf is set aside for a while, and then tried with a part.
  event_loop::Millis give_up = s.loop.now() + 30000;  // only ends a test that fails
  while (leaf.peers.size() < 2 && s.loop.now() < give_up)
    s.ask(*client, Stage::query("q" + std::to_string(++asked), kTwoParts, "lookup", 50000));
  CHECK(leaf.peers.size() == 2);
}

TEST_CASE("a machine that came back is called on new connections") {
  Stage s;
  ScriptedLeaf leaf(s.loop);
  coordination::Member m = member("a", leaf.listener.port(), 0);
  s.begin({m});
  auto client = s.dial();
  CHECK(has(s.ask(*client, Stage::query("q", kTwoParts)), "200 OK"));
  m.entry.started = 1000.0;
  s.router.update_endpoints(winchhall::ServerList::Kind::changes, {m});
  s.until([&] { return leaf.peers[0]->over; });
  CHECK(has(s.ask(*client, Stage::query("p", kTwoParts)), "200 OK"));
  CHECK(leaf.peers.size() == 2);
}
