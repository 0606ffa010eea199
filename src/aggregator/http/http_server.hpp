// The platform's front: HTTP/1.1 for clients.
#pragma once

#include <functional>
#include <memory>
#include <set>

#include "aggregator/coordination/request_router.hpp"
#include "aggregator/event_loop/half_closed_connections.hpp"
#include "aggregator/http/request.hpp"

namespace winchhall::http {

class HttpServer {
 public:
  HttpServer(event_loop::Loop& loop, coordination::RequestRouter& router, const sockaddr_in& address,
             DecodeContext names, std::size_t max_connections, std::function<bool()> ready);
  // With other processes of this user, and only once listen() is called.
  struct Shared {};
  HttpServer(event_loop::Loop& loop, coordination::RequestRouter& router, const sockaddr_in& address,
             DecodeContext names, std::size_t max_connections, std::function<bool()> ready, Shared);
  ~HttpServer();

  // While `on`, an answer is the last one on its connection.
  void close_after_response(bool on) { close_after_response_ = on; }
  void close_idle();  // what stands between requests, once what has come on it is read
  // `shared` with another process: new connections come here from now on, though `others` listen as well.
  bool steer_here(int others) { return listener_ && listener_->steer_here(others); }
  void set_max_connections(std::size_t max_connections) { max_connections_ = max_connections; }
  void set_shard_count(int count) { names_.shards = count; }  // of other settings
  void listen();
  bool is_listening() const { return listener_ != nullptr; }
  void stop_listening();
  bool busy() const;  // a connection is there, if only to its client's end
  int port() const { return listener_ ? listener_->port() : 0; }
  std::size_t connections() const { return connections_.size() + half_closed_.size(); }

 private:
  class Connection;
  void accept(event_loop::UniqueFd fd);
  void drop(Connection& connection);  // its client has ended it
  void end(Connection& connection);   // we do
  void reject_over_capacity(bool full);
  // The connection to close first, or null if every one is needed.
  std::shared_ptr<Connection> least_needed(event_loop::Millis now, bool full, bool crowded) const;
  event_loop::Millis stand_idle() const;
  std::size_t roomy() const { return max_connections_ * 5 / 8; }  // above it, room is made
  void list_bad(int status, const std::string& why);
  void sweep();

  event_loop::Loop& loop_;
  coordination::RequestRouter& router_;
  DecodeContext names_;
  std::size_t max_connections_;
  std::function<bool()> ready_;
  bool close_after_response_ = false;
  std::set<std::shared_ptr<Connection>> connections_;
  mutable event_loop::HalfClosedConnections half_closed_{loop_};
  std::set<std::string> live_ids_;
  event_loop::TimerId sweep_{};
  int bad_ = 0;  // requests since listed_at_
  event_loop::Millis listed_at_ = 0;
  sockaddr_in address_;
  bool shared_ = false;
  std::unique_ptr<event_loop::Listener> listener_;
};

}  // namespace winchhall::http
