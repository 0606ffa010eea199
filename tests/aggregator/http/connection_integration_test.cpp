// Connections to leafs that come up late, rest, end in the wrong moment; attempts that never left.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "tests/aggregator/support/admin_server_fixture.hpp"

using namespace winchhall;
using namespace winchhall::testing;

TEST_CASE("a part goes out on the connection that is up, not on a fuller one that still comes up") {
  Stage s(patient(), {1, 2, 60000, 60000, 50});
  LateDoor door;
  ScriptedLeaf leaf(s.loop);
  leaf.on_part = [](const ScriptedLeaf::Part&) {};
  s.begin({member("a", door.port(), 0)});
  auto client = s.dial();
  client->stream->write(Stage::query("q1", kTwoParts, "lookup", 60000));
  event_loop::UniqueFd first;
  s.until([&] { return (first = door.accept()).get() >= 0; });
  leaf.take(s.loop, std::move(first));
  s.until([&] { return leaf.parts.size() == 2; });
  door.shut();
  auto waits = s.dial();  // the first connection is full, a second one is called and does not come up
  waits->stream->write(Stage::query("q2", R"({"id":5,"w":1})", "lookup", 60000));
  s.until([&] { return s.router.attempts_in_flight() == 3; });
  for (int i = 0; i < 2; ++i) ScriptedLeaf::answer(leaf.parts[static_cast<std::size_t>(i)]);
  CHECK(has(s.answer(*client), "\"exact\":true"));
  client->stream->write(Stage::query("q3", R"({"id":6,"w":1})", "lookup", 60000));
  s.until([&] { return leaf.parts.size() == 3; });
  CHECK(leaf.parts[2].id == "q3.6");
}

TEST_CASE("what waits for a connection that comes up late goes out on the one called beside it") {
  Stage s(patient(), {1, 32, 500, 60000, 50});
  LateDoor door;
  ScriptedLeaf leaf(s.loop);
  door.shut();
  s.begin({member("a", door.port(), 0)});
  auto client = s.dial();
  client->stream->write(Stage::query("q1", R"({"id":1,"w":1})", "lookup", 60000));
  s.until([&] { return s.pool.connections() == 2; }, "one beside the late one");
  CHECK(leaf.parts.empty());
}

TEST_CASE("a part is not written after the time that it must be out by, and those behind it are") {
  Stage s;
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
  s.until([&] { return !leaf.parts.empty(); });
  CHECK(leaf.parts[0].id == "good.1");
}

TEST_CASE(
    "a connection that its leaf has closed as idle is not written to, though nobody has read that yet") {
  Stage s(patient());
  ScriptedLeaf leaf(s.loop);
  s.begin({member("a", leaf.listener.port(), 0)});
  auto client = s.dial();
  CHECK(has(s.ask(*client, Stage::query("q1", R"({"id":1,"w":1})", "lookup", 60000)), "\"v1\""));
  REQUIRE(leaf.peers.size() == 1);
  // The end of it comes after the loop has looked and before the part is written.
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
  s.until([&] { return ended; });
  CHECK(result.kind == coordination::QueryResult::Kind::answered);
  CHECK(s.router.counters()[0].attempts == 2);  // none was lost on the closed one
}

TEST_CASE("attempts that were never written count for none of a part's three") {
  // Three servers refuse the connection, and one that comes later takes the part.
  Stage s(patient());
  std::vector<int> closed;
  for (int i = 0; i < 3; ++i) {
    ScriptedLeaf removed(s.loop);
    closed.push_back(removed.listener.port());
  }
  ScriptedLeaf sound(s.loop);
  s.begin({member("a", closed[0], 0), member("b", closed[1], 1), member("c", closed[2], 0)});
  auto client = s.dial();
  client->stream->write(Stage::query("q1", R"({"id":1,"w":1})", "lookup", 60000));
  s.until([&] { return s.router.counters()[0].attempts >= 3 && s.router.attempts_in_flight() == 0; });
  s.router.update_endpoints(winchhall::ServerList::Kind::changes, {member("d", sound.listener.port(), 1)});
  CHECK(has(s.answer(*client), "\"exact\":true"));
}
