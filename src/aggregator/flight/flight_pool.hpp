// The carrier that calls ledger nodes over Arrow Flight: a part is one DoGet.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "aggregator/coordination/request_router.hpp"
#include "aggregator/event_loop/stream.hpp"

namespace winchhall::flight {

struct NodeLimits {
  std::size_t streams = 32;                  // parts on one connection
  event_loop::Millis connect_timeout = 250;  // ms
  event_loop::Millis idle = 30000;           // ms: a connection that stood idle so long may be gone
  std::size_t connections = 400;             // in all
};

class FlightPool final : public coordination::Transport {
 public:
  FlightPool(event_loop::Loop& loop, coordination::RequestRouter& router, NodeLimits limits);
  ~FlightPool();

  void launch(const coordination::AttemptRequest& order) override;
  void flush() override;
  void abandon(coordination::AttemptNumber attempt) override;
  bool recall(coordination::AttemptNumber attempt) override;
  void probe(const std::string& server, const std::string& endpoint) override;
  void close_idle(const std::string& server) override;
  void retire(const std::string& server) override;

  std::size_t connections() const { return connections_.size(); }

 private:
  class Connection;
  Connection* open(const coordination::AttemptRequest& order);
  void drop(Connection& connection);
  void sweep();

  event_loop::Loop& loop_;
  coordination::RequestRouter& router_;
  NodeLimits limits_;
  std::unordered_map<coordination::AttemptNumber, Connection*> where_;
  std::vector<std::shared_ptr<Connection>> connections_;
  event_loop::TimerId sweep_{};
};

}  // namespace winchhall::flight
