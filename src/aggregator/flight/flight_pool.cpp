#include "aggregator/flight/flight_pool.hpp"

#include <algorithm>

#include "aggregator/flight/flight_pool_connection.hpp"

namespace winchhall::flight {

using coordination::AttemptNumber;
using coordination::AttemptRequest;
using coordination::Outcome;

namespace {
constexpr double kIdleTimeoutShare = 0.8;  // of the node's idle timeout, so that this side closes first
constexpr event_loop::Millis kCloseInterval = 1000;  // ms between checks for unused connections
}  // namespace

FlightPool::FlightPool(event_loop::Loop& loop, coordination::RequestRouter& router, NodeLimits limits)
    : loop_(loop), router_(router), limits_(limits) {
  close_unused();
}

FlightPool::~FlightPool() {
  loop_.cancel(close_timer_);
  for (auto& connection : connections_) connection->close();
}

void FlightPool::launch(const AttemptRequest& request) {
  Connection* connection = find_connection(request);
  if (!connection) connection = open(request);
  if (connection) return connection->send(request);
  router_.attempt_ended(request.attempt, {.outcome = Outcome::unsent, .written = false});
}

FlightPool::Connection* FlightPool::find_connection(const AttemptRequest& request) {
  for (auto& connection : connections_)
    if (connection->has_capacity_for(request)) return connection.get();
  return nullptr;
}

FlightPool::Connection* FlightPool::open(const AttemptRequest& request) {
  if (connections_.size() >= limits_.max_connections) {
    auto idle = std::find_if(connections_.begin(), connections_.end(),
                             [](const auto& connection) { return connection->is_idle(); });
    if (idle == connections_.end()) return nullptr;
    remove(**idle);
  }
  auto connection = std::make_shared<Connection>(*this, request.server, request.endpoint);
  if (!connection->connect()) return nullptr;
  connections_.push_back(connection);
  return connection.get();
}

// Works on a copy, because sending may remove connections.
void FlightPool::flush() {
  const auto connections = connections_;
  for (const auto& connection : connections) connection->send_pending();
}

void FlightPool::remove(Connection& connection) {
  connection.close();
  auto it = std::find_if(connections_.begin(), connections_.end(),
                         [&](const auto& each) { return each.get() == &connection; });
  if (it == connections_.end()) return;
  loop_.destroy_later(std::move(*it));
  connections_.erase(it);
}

void FlightPool::abandon(AttemptNumber attempt) {
  auto it = connection_of_.find(attempt);
  if (it == connection_of_.end()) return;
  Connection* connection = it->second;
  connection_of_.erase(it);
  connection->abandon(attempt);
}

// Until its connection is established, a request is buffered in the codec, which can drop it unsent.
bool FlightPool::recall(AttemptNumber attempt) {
  auto it = connection_of_.find(attempt);
  if (it == connection_of_.end() || it->second->was_connected()) return false;
  Connection* connection = it->second;
  connection_of_.erase(it);
  connection->recall(attempt);
  return true;
}

// Flight has no call that returns only the load; responses carry it.
void FlightPool::probe(const std::string& server, const std::string&) {
  router_.probe_ended(server, Outcome::unsent, 0, {});
}

void FlightPool::close_idle(const std::string& server) {
  const auto connections = connections_;
  for (const auto& connection : connections)
    if (connection->server() == server && connection->is_idle()) remove(*connection);
}

void FlightPool::retire(const std::string& server) {
  for (auto& connection : connections_)
    if (connection->server() == server) connection->retire();
  close_idle(server);
}

void FlightPool::close_unused() {
  const event_loop::Millis now = loop_.now();
  const auto connections = connections_;
  for (const auto& connection : connections)
    if (connection->is_idle_since(now - kIdleTimeoutShare * limits_.idle_timeout) ||
        (connection->is_retired() && connection->is_idle()))
      remove(*connection);
  close_timer_ = loop_.run_at(now + kCloseInterval, [this] { close_unused(); });
}

}  // namespace winchhall::flight
