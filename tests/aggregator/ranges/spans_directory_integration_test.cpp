// The watch of the directory of ranges.
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

struct DirectoryStage {
  DirectoryStage()
      : router(
            two_classes(), 7, [this] { return loop.now(); }, [](const std::string&) {}),
        listener(std::make_unique<event_loop::Listener>(
            loop, loopback(0), [this](event_loop::UniqueFd fd) { accept(std::move(fd)); })),
        port(listener->port()),
        directory(loop, router, "127.0.0.1:" + std::to_string(port), {1000, 1000}, 5) {
    spdlog::set_level(spdlog::level::off);
    router.attach(nobody, none);
    directory.start();
  }
  void accept(event_loop::UniqueFd fd) {
    peers.push_back(std::make_shared<Peer>(loop));
    Peer* raw = peers.back().get();
    raw->heard = [this, raw](std::string& in) {
      if (!has(in, "\r\n\r\n")) return;
      asked.push_back(in.substr(0, in.find('\r')));
      in.clear();
      raw->stream->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    };
    raw->adopt(std::move(fd));
  }
  void say(const std::string& line) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
    peers.back()->stream->write(size + line + "\n\r\n");
  }
  void say(const RangeMap& map) { say(http::write_update({map.revision(), true, false, map.all(), {}})); }
  void say(Revision revision, std::vector<Change> changes) {
    say(http::write_update({revision, false, false, {}, std::move(changes)}));
  }
  void until(const std::function<bool()>& done) {
    event_loop::Millis give_up = loop.now() + 60000;
    while (!done()) {
      loop.turn(20);
      router.run();
      REQUIRE(loop.now() < give_up);
    }
  }
  void until_asked(std::size_t times) {
    until([&] { return asked.size() >= times; });
  }
  Revision revision() const { return router.map().revision(); }

  event_loop::Loop loop;
  coordination::RequestRouter router;
  Nobody nobody;
  NoDiscovery none;
  std::vector<std::shared_ptr<Peer>> peers;
  std::vector<std::string> asked;
  std::unique_ptr<event_loop::Listener> listener;
  int port;
  http::RangeDirectory directory;
};

}  // namespace

TEST_CASE("the directory is watched: whole map, changes, a broken watch, a gap, an older revision") {
  DirectoryStage s;
  s.until_asked(1);
  CHECK(s.asked[0] == "GET /v1/ranges?watch=1 HTTP/1.1");
  s.say(four());
  s.until([&] { return s.revision() == Revision{1, 5}; });
  s.say({1, 6}, {kSplitFirst});
  s.until([&] { return s.revision() == Revision{1, 6}; });
  // The watch breaks: it asks for what came after the revision held.
  s.peers.back()->stream->close();
  s.until_asked(2);
  CHECK(s.asked[1] == "GET /v1/ranges?watch=1&incarnation=1&after=6 HTTP/1.1");
  s.say({1, 7}, {SetWeight{{4, 0}, 3}});
  s.until([&] { return s.revision() == Revision{1, 7}; });
  // A change is lost on the way.
  s.say({1, 9}, {SetWeight{{4, 0}, 5}});
  s.until_asked(3);
  CHECK(s.asked[2] == "GET /v1/ranges?watch=1&incarnation=1&after=7 HTTP/1.1");
  CHECK(s.revision() == Revision{1, 7});
  // It comes back with less than it told: what is held serves on, and its changes are not believed.
  s.say(four());
  s.until([&] { return s.directory.figures().refused >= 2; });
  s.say({1, 8}, {SetWeight{{4, 0}, 9}});
  s.until_asked(4);
  CHECK(s.asked[3] == "GET /v1/ranges?watch=1 HTTP/1.1");
  CHECK(s.revision() == Revision{1, 7});
  s.say(four({2, 1}));
  s.until([&] { return s.revision() == Revision{2, 1}; });
}

TEST_CASE("a directory that speaks nonsense, or is away: the last map serves on, and it is asked again") {
  DirectoryStage s;
  s.until_asked(1);
  s.say(four());
  s.until([&] { return !s.router.map().empty(); });
  s.say("{\"incarnation\":1,\"revision\":6,\"changes\":[{\"op\":\"frob\"}]}");
  s.until_asked(2);
  CHECK(s.directory.figures().refused == 1);
  CHECK(s.revision() == Revision{1, 5});
  // Away altogether, then back.
  s.listener.reset();
  s.peers.back()->stream->close();
  std::size_t broken = s.directory.figures().broken;
  s.until([&] { return s.directory.figures().broken >= broken + 2; });
  CHECK(s.revision() == Revision{1, 5});
  s.listener = std::make_unique<event_loop::Listener>(
      s.loop, loopback(s.port), [&](event_loop::UniqueFd fd) { s.accept(std::move(fd)); });
  s.until_asked(3);
  s.say({1, 6}, {kSplitFirst});
  s.until([&] { return s.revision() == Revision{1, 6}; });
}

TEST_CASE("a map over the bound is refused, and a refresh reopens the watch at once") {
  DirectoryStage s;
  s.until_asked(1);
  std::vector<Range> many;
  for (std::size_t i = 0; i < 1001; ++i)
    many.push_back({i, {i, i == 1000 ? kKeyEnd : i + 1}, 1, held({"a"})});
  s.say(http::write_update({{1, 1}, true, false, many, {}}));
  s.until_asked(2);
  CHECK(s.router.map().empty());
  s.say(four());
  s.until([&] { return !s.router.map().empty(); });
  s.directory.refresh();
  s.until_asked(3);
  CHECK(s.asked[2] == "GET /v1/ranges?watch=1&incarnation=1&after=5 HTTP/1.1");
  s.say({1, 6}, {kSplitFirst});
  s.until([&] { return s.revision() == Revision{1, 6}; });
}
