// State that an HTTP server shares with its connections.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <memory>

#include "cluster/http/server.hpp"

namespace winchhall::cluster {

class Connection;
using ConnectionList = std::list<std::shared_ptr<Connection>>;

// Largest number of bytes read from a socket at once.
inline constexpr std::size_t kReadBufferBytes = 64 * 1024;

// State of one server. Connections share its ownership, because their pending operations may outlive the
// server.
struct HttpServerState {
  HttpServerState(boost::asio::io_context& event_loop, HttpHandler request_handler)
      : loop(event_loop), handler(std::move(request_handler)) {}

  boost::asio::io_context& loop;
  HttpHandler handler;
  RequestLimits limits;
  bool draining = false;
  bool closed = false;  // the server has been destroyed
  std::size_t open_requests = 0;
  std::map<unsigned, std::uint64_t> responses_by_status;
  ConnectionList idle;              // between requests; the one idle longest is first
  ConnectionList busy;              // all others
  std::function<void()> on_closed;  // called after the closing of each connection
  // Shared by all connections: a read is synchronous, happens when a socket is readable, and its bytes are
  // consumed before the next read.
  std::array<char, kReadBufferBytes> read_buffer;

  std::size_t connections() const { return idle.size() + busy.size(); }
};

}  // namespace winchhall::cluster
