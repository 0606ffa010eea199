// The HTTP server on loopback sockets: framing, limits, time-outs, draining. Each test runs the event loop
// itself.
#include "cluster/http/server.hpp"

#include <catch2/catch.hpp>
#include <string>

#include "tests/cluster/support/loopback_client.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::testing;
namespace asio = boost::asio;

namespace {

constexpr Millis kTimeout{5000};

using Client = LoopbackClient;

struct HttpServerFixture {
  asio::io_context loop;
  HttpHandler handler = [](HttpRequest request, HttpReplyCallback reply) {
    reply(json_response(200, std::string(request.target()) + request.body()));
  };
  std::unique_ptr<HttpServer> server = make_http_server(
      loop, "127.0.0.1:0",
      [this](HttpRequest request, HttpReplyCallback reply) { handler(std::move(request), std::move(reply)); },
      4);

  unsigned short port() const { return server->port(); }

  template <typename Condition>
  bool run_until(Condition condition) {
    const auto end = SteadyClock::now() + kTimeout;
    while (!condition() && SteadyClock::now() < end) loop.run_one_for(Millis(50));
    return condition();
  }
};

std::string get(const std::string& path) { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"; }

std::string post(const std::string& path, const std::string& body) {
  return "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace

TEST_CASE_METHOD(HttpServerFixture, "requests on one connection are answered one after another") {
  Client client(loop, port());
  client.send(get("/one"));
  REQUIRE(run_until([&] { return client.has("/one"); }));
  CHECK(client.input().rfind("HTTP/1.1 200 OK\r\n", 0) == 0);
  CHECK(client.has("Content-Length: 4\r\n"));
  client.send(post("/two", "body"));
  REQUIRE(run_until([&] { return client.has("/twobody"); }));
  CHECK_FALSE(client.ended());
}

TEST_CASE_METHOD(HttpServerFixture, "a request that arrives byte by byte is read completely") {
  Client client(loop, port());
  for (const char character : post("/p", "0123456789")) {
    client.send(std::string(1, character));
    loop.poll();
  }
  CHECK(run_until([&] { return client.has("/p0123456789"); }));
}

TEST_CASE_METHOD(HttpServerFixture, "pipelined requests are answered in order") {
  Client client(loop, port());
  client.send(get("/one") + post("/two", "x") + get("/three"));
  REQUIRE(run_until([&] { return client.has("/three"); }));
  CHECK(client.input().find("/one") < client.input().find("/twox"));
  CHECK(client.input().find("/twox") < client.input().find("/three"));
}

TEST_CASE_METHOD(HttpServerFixture, "a chunked body is read") {
  Client client(loop, port());
  client.send(
      "POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  CHECK(run_until([&] { return client.has("/cabcde"); }));
}

TEST_CASE_METHOD(HttpServerFixture, "a client that expects 100-continue gets it") {
  Client client(loop, port());
  client.send("POST /e HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
  REQUIRE(run_until([&] { return client.has("HTTP/1.1 100 Continue\r\n\r\n"); }));
  client.send("ok");
  CHECK(run_until([&] { return client.has("/eok"); }));
}

TEST_CASE_METHOD(HttpServerFixture, "a half-closed client gets its response") {
  Client client(loop, port());
  client.send(get("/half"));
  client.shut_down_sending();
  CHECK(run_until([&] { return client.has("/half"); }));
  CHECK(run_until([&] { return client.ended(); }));
}

TEST_CASE_METHOD(HttpServerFixture, "HTTP/1.0 and Connection: close end the connection after the response") {
  Client old(loop, port());
  old.send("GET /old HTTP/1.0\r\n\r\n");
  CHECK(run_until([&] { return old.ended(); }));
  CHECK(old.has("Connection: close"));
  Client closing(loop, port());
  closing.send("GET /closing HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  CHECK(run_until([&] { return closing.ended(); }));
  CHECK(closing.has("/closing"));
}

TEST_CASE_METHOD(HttpServerFixture,
                 "a request that violates the protocol or the limits is rejected and its connection closed") {
  RequestLimits limits;
  limits.max_header_bytes = 512;
  limits.max_body_bytes = 100;
  server->set_limits(limits);
  Client malformed(loop, port());
  malformed.send("nonsense\r\n\r\n");
  REQUIRE(run_until([&] { return malformed.ended(); }));
  CHECK(malformed.has("HTTP/1.1 400 "));
  Client large_header(loop, port());
  large_header.send("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(2000, 'x') + "\r\n\r\n");
  REQUIRE(run_until([&] { return large_header.ended(); }));
  CHECK(large_header.has("HTTP/1.1 431 "));
  CHECK_FALSE(large_header.reset());
  Client large_body(loop, port());
  large_body.send(post("/", std::string(50000, 'x')));
  REQUIRE(run_until([&] { return large_body.ended(); }));
  CHECK(large_body.has("HTTP/1.1 413 "));
  CHECK_FALSE(large_body.reset());
}

TEST_CASE_METHOD(HttpServerFixture, "idle and stalled connections time out") {
  RequestLimits limits;
  limits.header_timeout_ms = 100;
  limits.idle_timeout_ms = 150;
  server->set_limits(limits);
  Client idle(loop, port());
  Client stalled(loop, port());
  stalled.send("GET /st");
  REQUIRE(run_until([&] { return idle.ended() && stalled.ended(); }));
  CHECK(idle.input().empty());
  CHECK(stalled.has("HTTP/1.1 408 "));
}

TEST_CASE_METHOD(HttpServerFixture, "a response may be sent later, also to a client that has disconnected") {
  std::vector<HttpReplyCallback> replies;
  handler = [&](HttpRequest, HttpReplyCallback reply) { replies.push_back(std::move(reply)); };
  Client staying(loop, port());
  Client leaving(loop, port());
  staying.send(get("/"));
  leaving.send(get("/"));
  REQUIRE(run_until([&] { return replies.size() == 2; }));
  CHECK(server->open_requests() == 2);
  leaving.close();
  for (auto& reply : replies) {
    reply(json_response(200, "late"));
    reply(json_response(200, "again"));
  }
  REQUIRE(run_until([&] { return staying.has("late") && server->open_requests() == 0; }));
  CHECK_FALSE(staying.has("again"));
  replies.clear();
}

TEST_CASE_METHOD(HttpServerFixture, "a request whose handler drops it or throws ends its connection") {
  handler = [](HttpRequest request, HttpReplyCallback) {
    if (request.target() == "/throw") throw std::runtime_error("handler");
  };
  Client dropped(loop, port());
  dropped.send(get("/drop"));
  CHECK(run_until([&] { return dropped.ended(); }));
  Client failed(loop, port());
  failed.send(get("/throw"));
  CHECK(run_until([&] { return failed.has("HTTP/1.1 500 "); }));
}

TEST_CASE_METHOD(HttpServerFixture, "draining closes idle connections and answers pending requests") {
  HttpReplyCallback pending_reply;
  handler = [&](HttpRequest, HttpReplyCallback reply) { pending_reply = std::move(reply); };
  Client idle(loop, port());
  Client busy(loop, port());
  busy.send(get("/"));
  REQUIRE(run_until([&] { return static_cast<bool>(pending_reply) && server->open_connections() == 2; }));
  server->drain();
  REQUIRE(run_until([&] { return idle.ended(); }));
  CHECK_FALSE(busy.ended());
  pending_reply(json_response(200, "done"));
  pending_reply = nullptr;
  REQUIRE(run_until([&] { return busy.ended(); }));
  CHECK(busy.has("Connection: close"));
  CHECK(busy.has("done"));
}

TEST_CASE_METHOD(HttpServerFixture, "a server that stops accepting continues to serve its connections") {
  Client client(loop, port());
  const auto own_port = port();
  REQUIRE(run_until([&] { return server->open_connections() == 1; }));
  server->stop_accepting();
  CHECK_THROWS(Client(loop, own_port));
  client.send(get("/on"));
  CHECK(run_until([&] { return client.has("/on"); }));
}

TEST_CASE_METHOD(HttpServerFixture, "beyond the limit, the connection idle longest is closed") {
  std::vector<std::unique_ptr<Client>> clients;
  for (int count = 0; count < 4; ++count) {
    clients.push_back(std::make_unique<Client>(loop, port()));
    clients.back()->send(get("/first"));
    REQUIRE(run_until([&] { return clients.back()->has("/first"); }));
  }
  Client newest(loop, port());
  newest.send(get("/newest"));
  REQUIRE(run_until([&] { return newest.has("/newest"); }));
  CHECK(run_until([&] { return clients[0]->ended(); }));
  CHECK_FALSE(clients[3]->ended());
}

TEST_CASE("an address that can't be listened on is an error") {
  asio::io_context loop;
  CHECK_THROWS_AS(make_http_server(loop, "nonsense", nullptr), boost::system::system_error);
  CHECK_THROWS_AS(make_http_server(loop, "192.0.2.1:80", nullptr), boost::system::system_error);
}
