#include "aggregator/flight/flight_server.hpp"

#include <algorithm>

#include "aggregator/flight/flight_server_connection.hpp"

namespace winchhall::flight {
namespace {
constexpr event_loop::Millis kCheckInterval = 200;  // ms between checks for stalled connections and calls
}  // namespace

FlightServer::FlightServer(event_loop::Loop& loop, coordination::RequestRouter& router,
                           const sockaddr_in& address, const FlightServerOptions& options)
    : loop_(loop),
      router_(router),
      options_(options),
      listener_(
          loop, address, [this](event_loop::UniqueFd fd) { accept(std::move(fd)); }, options.shares_port) {
  check_connections();
}

FlightServer::~FlightServer() {
  loop_.cancel(check_timer_);
  for (auto& connection : connections_) connection->close();
}

// Works on a copy, because a check may remove connections.
void FlightServer::check_connections() {
  const auto connections = connections_;
  for (const auto& connection : connections) connection->check(loop_.now());
  check_timer_ = loop_.run_at(loop_.now() + kCheckInterval, [this] { check_connections(); });
}

void FlightServer::accept(event_loop::UniqueFd fd) {
  if (connections_.size() >= options_.max_connections || is_draining_) return;  // closes the descriptor
  auto connection = std::make_shared<Connection>(*this);
  connections_.insert(connection);
  connection->begin(std::move(fd));
}

void FlightServer::remove(Connection& connection) {
  auto removed = connection.shared_from_this();
  if (connections_.erase(removed) > 0) loop_.destroy_later(std::move(removed));
}

std::string FlightServer::next_query_id() {
  return "f" + std::to_string(options_.seed) + "-" + std::to_string(++generated_query_ids_);
}

void FlightServer::begin_drain() {
  is_draining_ = true;
  const auto connections = connections_;
  for (const auto& connection : connections) connection->begin_drain();
}

bool FlightServer::busy() const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& connection) { return connection->busy(); });
}

}  // namespace winchhall::flight
