// HTTP/1.1 server on Boost.Beast.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>

#include "cluster/common/runtime.hpp"
#include "cluster/config/configuration.hpp"
#include "cluster/http/message.hpp"

namespace winchhall::cluster {

// Default limit on open connections of a server. Beyond it, the connection that has been idle longest is
// closed.
inline constexpr std::size_t kMaxConnections = 3000;

// Accepts connections, reads complete requests within limits, calls the handler, and writes the responses of
// a connection in the order of its requests. Runs on one event loop; not thread-safe. Destroying the server
// closes all connections.
class HttpServer {
 public:
  virtual ~HttpServer() = default;

  // Sets the limits for requests from now on.
  virtual void set_limits(const RequestLimits& limits) = 0;
  // Closes the listening socket. Open connections continue to be served.
  virtual void stop_accepting() = 0;
  // Closes idle connections, and others after the response that they wait for (Connection: close). New
  // connections are accepted until `stop_accepting` and serve one request each.
  virtual void drain() = 0;

  // Requests that were read completely and whose responses are not completely written.
  virtual std::size_t open_requests() const = 0;
  // Open connections, including those being closed.
  virtual std::size_t open_connections() const = 0;
  // Number of responses so far, by HTTP status.
  virtual const std::map<unsigned, std::uint64_t>& responses_by_status() const = 0;
  // Port of the listening socket. For a server on port 0: the port that the system chose.
  virtual unsigned short port() const = 0;
};

// Listens on "ip:port". `loop` must outlive the server. Throws boost::system::system_error if the address is
// invalid or can't be listened on.
std::unique_ptr<HttpServer> make_http_server(boost::asio::io_context& loop, const Address& address,
                                             HttpHandler handler,
                                             std::size_t max_connections = kMaxConnections);

}  // namespace winchhall::cluster
