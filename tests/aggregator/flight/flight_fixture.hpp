// A stub ledger node and a client that speak Flight, for tests of the Flight front end and of Flight calls to
// nodes.
#pragma once

#include "aggregator/flight/arrow.hpp"
#include "aggregator/flight/flight_pool.hpp"
#include "aggregator/flight/flight_server.hpp"
#include "aggregator/flight/grpc.hpp"
#include "command.pb.h"
#include "flight.pb.h"
#include "tests/aggregator/support/program_fixture.hpp"

namespace winchhall::flight::testing {

using namespace winchhall::testing;
namespace wire = arrow::flight::protocol;

inline std::string data_message(const ArrowMessage& m) {
  wire::FlightData data;
  data.set_data_header(m.header);
  data.set_data_body(m.body);
  return frame_message(data.SerializeAsString());
}

// A ledger node on Flight. It answers each part with one row, unless `on_part` does otherwise.
class StubNode {
 public:
  struct NodeConnection : Http2Connection::Handler {
    NodeConnection(StubNode& node, event_loop::Loop& loop)
        : owner(node), http2(loop, *this, Http2Connection::Side::server) {}
    void on_headers(std::int32_t id, const Headers& headers) override { headers_by_stream[id] = headers; }
    void on_data(std::int32_t id, std::string_view bytes) override { request_bytes[id].append(bytes); }
    void on_end_stream(std::int32_t id) override {
      bool bad = false;
      auto message = take_message(request_bytes[id], kMaxMessageBytes, bad);
      wire::Ticket ticket;
      PartCommand command;
      REQUIRE(message);
      REQUIRE(ticket.ParseFromString(*message));
      REQUIRE(command.ParseFromString(ticket.ticket()));
      REQUIRE(find_header(headers_by_stream[id], "grpc-timeout"));
      owner.asked.push_back({this, id, command.shard(), command.text()});
      owner.on_part(owner.asked.back());
    }
    void on_stream_closed(std::int32_t, std::uint32_t error) override {
      owner.cancelled += error == NGHTTP2_CANCEL;
    }
    void on_disconnected() override { is_closed = true; }
    StubNode& owner;
    Http2Connection http2;
    std::map<std::int32_t, Headers> headers_by_stream;
    std::map<std::int32_t, std::string> request_bytes;
    bool is_closed = false;
  };
  struct Part {
    NodeConnection* connection;
    std::int32_t stream;
    int shard;
    std::string text;
  };

  explicit StubNode(event_loop::Loop& loop)
      : listener(loop, loopback(0), [this, &loop](event_loop::UniqueFd fd) {
          connections.push_back(std::make_shared<NodeConnection>(*this, loop));
          connections.back()->http2.adopt(std::move(fd));
        }) {}

  static std::string rows(int shard) {
    std::string v = "v" + std::to_string(shard);
    return data_message(schema_message()) + data_message(batch_message({{shard, v}}));
  }
  static void reply(const Part& p, const std::string& body, const Headers& trailers) {
    p.connection->http2.submit_response(p.stream, {{":status", "200"}, {"content-type", "application/grpc"}},
                                        body, trailers);
  }
  static void answer(const Part& p) {
    Headers trailers = status_trailers(Status::ok, "");
    trailers.emplace_back("node-load", "inflight=1");
    reply(p, rows(p.shard), trailers);
  }

  event_loop::Listener listener;
  std::vector<std::shared_ptr<NodeConnection>> connections;
  std::vector<Part> asked;
  std::function<void(const Part&)> on_part = [](const Part& p) { answer(p); };
  int cancelled = 0;
};

// What the client has received of one response.
struct Reply {
  Headers headers;
  std::string in;
  bool done = false;
  std::uint32_t error = 0;
  int status() const {
    const std::string* text = find_header(headers, "grpc-status");
    return text ? std::stoi(*text) : -1;
  }
};

// A router with Flight to its nodes, the Flight front end, and a client of it, on one event loop.
struct FlightFixture : Http2Connection::Handler {
  explicit FlightFixture(winchhall::Settings settings = two_classes())
      : router(
            std::move(settings), 7, [this] { return loop.now(); }, [](const std::string&) {}),
        pool(loop, router, {}),
        front(loop, router, loopback(0), {.shard_count = 16, .seed = 9, .max_connections = 20}),
        client(loop, *this, Http2Connection::Side::client) {
    spdlog::set_level(spdlog::level::off);
    router.attach(pool, none);
  }
  void begin(const std::vector<coordination::Member>& members) {
    router.start(members);
    REQUIRE(client.connect(loopback(front.port())));
  }
  void on_headers(std::int32_t id, const Headers& headers) override {
    for (const auto& h : headers) replies[id].headers.push_back(h);
  }
  void on_data(std::int32_t id, std::string_view bytes) override { replies[id].in.append(bytes); }
  void on_end_stream(std::int32_t id) override { replies[id].done = true; }
  void on_stream_closed(std::int32_t id, std::uint32_t error) override {
    replies[id].done = true;
    replies[id].error = error;
  }
  void on_disconnected() override { lost = true; }

  void run_until(const std::function<bool()>& done) {
    event_loop::Millis give_up = loop.now() + 60000;  // only ends a test that hangs
    while (!done()) {
      loop.run_once(std::clamp(router.next_due() - loop.now(), 0.0, 20.0));
      router.run();
      REQUIRE(loop.now() < give_up);
    }
  }

  static std::string command(const std::vector<int>& shards, const std::string& query_class = "lookup") {
    QueryCommand c;
    c.set_query_class(query_class);
    c.set_tenant("acme");
    c.set_key(0x7f3a);
    c.set_text("c41e77d0");
    for (int shard : shards) {
      auto* part = c.add_parts();
      part->set_shard(shard);
      part->set_weight(1.0 / static_cast<double>(shards.size()));
    }
    return c.SerializeAsString();
  }
  std::int32_t call(const std::string& method, const std::string& message, const std::string& timeout = "8S",
                    const std::string& id = "") {
    Headers headers{{":method", "POST"},
                    {":scheme", "http"},
                    {":path", "/arrow.flight.protocol.FlightService/" + method},
                    {":authority", "here"},
                    {"te", "trailers"},
                    {"content-type", "application/grpc"}};
    if (!timeout.empty()) headers.emplace_back("grpc-timeout", timeout);
    if (!id.empty()) headers.emplace_back("x-request-id", id);
    std::int32_t stream = client.submit_request(headers, frame_message(message));
    client.send_pending();
    return stream;
  }
  std::int32_t get(const std::string& cmd, const std::string& timeout = "8S", const std::string& id = "") {
    wire::Ticket ticket;
    ticket.set_ticket(cmd);
    return call("DoGet", ticket.SerializeAsString(), timeout, id);
  }
  Reply& finish(std::int32_t stream) {
    run_until([&] { return replies[stream].done; });
    return replies[stream];
  }
  static std::vector<ArrowRow> read(Reply& r, std::string* metadata = nullptr) {
    std::vector<ArrowRow> rows;
    bool bad = false, first = true;
    while (auto message = take_message(r.in, kMaxMessageBytes, bad)) {
      wire::FlightData data;
      REQUIRE(data.ParseFromString(*message));
      CHECK(read_arrow(data.data_header(), data.data_body(), rows) ==
            (first ? ArrowKind::schema : ArrowKind::batch));
      if (metadata) *metadata = data.app_metadata();
      first = false;
    }
    CHECK(!bad);
    return rows;
  }

  event_loop::Loop loop;
  coordination::RequestRouter router;
  NullMembershipSource none;
  FlightPool pool;
  FlightServer front;
  Http2Connection client;
  std::map<std::int32_t, Reply> replies;
  bool lost = false;
};

}  // namespace winchhall::flight::testing
