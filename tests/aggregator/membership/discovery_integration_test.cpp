// Stories of the platform's discovery. Each guards against one failure.
#include "aggregator/membership/members.hpp"
#include "tests/aggregator/support/stage.hpp"

using namespace winchhall;
using namespace winchhall::testing;
using winchhall::ServerState;

TEST_CASE("discovery that fails is asked again, the list is kept, and a drain is obeyed") {
  winchhall::Settings settings = two_classes();
  settings.list_on_request = true;
  settings.must_ask_in = 1000;
  Stage s(settings);
  ScriptedLeaf a(s.loop), b(s.loop);
  int calls = 0;
  std::string after;
  std::vector<std::shared_ptr<Peer>> watchers;
  net::Listener service(s.loop, loopback(0), [&](net::UniqueFd fd) {
    auto peer = std::make_shared<Peer>(s.loop);
    watchers.push_back(peer);
    Peer* raw = peer.get();
    peer->heard = [&, raw](std::string& in) {
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
  platform::Discovery discovery(s.loop, s.exchange, "127.0.0.1:" + std::to_string(service.port()), 5, 250);
  s.exchange.attach(s.pool, discovery);
  s.begin({member("a", a.listener.port(), 0), member("b", b.listener.port(), 1)});
  auto client = s.dial();
  s.until([&] { return calls >= 2; });
  CHECK(has(s.ask(*client, Stage::query("kept", kTwoParts)), "\"exact\":true"));
  s.until([&] { return s.exchange.lists_told() >= 4; });  // the cached one, two failures, the drain
  CHECK(has(after, "GET /v1/endpoints?watch=1&after=5 "));
  std::size_t at_drain = a.parts.size();
  for (int i = 0; i < 10; ++i)
    CHECK(has(s.ask(*client, Stage::query("d" + std::to_string(i), kTwoParts)), "\"exact\":true"));
  CHECK(a.parts.size() == at_drain);
}

TEST_CASE("a list that cannot be read changes nothing") {
  CHECK(!platform::read_members("{"));
  CHECK(!platform::read_members("[]"));
  CHECK(!platform::read_members(R"({"revision":1})"));
  CHECK(!platform::read_members(R"({"revision":1,"members":[{"cell":"x"}]})"));
  auto list = platform::read_members(
      R"({"revision":3,"complete":true,"members":[{"id":"s","host_port":"h:1","cell":2,"phase":"gone","up_since_ms":8}]})");
  REQUIRE(list);
  CHECK(list->members[0].entry.state == ServerState::gone);
  CHECK(list->members[0].entry.started == 8.0);
}
