// Transport to leafs: sends attempts in frames over pooled TCP connections.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "aggregator/coordination/request_router.hpp"
#include "aggregator/event_loop/half_closed_connections.hpp"

namespace winchhall::http {

struct LeafLimits {
  std::size_t max_parts_per_frame = 1;
  std::size_t max_parts_per_connection = 1;  // at a time
  event_loop::Millis connect_timeout = 250;  // ms
  event_loop::Millis idle_timeout = 30000;   // ms, after which a leaf closes an idle connection
  std::size_t max_connections = 400;         // to all leafs
  bool spans = false;  // parts of spans are sent, to which a leaf may answer kMisdirected
};

// Owns the connections to all leafs. Collects the attempts of one round and sends those for the same server
// together in flush(). Each attempt is reported to the router once, unless it is recalled or abandoned. Runs
// on the event loop; `loop` and `router` must outlive it. See coordination::Transport for the overridden
// functions.
class LeafPool final : public coordination::Transport {
 public:
  LeafPool(event_loop::Loop& loop, coordination::RequestRouter& router, LeafLimits limits);
  ~LeafPool();

  void launch(const coordination::AttemptRequest& request) override;
  void flush() override;
  void abandon(coordination::AttemptNumber attempt) override;
  void probe(const std::string& server, const std::string& endpoint) override;
  bool recall(coordination::AttemptNumber attempt) override;
  void close_idle(const std::string& server) override;
  void retire(const std::string& server) override;

  // Open connections, lingering ones included.
  std::size_t connections() const { return connections_.size() + half_closed_.size(); }
  void set_limits(const LeafLimits& limits) { limits_ = limits; }  // for frames sent from now on

 private:
  class Connection;
  using Batch = std::vector<coordination::AttemptRequest>;  // the attempts of one frame
  void dispatch(Batch batch);
  Connection* find_connection(const coordination::AttemptRequest& first, std::size_t parts);
  Connection* open(const std::string& server, const std::string& endpoint);
  bool has_other_established(const Connection& connection) const;
  void open_additional(Connection& slow);
  void on_established(Connection& connection);
  void drop(Connection& connection);
  void sweep();

  event_loop::Loop& loop_;
  coordination::RequestRouter& router_;
  LeafLimits limits_;
  std::map<std::string, Batch> collected_;  // by server, until flush()
  std::unordered_map<coordination::AttemptNumber, Connection*> connection_of_attempt_;
  std::vector<std::shared_ptr<Connection>> connections_;
  mutable event_loop::HalfClosedConnections half_closed_{loop_};
  event_loop::TimerId sweep_timer_{};
};

}  // namespace winchhall::http
