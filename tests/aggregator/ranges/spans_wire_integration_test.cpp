// Queries over spans on the wire: HTTP and Flight towards clients, frames and Flight towards nodes.
#include "aggregator/flight/arrow.hpp"
#include "aggregator/flight/flight_pool.hpp"
#include "aggregator/flight/flight_server.hpp"
#include "aggregator/flight/grpc.hpp"
#include "aggregator/http/range_protocol.hpp"
#include "aggregator/ranges/change.hpp"
#include "command.pb.h"
#include "flight.pb.h"
#include "tests/aggregator/ranges/spans_fixture.hpp"
#include "tests/aggregator/support/router_fixture.hpp"

using namespace winchhall;
using namespace winchhall::testing;
using namespace winchhall::ranges;
using namespace winchhall::ranges::testing;

namespace {

// HTTP server and leaf connections with spans enabled; the test sets the range map.
struct SpanFixture {
  explicit SpanFixture(winchhall::Settings settings = long_deadlines())
      : router(
            std::move(settings), 7, [this] { return loop.now(); }, [](const std::string&) {}),
        pool(loop, router, {1, 32, 250, 30000, 50, true}),
        front(loop, router, loopback(0), {router.settings(), 16, true}, 100, [] { return true; }) {
    spdlog::set_level(spdlog::level::off);
    router.attach(pool, none);
  }
  void run_until(const std::function<bool()>& done) {
    event_loop::Millis give_up = loop.now() + 60000;  // only ends a test that hangs
    while (!done()) {
      loop.run_once(std::clamp(router.next_due() - loop.now(), 0.0, 20.0));
      router.run();
      REQUIRE(loop.now() < give_up);
    }
  }
  std::shared_ptr<Peer> connect() {
    auto peer = std::make_shared<Peer>(loop);
    peer->connect(front.port());
    return peer;
  }
  static std::string request(const std::string& body, const std::string& id = "q1") {
    return "POST /lookup HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + id +
           "\r\nX-Timeout: 60000m\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  event_loop::Loop loop;
  coordination::RequestRouter router;
  NullMembershipSource none;
  http::LeafPool pool;
  http::HttpServer front;
};

// A leaf that passes each frame to the test.
struct RawLeaf {
  explicit RawLeaf(event_loop::Loop& loop)
      : listener(loop, loopback(0), [this, &loop](event_loop::UniqueFd fd) {
          peers.push_back(std::make_shared<Peer>(loop));
          Peer* raw = peers.back().get();
          raw->on_received = [this, raw](std::string& in) {
            bool bad = false;
            while (auto frame = http::take_frame(in, bad)) on_frame(*raw, *frame);
          };
          raw->adopt(std::move(fd));
        }) {}
  event_loop::Listener listener;
  std::vector<std::shared_ptr<Peer>> peers;
  std::function<void(Peer&, const http::Frame&)> on_frame;
};

}  // namespace

TEST_CASE("spans over HTTP and frames: interval and revision on the wire, denial, successors, rows") {
  SpanFixture s;
  RawLeaf a(s.loop), b(s.loop);
  std::vector<std::string> asked;
  auto serve = [&](Peer& from, const http::Frame& f) {
    if (f.type != 'D') return;
    asked.push_back(f.payload);
    std::string part = f.payload.substr(0, f.payload.find(' '));
    std::string denial = http::write_denial({{1, 6},
                                             {{{0, 40}, 8, {}, serving_holders({"a"}), 0, {}},
                                              {{40, 100}, 9, {}, serving_holders({"b"}), 0, {}}}});
    bool complete = has(f.payload, "from=0,to=100,");
    from.stream->write(http::make_frame(
        'O', part + (complete ? " 421 1 busy_reqs=1\n" + denial : " 200 1 busy_reqs=1\nrows of " + part)));
  };
  a.on_frame = b.on_frame = serve;
  s.router.start({member("a", a.listener.port(), 0), member("b", b.listener.port(), 1)});
  s.router.update_ranges(four_ranges());
  auto client = s.connect();
  client->stream->write(SpanFixture::request(R"({"spans":[{"from":0,"to":100}],"expr":"c41e","hint":9000})"));
  s.run_until([&] { return has(client->text, "\r\n\r\n{\"exact\""); });
  REQUIRE(asked.size() == 3);
  CHECK(asked[0].find("q1.r0 0 d=") == 0);
  CHECK(has(asked[0], ",from=0,to=100,rev=1.5 4\nc41e"));
  CHECK(has(client->text, R"("exact":true)"));
  CHECK(has(client->text, R"({"data":"rows of q1.r1","from":0,"rev":"1.6","to":40})"));
  CHECK(has(client->text, R"({"data":"rows of q1.r2","from":40,"rev":"1.6","to":100})"));
}

TEST_CASE(
    "error responses name the reason in the body, and spans are rejected where no directory is followed") {
  SpanFixture s;
  s.router.update_ranges(four_ranges());
  auto client = s.connect();
  auto expect_error = [&](const std::string& request, const std::string& status, const std::string& words) {
    client->text.clear();
    client->stream->write(request);
    s.run_until([&] { return has(client->text, "}"); });
    INFO(client->text);
    CHECK(has(client->text, "HTTP/1.1 " + status));
    CHECK(has(client->text, "{\"error\":\""));
    CHECK(has(client->text, words));
  };
  expect_error(SpanFixture::request(R"({"spans":[{"from":5,"to":5}]})"), "400", "[5, 5)");
  expect_error(SpanFixture::request(R"({"spans":[{"from":0,"to":9},{"from":8,"to":20}]})"), "400",
               "overlaps");
  expect_error(SpanFixture::request(R"({"spans":[{"from":-1,"to":9}]})"), "400", "whole numbers from 0");
  expect_error(SpanFixture::request(R"({"spans":[]})"), "400", "'spans' is empty");
  expect_error(SpanFixture::request(R"({"spans":[{"from":0,"to":9}],"parts":[]})"), "400",
               "both 'parts' and 'spans'");
  expect_error(SpanFixture::request("{"), "400", "a JSON object is wanted");
  expect_error("POST /nothing HTTP/1.1\r\nX-Request-ID: a\r\nContent-Length: 0\r\n\r\n", "404",
               "known are lookup, report");
  expect_error("GET /lookup HTTP/1.1\r\nX-Request-ID: a\r\nContent-Length: 0\r\n\r\n", "405",
               "wanted is POST");

  HttpFixture off;
  off.begin({});
  auto other = off.connect();
  std::string answer = off.ask(*other, SpanFixture::request(R"({"spans":[{"from":0,"to":9}]})"));
  CHECK(has(answer, "400"));
  CHECK(has(answer, "no directory of ranges is followed here"));
}

TEST_CASE("with spans disabled, requests and answers on the sockets are byte for byte as before") {
  HttpFixture s(long_deadlines());
  RawLeaf leaf(s.loop);
  std::string frames;
  leaf.on_frame = [&](Peer& from, const http::Frame& f) {
    // The remaining time (d=) is the only value that differs from run to run.
    std::string rest = f.payload;
    if (std::size_t d = rest.find("d="); d != std::string::npos)
      rest.replace(d, rest.find(' ', d) - d, "d=N");
    frames += f.type + rest + "\n--\n";
    if (f.type != 'D') return;
    std::string part = f.payload.substr(0, f.payload.find(' '));
    from.stream->write(http::make_frame('O', part + " 200 1840277719 inflight=7,util=0.61\n5be2a07c"));
  };
  s.begin({member("a", leaf.listener.port(), 0)});
  auto client = s.connect();
  CHECK(s.ask(*client, HttpFixture::query("9b1f", kTwoParts)) ==
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 77\r\n\r\n"
        R"({"exact":true,"rows":[{"data":"5be2a07c","id":3},{"data":"5be2a07c","id":4}]})");
  CHECK(frames == "D9b1f.4 4 d=N 8\nc41e77d0\n--\nD9b1f.3 3 d=N 8\nc41e77d0\n--\n");
  CHECK(s.ask(*client, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n") ==
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  // Status 421 is valid for parts of spans only: here it ends the connection.
  leaf.on_frame = [&](Peer& from, const http::Frame& f) {
    if (f.type != 'D') return;
    from.stream->write(http::make_frame('O', f.payload.substr(0, f.payload.find(' ')) + " 421 1 -\n{}"));
  };
  client->stream->write(HttpFixture::query("9b20", kTwoParts));
  s.run_until([&] { return leaf.peers.front()->is_closed; });
}

TEST_CASE("spans over Flight, to nodes over Flight: schema, interval, denial, rows") {
  struct Node : flight::Http2Connection::Handler {
    explicit Node(event_loop::Loop& loop)
        : listener(loop, loopback(0), [this, &loop](event_loop::UniqueFd fd) {
            http2 =
                std::make_unique<flight::Http2Connection>(loop, *this, flight::Http2Connection::Side::server);
            http2->adopt(std::move(fd));
          }) {}
    void on_headers(std::int32_t, const flight::Headers&) override {}
    void on_data(std::int32_t id, std::string_view bytes) override { in[id].append(bytes); }
    void on_end_stream(std::int32_t id) override {
      bool bad = false;
      arrow::flight::protocol::Ticket ticket;
      PartCommand command;
      REQUIRE(ticket.ParseFromString(*flight::take_message(in[id], flight::kMaxMessageBytes, bad)));
      REQUIRE(command.ParseFromString(ticket.ticket()));
      asked.push_back(command);
      flight::Headers trailers;
      std::string body;
      const auto& i = command.interval();
      if (asked.size() == 1) {
        trailers = flight::status_trailers(flight::Status::failed_precondition, "");
        flight::add_denial(trailers, {{1, 6},
                                      {{{0, 40}, 8, {}, serving_holders({"a"}), 0, {}},
                                       {{40, 100}, 9, {}, serving_holders({"a"}), 0, {}}}});
      } else {
        trailers = flight::status_trailers(flight::Status::ok, "");
        flight::ArrowRow row;
        row.span = {i.from(), i.to()};
        if (wrong_interval) row.span.to += 1;
        row.data = "rows";
        for (const auto& m : {flight::schema_message(flight::Layout::spans),
                              flight::batch_message({row}, flight::Layout::spans)}) {
          arrow::flight::protocol::FlightData part;
          part.set_data_header(m.header);
          part.set_data_body(m.body);
          body += flight::frame_message(part.SerializeAsString());
        }
      }
      http2->submit_response(id, {{":status", "200"}, {"content-type", "application/grpc"}}, body, trailers);
      http2->send_pending();
    }
    void on_stream_closed(std::int32_t, std::uint32_t) override {}
    void on_disconnected() override {}
    event_loop::Listener listener;
    std::unique_ptr<flight::Http2Connection> http2;
    std::map<std::int32_t, std::string> in;
    std::vector<PartCommand> asked;
    bool wrong_interval = false;
  };
  struct Client : flight::Http2Connection::Handler {
    explicit Client(event_loop::Loop& loop) : http2(loop, *this, flight::Http2Connection::Side::client) {}
    void on_headers(std::int32_t, const flight::Headers& h) override {
      headers.insert(headers.end(), h.begin(), h.end());
    }
    void on_data(std::int32_t, std::string_view bytes) override { in.append(bytes); }
    void on_end_stream(std::int32_t) override { done = true; }
    void on_stream_closed(std::int32_t, std::uint32_t) override { done = true; }
    void on_disconnected() override { done = true; }
    flight::Http2Connection http2;
    flight::Headers headers;
    std::string in;
    bool done = false;
  };
  event_loop::Loop loop;
  spdlog::set_level(spdlog::level::off);
  coordination::RequestRouter router(
      long_deadlines(), 7, [&] { return loop.now(); }, [](const std::string&) {});
  flight::FlightPool pool(loop, router, {});
  NullMembershipSource none;
  router.attach(pool, none);
  flight::FlightServer front(loop, router, loopback(0),
                             {.shard_count = 16, .seed = 9, .max_connections = 20, .allows_spans = true});
  Node node(loop);
  router.start({member("a", node.listener.port(), 0)});
  std::string why;
  router.update_ranges(*RangeMap::build({1, 5}, {{0, {0, kKeyEnd}, 1, serving_holders({"a"})}}, why));
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
  client.http2.submit_request({{":method", "POST"},
                               {":scheme", "http"},
                               {":path", "/arrow.flight.protocol.FlightService/DoGet"},
                               {":authority", "x"},
                               {"te", "trailers"},
                               {"content-type", "application/grpc"}},
                              flight::frame_message(ticket.SerializeAsString()));
  client.http2.send_pending();
  SUBCASE("rows of the requested interval") {}
  SUBCASE("rows of another interval are rejected") { node.wrong_interval = true; }
  event_loop::Millis give_up = loop.now() + 60000;
  while (!client.done) {
    loop.run_once(std::clamp(router.next_due() - loop.now(), 0.0, 20.0));
    router.run();
    REQUIRE(loop.now() < give_up);
  }
  REQUIRE(node.asked.size() >= 3);
  CHECK(node.asked[0].interval().to() == 100);
  CHECK(node.asked[0].interval().revision() == 5);
  CHECK(node.asked[1].interval().revision() == 6);
  if (node.wrong_interval) {
    CHECK(*flight::find_header(client.headers, "grpc-status") != "0");
    return;
  }
  CHECK(*flight::find_header(client.headers, "grpc-status") == "0");
  std::vector<flight::ArrowRow> rows;
  bool bad = false;
  while (auto message = flight::take_message(client.in, flight::kMaxMessageBytes, bad)) {
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
