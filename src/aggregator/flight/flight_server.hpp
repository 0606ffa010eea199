// The second front: Arrow Flight for clients. GetFlightInfo and GetSchema describe a query's answer, DoGet
// runs the query; grpc-timeout is its deadline.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "aggregator/coordination/exchange.hpp"
#include "aggregator/event_loop/stream.hpp"

namespace winchhall::flight {

class FlightServer {
 public:
  FlightServer(net::Loop& loop, core::Exchange& exchange, const sockaddr_in& address, int shards,
               std::uint64_t seed, std::size_t connections, bool spans = false, bool shared = false);
  ~FlightServer();

  void wind_down();                             // calls that are here are finished, no new ones are taken
  void take_again() { winding_down_ = false; }  // on new connections; those of before are told to go
  void stop_listening() { listener_.close(); }
  bool busy() const;
  int port() const { return listener_.port(); }
  std::size_t connections() const { return connections_.size(); }

 private:
  class Connection;
  void accept(net::UniqueFd fd);
  void drop(Connection& connection);
  void sweep();
  std::string fresh_id();

  net::Loop& loop_;
  core::Exchange& exchange_;
  int shards_;
  bool spans_;  // a directory of ranges is followed: queries may name accounts
  std::uint64_t seed_, count_ = 0;
  std::size_t most_;
  bool winding_down_ = false;
  std::set<std::shared_ptr<Connection>> connections_;
  std::set<std::string> live_ids_;
  net::TimerId sweep_{};
  net::Listener listener_;
};

}  // namespace winchhall::flight
