// Test driver of a Coordinator: sets the time, builds events and keeps the actions that the last one caused.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "winchhall/coordinator.hpp"

namespace winchhall::testing {

// One class with a target of 1 s; slow start over 10 s from a quarter of the capacity.
inline Settings plain_settings(int max_attempts = 3) {
  Settings s;
  ClassSettings c;
  c.name = "any";
  c.latency_target = 1000;
  c.deadline = 3000;
  s.classes.push_back(c);
  s.tick = 1;
  s.max_attempts = max_attempts;
  s.may_cancel = true;
  s.warm_up_time = 10000;
  s.warm_up_initial_share = 0.25;
  s.overload_multiple = 2;
  s.overload_time = 1000;
  return s;
}

// Owns the Coordinator. `now` is in ms and is set by the test or by advance().
class Driver {
 public:
  explicit Driver(Settings settings, std::uint64_t seed = 7) : coordinator(std::move(settings), seed, 0) {
    last = coordinator.start();
  }

  std::vector<Action>& event(const Event& e) { return last = coordinator.handle(now, e); }

  void servers(const std::vector<std::string>& names) {
    ServerList list;
    for (const auto& name : names) list.servers.push_back(entry(name));
    event(list);
  }
  static ServerEntry entry(const std::string& name, ServerState state = ServerState::ready) {
    ServerEntry e;
    e.server = name;
    e.state = state;
    return e;
  }
  void update_server(const ServerEntry& e) { event(ServerList{ServerList::Kind::changes, {e}}); }

  // Submits a query whose parts have equal weights and are all on shard 0.
  std::vector<Action>& query(const std::string& id, const std::vector<double>& hints, int query_class = 0,
                             Millis lasts = 3000) {
    QueryArrived q;
    q.query = id;
    q.query_class = query_class;
    q.give_up_at = now + lasts;
    for (std::size_t i = 0; i < hints.size(); ++i)
      q.parts.push_back({id + "/" + std::to_string(i), 0, 1.0 / static_cast<double>(hints.size()), hints[i]});
    return event(q);
  }

  std::vector<Action>& ended(const std::string& part, const std::string& server, Outcome outcome,
                             int attempt = 0, std::vector<double> report = {}) {
    AttemptEnded e;
    e.part = part;
    e.attempt = attempt;
    e.server = server;
    e.outcome = outcome;
    e.report = std::move(report);
    return event(e);
  }

  // Advances the time in steps of `step` ms and fires the timer at each; returns and keeps all actions.
  std::vector<Action> advance(Millis time, Millis step = 10) {
    std::vector<Action> all;
    for (Millis until = now + time; now < until;) {
      now += step;
      for (auto& a : event(TimerFired{0})) all.push_back(a);
    }
    return last = all;
  }

  // The kept actions of one type.
  template <class T>
  std::vector<T> actions_of() const {
    std::vector<T> found;
    for (const Action& a : last)
      if (const T* t = std::get_if<T>(&a)) found.push_back(*t);
    return found;
  }
  // The server that the part was sent to, or an empty string.
  std::string sent_to(const std::string& part) const {
    for (const SendPart& s : actions_of<SendPart>())
      if (s.part == part) return s.server;
    return "";
  }

  Millis now = 0;
  Coordinator coordinator;
  std::vector<Action> last;
};

}  // namespace winchhall::testing
