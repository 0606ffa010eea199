// HTTP/1.1 server for clients.
#pragma once

#include <functional>
#include <memory>
#include <set>

#include "aggregator/coordination/request_router.hpp"
#include "aggregator/event_loop/half_closed_connections.hpp"
#include "aggregator/http/request.hpp"

namespace winchhall::http {

// Accepts client connections, decodes queries, submits them to the router and writes the responses; also
// answers GET /ready and /health. Owns its listener and connections; destroying it withdraws open queries and
// closes all connections. Closes idle connections to keep their number within the limit. Runs on the event
// loop.
class HttpServer {
 public:
  // Listens at once. `ready`: whether GET /ready is answered with 200. `max_connections`: limit of client
  // connections, lingering ones included. Throws std::system_error if the address can't be bound. `loop`,
  // `router` and the settings in `context` must outlive this object.
  HttpServer(event_loop::Loop& loop, coordination::RequestRouter& router, const sockaddr_in& address,
             DecodeContext context, std::size_t max_connections, std::function<bool()> ready);
  // Shares the address with other processes of this user, and listens only after listen() was called.
  struct Shared {};
  HttpServer(event_loop::Loop& loop, coordination::RequestRouter& router, const sockaddr_in& address,
             DecodeContext context, std::size_t max_connections, std::function<bool()> ready, Shared);
  ~HttpServer();

  // While `on`, each response closes its connection.
  void close_after_response(bool on) { close_after_response_ = on; }
  // Closes the connections without an open request, after reading requests that have already arrived on them.
  void close_idle();
  // On a shared address: directs all new connections to this process, see event_loop::Listener::steer_here().
  bool steer_here(int earlier_listeners) { return listener_ && listener_->steer_here(earlier_listeners); }
  void set_max_connections(std::size_t max_connections) { max_connections_ = max_connections; }
  // After a change of the settings.
  void set_shard_count(int count) { context_.shards = count; }
  void listen();
  bool is_listening() const { return listener_ != nullptr; }
  // Accepts what is already in the queue, then closes the listener.
  void stop_listening();
  bool busy() const;  // whether there is any connection, lingering ones included
  int port() const { return listener_ ? listener_->port() : 0; }  // 0: not listening
  std::size_t connections() const { return connections_.size() + half_closed_.size(); }

 private:
  class Connection;
  void accept(event_loop::UniqueFd fd);
  void remove(Connection& connection);            // after the client closed it
  void close_gracefully(Connection& connection);  // with a lingering close
  void evict_one(bool full);
  // The connection to evict first, or null if none can be. `full`: no descriptor is left. `crowded`: the
  // connections in use exceed eviction_threshold(), lingering ones not counted.
  std::shared_ptr<Connection> eviction_candidate(event_loop::Millis now, bool full, bool crowded) const;
  event_loop::Millis idle_timeout() const;
  // Above so many connections, a new one evicts an idle one.
  std::size_t eviction_threshold() const { return max_connections_ * 5 / 8; }
  void log_rejection(int status, const std::string& why);
  void sweep();

  event_loop::Loop& loop_;
  coordination::RequestRouter& router_;
  DecodeContext context_;
  std::size_t max_connections_;
  std::function<bool()> ready_;
  bool close_after_response_ = false;
  std::set<std::shared_ptr<Connection>> connections_;
  mutable event_loop::HalfClosedConnections half_closed_{loop_};
  std::set<std::string> open_query_ids_;
  event_loop::TimerId sweep_timer_{};
  int rejections_ = 0;  // since rejection_period_start_
  event_loop::Millis rejection_period_start_ = 0;
  sockaddr_in address_;
  bool shared_ = false;
  std::unique_ptr<event_loop::Listener> listener_;
};

}  // namespace winchhall::http
