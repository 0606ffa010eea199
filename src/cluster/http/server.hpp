// HTTP/1.1 server on Boost.Beast: accepts, reads whole requests within limits, hands them on, writes answers
// in order.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "cluster/common/runtime.hpp"
#include "cluster/config/configuration.hpp"

namespace winchhall::cluster {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

// Answers a request, at any later time; only the first answer counts. Dropped unanswered: the connection is
// closed.
using HttpReplyCallback = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(HttpRequest request, HttpReplyCallback reply)>;

// Connections that a server keeps open at most; beyond that the one idle for longest is closed.
inline constexpr std::size_t kMaxConnections = 3000;

class HttpServer {
 public:
  virtual ~HttpServer() = default;
  virtual void set_limits(const RequestLimits& limits) = 0;
  // Closes the listening socket: no new connections. Those that are open are served on.
  virtual void stop_accepting() = 0;
  // Connections at rest are closed, others after the answer they wait for (Connection: close). New
  // connections are accepted until `stop_accepting` and serve one request each.
  virtual void drain() = 0;
  // Requests read whole whose answers are not written whole.
  virtual std::size_t open_requests() const = 0;
  // Connections that are open, those being closed included.
  virtual std::size_t open_connections() const = 0;
  // Answers written so far, by HTTP status.
  virtual const std::map<unsigned, std::uint64_t>& responses_by_status() const = 0;
  // Port that is listened on (for a server on port 0).
  virtual unsigned short port() const = 0;
};

// Listens on "ip:port". Throws boost::system::system_error if the address can't be listened on.
std::unique_ptr<HttpServer> make_http_server(boost::asio::io_context& loop, const Address& address,
                                             HttpHandler handler,
                                             std::size_t max_connections = kMaxConnections);

// An answer with a JSON body.
HttpResponse json_response(unsigned status, std::string body);

}  // namespace winchhall::cluster
