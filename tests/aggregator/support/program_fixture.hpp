// The event loop, the request router, the HTTP front end and the leaf pool over loopback, with scripted peers
// on the same loop. One thread; the kernel assigns the ports; tests wait for conditions, not for times.
#pragma once

#include <doctest/doctest.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "aggregator/coordination/request_router.hpp"
#include "aggregator/event_loop/event_loop.hpp"
#include "aggregator/event_loop/stream.hpp"
#include "aggregator/http/frames.hpp"
#include "aggregator/http/http_server.hpp"
#include "aggregator/http/leaf_pool.hpp"
#include "aggregator/membership/discovery.hpp"

namespace winchhall::testing {

inline winchhall::Settings two_classes() {
  winchhall::Settings s;
  s.classes.push_back({.name = "lookup", .latency_target = 2000, .deadline = 8000, .late_value = 0.3});
  s.classes.push_back({.name = "report",
                       .latency_target = 300,
                       .deadline = 8000,
                       .late_value = 0.3,
                       .min_share = 0.5,
                       .partial_value = 0.9});
  s.tenants.push_back({.name = "acme"});
  s.cells = 2;
  s.cells_per_shard = 2;
  s.tick = 1;
  s.max_attempts = 3;
  s.may_cancel = true;
  s.max_open = 125;
  s.honors_retry_after = true;
  s.max_retry_after = 2000;
  s.reports = true;
  s.report_fields = {winchhall::ReportField::in_flight};
  return s;
}

// Deadlines so long that no result depends on how fast the machine is.
inline winchhall::Settings long_deadlines() {
  winchhall::Settings s = two_classes();
  for (auto& c : s.classes) {
    c.latency_target = 30000;
    c.deadline = 60000;
  }
  return s;
}

inline sockaddr_in loopback(int port) {
  return *event_loop::parse_address("127.0.0.1:" + std::to_string(port));
}

inline coordination::Member member(const std::string& id, int port, int cell,
                                   winchhall::ServerState state = winchhall::ServerState::ready) {
  coordination::Member m;
  m.entry.server = id;
  m.entry.cell = cell;
  m.entry.state = state;
  m.endpoint = "127.0.0.1:" + std::to_string(port);
  return m;
}

// One side of a connection, whose bytes the test reads and writes.
class Peer : public event_loop::Stream::Owner {
 public:
  explicit Peer(event_loop::Loop& loop) : loop_(loop) {}
  void adopt(event_loop::UniqueFd fd) { stream = event_loop::Stream::adopt(loop_, std::move(fd), *this); }
  void connect(int port) {
    int error = 0;
    stream = event_loop::Stream::connect(loop_, loopback(port), *this, error);
    REQUIRE(stream);
  }
  void received(std::string& in) override {
    if (on_received) return on_received(in);
    text += std::exchange(in, {});
  }
  void ended() override { is_closed = true; }

  std::shared_ptr<event_loop::Stream> stream;
  std::function<void(std::string&)> on_received;
  std::string text;
  bool is_closed = false;

 private:
  event_loop::Loop& loop_;
};

// A leaf that speaks frames. By default each part is answered with `v` and its shard.
class ScriptedLeaf {
 public:
  struct Part {
    Peer* from;
    std::string id, list, text;
    int shard;
  };

  explicit ScriptedLeaf(event_loop::Loop& loop)
      : listener(loop, loopback(0), [this, &loop](event_loop::UniqueFd fd) { take(loop, std::move(fd)); }) {}

  void take(event_loop::Loop& loop, event_loop::UniqueFd fd) {
    auto peer = std::make_shared<Peer>(loop);
    Peer* raw = peer.get();
    peer->on_received = [this, raw](std::string& in) { read(raw, in); };
    peers.push_back(peer);
    peer->adopt(std::move(fd));
  }

  static void answer(const Part& p, int end = 200, const std::string& report = "inflight=1") {
    std::string value = end == 200 ? "v" + std::to_string(p.shard) : "";
    p.from->stream->write(
        http::make_frame('O', p.id + " " + std::to_string(end) + " 7 " + report + "\n" + value));
  }

  event_loop::Listener listener;
  std::vector<std::shared_ptr<Peer>> peers;
  std::function<void(const Part&)> on_part = [](const Part& p) { answer(p); };
  std::vector<Part> parts;
  std::vector<std::string> cancelled;
  std::size_t frames = 0;

 private:
  void read(Peer* from, std::string& in) {
    bool bad = false;
    while (auto frame = http::take_frame(in, bad)) {
      if (frame->type == 'K') cancelled.push_back(frame->payload);
      if (frame->type != 'D') continue;
      ++frames;
      for (std::string rest = frame->payload; !rest.empty();) {
        std::size_t line = rest.find('\n');
        char id[200], list[200];
        int shard = 0;
        unsigned long size = 0;
        REQUIRE(std::sscanf(rest.substr(0, line).c_str(), "%199s %d %199s %lu", id, &shard, list, &size) ==
                4);
        Part p{from, id, list, rest.substr(line + 1, size), shard};
        rest.erase(0, line + 1 + size);
        parts.push_back(p);
        on_part(p);
      }
    }
    REQUIRE(!bad);
  }
};

// A discovery server that opens every watch and sends the updates that the test makes.
class ScriptedDiscovery {
 public:
  explicit ScriptedDiscovery(event_loop::Loop& loop)
      : listener(loop, loopback(0), [this, &loop](event_loop::UniqueFd fd) {
          auto peer = std::make_shared<Peer>(loop);
          Peer* raw = peer.get();
          peer->on_received = [this, raw](std::string& in) {
            if (has(in, "\r\n\r\n"))
              raw->stream->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            if (has(in, "\r\n\r\n")) calls.push_back(std::exchange(in, {}));
          };
          peers.push_back(peer);
          peer->adopt(std::move(fd));
        }) {}
  static bool has(const std::string& text, const char* piece) {
    return text.find(piece) != std::string::npos;
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(listener.port()); }
  void send_update(int revision, const std::string& rows, bool complete = false) {
    std::string line = "{\"revision\":" + std::to_string(revision) +
                       ",\"complete\":" + (complete ? "true" : "false") + ",\"members\":[" + rows + "]}\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size());
    for (auto& peer : peers) peer->stream->write(size + line + "\r\n");
  }
  static std::string row(const std::string& id, int port, const std::string& phase = "ready") {
    return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + std::to_string(port) +
           "\",\"cell\":0,\"phase\":\"" + phase + "\"}";
  }

  event_loop::Listener listener;
  std::vector<std::shared_ptr<Peer>> peers;
  std::vector<std::string> calls;
};

// A membership source without servers.
class NullMembershipSource : public coordination::MembershipSource {
 public:
  void watch(bool) override {}
  void fetch() override {}
};

// A request router with its leaf pool and HTTP front end on one event loop.
class HttpFixture {
 public:
  explicit HttpFixture(winchhall::Settings settings = two_classes(),
                       http::LeafLimits limits = {1, 32, 250, 30000, 50})
      : router(
            std::move(settings), 7, [this] { return loop.now(); }, [](const std::string&) {}),
        pool(loop, router, limits),
        front(loop, router, loopback(0), {router.settings(), 16}, 100, [] { return true; }) {
    spdlog::set_level(spdlog::level::off);
    router.attach(pool, none);
  }

  void begin(const std::vector<coordination::Member>& members) { router.start(members); }

  // The time limit only ends a test that hangs; no other result depends on it.
  void run_until(const std::function<bool()>& done, const char* what = "") {
    event_loop::Millis give_up = loop.now() + 60000;
    while (!done()) {
      loop.run_once(std::clamp(router.next_due() - loop.now(), 0.0, 20.0));
      router.run();
      INFO(what);
      REQUIRE(loop.now() < give_up);
    }
  }

  std::shared_ptr<Peer> connect() {
    auto peer = std::make_shared<Peer>(loop);
    peer->connect(front.port());
    return peer;
  }
  // Waits for one complete response and removes it from the peer's text.
  std::string answer(Peer& peer) {
    std::size_t end = std::string::npos, size = 0;
    run_until([&] {
      end = peer.text.find("\r\n\r\n");
      if (end == std::string::npos) return false;
      std::size_t at = peer.text.find("Content-Length: ");
      size = at < end ? std::stoul(peer.text.substr(at + 16)) : 0;
      return peer.text.size() >= end + 4 + size;
    });
    std::string all = peer.text.substr(0, end + 4 + size);
    peer.text.erase(0, end + 4 + size);
    return all;
  }
  std::string ask(Peer& peer, const std::string& request) {
    peer.stream->write(request);
    return answer(peer);
  }

  static std::string query(const std::string& id, const std::string& parts,
                           const std::string& path = "lookup", int timeout_ms = 8000) {
    std::string body = "{\"parts\":[" + parts + "],\"expr\":\"c41e77d0\"}";
    return "POST /" + path + "?k=7f3a HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: " + id +
           "\r\nX-Tenant-Id: acme\r\nX-Timeout: " + std::to_string(timeout_ms) +
           "m\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  event_loop::Loop loop;
  coordination::RequestRouter router;
  NullMembershipSource none;
  http::LeafPool pool;
  http::HttpServer front;
};

inline const char kTwoParts[] = R"({"id":3,"w":0.5,"hint":9000},{"id":4,"w":0.5})";

inline bool has(const std::string& text, const std::string& piece) {
  return text.find(piece) != std::string::npos;
}

}  // namespace winchhall::testing
