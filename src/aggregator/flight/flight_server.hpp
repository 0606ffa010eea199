// Arrow Flight front end for clients. GetFlightInfo and GetSchema describe a query's answer, DoGet runs the
// query; grpc-timeout is its deadline. docs/flight.md has the calls and statuses.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "aggregator/coordination/request_router.hpp"
#include "aggregator/event_loop/stream.hpp"

namespace winchhall::flight {

// Configuration of the front end.
struct FlightServerOptions {
  int shard_count = 0;
  std::uint64_t seed = 0;           // part of the ids generated for queries without one
  std::size_t max_connections = 0;  // further ones are closed at once
  bool allows_spans = false;        // queries may name account ranges
  bool shares_port = false;         // other processes of this installation listen on the same port
};

// Each query gets exactly one response. Loop and router must outlive the server; everything runs on the
// loop's thread.
class FlightServer {
 public:
  FlightServer(event_loop::Loop& loop, coordination::RequestRouter& router, const sockaddr_in& address,
               const FlightServerOptions& options);
  ~FlightServer();

  // Draining: open calls are finished, clients receive GOAWAY, and no connection is accepted.
  void begin_drain();
  // New connections are accepted again. Those that have received GOAWAY stay closed to new calls.
  void end_drain() { is_draining_ = false; }
  void stop_listening() { listener_.close(); }
  // Whether a call is open or a response isn't sent completely.
  bool busy() const;
  int port() const { return listener_.port(); }
  std::size_t connections() const { return connections_.size(); }

 private:
  class Connection;  // flight_server_connection.hpp
  void accept(event_loop::UniqueFd fd);
  void remove(Connection& connection);
  void check_connections();
  std::string next_query_id();

  event_loop::Loop& loop_;
  coordination::RequestRouter& router_;
  const FlightServerOptions options_;
  std::uint64_t generated_query_ids_ = 0;
  bool is_draining_ = false;
  std::set<std::shared_ptr<Connection>> connections_;
  std::set<std::string> open_query_ids_;
  event_loop::TimerId check_timer_{};
  event_loop::Listener listener_;
};

}  // namespace winchhall::flight
