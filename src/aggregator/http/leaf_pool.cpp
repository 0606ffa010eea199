#include "aggregator/http/leaf_pool.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "aggregator/http/leaf_connection.hpp"

namespace winchhall::http {

using coordination::AttemptNumber;
using coordination::Outcome;

namespace {
constexpr double kIdleTimeoutShare = 0.8;            // of the leaf's idle timeout, so that we close first
constexpr event_loop::Millis kSweepInterval = 1000;  // ms between checks for idle connections
constexpr std::size_t kMaxConnecting = 3;            // connections to one server being established at a time
}  // namespace

LeafPool::LeafPool(event_loop::Loop& loop, coordination::RequestRouter& router, LeafLimits limits)
    : loop_(loop), router_(router), limits_(limits) {
  sweep();
}

LeafPool::~LeafPool() {
  loop_.cancel(sweep_timer_);
  for (auto& c : connections_) c->close();
}

void LeafPool::launch(const coordination::AttemptRequest& request) {
  collected_[request.server].push_back(request);
}

void LeafPool::flush() {
  for (auto& [server, requests] : std::exchange(collected_, {})) {
    std::size_t max_parts = std::min(limits_.max_parts_per_frame, limits_.max_parts_per_connection);
    for (std::size_t at = 0; at < requests.size(); at += max_parts) {
      auto from = requests.begin() + static_cast<std::ptrdiff_t>(at);
      dispatch(Batch(from, from + static_cast<std::ptrdiff_t>(std::min(max_parts, requests.size() - at))));
    }
  }
}

void LeafPool::dispatch(Batch batch) {
  Connection* c = find_connection(batch.front(), batch.size());
  if (!c) c = open(batch.front().server, batch.front().endpoint);
  if (c) return c->add(std::move(batch));
  // No connection: descriptors or the connection limit are exhausted. Nothing was sent.
  for (const coordination::AttemptRequest& request : batch)
    router_.attempt_ended(request.attempt, {.outcome = Outcome::unsent, .written = false});
}

// Prefers established connections, and among those the one with most attempts that has room, so that surplus
// connections become idle and are closed.
LeafPool::Connection* LeafPool::find_connection(const coordination::AttemptRequest& first,
                                                std::size_t parts) {
  for (;;) {
    Connection* best = nullptr;
    for (auto& c : connections_)
      if (c->has_room_for(first, parts) &&
          (!best || std::pair(c->established(), c->attempt_count()) >
                        std::pair(best->established(), best->attempt_count())))
        best = c.get();
    if (!best || !best->established() || !best->idle()) return best;
    // Detects whether the leaf has already closed the connection as idle: of a part written to it, nobody
    // could tell whether it was executed.
    best->read_arrived();
    if (best->has_room_for(first, parts)) return best;
  }
}

LeafPool::Connection* LeafPool::open(const std::string& server, const std::string& endpoint) {
  if (connections() >= limits_.max_connections && !half_closed_.close_oldest()) {
    auto idle = std::find_if(connections_.begin(), connections_.end(), [](auto& c) { return c->idle(); });
    if (idle == connections_.end()) return nullptr;
    drop(**idle);
  }
  auto c = std::make_shared<Connection>(*this, server, endpoint);
  if (!c->start()) return nullptr;
  connections_.push_back(c);
  return c.get();
}

bool LeafPool::has_other_established(const Connection& connection) const {
  return std::any_of(connections_.begin(), connections_.end(), [&](const auto& c) {
    return c.get() != &connection && c->connects_to(connection.server(), connection.endpoint()) &&
           c->established() && !c->retired();
  });
}

void LeafPool::open_additional(Connection& slow) {
  auto connecting = std::count_if(connections_.begin(), connections_.end(), [&](const auto& c) {
    return c->connects_to(slow.server(), slow.endpoint()) && !c->established();
  });
  // Only an optimization of latency, so it never closes another connection.
  if (static_cast<std::size_t>(connecting) < kMaxConnecting && connections() < limits_.max_connections)
    open(slow.server(), slow.endpoint());
}

// Moves attempts queued on connections still being established to this one, as far as it has room.
void LeafPool::on_established(Connection& connection) {
  auto copy = connections_;
  for (auto& c : copy) {
    if (c.get() == &connection || c->established() ||
        !c->connects_to(connection.server(), connection.endpoint()))
      continue;
    for (Batch& batch : c->take_queued()) {
      bool fits = std::all_of(batch.begin(), batch.end(), [&](const coordination::AttemptRequest& request) {
        return connection.has_room_for(request, batch.size());
      });
      (fits ? connection : *c).add(std::move(batch));
    }
    if (c->idle()) drop(*c);  // no longer needed
  }
}

void LeafPool::drop(Connection& connection) {
  auto it =
      std::find_if(connections_.begin(), connections_.end(), [&](auto& c) { return c.get() == &connection; });
  if (it == connections_.end()) return;
  connection.retire();
  half_closed_.add(connection.linger());
  loop_.destroy_later(std::move(*it));
  connections_.erase(it);
}

bool LeafPool::recall(AttemptNumber attempt) {
  std::size_t removed = 0;
  for (auto& [server, requests] : collected_)
    removed += std::erase_if(requests, [&](auto& request) { return request.attempt == attempt; });
  if (removed > 0) return true;
  auto it = connection_of_attempt_.find(attempt);
  if (it == connection_of_attempt_.end() || !it->second->recall(attempt)) return false;
  connection_of_attempt_.erase(it);
  return true;
}

void LeafPool::abandon(AttemptNumber attempt) {
  for (auto& [server, requests] : collected_)
    std::erase_if(requests, [&](auto& request) { return request.attempt == attempt; });
  auto it = connection_of_attempt_.find(attempt);
  if (it == connection_of_attempt_.end()) return;
  Connection* c = it->second;
  connection_of_attempt_.erase(it);
  c->abandon(attempt);
}

void LeafPool::probe(const std::string& server, const std::string& endpoint) {
  coordination::AttemptRequest any{.server = server, .endpoint = endpoint};
  Connection* c = find_connection(any, 0);
  if (!c) c = open(server, endpoint);
  if (c) return c->probe();
  router_.probe_ended(server, Outcome::unsent, 0, {});
}

void LeafPool::close_idle(const std::string& server) {
  auto copy = connections_;
  for (auto& c : copy)
    if (c->server() == server && c->idle()) drop(*c);
}

void LeafPool::retire(const std::string& server) {
  for (auto& c : connections_)
    if (c->server() == server) c->retire();
  close_idle(server);
}

// Leafs close idle connections after their timeout; a part written after that would end with a reset.
void LeafPool::sweep() {
  event_loop::Millis now = loop_.now();
  auto copy = connections_;
  for (auto& c : copy)
    if (c->idle_since(now - kIdleTimeoutShare * limits_.idle_timeout) || (c->retired() && c->idle()))
      drop(*c);
  sweep_timer_ = loop_.run_at(now + kSweepInterval, [this] { sweep(); });
}

}  // namespace winchhall::http
