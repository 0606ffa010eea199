// The carrier of the platform: parts in frames, over connections to leafs.
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
  std::size_t max_parts_per_frame = 1;       // parts in one frame
  std::size_t max_parts_per_connection = 1;  // parts on one connection
  event_loop::Millis connect_timeout = 250;  // ms
  event_loop::Millis idle_timeout = 30000;   // ms: the leaf closes a connection that stood idle so long
  std::size_t max_connections = 400;         // in all
  bool spans = false;                        // parts of spans are asked for, which a leaf may say not to have
};

class LeafPool final : public coordination::Transport {
 public:
  LeafPool(event_loop::Loop& loop, coordination::RequestRouter& router, LeafLimits limits);
  ~LeafPool();

  void launch(const coordination::AttemptRequest& order) override;
  void flush() override;
  void abandon(coordination::AttemptNumber attempt) override;
  void probe(const std::string& server, const std::string& endpoint) override;
  bool recall(coordination::AttemptNumber attempt) override;
  void close_idle(const std::string& server) override;
  void retire(const std::string& server) override;

  std::size_t connections() const { return connections_.size() + half_closed_.size(); }
  void set_limits(const LeafLimits& limits) { limits_ = limits; }  // from the next call on

 private:
  class Connection;
  using Call = std::vector<coordination::AttemptRequest>;
  void place(Call call);
  Connection* room(const coordination::AttemptRequest& first, std::size_t parts);
  Connection* open(const std::string& server, const std::string& endpoint);
  bool has_up(const Connection& beside) const;
  void open_additional(Connection& late);
  void came_up(Connection& first);
  void drop(Connection& connection);
  void sweep();

  event_loop::Loop& loop_;
  coordination::RequestRouter& router_;
  LeafLimits limits_;
  std::map<std::string, Call> gathered_;  // by server, this round
  std::unordered_map<coordination::AttemptNumber, Connection*> where_;
  std::vector<std::shared_ptr<Connection>> connections_;
  mutable event_loop::HalfClosedConnections half_closed_{loop_};
  event_loop::TimerId sweep_{};
};

}  // namespace winchhall::http
