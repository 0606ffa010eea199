// The HTTP server with real client connections: parsing, limits, timeouts, eviction and withdrawn queries.
#include <chrono>
#include <thread>

#include "tests/aggregator/support/program_fixture.hpp"

using namespace winchhall;
using namespace winchhall::testing;

TEST_CASE("a query is served even if it and the responses arrive byte by byte") {
  HttpFixture s;
  ScriptedLeaf leaf(s.loop);
  leaf.on_part = [&](const ScriptedLeaf::Part& p) {
    CHECK(p.text == "c41e77d0");
    std::string frame =
        http::make_frame('O', p.id + " 200 7 inflight=2,util=0.5\nv" + std::to_string(p.shard));
    for (char c : frame) p.from->stream->write({&c, 1});
  };
  s.begin({member("a", leaf.listener.port(), 0)});
  auto client = s.connect();
  for (char c : HttpFixture::query("q1", kTwoParts)) {
    client->stream->write({&c, 1});
    s.loop.run_once(0);
  }
  std::string got = s.answer(*client);
  CHECK(has(got, "200 OK"));
  CHECK(has(got, R"({"exact":true,"rows":[{"data":"v3","id":3},{"data":"v4","id":4}]})"));
  CHECK(leaf.parts[0].id.substr(0, 3) == "q1.");
  CHECK(leaf.parts[0].list.substr(0, 2) == "d=");
}

TEST_CASE("pipelined requests are answered in order on one connection") {
  HttpFixture s;
  ScriptedLeaf leaf(s.loop);
  s.begin({member("a", leaf.listener.port(), 0)});
  auto client = s.connect();
  client->stream->write(HttpFixture::query("q1", R"({"id":1,"w":1})") +
                        HttpFixture::query("q2", R"({"id":2,"w":1})"));
  CHECK(has(s.answer(*client), "\"v1\""));
  CHECK(has(s.answer(*client), "\"v2\""));
  CHECK(s.pool.connections() == 1);
}

TEST_CASE("malformed requests get the right status, and later requests are served") {
  HttpFixture s;
  ScriptedLeaf leaf(s.loop);
  s.begin({member("a", leaf.listener.port(), 0)});
  std::string fine = HttpFixture::query("q", kTwoParts);
  auto with = [&](const std::string& from, const std::string& to) {
    std::string changed = fine;
    changed.replace(changed.find(from), from.size(), to);
    return changed;
  };
  auto body = [](const std::string& text) {
    return "POST /lookup HTTP/1.1\r\nX-Request-ID: z\r\nContent-Length: " + std::to_string(text.size()) +
           "\r\n\r\n" + text;
  };
  const std::pair<std::string, int> cases[] = {
      {with("/lookup", "/nothing"), 404},
      {with("POST", "DELETE"), 405},
      {"POST /ready HTTP/1.1\r\n\r\n", 405},
      {with("X-Request-ID: q\r\n", ""), 400},
      {with("X-Request-ID: q", "X-Request-ID: q 1 2"), 400},
      {with("8000m", "soon"), 400},
      {with("8000m", "-5m"), 400},
      {with("Content-Length: ", "Content-Length: 9999"), 413},
      {with("Content-Length: ", "Content-Length: x"), 400},
      {with("HTTP/1.1", "SPDY/3"), 505},
      {"nonsense\r\n\r\n", 400},
      {"GET /" + std::string(20000, 'a') + " HTTP/1.1\r\n\r\n", 431},
      {"POST /lookup HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n", 413},
      {"POST /lookup HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
      {"POST /lookup HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n", 400},
      {"POST /lookup HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400},
      {"POST /lookup HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n\r\n", 400},
      {with("8000m", "1e300m"), 400},
      {with("8000m", "nanm"), 400},
      {body("{"), 400},
      {body("[]"), 400},
      {body(R"({"parts":[]})"), 400},
      {body(R"({"parts":[{"id":99,"w":1}]})"), 400},
      {body(R"({"parts":[{"id":-1,"w":1}]})"), 400},
      {body(R"({"parts":[{"id":1,"w":0.5},{"id":1,"w":0.5}]})"), 400},
      {body(R"({"parts":[{"id":1,"w":0.2}]})"), 400},
      {body(R"({"parts":[{"id":1,"w":"all"}]})"), 400},
      {body(R"({"parts":[{"id":1,"w":1}],"expr":5})"), 400},
      {body(std::string(60000, '[')), 400},
  };
  for (const auto& [request, status] : cases) {
    auto client = s.connect();
    INFO(request.substr(0, 80));
    CHECK(s.ask(*client, request).substr(9, 3) == std::to_string(status));
  }
  auto client = s.connect();
  CHECK(has(s.ask(*client, "GET /ready HTTP/1.1\r\n\r\n"), "200 OK"));
  CHECK(has(s.ask(*client, fine), "\"exact\":true"));
  CHECK(leaf.parts.size() == 2);
}

TEST_CASE("silent clients and incomplete requests do not block others and are closed") {
  HttpFixture s;  // at most 100 client connections
  ScriptedLeaf leaf(s.loop);
  s.begin({member("a", leaf.listener.port(), 0)});
  std::vector<std::shared_ptr<Peer>> stalled_clients;
  for (int i = 0; i < 150; ++i) {
    stalled_clients.push_back(s.connect());
    if (i % 3 == 0) stalled_clients.back()->stream->write("POST /lookup HTTP/1.1\r\nX-Request-ID: ");
  }
  auto trickle = s.connect(), client = s.connect();
  CHECK(has(s.ask(*client, HttpFixture::query("q", kTwoParts)), "\"exact\":true"));
  CHECK(s.front.connections() <= 100);
  event_loop::Millis written = 0;
  s.run_until([&] {
    // Slowly enough that its head does not exceed the size limit before the timeout.
    if (!trickle->is_closed && s.loop.now() > written + 50) {
      trickle->stream->write("x");
      written = s.loop.now();
    }
    bool all = trickle->is_closed || has(trickle->text, "408");
    for (const auto& peer : stalled_clients) all = all && (peer->is_closed || has(peer->text, "408"));
    return all;
  });
  auto late = s.connect();  // the first may have been closed as idle
  CHECK(has(s.ask(*late, HttpFixture::query("p", kTwoParts)), "\"exact\":true"));
}

TEST_CASE("lingering connections do not cause a new one to be evicted before its request arrives") {
  HttpFixture s;  // at most 100 client connections
  ScriptedLeaf leaf(s.loop);
  s.begin({member("a", leaf.listener.port(), 0)});
  // Each gets status 400 and is closed by the server, but keeps its own side open and reads nothing.
  std::vector<event_loop::UniqueFd> ended;
  const std::string nonsense = "nonsense\r\n\r\n";
  const sockaddr_in to = loopback(s.front.port());
  for (std::size_t i = 0; i < 100; ++i) {
    ended.emplace_back(::socket(AF_INET, SOCK_STREAM, 0));
    REQUIRE(::connect(ended.back().get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0);
    REQUIRE(::send(ended.back().get(), nonsense.data(), nonsense.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(nonsense.size()));
    s.loop.run_once(1);
  }
  auto new_client = s.connect();
  const event_loop::Millis connected_at = s.loop.now();
  s.run_until([&] { return s.loop.now() > connected_at + 50; });  // by then accepted, without a request
  CHECK_FALSE(new_client->is_closed);
  CHECK(has(s.ask(*new_client, HttpFixture::query("q", kTwoParts)), "\"exact\":true"));
}

TEST_CASE("idle connections of clients that sent one request are evicted for new ones") {
  HttpFixture s;  // at most 100 client connections
  ScriptedLeaf leaf(s.loop);
  s.begin({member("a", leaf.listener.port(), 0)});
  std::vector<std::shared_ptr<Peer>> holders;
  for (int i = 0; i < 70; ++i) {
    holders.push_back(s.connect());
    CHECK(has(s.ask(*holders.back(), HttpFixture::query("q" + std::to_string(i), R"({"id":1,"w":1})")),
              "200 OK"));
  }
  event_loop::Millis asked = s.loop.now();
  s.run_until([&] { return s.loop.now() > asked + 300; });  // all are idle for that long
  for (int i = 0; i < 20; ++i) {
    holders.push_back(s.connect());
    CHECK(has(s.ask(*holders.back(), HttpFixture::query("r" + std::to_string(i), R"({"id":1,"w":1})")),
              "200 OK"));
  }
  CHECK(s.front.connections() <= 71);  // each new connection evicted an idle one
  s.run_until([&] { return s.front.connections() < 40; });
  auto client = s.connect();
  CHECK(has(s.ask(*client, HttpFixture::query("q", kTwoParts)), "\"exact\":true"));
}

TEST_CASE(
    "a request that arrived while the process was delayed is served, although its connection is overdue as "
    "idle") {
  HttpFixture s;
  ScriptedLeaf leaf(s.loop);
  s.begin({member("a", leaf.listener.port(), 0)});
  // Enough connections for the short idle timeout of 2 s.
  std::vector<std::shared_ptr<Peer>> peers;
  for (int i = 0; i < 60; ++i) peers.push_back(s.connect());
  for (std::size_t i = 0; i < peers.size(); ++i)
    CHECK(has(s.ask(*peers[i], HttpFixture::query("first-" + std::to_string(i), R"({"id":1,"w":1})")),
              "200 OK"));
  // The requests arrive after poll() and before the check for idle connections.
  s.loop.run_at(s.loop.now(), [&] {
    for (std::size_t i = 0; i < peers.size(); ++i)
      peers[i]->stream->write(HttpFixture::query("second-" + std::to_string(i), R"({"id":1,"w":1})"));
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  for (auto& peer : peers) {
    s.run_until([&] { return !peer->text.empty() || peer->is_closed; });
    CHECK(has(peer->text, "200 OK"));
  }
}

TEST_CASE(
    "a request that has arrived is served, although its idle connection is to be evicted for a new one") {
  HttpFixture s;  // evicts above 62 client connections
  ScriptedLeaf leaf(s.loop);
  s.begin({member("a", leaf.listener.port(), 0)});
  const char* part = R"({"id":1,"w":1})";
  std::vector<std::shared_ptr<Peer>> peers;
  for (int i = 0; i < 62; ++i) {
    peers.push_back(s.connect());
    CHECK(has(s.ask(*peers.back(), HttpFixture::query("first-" + std::to_string(i), part)), "200 OK"));
  }
  event_loop::Millis idle_since = s.loop.now();
  s.run_until([&] { return s.loop.now() > idle_since + 300; });
  // All arrive in one iteration of the loop, in which the new connection is accepted before the requests are
  // read.
  for (std::size_t i = 0; i < peers.size(); ++i)
    peers[i]->stream->write(HttpFixture::query("second-" + std::to_string(i), part));
  auto new_client = s.connect();
  for (auto& peer : peers) {
    s.run_until([&] { return !peer->text.empty() || peer->is_closed; });
    CHECK(has(peer->text, "200 OK"));
  }
}

TEST_CASE(
    "a client that keeps sending after an error response can still read it, and its input is not buffered") {
  HttpFixture s;
  ScriptedLeaf leaf(s.loop);
  s.begin({member("a", leaf.listener.port(), 0)});
  // The client reads nothing before it has sent everything.
  event_loop::UniqueFd client(::socket(AF_INET, SOCK_STREAM, 0));
  sockaddr_in to = loopback(s.front.port());
  REQUIRE(::connect(client.get(), reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
  std::string all = "POST /lookup HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n" + std::string(2 << 20, 'x');
  std::size_t sent = 0;
  s.run_until([&] {
    ssize_t n = ::send(client.get(), all.data() + sent, all.size() - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
    REQUIRE((n > 0 || errno == EAGAIN));
    sent += n > 0 ? static_cast<std::size_t>(n) : 0;
    return sent == all.size();
  });
  char answer[64] = "";
  s.run_until([&] { return ::recv(client.get(), answer, 20, MSG_DONTWAIT) > 0; });
  CHECK(has(answer, "HTTP/1.1 413"));
  client.reset();
  s.run_until([&] { return s.front.connections() == 0; });
}

TEST_CASE("a query id in use is rejected, and accepted again after the response") {
  HttpFixture s;
  ScriptedLeaf leaf(s.loop);
  std::vector<ScriptedLeaf::Part> held;
  leaf.on_part = [&](const ScriptedLeaf::Part& p) { held.push_back(p); };
  s.begin({member("a", leaf.listener.port(), 0)});
  auto one = s.connect(), two = s.connect();
  one->stream->write(HttpFixture::query("same", R"({"id":1,"w":1})"));
  s.run_until([&] { return held.size() == 1; });
  CHECK(has(s.ask(*two, HttpFixture::query("same", R"({"id":1,"w":1})")), "409"));
  ScriptedLeaf::answer(held[0]);
  CHECK(has(s.answer(*one), "200 OK"));
  leaf.on_part = [](const ScriptedLeaf::Part& p) { ScriptedLeaf::answer(p); };
  CHECK(has(s.ask(*two, HttpFixture::query("same", R"({"id":1,"w":1})")), "200 OK"));
}

TEST_CASE("when a client disconnects, its parts are cancelled and its query is withdrawn") {
  HttpFixture s;
  ScriptedLeaf leaf(s.loop);
  leaf.on_part = [](const ScriptedLeaf::Part&) {};
  s.begin({member("a", leaf.listener.port(), 0)});
  auto client = s.connect();
  client->stream->write(HttpFixture::query("q", kTwoParts));
  s.run_until([&] { return leaf.parts.size() == 2; });
  client->stream->close();
  s.run_until([&] { return leaf.cancelled.size() == 2; });
  s.run_until([&] { return s.router.open_queries() == 0 && s.router.attempts_in_flight() == 0; });
  CHECK(s.router.counters()[0].withdrawn == 1);
  CHECK(s.front.connections() == 0);
}
