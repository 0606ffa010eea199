// A listening socket whose connections come up when the test says so: its queue is full until then.
#pragma once

#include <sys/socket.h>

#include "tests/aggregator/support/program_fixture.hpp"

namespace winchhall::testing {

class StalledListener {
 public:
  StalledListener() : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
    sockaddr_in at = loopback(0);
    socklen_t size = sizeof at;
    REQUIRE(::bind(fd_.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0);
    REQUIRE(::listen(fd_.get(), 0) == 0);
    REQUIRE(::getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&at), &size) == 0);
    at_ = at;
  }
  int port() const { return ntohs(at_.sin_port); }

  // From now on no connection comes up. One waits in a queue of length 0, and those behind it are not heard.
  void fill_backlog() {
    for (int i = 0; i < 2; ++i) {
      plugs_.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
      ::connect(plugs_.back().get(), reinterpret_cast<const sockaddr*>(&at_), sizeof at_);
    }
  }
  event_loop::UniqueFd accept() {
    return event_loop::UniqueFd(::accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  }

 private:
  event_loop::UniqueFd fd_;
  sockaddr_in at_{};
  std::vector<event_loop::UniqueFd> plugs_;
};

}  // namespace winchhall::testing
