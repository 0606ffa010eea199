// The platform's front: HTTP/1.1 for clients.
#pragma once

#include <functional>
#include <memory>
#include <set>

#include "aggregator/coordination/exchange.hpp"
#include "aggregator/event_loop/lingering.hpp"
#include "aggregator/http/request.hpp"

namespace winchhall::platform {

class ClientFront {
 public:
  ClientFront(net::Loop& loop, core::Exchange& exchange, const sockaddr_in& address, ClientNames names,
              std::size_t connections, std::function<bool()> ready);
  // With other processes of this user, and only once listen() is called.
  struct Shared {};
  ClientFront(net::Loop& loop, core::Exchange& exchange, const sockaddr_in& address, ClientNames names,
              std::size_t connections, std::function<bool()> ready, Shared);
  ~ClientFront();

  // While `on`, an answer is the last one on its connection.
  void last_answers(bool on) { last_answers_ = on; }
  void close_idle();  // what stands between requests, once what has come on it is read
  // `shared` with another process: new connections come here from now on, though `others` listen as well.
  bool steer_here(int others) { return listener_ && listener_->steer_here(others); }
  void room(std::size_t connections) { most_ = connections; }
  void shards(int count) { names_.shards = count; }  // of other settings
  void listen();
  bool listens() const { return listener_ != nullptr; }
  void stop_listening();
  bool busy() const;  // a connection is there, if only to its client's end
  int port() const { return listener_ ? listener_->port() : 0; }
  std::size_t connections() const { return connections_.size() + lingering_.size(); }

 private:
  class Connection;
  void accept(net::UniqueFd fd);
  void drop(Connection& connection);  // its client has ended it
  void end(Connection& connection);   // we do
  void shed(bool full);
  net::Millis stand_idle() const;
  std::size_t roomy() const { return most_ * 5 / 8; }  // above it, room is made
  void list_bad(int status, const std::string& why);
  void sweep();

  net::Loop& loop_;
  core::Exchange& exchange_;
  ClientNames names_;
  std::size_t most_;
  std::function<bool()> ready_;
  bool last_answers_ = false;
  std::set<std::shared_ptr<Connection>> connections_;
  mutable net::Lingering lingering_{loop_};
  std::set<std::string> live_ids_;
  net::TimerId sweep_{};
  int bad_ = 0;  // requests since listed_at_
  net::Millis listed_at_ = 0;
  sockaddr_in address_;
  bool shared_ = false;
  std::unique_ptr<net::Listener> listener_;
};

}  // namespace winchhall::platform
