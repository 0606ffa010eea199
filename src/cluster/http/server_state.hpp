// State that a listener shares with its connections: limits, handler, counts, and the connections by age.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>

#include "cluster/http/server.hpp"

namespace winchhall::cluster {

class Connection;
using ConnectionList = std::list<std::shared_ptr<Connection>>;

// Bytes taken from a socket at once.
inline constexpr std::size_t kReadBytes = 64 * 1024;

struct HttpServerState {
  HttpServerState(boost::asio::io_context& event_loop, HttpHandler request_handler)
      : loop(event_loop), handler(std::move(request_handler)) {}

  boost::asio::io_context& loop;
  HttpHandler handler;
  RequestLimits limits;
  bool draining = false;
  bool closed = false;  // the server is gone
  std::size_t open_requests = 0;
  std::map<unsigned, std::uint64_t> responses_by_status;
  ConnectionList idle;  // between requests; the one that has rested longest stands first
  ConnectionList busy;
  std::function<void()> on_closed;  // told after each connection that was closed
  // All reads are carried out at once when a socket is readable, so that one buffer serves all connections.
  std::array<char, kReadBytes> read_buffer;

  std::size_t connections() const { return idle.size() + busy.size(); }
};

}  // namespace winchhall::cluster
