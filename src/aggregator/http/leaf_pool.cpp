#include "aggregator/http/leaf_pool.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "aggregator/http/leaf_connection.hpp"

namespace winchhall::http {

using coordination::AttemptNumber;
using coordination::Outcome;

namespace {
constexpr double kIdleShare = 0.8;           // of the leaf's idle time: we close first
constexpr event_loop::Millis kSweep = 1000;  // ms between looks for idle connections
constexpr std::size_t kComingUpMost = 3;  // connections to one server that come up at once, beside late ones
}  // namespace

LeafPool::LeafPool(event_loop::Loop& loop, coordination::RequestRouter& router, LeafLimits limits)
    : loop_(loop), router_(router), limits_(limits) {
  sweep();
}

LeafPool::~LeafPool() {
  loop_.cancel(sweep_);
  for (auto& c : connections_) c->close();
}

void LeafPool::launch(const coordination::AttemptRequest& order) { gathered_[order.server].push_back(order); }

void LeafPool::flush() {
  for (auto& [server, orders] : std::exchange(gathered_, {})) {
    std::size_t most = std::min(limits_.max_parts_per_frame, limits_.max_parts_per_connection);
    for (std::size_t at = 0; at < orders.size(); at += most) {
      auto from = orders.begin() + static_cast<std::ptrdiff_t>(at);
      place(Call(from, from + static_cast<std::ptrdiff_t>(std::min(most, orders.size() - at))));
    }
  }
}

void LeafPool::place(Call call) {
  Connection* c = room(call.front(), call.size());
  if (!c) c = open(call.front().server, call.front().endpoint);
  if (c) return c->add(std::move(call));
  // Out of descriptors, or of the connections we allow ourselves: nothing was sent.
  for (const coordination::AttemptRequest& o : call)
    router_.attempt_ended(o.attempt, {.outcome = Outcome::unsent, .written = false});
}

// One that is up before one that still comes up; of those the fullest that has room: spare connections fall
// idle and close.
LeafPool::Connection* LeafPool::room(const coordination::AttemptRequest& first, std::size_t parts) {
  for (;;) {
    Connection* best = nullptr;
    for (auto& c : connections_)
      if (c->takes(first, parts) &&
          (!best || std::pair(c->up(), c->live()) > std::pair(best->up(), best->live())))
        best = c.get();
    if (!best || !best->up() || !best->idle()) return best;
    // Guards against a part written to a connection that its leaf has closed as idle: it may have run then,
    // as far as anybody can tell.
    best->look();
    if (best->takes(first, parts)) return best;
  }
}

LeafPool::Connection* LeafPool::open(const std::string& server, const std::string& endpoint) {
  if (connections() >= limits_.max_connections && !half_closed_.close_oldest()) {
    auto idle = std::find_if(connections_.begin(), connections_.end(), [](auto& c) { return c->idle(); });
    if (idle == connections_.end()) return nullptr;
    drop(**idle);
  }
  auto c = std::make_shared<Connection>(*this, server, endpoint);
  if (!c->begin()) return nullptr;
  connections_.push_back(c);
  return c.get();
}

bool LeafPool::has_up(const Connection& beside) const {
  return std::any_of(connections_.begin(), connections_.end(), [&](const auto& c) {
    return c.get() != &beside && c->goes_to(beside.server(), beside.endpoint()) && c->up() && !c->retired();
  });
}

void LeafPool::open_additional(Connection& late) {
  auto coming = std::count_if(connections_.begin(), connections_.end(), [&](const auto& c) {
    return c->goes_to(late.server(), late.endpoint()) && !c->up();
  });
  // Never by closing another: it is only for speed.
  if (static_cast<std::size_t>(coming) < kComingUpMost && connections() < limits_.max_connections)
    open(late.server(), late.endpoint());
}

// What waits for others that still come up goes out on this one, as far as it has room.
void LeafPool::came_up(Connection& first) {
  auto copy = connections_;
  for (auto& c : copy) {
    if (c.get() == &first || c->up() || !c->goes_to(first.server(), first.endpoint())) continue;
    for (Call& call : c->take_waiting()) {
      bool fits = std::all_of(call.begin(), call.end(), [&](const coordination::AttemptRequest& o) {
        return first.takes(o, call.size());
      });
      (fits ? first : *c).add(std::move(call));
    }
    if (c->idle()) drop(*c);  // nothing needs it any more
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
  std::size_t gathered = 0;
  for (auto& [server, orders] : gathered_)
    gathered += std::erase_if(orders, [&](auto& o) { return o.attempt == attempt; });
  if (gathered > 0) return true;
  auto it = where_.find(attempt);
  if (it == where_.end() || !it->second->recall(attempt)) return false;
  where_.erase(it);
  return true;
}

void LeafPool::abandon(AttemptNumber attempt) {
  for (auto& [server, orders] : gathered_)
    std::erase_if(orders, [&](auto& o) { return o.attempt == attempt; });
  auto it = where_.find(attempt);
  if (it == where_.end()) return;
  Connection* c = it->second;
  where_.erase(it);
  c->abandon(attempt);
}

void LeafPool::probe(const std::string& server, const std::string& endpoint) {
  coordination::AttemptRequest any{.server = server, .endpoint = endpoint};
  Connection* c = room(any, 0);
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

// A leaf closes what stood idle for its time; a part written from then on would end as a reset.
void LeafPool::sweep() {
  event_loop::Millis now = loop_.now();
  auto copy = connections_;
  for (auto& c : copy)
    if (c->idle_since(now - kIdleShare * limits_.idle_timeout) || (c->retired() && c->idle())) drop(*c);
  sweep_ = loop_.run_at(now + kSweep, [this] { sweep(); });
}

}  // namespace winchhall::http
