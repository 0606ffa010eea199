// The discovery client with a scripted service.
#include "aggregator/membership/member_list.hpp"
#include "tests/aggregator/support/program_fixture.hpp"

using namespace winchhall;
using namespace winchhall::testing;
using winchhall::ServerState;

TEST_CASE("failed discovery calls are retried, the list is kept, and a drain takes effect") {
  winchhall::Settings settings = two_classes();
  settings.list_on_request = true;
  settings.max_poll_interval = 1000;
  HttpFixture s(settings);
  ScriptedLeaf a(s.loop), b(s.loop);
  int calls = 0;
  std::string after;
  std::vector<std::shared_ptr<Peer>> watchers;
  event_loop::Listener service(s.loop, loopback(0), [&](event_loop::UniqueFd fd) {
    auto peer = std::make_shared<Peer>(s.loop);
    watchers.push_back(peer);
    Peer* raw = peer.get();
    peer->on_received = [&, raw](std::string& in) {
      if (!has(in, "\r\n\r\n")) return;
      after = std::exchange(in, {});
      int call = ++calls;
      if (call == 1) return raw->stream->write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
      if (call == 2) return raw->stream->close();
      auto row = [](const ScriptedLeaf& leaf, const char* id, const char* phase) {
        return std::string("{\"id\":\"") + id +
               "\",\"host_port\":\"127.0.0.1:" + std::to_string(leaf.listener.port()) +
               "\",\"cell\":0,\"phase\":\"" + phase + "\"}";
      };
      std::string line =
          "{\"revision\":9,\"complete\":false,\"members\":[" + row(a, "a", "draining") + "]}\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", line.size());
      std::string all = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + (size + line) + "\r\n";
      for (char c : all) raw->stream->write({&c, 1});
    };
    peer->adopt(std::move(fd));
  });
  http::Discovery discovery(s.loop, s.router, "127.0.0.1:" + std::to_string(service.port()), 5, 250);
  s.router.attach(s.pool, discovery);
  s.begin({member("a", a.listener.port(), 0), member("b", b.listener.port(), 1)});
  auto client = s.connect();
  s.run_until([&] { return calls >= 2; });
  CHECK(has(s.ask(*client, HttpFixture::query("kept", kTwoParts)), "\"exact\":true"));
  s.run_until([&] { return s.router.lists_delivered() >= 4; });  // the initial list, two failures, the drain
  CHECK(has(after, "GET /v1/endpoints?watch=1&after=5 "));
  std::size_t at_drain = a.parts.size();
  for (int i = 0; i < 10; ++i)
    CHECK(has(s.ask(*client, HttpFixture::query("d" + std::to_string(i), kTwoParts)), "\"exact\":true"));
  CHECK(a.parts.size() == at_drain);
}

TEST_CASE("malformed endpoint lists are rejected") {
  CHECK(!http::read_members("{"));
  CHECK(!http::read_members("[]"));
  CHECK(!http::read_members(R"({"revision":1})"));
  CHECK(!http::read_members(R"({"revision":1,"members":[{"cell":"x"}]})"));
  auto list = http::read_members(
      R"({"revision":3,"complete":true,"members":[{"id":"s","host_port":"h:1","cell":2,"phase":"gone","up_since_ms":8}]})");
  REQUIRE(list);
  CHECK(list->members[0].entry.state == ServerState::removed);
  CHECK(list->members[0].entry.started == 8.0);
}
