// Connections that end, and clients that leave: data that arrives while one side closes the connection.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "tests/aggregator/support/stalled_listener.hpp"

using namespace winchhall;
using namespace winchhall::testing;

namespace {

// One open query, whose part is at a leaf that doesn't answer.
struct OpenQueryFixture : HttpFixture {
  explicit OpenQueryFixture(winchhall::Settings settings = long_deadlines())
      : HttpFixture(std::move(settings)), leaf(loop) {
    leaf.on_part = [](const ScriptedLeaf::Part&) {};
    begin({member("a", leaf.listener.port(), 0)});
    client = connect();
    client->stream->write(query("q1", R"({"id":1,"w":1})", "lookup", 60000));
    run_until([&] { return leaf.parts.size() == 1; });
  }
  ScriptedLeaf leaf;
  std::shared_ptr<Peer> client;
};

}  // namespace

TEST_CASE("a client that sends 1 MiB after its request and leaves is noticed to have left") {
  OpenQueryFixture s;
  s.client->stream->write(std::string(1 << 20, 'x'));
  s.run_until([&] { return s.client->stream->unsent() == 0; });
  s.client->stream->close();
  s.run_until([&] { return s.router.open_queries() == 0; });
  CHECK(s.router.counters()[0].withdrawn == 1);
  s.run_until([&] { return s.leaf.cancelled.size() == 1; });
}

TEST_CASE(
    "a client that sends 1 MiB after its request and stays gets its answer, and then the connection is "
    "closed") {
  OpenQueryFixture s;
  s.client->stream->write(std::string(1 << 20, 'x'));
  s.run_until([&] { return s.client->stream->unsent() == 0; });
  ScriptedLeaf::answer(s.leaf.parts[0]);
  std::string got = s.answer(*s.client);
  CHECK(has(got, "\"exact\":true"));
  CHECK(has(got, "Connection: close"));
  s.run_until([&] { return s.client->is_closed; });
  CHECK_FALSE(s.client->stream->reset());
}

TEST_CASE("a pipelined request is answered after the first one") {
  OpenQueryFixture s;
  std::string next = HttpFixture::query("q2", R"({"id":2,"w":1})", "lookup", 60000);
  s.client->stream->write(next);
  s.run_until([&] { return s.client->stream->unsent() == 0; });
  s.leaf.on_part = [](const ScriptedLeaf::Part& p) { ScriptedLeaf::answer(p); };
  ScriptedLeaf::answer(s.leaf.parts[0]);
  CHECK(has(s.answer(*s.client), "\"v1\""));
  CHECK(has(s.answer(*s.client), "\"v2\""));
}

TEST_CASE(
    "60 clients that leave in one turn of the event loop leave no query open, and nothing more is sent for "
    "them") {
  HttpFixture s(long_deadlines());
  ScriptedLeaf leaf(s.loop);
  leaf.on_part = [](const ScriptedLeaf::Part&) {};
  s.begin({member("a", leaf.listener.port(), 0)});
  std::vector<std::shared_ptr<Peer>> clients;
  for (int i = 0; i < 60; ++i) {
    clients.push_back(s.connect());
    clients.back()->stream->write(
        HttpFixture::query("q" + std::to_string(i), R"({"id":1,"w":1})", "lookup", 60000));
  }
  s.run_until([&] { return leaf.parts.size() == 60; });
  // Their leaf's connection breaks in the same turn, after which each part would be retried.
  for (auto& c : clients) c->stream->close();
  for (auto& peer : leaf.peers) peer->stream->close();
  s.run_until([&] { return s.router.open_queries() == 0 && s.router.attempts_in_flight() == 0; });
  CHECK(leaf.parts.size() == 60);
  CHECK(s.router.counters()[0].withdrawn == 60);
}

TEST_CASE("a part that waits for its connection is recalled when its client leaves") {
  auto settings = long_deadlines();
  bool may_cancel = false;
  SUBCASE("running attempts may be cancelled") { may_cancel = true; }
  SUBCASE("running attempts may not be cancelled") {}
  settings.may_cancel = may_cancel;
  HttpFixture s(settings, {1, 32, 60000, 60000, 50});
  StalledListener listener;
  listener.fill_backlog();
  s.begin({member("a", listener.port(), 0)});
  auto client = s.connect();
  client->stream->write(HttpFixture::query("q1", R"({"id":1,"w":1})", "lookup", 60000));
  s.run_until([&] { return s.router.attempts_in_flight() == 1; });
  client->stream->close();
  s.run_until([&] { return s.router.open_queries() == 0; });
  s.router.run();
  CHECK(s.router.attempts_in_flight() == 0);
}

TEST_CASE("a part that waits for its connection moves to another server when its server begins to drain") {
  HttpFixture s(long_deadlines(), {1, 32, 60000, 60000, 50});
  StalledListener listener;
  listener.fill_backlog();
  ScriptedLeaf other(s.loop);
  s.begin({member("a", listener.port(), 0)});
  auto client = s.connect();
  client->stream->write(HttpFixture::query("q1", R"({"id":1,"w":1})", "lookup", 60000));
  s.run_until([&] { return s.router.attempts_in_flight() == 1; });
  s.router.update_endpoints(winchhall::ServerList::Kind::changes,
                            {member("a", listener.port(), 0, winchhall::ServerState::draining),
                             member("b", other.listener.port(), 1)});
  CHECK(has(s.answer(*client), "\"exact\":true"));
}

// A client on a plain socket, so that the test sees its errors as soon as they occur.
struct RawClient {
  explicit RawClient(int port) : fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in to = loopback(port);
    REQUIRE(::connect(fd.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0);
  }
  void send(const std::string& text) const {
    REQUIRE(::send(fd.get(), text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
  }
  int error() const {
    int e = 0;
    socklen_t size = sizeof e;
    REQUIRE(::getsockopt(fd.get(), SOL_SOCKET, SO_ERROR, &e, &size) == 0);
    return e;
  }
  event_loop::UniqueFd fd;
};

// A client that has sent its first request.
struct SentQueryFixture : HttpFixture {
  SentQueryFixture() : leaf(loop), client(front.port()) {
    begin({member("a", leaf.listener.port(), 0)});
    client.send(query("q1", R"({"id":1,"w":1})"));
  }
  ScriptedLeaf leaf;
  RawClient client;
};

TEST_CASE("a request sent while its idle connection is being closed causes no reset and isn't forwarded") {
  SentQueryFixture s;
  s.run_until([&] { return s.router.counters()[0].complete == 1; });
  for (int i = 0; i < 3; ++i) s.loop.run_once(1);  // the answer has been written
  s.front.close_idle();
  // The client has not read the end of the connection yet.
  s.client.send(HttpFixture::query("q2", R"({"id":2,"w":1})"));
  for (int i = 0; i < 3; ++i) s.loop.run_once(1);
  CHECK(s.client.error() == 0);
  char all[4096];
  ssize_t n = ::recv(s.client.fd.get(), all, sizeof all, MSG_WAITALL);  // up to the server's end
  REQUIRE(n > 0);
  CHECK(has(std::string(all, static_cast<std::size_t>(n)), "\"exact\":true"));
  CHECK(::recv(s.client.fd.get(), all, sizeof all, 0) == 0);
  CHECK(s.leaf.parts.size() == 1);
}

TEST_CASE(
    "the connection of an idle client that never closes is dropped some time after the server has ended it") {
  SentQueryFixture s;
  s.run_until([&] { return s.router.counters()[0].complete == 1; });
  s.run_until([&] {
    s.front.close_idle();
    return s.front.connections() == 0;
  });
  CHECK_FALSE(s.front.busy());
}

TEST_CASE("a connection in the accept queue when listening stops is accepted, and its request answered") {
  SentQueryFixture s;
  s.front.stop_listening();  // before the event loop has read the queue
  s.run_until([&] { return s.router.counters()[0].complete == 1; });
  CHECK(s.client.error() == 0);
}
