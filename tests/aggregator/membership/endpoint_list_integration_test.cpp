// The list of servers at its narrow moments, over real connections.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <sys/socket.h>

#include "tests/aggregator/support/router_fixture.hpp"

using namespace winchhall;
using namespace winchhall::testing;

namespace {

// Discovery at the other end of one call: what it writes and how it ends is the test's.
struct Call {
  Call() : listener(loop, loopback(0), [this](event_loop::UniqueFd accepted) { fd = std::move(accepted); }) {
    spdlog::set_level(spdlog::level::off);
    router.attach(nobody, none);
    discovery = std::make_unique<http::Discovery>(loop, router,
                                                  "127.0.0.1:" + std::to_string(listener.port()), 0, 250);
  }
  void until(const std::function<bool()>& done) {
    event_loop::Millis give_up = loop.now() + 60000;  // only ends a test that hangs
    while (!done()) {
      loop.run_once(20);
      router.run();
      REQUIRE(loop.now() < give_up);
    }
  }
  void write(const std::string& text) {
    // What is left unread would make a reset of our end.
    char request[4096];
    until([&] { return ::recv(fd.get(), request, sizeof request, 0) > 0; });
    REQUIRE(::send(fd.get(), text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
    // It is in the other socket by now: each turn reads it.
    for (int i = 0; i < 3; ++i) loop.run_once(1);
  }
  void reset() {
    linger hard{1, 0};
    ::setsockopt(fd.get(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    fd.reset();
  }
  event_loop::Loop loop;
  coordination::RequestRouter router{two_classes(), 3, [this] { return loop.now(); },
                                     [](const std::string&) {}};
  Nobody nobody;
  NoDiscovery none;
  event_loop::UniqueFd fd;
  event_loop::Listener listener;
  std::unique_ptr<http::Discovery> discovery;
};

const char kList[] =
    "{\"revision\":3,\"complete\":true,\"members\":[{\"id\":\"s-1\",\"host_port\":"
    "\"127.0.0.1:9\",\"cell\":0,\"phase\":\"ready\"}]}";

}  // namespace

TEST_CASE("a list without a length is whole at the end of its connection, and not at a reset") {
  Call c;
  c.discovery->fetch();
  c.until([&] { return static_cast<bool>(c.fd); });
  c.write(std::string("HTTP/1.1 200 OK\r\n\r\n") + kList);
  std::size_t told = c.router.lists_delivered();
  bool resets = false;
  SUBCASE("reset") { resets = true; }
  SUBCASE("end") {}
  resets ? c.reset() : c.fd.reset();
  c.until([&] { return c.router.lists_delivered() > told; });
  CHECK(c.router.known_servers() == (resets ? 0 : 1));
}

TEST_CASE("half an object of a watch is no news, whether it is reset or ended behind it") {
  Call c;
  c.discovery->watch(true);
  c.until([&] { return static_cast<bool>(c.fd); });
  c.write("HTTP/1.1 200 OK\r\n\r\n" + std::string(kList).substr(0, 60));
  bool resets = false;
  SUBCASE("reset") { resets = true; }
  SUBCASE("end") {}
  std::size_t told = c.router.lists_delivered();
  resets ? c.reset() : c.fd.reset();
  c.until([&] { return c.router.lists_delivered() > told; });  // that the call failed
  CHECK(c.router.known_servers() == 0);
}
