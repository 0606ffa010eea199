// The Flight front end and Flight calls to nodes, on one event loop with a stub node and a client.
#include <chrono>
#include <thread>

#include "tests/aggregator/flight/flight_fixture.hpp"

using namespace winchhall;
using namespace winchhall::flight;
using namespace winchhall::flight::testing;
namespace wire = arrow::flight::protocol;

TEST_CASE("a query is described by GetFlightInfo and run by DoGet, which returns rows with their schema") {
  FlightFixture s;
  StubNode node(s.loop);
  s.begin({member("a", node.listener.port(), 0)});
  wire::FlightDescriptor descriptor;
  descriptor.set_type(wire::FlightDescriptor::CMD);
  descriptor.set_cmd(FlightFixture::command({3, 4}));
  Reply& info_reply = s.finish(s.call("GetFlightInfo", descriptor.SerializeAsString()));
  CHECK(info_reply.status() == 0);
  bool bad = false;
  wire::FlightInfo info;
  REQUIRE(info.ParseFromString(*take_message(info_reply.in, kMaxMessageBytes, bad)));
  CHECK(info.schema() == encapsulated_schema());
  CHECK(info.schema().size() % 8 == 0);
  REQUIRE(info.endpoint_size() == 1);
  CHECK(node.asked.empty());

  Reply& got = s.finish(s.call("DoGet", info.endpoint(0).ticket().SerializeAsString()));
  CHECK(got.status() == 0);
  std::string metadata;
  CHECK(FlightFixture::read(got, &metadata) == std::vector<ArrowRow>{{3, "v3"}, {4, "v4"}});
  CHECK(metadata == "{\"exact\":true,\"share\":1.000000}");
  CHECK(*find_header(got.headers, "answer-exact") == "true");
  CHECK(node.asked[0].text == "c41e77d0");
  CHECK(s.finish(s.call("GetSchema", descriptor.SerializeAsString())).status() == 0);
}

TEST_CASE("when a node's stream breaks halfway another attempt is made, and no row is returned twice") {
  FlightFixture s;
  StubNode broken(s.loop), healthy(s.loop);
  bool closes_connection = false;
  SUBCASE("the stream is reset") {}
  SUBCASE("the connection ends") { closes_connection = true; }
  broken.on_part = [&](const StubNode::Part& p) {
    // A schema and a batch with the part's row are sent, but not the end of the stream.
    Headers none;
    std::string half = StubNode::rows(p.shard);
    p.connection->http2.submit_response(p.stream, {{":status", "200"}, {"content-type", "application/grpc"}},
                                        half + std::string(70000, '\0'), none);
    s.loop.run_at(s.loop.now() + 20, [&s, connection = p.connection, id = p.stream, closes_connection] {
      if (closes_connection) return connection->http2.close();
      connection->http2.reset_stream(id, NGHTTP2_INTERNAL_ERROR);
      connection->http2.send_pending();
    });
  };
  s.begin({member("a", broken.listener.port(), 0), member("b", healthy.listener.port(), 1)});
  for (int i = 0; i < 4; ++i) {
    Reply& got = s.finish(s.get(FlightFixture::command({1, 2, 3, 4})));
    CHECK(got.status() == 0);
    CHECK(FlightFixture::read(got) == std::vector<ArrowRow>{{1, "v1"}, {2, "v2"}, {3, "v3"}, {4, "v4"}});
  }
  CHECK(!broken.asked.empty());
  s.run_until([&] { return s.router.attempts_in_flight() == 0; });
}

TEST_CASE("when a client cancels, its parts are cancelled at the nodes and nothing is kept") {
  FlightFixture s;
  StubNode node(s.loop);
  bool drops = false;
  SUBCASE("by a reset") {}
  SUBCASE("by leaving") { drops = true; }
  node.on_part = [](const StubNode::Part& p) {
    if (p.shard == 1) StubNode::answer(p);  // one part is answered, the other is still running
  };
  s.begin({member("a", node.listener.port(), 0)});
  std::int32_t id = s.get(FlightFixture::command({1, 2}));
  s.run_until([&] { return node.asked.size() == 2 && s.router.attempts_in_flight() == 1; });
  if (drops) {
    s.client.close();
  } else {
    s.client.reset_stream(id, NGHTTP2_CANCEL);
    s.client.send_pending();
  }
  s.run_until([&] { return node.cancelled == 1; });
  s.run_until(
      [&] { return s.router.open_queries() == 0 && s.router.attempts_in_flight() == 0 && !s.front.busy(); });
  CHECK(s.router.counters()[0].withdrawn == 1);
  if (drops) CHECK(s.front.connections() == 0);
}

TEST_CASE("the stream of a client that stops reading its response is reset at the deadline") {
  FlightFixture s;
  StubNode node(s.loop);
  node.on_part = [](const StubNode::Part& p) {
    std::string body = data_message(schema_message());
    for (int i = 0; i < 4; ++i) body += data_message(batch_message({{p.shard, std::string(100000, 'x')}}));
    StubNode::reply(p, body, status_trailers(Status::ok, ""));
  };
  s.begin({member("a", node.listener.port(), 0)});
  // A client that never widens its flow-control windows: only the first 64 KiB of the response can be sent.
  Peer raw(s.loop);
  raw.connect(s.front.port());
  struct NullHandler : Http2Connection::Handler {
    void on_headers(std::int32_t, const Headers&) override {}
    void on_data(std::int32_t, std::string_view) override {}
    void on_end_stream(std::int32_t) override {}
    void on_stream_closed(std::int32_t, std::uint32_t) override {}
    void on_disconnected() override {}
  } null_handler;
  // Its bytes are produced by the codec on another connection, recorded there and replayed.
  std::string bytes;
  std::vector<std::shared_ptr<Peer>> recorders;
  event_loop::Listener recording_listener(s.loop, loopback(0), [&](event_loop::UniqueFd fd) {
    auto recorder = std::make_shared<Peer>(s.loop);
    recorders.push_back(recorder);
    recorder->on_received = [&bytes](std::string& in) { bytes += std::exchange(in, {}); };
    recorder->adopt(std::move(fd));
  });
  Http2Connection recorded_client(s.loop, null_handler, Http2Connection::Side::client);
  REQUIRE(recorded_client.connect(loopback(recording_listener.port())));
  wire::Ticket ticket;
  ticket.set_ticket(FlightFixture::command({1}));
  recorded_client.submit_request({{":method", "POST"},
                                  {":scheme", "http"},
                                  {":path", "/arrow.flight.protocol.FlightService/DoGet"},
                                  {":authority", "x"},
                                  {"content-type", "application/grpc"},
                                  {"grpc-timeout", "5S"}},
                                 frame_message(ticket.SerializeAsString()));
  s.run_until([&] { return has(bytes, "x") && bytes.size() > 150 && recorded_client.unsent() == 0; });
  std::size_t size = 0;
  s.run_until([&] { return std::exchange(size, bytes.size()) == bytes.size(); });
  raw.stream->write(bytes);
  s.run_until([&] { return s.router.counters()[0].complete == 1; });
  CHECK(s.front.busy());
  s.run_until([&] { return !s.front.busy(); });
}

TEST_CASE("a process that was stopped past a call's deadline ends it with a status, not with a reset") {
  FlightFixture s;
  StubNode node(s.loop);
  node.on_part = [](const StubNode::Part&) {};
  s.begin({member("a", node.listener.port(), 0)});
  std::vector<std::int32_t> calls;
  for (int i = 0; i < 3; ++i) calls.push_back(s.get(FlightFixture::command({1, 2}), "1S"));
  s.run_until([&] { return node.asked.size() == 6; });
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));  // as between SIGSTOP and SIGCONT
  for (std::int32_t call : calls) {
    Reply& got = s.finish(call);
    CHECK(got.status() == static_cast<int>(Status::deadline_exceeded));
    CHECK(got.error == NGHTTP2_NO_ERROR);
  }
  CHECK(s.router.counters()[0].failed == 3);
  s.run_until([&] { return s.router.attempts_in_flight() == 0 && !s.front.busy(); });
}

TEST_CASE("every call ends with the status of its outcome") {
  winchhall::Settings settings = two_classes();
  settings.max_open = 3;
  FlightFixture s(settings);
  StubNode node(s.loop);
  node.on_part = [](const StubNode::Part&) {};
  s.begin({member("a", node.listener.port(), 0)});
  auto hold = [&](const char* timeout) {
    std::int32_t id = s.get(FlightFixture::command({1, 2}), timeout, "mine");
    s.run_until([&] { return node.asked.size() == 2; });
    return id;
  };
  SUBCASE("refused: unavailable, with advice when to come back") {
    hold("60S");
    Reply& got = s.finish(s.get(FlightFixture::command({1})));
    CHECK(got.status() == static_cast<int>(Status::unavailable));
    CHECK(*read_retry_after(got.headers) == 2000);
  }
  SUBCASE("out of time") {
    // The deadline is the grpc-timeout of the call: a silent node does not hold the answer back.
    CHECK(s.finish(hold("1S")).status() == static_cast<int>(Status::deadline_exceeded));
    CHECK(s.router.counters()[0].failed == 1);
    s.run_until([&] { return node.cancelled == 2; });
  }
  SUBCASE("bad input") {
    hold("60S");
    auto status = [&](const std::string& cmd, const char* timeout = "8S", const char* id = "") {
      return static_cast<Status>(s.finish(s.get(cmd, timeout, id)).status());
    };
    CHECK(status("\xff\xff") == Status::invalid_argument);
    CHECK(status(FlightFixture::command({})) == Status::invalid_argument);
    CHECK(status(FlightFixture::command({1, 1})) == Status::invalid_argument);
    CHECK(status(FlightFixture::command({99})) == Status::invalid_argument);
    CHECK(status(FlightFixture::command({1}, "nothing")) == Status::not_found);
    CHECK(status(FlightFixture::command({1}), "soon") == Status::invalid_argument);
    CHECK(status(FlightFixture::command({1}), "0m") == Status::deadline_exceeded);
    CHECK(status(FlightFixture::command({1}), "8S", "mine") == Status::already_exists);
    CHECK(status(FlightFixture::command({1}), "8S", "two words") == Status::invalid_argument);
    CHECK(status(std::string(100000, 'x')) == Status::resource_exhausted);
    CHECK(s.finish(s.call("DoPut", "")).status() == static_cast<int>(Status::unimplemented));
    CHECK(s.finish(s.call("GetFlightInfo", "\x08\x01")).status() ==
          static_cast<int>(Status::invalid_argument));
    CHECK(s.client.open());
    CHECK(node.asked.size() == 2);
  }
  SUBCASE("bytes that are no HTTP/2 end that connection alone") {
    Peer raw(s.loop);
    raw.connect(s.front.port());
    raw.stream->write("GET / HTTP/1.1\r\n\r\n" + std::string(100, '\xee'));
    s.run_until([&] { return raw.is_closed; });
    CHECK(s.client.open());
  }
}

TEST_CASE("parts that a node rejects, fails or answers invalidly are served by the other replica") {
  FlightFixture s;
  StubNode bad(s.loop), good(s.loop);
  SUBCASE("unavailable") {
    bad.on_part = [](const auto& p) { StubNode::reply(p, "", status_trailers(Status::unavailable, "full")); };
  }
  SUBCASE("refused stream") {
    bad.on_part = [](const auto& p) { p.connection->http2.reset_stream(p.stream, NGHTTP2_REFUSED_STREAM); };
  }
  SUBCASE("error") {
    bad.on_part = [](const auto& p) { StubNode::reply(p, "", status_trailers(Status::internal, "broken")); };
  }
  SUBCASE("rows of another part") {
    bad.on_part = [](const auto& p) {
      StubNode::reply(p, StubNode::rows(p.shard + 1), status_trailers(Status::ok, ""));
    };
  }
  SUBCASE("no schema first") {
    bad.on_part = [](const auto& p) {
      StubNode::reply(p, data_message(batch_message({{p.shard, "v"}})), status_trailers(Status::ok, ""));
    };
  }
  SUBCASE("no Arrow at all") {
    bad.on_part = [](const auto& p) {
      StubNode::reply(p, frame_message("nonsense"), status_trailers(Status::ok, ""));
    };
  }
  SUBCASE("endless") {
    bad.on_part = [](const auto& p) {
      StubNode::reply(p, std::string(600000, '\0'), status_trailers(Status::ok, ""));
    };
  }
  s.begin({member("a", bad.listener.port(), 0), member("b", good.listener.port(), 1)});
  for (int i = 0; i < 4; ++i) {
    Reply& got = s.finish(s.get(FlightFixture::command({1, 2})));
    CHECK(got.status() == 0);
    CHECK(FlightFixture::read(got) == std::vector<ArrowRow>{{1, "v1"}, {2, "v2"}});
  }
}

TEST_CASE("a connection without a call is closed, and a request that does not end gets a status") {
  FlightFixture s;
  StubNode node(s.loop);
  s.begin({member("a", node.listener.port(), 0)});
  auto connect = [&](const std::string& bytes) {
    auto peer = std::make_shared<Peer>(s.loop);
    peer->connect(s.front.port());
    peer->stream->write(bytes);
    return peer;
  };
  std::string preface =
      std::string("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n") + std::string("\0\0\0\x04\0\0\0\0\0", 9);
  auto no_bytes = connect(""), no_call = connect(preface);
  auto incomplete = connect(preface + std::string("\0\0\x06\x01\x04\0\0\0\x01\x83\x86\x84\x41\x01x", 15));
  s.run_until([&] { return no_bytes->is_closed && no_call->is_closed; });
  s.run_until([&] {  // headers come on its stream
    std::string_view left = incomplete->text;
    for (std::size_t size = 0; left.size() >= 9; left.remove_prefix(std::min(left.size(), 9 + size))) {
      size = static_cast<unsigned char>(left[1]) * 256u + static_cast<unsigned char>(left[2]);
      if (left[3] == 1 && left[8] == 1) return true;
    }
    return false;
  });
}

TEST_CASE("a call that a late process has not read yet is served, though its connection was to be closed") {
  FlightFixture s;
  StubNode node(s.loop);
  s.begin({member("a", node.listener.port(), 0)});
  s.run_until([&] { return s.front.connections() == 1; });
  // The call arrives after the process has read its sockets and before it checks its connections.
  std::int32_t call = 0;
  s.loop.run_at(s.loop.now(), [&] { call = s.get(FlightFixture::command({1})); });
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  s.run_until([&] { return s.lost || s.replies[call].done; });
  CHECK(!s.lost);
  CHECK(s.replies[call].status() == 0);
}

TEST_CASE("bytes that can't be read are an error of one part, and the node is not ejected") {
  FlightFixture s(long_deadlines());
  StubNode healthy(s.loop);
  std::vector<std::shared_ptr<Peer>> node_connections;
  event_loop::Listener malformed_node(s.loop, loopback(0), [&](event_loop::UniqueFd fd) {
    node_connections.push_back(std::make_shared<Peer>(s.loop));
    node_connections.back()->on_received = [peer = node_connections.back().get()](std::string& in) {
      // Only once the part has arrived: this text is in its ticket.
      if (has(in, "c41e77d0")) peer->stream->write("noise that no codec reads, at some length");
    };
    node_connections.back()->adopt(std::move(fd));
  });
  s.begin({member("a", malformed_node.port(), 0), member("b", healthy.listener.port(), 1)});
  for (std::size_t i = 1; i <= 2; ++i) {
    CHECK(s.finish(s.get(FlightFixture::command({1, 2}), "50S")).status() == 0);
    CHECK(node_connections.size() == i);
  }
}

TEST_CASE("a draining node gets no parts, and the draining front end finishes its open calls") {
  FlightFixture s;
  StubNode a(s.loop), b(s.loop);
  s.begin({member("a", a.listener.port(), 0), member("b", b.listener.port(), 1)});
  s.router.update_endpoints(winchhall::ServerList::Kind::changes,
                            {member("a", a.listener.port(), 0, winchhall::ServerState::draining)});
  for (int i = 0; i < 5; ++i) CHECK(s.finish(s.get(FlightFixture::command({1, 2}))).status() == 0);
  CHECK(a.asked.empty());
  b.on_part = [](const StubNode::Part&) {};
  std::int32_t last = s.get(FlightFixture::command({1}));
  s.run_until([&] { return b.asked.size() == 11; });
  s.front.begin_drain();
  StubNode::answer(b.asked.back());
  b.asked.back().connection->http2.send_pending();
  CHECK(s.finish(last).status() == 0);
  s.run_until([&] { return s.lost && s.front.connections() == 0; });
}

TEST_CASE("an answer holds the class's least share, and a partial one is marked as such") {
  FlightFixture s(long_deadlines());
  StubNode node(s.loop);
  node.on_part = [](const StubNode::Part& p) {
    if (p.shard != 4) return StubNode::answer(p);
    StubNode::reply(p, "", status_trailers(Status::internal, "broken"));
  };
  s.begin({member("a", node.listener.port(), 0)});
  Reply& got = s.finish(s.get(FlightFixture::command({1, 2, 3, 4}, "report"), "60S"));
  CHECK(got.status() == 0);
  CHECK(*find_header(got.headers, "answer-exact") == "false");
  CHECK(*find_header(got.headers, "answer-share") == "0.750000");
  CHECK(FlightFixture::read(got).size() == 3);
  node.on_part = [](const StubNode::Part& p) {
    if (p.shard == 1) return StubNode::answer(p);
    StubNode::reply(p, "", status_trailers(Status::internal, "broken"));
  };
  CHECK(s.finish(s.get(FlightFixture::command({1, 2, 3, 4}, "report"), "60S")).status() != 0);
}

// Both front ends use the same decisions. In one mix of queries some are answered completely, some partially,
// and some fail at their nodes, over frames and over Flight.
TEST_CASE("the same queries over HTTP and Flight get the same results and service figures") {
  struct Item {
    std::string query_class;
    std::vector<int> shards;
  };
  std::vector<Item> mix;
  for (int i = 0; i < 24; ++i) {
    std::vector<int> shards;
    for (int j = 0; j < 2 + i % 3; ++j) shards.push_back((i + j) % 12);
    mix.push_back({i % 4 == 3 ? "report" : "lookup", shards});
  }
  // Shard 11 fails at every node, in every attempt: queries that need it fail or are answered partially.
  auto fails = [](int shard) { return shard == 11; };
  std::vector<std::string> http, over_flight;

  HttpFixture h(long_deadlines());
  ScriptedLeaf ha(h.loop), hb(h.loop);
  ha.on_part =
      hb.on_part = [&](const ScriptedLeaf::Part& p) { ScriptedLeaf::answer(p, fails(p.shard) ? 500 : 200); };
  h.begin({member("a", ha.listener.port(), 0), member("b", hb.listener.port(), 1)});
  auto client = h.connect();
  for (std::size_t i = 0; i < mix.size(); ++i) {
    std::string parts;
    for (int shard : mix[i].shards)
      parts += (parts.empty() ? "" : ",") + std::string("{\"id\":") + std::to_string(shard) +
               ",\"w\":" + std::to_string(1.0 / static_cast<double>(mix[i].shards.size())) + "}";
    std::string got =
        h.ask(*client, HttpFixture::query("q" + std::to_string(i), parts, mix[i].query_class, 60000));
    std::string outcome = has(got, "200 OK") ? has(got, "\"exact\":true") ? "whole" : "partial" : "none";
    for (int shard = 0; shard < 12; ++shard)
      if (has(got, "\"v" + std::to_string(shard) + "\"")) outcome += " v" + std::to_string(shard);
    http.push_back(outcome);
  }

  FlightFixture f(long_deadlines());
  StubNode fa(f.loop), fb(f.loop);
  fa.on_part = fb.on_part = [&](const StubNode::Part& p) {
    if (fails(p.shard)) return StubNode::reply(p, "", status_trailers(Status::internal, "broken"));
    StubNode::answer(p);
  };
  f.begin({member("a", fa.listener.port(), 0), member("b", fb.listener.port(), 1)});
  for (std::size_t i = 0; i < mix.size(); ++i) {
    Reply& got = f.finish(f.get(FlightFixture::command(mix[i].shards, mix[i].query_class), "60S"));
    const std::string* exact = find_header(got.headers, "answer-exact");
    std::string outcome = got.status() == 0 ? (*exact == "true" ? "whole" : "partial") : "none";
    auto rows = got.status() == 0 ? FlightFixture::read(got) : std::vector<ArrowRow>{};
    std::sort(rows.begin(), rows.end(), [](auto& x, auto& y) { return x.shard < y.shard; });
    for (const ArrowRow& row : rows) outcome += " " + row.data;
    over_flight.push_back(outcome);
  }

  CHECK(http == over_flight);
  CHECK(std::count_if(http.begin(), http.end(), [](auto& v) { return v.rfind("whole", 0) == 0; }) > 10);
  CHECK(std::count_if(http.begin(), http.end(), [](auto& v) { return v.rfind("partial", 0) == 0; }) > 0);
  CHECK(std::count(http.begin(), http.end(), "none") > 0);
  for (std::size_t c = 0; c < 2; ++c) {
    const coordination::QueryCounters &x = h.router.counters()[c], &y = f.router.counters()[c];
    CHECK(x.received == y.received);
    CHECK(x.complete == y.complete);
    CHECK(x.partial == y.partial);
    CHECK(x.refused == y.refused);
    CHECK(x.failed == y.failed);
    CHECK(x.value_requested == y.value_requested);
    CHECK(x.value_earned == doctest::Approx(y.value_earned));
  }
}
