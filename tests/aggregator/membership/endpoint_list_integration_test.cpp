// Endpoint lists over real connections that end or are reset in the middle of a list.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <sys/socket.h>

#include "tests/aggregator/support/router_fixture.hpp"

using namespace winchhall;
using namespace winchhall::testing;

namespace {

// The discovery service on one connection; the test decides what it writes and how the connection ends.
struct Call {
  Call() : listener(loop, loopback(0), [this](event_loop::UniqueFd accepted) { fd = std::move(accepted); }) {
    spdlog::set_level(spdlog::level::off);
    router.attach(transport, none);
    discovery = std::make_unique<http::Discovery>(loop, router,
                                                  "127.0.0.1:" + std::to_string(listener.port()), 0, 250);
  }
  void run_until(const std::function<bool()>& done) {
    event_loop::Millis give_up = loop.now() + 60000;  // only ends a hanging test
    while (!done()) {
      loop.run_once(20);
      router.run();
      REQUIRE(loop.now() < give_up);
    }
  }
  void write(const std::string& text) {
    // Closing with unread input would send a reset.
    char request[4096];
    run_until([&] { return ::recv(fd.get(), request, sizeof request, 0) > 0; });
    REQUIRE(::send(fd.get(), text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
    // The text is in the other socket by now; the iterations read it.
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
  NullTransport transport;
  NullMembershipSource none;
  event_loop::UniqueFd fd;
  event_loop::Listener listener;
  std::unique_ptr<http::Discovery> discovery;
};

const char kList[] =
    "{\"revision\":3,\"complete\":true,\"members\":[{\"id\":\"s-1\",\"host_port\":"
    "\"127.0.0.1:9\",\"cell\":0,\"phase\":\"ready\"}]}";

}  // namespace

TEST_CASE("a list without a length is complete when its connection is closed, but not when it is reset") {
  Call c;
  c.discovery->fetch();
  c.run_until([&] { return static_cast<bool>(c.fd); });
  c.write(std::string("HTTP/1.1 200 OK\r\n\r\n") + kList);
  std::size_t delivered = c.router.lists_delivered();
  bool resets = false;
  SUBCASE("reset") { resets = true; }
  SUBCASE("end") {}
  resets ? c.reset() : c.fd.reset();
  c.run_until([&] { return c.router.lists_delivered() > delivered; });
  CHECK(c.router.known_servers() == (resets ? 0 : 1));
}

TEST_CASE("an incomplete object of a watch is not applied, whether the watch is closed or reset after it") {
  Call c;
  c.discovery->watch(true);
  c.run_until([&] { return static_cast<bool>(c.fd); });
  c.write("HTTP/1.1 200 OK\r\n\r\n" + std::string(kList).substr(0, 60));
  bool resets = false;
  SUBCASE("reset") { resets = true; }
  SUBCASE("end") {}
  std::size_t delivered = c.router.lists_delivered();
  resets ? c.reset() : c.fd.reset();
  c.run_until([&] { return c.router.lists_delivered() > delivered; });  // the failed call
  CHECK(c.router.known_servers() == 0);
}
