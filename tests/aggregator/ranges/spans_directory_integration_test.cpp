// The client of the range directory, which keeps a watch on it, against a scripted directory.
#include "aggregator/http/range_directory.hpp"
#include "aggregator/http/range_protocol.hpp"
#include "aggregator/ranges/change.hpp"
#include "tests/aggregator/ranges/spans_fixture.hpp"
#include "tests/aggregator/support/router_fixture.hpp"

using namespace winchhall;
using namespace winchhall::testing;
using namespace winchhall::ranges;
using namespace winchhall::ranges::testing;

namespace {

struct DirectoryFixture {
  DirectoryFixture()
      : router(
            two_classes(), 7, [this] { return loop.now(); }, [](const std::string&) {}),
        listener(std::make_unique<event_loop::Listener>(
            loop, loopback(0), [this](event_loop::UniqueFd fd) { accept(std::move(fd)); })),
        port(listener->port()),
        directory(loop, router, "127.0.0.1:" + std::to_string(port), {1000, 1000}, 5) {
    spdlog::set_level(spdlog::level::off);
    router.attach(transport, none);
    directory.start();
  }
  void accept(event_loop::UniqueFd fd) {
    peers.push_back(std::make_shared<Peer>(loop));
    Peer* raw = peers.back().get();
    raw->on_received = [this, raw](std::string& in) {
      if (!has(in, "\r\n\r\n")) return;
      requests.push_back(in.substr(0, in.find('\r')));
      in.clear();
      raw->stream->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    };
    raw->adopt(std::move(fd));
  }
  void send(const std::string& line) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
    peers.back()->stream->write(size + line + "\n\r\n");
  }
  void send(const RangeMap& map) { send(http::write_update({map.revision(), true, false, map.all(), {}})); }
  void send(Revision revision, std::vector<Change> changes) {
    send(http::write_update({revision, false, false, {}, std::move(changes)}));
  }
  void wait_until(const std::function<bool()>& done) {
    event_loop::Millis give_up = loop.now() + 60000;
    while (!done()) {
      loop.run_once(20);
      router.run();
      REQUIRE(loop.now() < give_up);
    }
  }
  void wait_for_requests(std::size_t times) {
    wait_until([&] { return requests.size() >= times; });
  }
  Revision revision() const { return router.map().revision(); }

  event_loop::Loop loop;
  coordination::RequestRouter router;
  NullTransport transport;
  NullMembershipSource none;
  std::vector<std::shared_ptr<Peer>> peers;
  std::vector<std::string> requests;
  std::unique_ptr<event_loop::Listener> listener;
  int port;
  http::RangeDirectory directory;
};

}  // namespace

TEST_CASE("the directory is watched: full map, changes, a lost watch, a gap, an older revision") {
  DirectoryFixture s;
  s.wait_for_requests(1);
  CHECK(s.requests[0] == "GET /v1/ranges?watch=1 HTTP/1.1");
  s.send(four_ranges());
  s.wait_until([&] { return s.revision() == Revision{1, 5}; });
  s.send({1, 6}, {kSplitFirstRange});
  s.wait_until([&] { return s.revision() == Revision{1, 6}; });
  // The watch is lost: the next request asks for the changes after the revision that is held.
  s.peers.back()->stream->close();
  s.wait_for_requests(2);
  CHECK(s.requests[1] == "GET /v1/ranges?watch=1&incarnation=1&after=6 HTTP/1.1");
  s.send({1, 7}, {SetWeight{{4, 0}, 3}});
  s.wait_until([&] { return s.revision() == Revision{1, 7}; });
  // A change is missing.
  s.send({1, 9}, {SetWeight{{4, 0}, 5}});
  s.wait_for_requests(3);
  CHECK(s.requests[2] == "GET /v1/ranges?watch=1&incarnation=1&after=7 HTTP/1.1");
  CHECK(s.revision() == Revision{1, 7});
  // The directory returns with an older map: the newer one stays in use, and its changes are rejected.
  s.send(four_ranges());
  s.wait_until([&] { return s.directory.statistics().rejected >= 2; });
  s.send({1, 8}, {SetWeight{{4, 0}, 9}});
  s.wait_for_requests(4);
  CHECK(s.requests[3] == "GET /v1/ranges?watch=1 HTTP/1.1");
  CHECK(s.revision() == Revision{1, 7});
  s.send(four_ranges({2, 1}));
  s.wait_until([&] { return s.revision() == Revision{2, 1}; });
}

TEST_CASE(
    "if the directory sends invalid updates or is unreachable, the last map stays in use and it is asked "
    "again") {
  DirectoryFixture s;
  s.wait_for_requests(1);
  s.send(four_ranges());
  s.wait_until([&] { return !s.router.map().empty(); });
  s.send("{\"incarnation\":1,\"revision\":6,\"changes\":[{\"op\":\"frob\"}]}");
  s.wait_for_requests(2);
  CHECK(s.directory.statistics().rejected == 1);
  CHECK(s.revision() == Revision{1, 5});
  // Unreachable, then available again.
  s.listener.reset();
  s.peers.back()->stream->close();
  std::size_t broken = s.directory.statistics().failures;
  s.wait_until([&] { return s.directory.statistics().failures >= broken + 2; });
  CHECK(s.revision() == Revision{1, 5});
  s.listener = std::make_unique<event_loop::Listener>(
      s.loop, loopback(s.port), [&](event_loop::UniqueFd fd) { s.accept(std::move(fd)); });
  s.wait_for_requests(3);
  s.send({1, 6}, {kSplitFirstRange});
  s.wait_until([&] { return s.revision() == Revision{1, 6}; });
}

TEST_CASE("a map with too many ranges is rejected, and a refresh reopens the watch at once") {
  DirectoryFixture s;
  s.wait_for_requests(1);
  std::vector<Range> many;
  for (std::size_t i = 0; i < 1001; ++i)
    many.push_back({i, {i, i == 1000 ? kKeyEnd : i + 1}, 1, serving_holders({"a"})});
  s.send(http::write_update({{1, 1}, true, false, many, {}}));
  s.wait_for_requests(2);
  CHECK(s.router.map().empty());
  s.send(four_ranges());
  s.wait_until([&] { return !s.router.map().empty(); });
  s.directory.refresh();
  s.wait_for_requests(3);
  CHECK(s.requests[2] == "GET /v1/ranges?watch=1&incarnation=1&after=5 HTTP/1.1");
  s.send({1, 6}, {kSplitFirstRange});
  s.wait_until([&] { return s.revision() == Revision{1, 6}; });
}
