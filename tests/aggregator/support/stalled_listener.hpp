// A listening socket whose backlog the test can fill, so that further connections are not established.
#pragma once

#include <sys/socket.h>

#include "tests/aggregator/support/program_fixture.hpp"

namespace winchhall::testing {

class StalledListener {
 public:
  StalledListener() : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    REQUIRE(::bind(fd_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    REQUIRE(::listen(fd_.get(), 0) == 0);
    REQUIRE(::getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&address), &size) == 0);
    address_ = address;
  }
  int port() const { return ntohs(address_.sin_port); }

  // From now on no connection is established: with a backlog of 0 one connection waits in the queue, and the
  // SYNs of later ones are dropped.
  void fill_backlog() {
    for (int i = 0; i < 2; ++i) {
      backlog_sockets_.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
      ::connect(backlog_sockets_.back().get(), reinterpret_cast<const sockaddr*>(&address_), sizeof address_);
    }
  }
  event_loop::UniqueFd accept() {
    return event_loop::UniqueFd(::accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  }

 private:
  event_loop::UniqueFd fd_;
  sockaddr_in address_{};
  std::vector<event_loop::UniqueFd> backlog_sockets_;
};

}  // namespace winchhall::testing
