// Stories of the Flight front and of Flight calls to nodes, against a stand-in node and a client written
// here.
#include <chrono>
#include <thread>

#include "tests/aggregator/flight/flight_fixture.hpp"

using namespace winchhall;
using namespace winchhall::flight;
using namespace winchhall::flight::testing;
namespace wire = arrow::flight::protocol;

TEST_CASE("a query's whole path: described by GetFlightInfo, redeemed by DoGet, rows with their schema") {
  FlightStage s;
  StandIn node(s.loop);
  s.begin({member("a", node.listener.port(), 0)});
  wire::FlightDescriptor descriptor;
  descriptor.set_type(wire::FlightDescriptor::CMD);
  descriptor.set_cmd(FlightStage::command({3, 4}));
  Reply& info_reply = s.finish(s.call("GetFlightInfo", descriptor.SerializeAsString()));
  CHECK(info_reply.status() == 0);
  bool bad = false;
  wire::FlightInfo info;
  REQUIRE(info.ParseFromString(*take_message(info_reply.in, kMessageMost, bad)));
  CHECK(info.schema() == encapsulated_schema());
  CHECK(info.schema().size() % 8 == 0);
  REQUIRE(info.endpoint_size() == 1);
  CHECK(node.asked.empty());

  Reply& got = s.finish(s.call("DoGet", info.endpoint(0).ticket().SerializeAsString()));
  CHECK(got.status() == 0);
  std::string metadata;
  CHECK(FlightStage::read(got, &metadata) == std::vector<ArrowRow>{{3, "v3"}, {4, "v4"}});
  CHECK(metadata == "{\"exact\":true,\"share\":1.000000}");
  CHECK(*find_header(got.headers, "answer-exact") == "true");
  CHECK(node.asked[0].text == "c41e77d0");
  CHECK(s.finish(s.call("GetSchema", descriptor.SerializeAsString())).status() == 0);
}

TEST_CASE("a node's stream that breaks halfway: the part is not in, another attempt is, no row comes twice") {
  FlightStage s;
  StandIn breaks(s.loop), sound(s.loop);
  bool whole_connection = false;
  SUBCASE("the stream is reset") {}
  SUBCASE("the connection ends") { whole_connection = true; }
  breaks.on_part = [&](const StandIn::Part& p) {
    // A schema and a batch with the part's row go out, and no end of the stream.
    Headers none;
    std::string half = StandIn::rows(p.shard);
    p.side->http2.respond(p.stream, {{":status", "200"}, {"content-type", "application/grpc"}},
                          half + std::string(70000, '\0'), none);
    s.loop.at(s.loop.now() + 20, [&s, side = p.side, id = p.stream, whole_connection] {
      if (whole_connection) return side->http2.close();
      side->http2.reset(id, NGHTTP2_INTERNAL_ERROR);
      side->http2.pump();
    });
  };
  s.begin({member("a", breaks.listener.port(), 0), member("b", sound.listener.port(), 1)});
  for (int i = 0; i < 4; ++i) {
    Reply& got = s.finish(s.get(FlightStage::command({1, 2, 3, 4})));
    CHECK(got.status() == 0);
    CHECK(FlightStage::read(got) == std::vector<ArrowRow>{{1, "v1"}, {2, "v2"}, {3, "v3"}, {4, "v4"}});
  }
  CHECK(!breaks.asked.empty());
  s.until([&] { return s.router.attempts_out() == 0; });
}

TEST_CASE("a client that cancels: its parts are cancelled at the nodes and nothing is kept") {
  FlightStage s;
  StandIn node(s.loop);
  bool drops = false;
  SUBCASE("by a reset") {}
  SUBCASE("by leaving") { drops = true; }
  node.on_part = [](const StandIn::Part& p) {
    if (p.shard == 1) StandIn::answer(p);  // one part is in, the other runs
  };
  s.begin({member("a", node.listener.port(), 0)});
  std::int32_t id = s.get(FlightStage::command({1, 2}));
  s.until([&] { return node.asked.size() == 2 && s.router.attempts_out() == 1; });
  if (drops) {
    s.client.close();
  } else {
    s.client.reset(id, NGHTTP2_CANCEL);
    s.client.pump();
  }
  s.until([&] { return node.cancelled == 1; });
  s.until([&] { return s.router.open_queries() == 0 && s.router.attempts_out() == 0 && !s.front.busy(); });
  CHECK(s.router.figures()[0].withdrawn == 1);
  if (drops) CHECK(s.front.connections() == 0);
}

TEST_CASE("a client that stops reading in the middle of its answer is let go when its time is up") {
  FlightStage s;
  StandIn node(s.loop);
  node.on_part = [](const StandIn::Part& p) {
    std::string body = data_message(schema_message());
    for (int i = 0; i < 4; ++i) body += data_message(batch_message({{p.shard, std::string(100000, 'x')}}));
    StandIn::reply(p, body, status_trailers(Status::ok, ""));
  };
  s.begin({member("a", node.listener.port(), 0)});
  // A raw client that never widens its windows: the answer's first 64 KiB are all that can go out.
  Peer raw(s.loop);
  raw.dial(s.front.port());
  struct Quiet : Http2::Handler {
    void head(std::int32_t, const Headers&) override {}
    void data(std::int32_t, std::string_view) override {}
    void peer_done(std::int32_t) override {}
    void closed(std::int32_t, std::uint32_t) override {}
    void down() override {}
  } quiet;
  // Its words are made by the codec once, on a connection to nowhere that is then replayed by hand.
  std::string words;
  std::vector<std::shared_ptr<Peer>> ears;
  event_loop::Listener tap(s.loop, loopback(0), [&](event_loop::UniqueFd fd) {
    auto ear = std::make_shared<Peer>(s.loop);
    ears.push_back(ear);
    ear->heard = [&words](std::string& in) { words += std::exchange(in, {}); };
    ear->adopt(std::move(fd));
  });
  Http2 scribe(s.loop, quiet, false);
  REQUIRE(scribe.connect(loopback(tap.port())));
  wire::Ticket ticket;
  ticket.set_ticket(FlightStage::command({1}));
  scribe.request({{":method", "POST"},
                  {":scheme", "http"},
                  {":path", "/arrow.flight.protocol.FlightService/DoGet"},
                  {":authority", "x"},
                  {"content-type", "application/grpc"},
                  {"grpc-timeout", "5S"}},
                 frame_message(ticket.SerializeAsString()));
  s.until([&] { return has(words, "x") && words.size() > 150 && scribe.unsent() == 0; });
  std::size_t size = 0;
  s.until([&] { return std::exchange(size, words.size()) == words.size(); });
  raw.stream->write(words);
  s.until([&] { return s.router.figures()[0].complete == 1; });
  CHECK(s.front.busy());
  s.until([&] { return !s.front.busy(); });
}

TEST_CASE("a process that was stopped past a call's deadline answers it with a status and resets no stream") {
  FlightStage s;
  StandIn node(s.loop);
  node.on_part = [](const StandIn::Part&) {};
  s.begin({member("a", node.listener.port(), 0)});
  std::vector<std::int32_t> calls;
  for (int i = 0; i < 3; ++i) calls.push_back(s.get(FlightStage::command({1, 2}), "1S"));
  s.until([&] { return node.asked.size() == 6; });
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));  // as a SIGSTOP and a SIGCONT would
  for (std::int32_t call : calls) {
    Reply& got = s.finish(call);
    CHECK(got.status() == static_cast<int>(Status::deadline_exceeded));
    CHECK(got.error == NGHTTP2_NO_ERROR);
  }
  CHECK(s.router.figures()[0].failed == 3);
  s.until([&] { return s.router.attempts_out() == 0 && !s.front.busy(); });
}

TEST_CASE("what ends a call is a proper status") {
  winchhall::Settings settings = two_classes();
  settings.max_open = 3;
  FlightStage s(settings);
  StandIn node(s.loop);
  node.on_part = [](const StandIn::Part&) {};
  s.begin({member("a", node.listener.port(), 0)});
  auto hold = [&](const char* timeout) {
    std::int32_t id = s.get(FlightStage::command({1, 2}), timeout, "mine");
    s.until([&] { return node.asked.size() == 2; });
    return id;
  };
  SUBCASE("refused: unavailable, with advice when to come back") {
    hold("60S");
    Reply& got = s.finish(s.get(FlightStage::command({1})));
    CHECK(got.status() == static_cast<int>(Status::unavailable));
    CHECK(*read_retry_after(got.headers) == 2000);
  }
  SUBCASE("out of time") {
    // The deadline is the grpc-timeout of the call: a silent node does not hold the answer back.
    CHECK(s.finish(hold("1S")).status() == static_cast<int>(Status::deadline_exceeded));
    CHECK(s.router.figures()[0].failed == 1);
    s.until([&] { return node.cancelled == 2; });
  }
  SUBCASE("bad input") {
    hold("60S");
    auto status = [&](const std::string& cmd, const char* timeout = "8S", const char* id = "") {
      return static_cast<Status>(s.finish(s.get(cmd, timeout, id)).status());
    };
    CHECK(status("\xff\xff") == Status::invalid_argument);
    CHECK(status(FlightStage::command({})) == Status::invalid_argument);
    CHECK(status(FlightStage::command({1, 1})) == Status::invalid_argument);
    CHECK(status(FlightStage::command({99})) == Status::invalid_argument);
    CHECK(status(FlightStage::command({1}, "nothing")) == Status::not_found);
    CHECK(status(FlightStage::command({1}), "soon") == Status::invalid_argument);
    CHECK(status(FlightStage::command({1}), "0m") == Status::deadline_exceeded);
    CHECK(status(FlightStage::command({1}), "8S", "mine") == Status::already_exists);
    CHECK(status(FlightStage::command({1}), "8S", "two words") == Status::invalid_argument);
    CHECK(status(std::string(100000, 'x')) == Status::resource_exhausted);
    CHECK(s.finish(s.call("DoPut", "")).status() == static_cast<int>(Status::unimplemented));
    CHECK(s.finish(s.call("GetFlightInfo", "\x08\x01")).status() ==
          static_cast<int>(Status::invalid_argument));
    CHECK(s.client.open());
    CHECK(node.asked.size() == 2);
  }
  SUBCASE("bytes that are no HTTP/2 end that connection alone") {
    Peer raw(s.loop);
    raw.dial(s.front.port());
    raw.stream->write("GET / HTTP/1.1\r\n\r\n" + std::string(100, '\xee'));
    s.until([&] { return raw.over; });
    CHECK(s.client.open());
  }
}

TEST_CASE("a node that turns parts away, errs or answers with what is no answer: the other replica serves") {
  FlightStage s;
  StandIn bad(s.loop), good(s.loop);
  SUBCASE("unavailable") {
    bad.on_part = [](const auto& p) { StandIn::reply(p, "", status_trailers(Status::unavailable, "full")); };
  }
  SUBCASE("refused stream") {
    bad.on_part = [](const auto& p) { p.side->http2.reset(p.stream, NGHTTP2_REFUSED_STREAM); };
  }
  SUBCASE("error") {
    bad.on_part = [](const auto& p) { StandIn::reply(p, "", status_trailers(Status::internal, "broken")); };
  }
  SUBCASE("rows of another part") {
    bad.on_part = [](const auto& p) {
      StandIn::reply(p, StandIn::rows(p.shard + 1), status_trailers(Status::ok, ""));
    };
  }
  SUBCASE("no schema first") {
    bad.on_part = [](const auto& p) {
      StandIn::reply(p, data_message(batch_message({{p.shard, "v"}})), status_trailers(Status::ok, ""));
    };
  }
  SUBCASE("no Arrow at all") {
    bad.on_part = [](const auto& p) {
      StandIn::reply(p, frame_message("nonsense"), status_trailers(Status::ok, ""));
    };
  }
  SUBCASE("endless") {
    bad.on_part = [](const auto& p) {
      StandIn::reply(p, std::string(600000, '\0'), status_trailers(Status::ok, ""));
    };
  }
  s.begin({member("a", bad.listener.port(), 0), member("b", good.listener.port(), 1)});
  for (int i = 0; i < 4; ++i) {
    Reply& got = s.finish(s.get(FlightStage::command({1, 2})));
    CHECK(got.status() == 0);
    CHECK(FlightStage::read(got) == std::vector<ArrowRow>{{1, "v1"}, {2, "v2"}});
  }
}

TEST_CASE("a connection without a call is let go, and a call without an end gets a status") {
  FlightStage s;
  StandIn node(s.loop);
  s.begin({member("a", node.listener.port(), 0)});
  auto dial = [&](const std::string& words) {
    auto peer = std::make_shared<Peer>(s.loop);
    peer->dial(s.front.port());
    peer->stream->write(words);
    return peer;
  };
  std::string preface =
      std::string("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n") + std::string("\0\0\0\x04\0\0\0\0\0", 9);
  auto silent = dial(""), polite = dial(preface);
  auto half = dial(preface + std::string("\0\0\x06\x01\x04\0\0\0\x01\x83\x86\x84\x41\x01x", 15));
  s.until([&] { return silent->over && polite->over; });
  s.until([&] {  // headers come on its stream
    std::string_view left = half->text;
    for (std::size_t size = 0; left.size() >= 9; left.remove_prefix(std::min(left.size(), 9 + size))) {
      size = static_cast<unsigned char>(left[1]) * 256u + static_cast<unsigned char>(left[2]);
      if (left[3] == 1 && left[8] == 1) return true;
    }
    return false;
  });
}

TEST_CASE("a node whose bytes cannot be read is an error of one part, and stays trusted") {
  FlightStage s(patient());
  StandIn sound(s.loop);
  std::vector<std::shared_ptr<Peer>> called;
  event_loop::Listener mad(s.loop, loopback(0), [&](event_loop::UniqueFd fd) {
    called.push_back(std::make_shared<Peer>(s.loop));
    called.back()->heard = [peer = called.back().get()](std::string& in) {
      // Only once the part is there: a ticket names it.
      if (has(in, "c41e77d0")) peer->stream->write("noise that no codec reads, at some length");
    };
    called.back()->adopt(std::move(fd));
  });
  s.begin({member("a", mad.port(), 0), member("b", sound.listener.port(), 1)});
  for (std::size_t i = 1; i <= 2; ++i) {
    CHECK(s.finish(s.get(FlightStage::command({1, 2}), "50S")).status() == 0);
    CHECK(called.size() == i);
  }
}

TEST_CASE("a drained node gets nothing new, and the front's own drain finishes what it has") {
  FlightStage s;
  StandIn a(s.loop), b(s.loop);
  s.begin({member("a", a.listener.port(), 0), member("b", b.listener.port(), 1)});
  s.router.list(winchhall::ServerList::Kind::changes,
                {member("a", a.listener.port(), 0, winchhall::ServerState::draining)});
  for (int i = 0; i < 5; ++i) CHECK(s.finish(s.get(FlightStage::command({1, 2}))).status() == 0);
  CHECK(a.asked.empty());
  b.on_part = [](const StandIn::Part&) {};
  std::int32_t last = s.get(FlightStage::command({1}));
  s.until([&] { return b.asked.size() == 11; });
  s.front.wind_down();
  StandIn::answer(b.asked.back());
  b.asked.back().side->http2.pump();
  CHECK(s.finish(last).status() == 0);
  s.until([&] { return s.lost && s.front.connections() == 0; });
}

TEST_CASE("the least share is honoured, and a part of it is not called whole") {
  FlightStage s(patient());
  StandIn node(s.loop);
  node.on_part = [](const StandIn::Part& p) {
    if (p.shard != 4) return StandIn::answer(p);
    StandIn::reply(p, "", status_trailers(Status::internal, "broken"));
  };
  s.begin({member("a", node.listener.port(), 0)});
  Reply& got = s.finish(s.get(FlightStage::command({1, 2, 3, 4}, "report"), "60S"));
  CHECK(got.status() == 0);
  CHECK(*find_header(got.headers, "answer-exact") == "false");
  CHECK(*find_header(got.headers, "answer-share") == "0.750000");
  CHECK(FlightStage::read(got).size() == 3);
  node.on_part = [](const StandIn::Part& p) {
    if (p.shard == 1) return StandIn::answer(p);
    StandIn::reply(p, "", status_trailers(Status::internal, "broken"));
  };
  CHECK(s.finish(s.get(FlightStage::command({1, 2, 3, 4}, "report"), "60S")).status() != 0);
}

// The proof that both fronts stand on the same decisions: one mix of queries, some served, some partial, some
// refused by their nodes, over frames and over Flight; the verdicts and the service figures are equal.
TEST_CASE("the same mix of queries over both fronts gives the same verdicts and service figures") {
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
  // Shard 11 errs at every node, for every attempt: what needs it fails, or is answered in part.
  auto errs = [](int shard) { return shard == 11; };
  std::vector<std::string> http, over_flight;

  Stage h(patient());
  ScriptedLeaf ha(h.loop), hb(h.loop);
  ha.on_part =
      hb.on_part = [&](const ScriptedLeaf::Part& p) { ScriptedLeaf::answer(p, errs(p.shard) ? 500 : 200); };
  h.begin({member("a", ha.listener.port(), 0), member("b", hb.listener.port(), 1)});
  auto client = h.dial();
  for (std::size_t i = 0; i < mix.size(); ++i) {
    std::string parts;
    for (int shard : mix[i].shards)
      parts += (parts.empty() ? "" : ",") + std::string("{\"id\":") + std::to_string(shard) +
               ",\"w\":" + std::to_string(1.0 / static_cast<double>(mix[i].shards.size())) + "}";
    std::string got = h.ask(*client, Stage::query("q" + std::to_string(i), parts, mix[i].query_class, 60000));
    std::string verdict = has(got, "200 OK") ? has(got, "\"exact\":true") ? "whole" : "partial" : "none";
    for (int shard = 0; shard < 12; ++shard)
      if (has(got, "\"v" + std::to_string(shard) + "\"")) verdict += " v" + std::to_string(shard);
    http.push_back(verdict);
  }

  FlightStage f(patient());
  StandIn fa(f.loop), fb(f.loop);
  fa.on_part = fb.on_part = [&](const StandIn::Part& p) {
    if (errs(p.shard)) return StandIn::reply(p, "", status_trailers(Status::internal, "broken"));
    StandIn::answer(p);
  };
  f.begin({member("a", fa.listener.port(), 0), member("b", fb.listener.port(), 1)});
  for (std::size_t i = 0; i < mix.size(); ++i) {
    Reply& got = f.finish(f.get(FlightStage::command(mix[i].shards, mix[i].query_class), "60S"));
    const std::string* exact = find_header(got.headers, "answer-exact");
    std::string verdict = got.status() == 0 ? (*exact == "true" ? "whole" : "partial") : "none";
    auto rows = got.status() == 0 ? FlightStage::read(got) : std::vector<ArrowRow>{};
    std::sort(rows.begin(), rows.end(), [](auto& x, auto& y) { return x.shard < y.shard; });
    for (const ArrowRow& row : rows) verdict += " " + row.data;
    over_flight.push_back(verdict);
  }

  CHECK(http == over_flight);
  CHECK(std::count_if(http.begin(), http.end(), [](auto& v) { return v.rfind("whole", 0) == 0; }) > 10);
  CHECK(std::count_if(http.begin(), http.end(), [](auto& v) { return v.rfind("partial", 0) == 0; }) > 0);
  CHECK(std::count(http.begin(), http.end(), "none") > 0);
  for (std::size_t c = 0; c < 2; ++c) {
    const coordination::QueryCounters &x = h.router.figures()[c], &y = f.router.figures()[c];
    CHECK(x.taken == y.taken);
    CHECK(x.complete == y.complete);
    CHECK(x.partial == y.partial);
    CHECK(x.refused == y.refused);
    CHECK(x.failed == y.failed);
    CHECK(x.value_requested == y.value_requested);
    CHECK(x.value_earned == doctest::Approx(y.value_earned));
  }
}
