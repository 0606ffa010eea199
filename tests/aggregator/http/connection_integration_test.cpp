// Connections to leafs: slow to connect, idle, or closed at a bad moment; and attempts that were never
// written.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "tests/aggregator/support/stalled_listener.hpp"

using namespace winchhall;
using namespace winchhall::testing;

TEST_CASE("a part is written to an established connection, not to a fuller one that is still connecting") {
  HttpFixture s(long_deadlines(), {1, 2, 60000, 60000, 50});
  StalledListener listener;
  ScriptedLeaf leaf(s.loop);
  leaf.on_part = [](const ScriptedLeaf::Part&) {};
  s.begin({member("a", listener.port(), 0)});
  auto client = s.connect();
  client->stream->write(HttpFixture::query("q1", kTwoParts, "lookup", 60000));
  event_loop::UniqueFd first;
  s.run_until([&] { return (first = listener.accept()).get() >= 0; });
  leaf.take(s.loop, std::move(first));
  s.run_until([&] { return leaf.parts.size() == 2; });
  listener.fill_backlog();
  auto waits = s.connect();  // the first connection is full, and a second one is never established
  waits->stream->write(HttpFixture::query("q2", R"({"id":5,"w":1})", "lookup", 60000));
  s.run_until([&] { return s.router.attempts_in_flight() == 3; });
  for (int i = 0; i < 2; ++i) ScriptedLeaf::answer(leaf.parts[static_cast<std::size_t>(i)]);
  CHECK(has(s.answer(*client), "\"exact\":true"));
  client->stream->write(HttpFixture::query("q3", R"({"id":6,"w":1})", "lookup", 60000));
  s.run_until([&] { return leaf.parts.size() == 3; });
  CHECK(leaf.parts[2].id == "q3.6");
}

TEST_CASE("a part queued on a connection that is slow to connect causes a second connection") {
  HttpFixture s(long_deadlines(), {1, 32, 500, 60000, 50});
  StalledListener listener;
  ScriptedLeaf leaf(s.loop);
  listener.fill_backlog();
  s.begin({member("a", listener.port(), 0)});
  auto client = s.connect();
  client->stream->write(HttpFixture::query("q1", R"({"id":1,"w":1})", "lookup", 60000));
  s.run_until([&] { return s.pool.connections() == 2; }, "a second connection beside the slow one");
  CHECK(leaf.parts.empty());
}

TEST_CASE("a part is not written after its send_by time, while later ones in the queue are") {
  HttpFixture s;
  ScriptedLeaf leaf(s.loop);
  s.begin({member("a", leaf.listener.port(), 0)});
  auto text = std::make_shared<const std::string>("c41e77d0");
  auto order = [&](coordination::AttemptNumber number, const std::string& part,
                   coordination::Millis send_by) {
    return coordination::AttemptRequest{.attempt = number,
                                        .server = "a",
                                        .endpoint = "127.0.0.1:" + std::to_string(leaf.listener.port()),
                                        .part = part,
                                        .until = s.loop.now() + 60000,
                                        .send_by = send_by,
                                        .text = text};
  };
  s.pool.launch(order(1001, "late.1", s.loop.now() - 1));
  s.pool.launch(order(1002, "good.1", s.loop.now() + 60000));
  s.pool.flush();
  s.run_until([&] { return !leaf.parts.empty(); });
  CHECK(leaf.parts[0].id == "good.1");
}

TEST_CASE(
    "no part is written to a connection that its leaf has closed as idle, even if the close is still "
    "unread") {
  HttpFixture s(long_deadlines());
  ScriptedLeaf leaf(s.loop);
  s.begin({member("a", leaf.listener.port(), 0)});
  auto client = s.connect();
  CHECK(has(s.ask(*client, HttpFixture::query("q1", R"({"id":1,"w":1})", "lookup", 60000)), "\"v1\""));
  REQUIRE(leaf.peers.size() == 1);
  // The close arrives after poll() and before the part is written.
  bool ended = false;
  coordination::QuerySpec q{
      .id = "q2", .give_up_at = s.loop.now() + 60000, .text = "c41e77d0", .parts = {{1, 1, {}}}};
  coordination::QueryResult result;
  leaf.peers[0]->stream->close();
  s.router.submit(q, [&](coordination::QueryResult v) {
    result = v;
    ended = true;
  });
  s.router.run();
  s.run_until([&] { return ended; });
  CHECK(result.kind == coordination::QueryResult::Kind::answered);
  CHECK(s.router.counters()[0].attempts == 2);  // none was lost on the closed connection
}

TEST_CASE("attempts that were never written do not count towards the limit of three per part") {
  // Three servers refuse the connection, and one that is added later gets the part.
  HttpFixture s(long_deadlines());
  std::vector<int> closed;
  for (int i = 0; i < 3; ++i) {
    ScriptedLeaf removed(s.loop);
    closed.push_back(removed.listener.port());
  }
  ScriptedLeaf sound(s.loop);
  s.begin({member("a", closed[0], 0), member("b", closed[1], 1), member("c", closed[2], 0)});
  auto client = s.connect();
  client->stream->write(HttpFixture::query("q1", R"({"id":1,"w":1})", "lookup", 60000));
  s.run_until([&] { return s.router.counters()[0].attempts >= 3 && s.router.attempts_in_flight() == 0; });
  s.router.update_endpoints(winchhall::ServerList::Kind::changes, {member("d", sound.listener.port(), 1)});
  CHECK(has(s.answer(*client), "\"exact\":true"));
}
