// The carrier that calls ledger nodes over Arrow Flight: a part is one DoGet.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "aggregator/coordination/exchange.hpp"
#include "aggregator/event_loop/stream.hpp"

namespace winchhall::flight {

struct NodeLimits {
  std::size_t streams = 32;           // parts on one connection
  net::Millis connect_timeout = 250;  // ms
  net::Millis idle = 30000;           // ms: a connection that stood idle so long may be gone
  std::size_t connections = 400;      // in all
};

class FlightPool final : public core::Carrier {
 public:
  FlightPool(net::Loop& loop, core::Exchange& exchange, NodeLimits limits);
  ~FlightPool();

  void launch(const core::Order& order) override;
  void flush() override;
  void abandon(core::AttemptNumber attempt) override;
  bool recall(core::AttemptNumber attempt) override;
  void probe(const std::string& server, const std::string& endpoint) override;
  void close_idle(const std::string& server) override;
  void retire(const std::string& server) override;

  std::size_t connections() const { return connections_.size(); }

 private:
  class Connection;
  Connection* open(const core::Order& order);
  void drop(Connection& connection);
  void sweep();

  net::Loop& loop_;
  core::Exchange& exchange_;
  NodeLimits limits_;
  std::unordered_map<core::AttemptNumber, Connection*> where_;
  std::vector<std::shared_ptr<Connection>> connections_;
  net::TimerId sweep_{};
};

}  // namespace winchhall::flight
