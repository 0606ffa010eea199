// The carrier of the platform: parts in frames, over connections to leafs.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "aggregator/coordination/exchange.hpp"
#include "aggregator/event_loop/lingering.hpp"

namespace winchhall::platform {

struct LeafLimits {
  std::size_t batch = 1;              // parts in one frame
  std::size_t streams = 1;            // parts on one connection
  net::Millis connect_timeout = 250;  // ms
  net::Millis idle = 30000;           // ms: the leaf closes a connection that stood idle so long
  std::size_t connections = 400;      // in all
  bool spans = false;                 // parts of spans are asked for, which a leaf may say not to have
};

class LeafPool final : public core::Carrier {
 public:
  LeafPool(net::Loop& loop, core::Exchange& exchange, LeafLimits limits);
  ~LeafPool();

  void launch(const core::Order& order) override;
  void flush() override;
  void abandon(core::AttemptNumber attempt) override;
  void probe(const std::string& server, const std::string& endpoint) override;
  bool recall(core::AttemptNumber attempt) override;
  void close_idle(const std::string& server) override;
  void retire(const std::string& server) override;

  std::size_t connections() const { return connections_.size() + lingering_.size(); }
  void limit(const LeafLimits& limits) { limits_ = limits; }  // from the next call on

 private:
  class Connection;
  using Call = std::vector<core::Order>;
  void place(Call call);
  Connection* room(const core::Order& first, std::size_t parts);
  Connection* open(const std::string& server, const std::string& endpoint);
  bool has_up(const Connection& beside) const;
  void open_beside(Connection& late);
  void came_up(Connection& first);
  void drop(Connection& connection);
  void sweep();

  net::Loop& loop_;
  core::Exchange& exchange_;
  LeafLimits limits_;
  std::map<std::string, Call> gathered_;  // by server, this round
  std::unordered_map<core::AttemptNumber, Connection*> where_;
  std::vector<std::shared_ptr<Connection>> connections_;
  mutable net::Lingering lingering_{loop_};
  net::TimerId sweep_{};
};

}  // namespace winchhall::platform
