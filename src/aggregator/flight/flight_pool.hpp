// Transport that calls ledger nodes over Arrow Flight: a part is one DoGet.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "aggregator/coordination/request_router.hpp"
#include "aggregator/event_loop/stream.hpp"

namespace winchhall::flight {

// Limits of the connections to ledger nodes.
struct NodeLimits {
  std::size_t max_parts_per_connection = 32;  // in flight
  event_loop::Millis connect_timeout = 250;   // ms
  event_loop::Millis idle_timeout = 30000;    // ms after which a node closes an idle connection
  std::size_t max_connections = 400;          // to all nodes together
};

// Connections to the nodes, opened on demand. Every launched attempt that is neither abandoned nor recalled
// ends with exactly one RequestRouter::attempt_ended(). Loop and router must outlive the pool; everything
// runs on the loop's thread.
class FlightPool final : public coordination::Transport {
 public:
  FlightPool(event_loop::Loop& loop, coordination::RequestRouter& router, NodeLimits limits);
  ~FlightPool();

  void launch(const coordination::AttemptRequest& request) override;
  void flush() override;
  void abandon(coordination::AttemptNumber attempt) override;
  bool recall(coordination::AttemptNumber attempt) override;
  void probe(const std::string& server, const std::string& endpoint) override;
  void close_idle(const std::string& server) override;
  void retire(const std::string& server) override;

  std::size_t connections() const { return connections_.size(); }

 private:
  class Connection;  // flight_pool_connection.hpp
  Connection* find_connection(const coordination::AttemptRequest& request);
  Connection* open(const coordination::AttemptRequest& request);
  void remove(Connection& connection);
  void close_unused();

  event_loop::Loop& loop_;
  coordination::RequestRouter& router_;
  const NodeLimits limits_;
  std::unordered_map<coordination::AttemptNumber, Connection*> connection_of_;  // by attempt in flight
  std::vector<std::shared_ptr<Connection>> connections_;
  event_loop::TimerId close_timer_{};
};

}  // namespace winchhall::flight
