// Slow start: the work that one instance has sent to one warming server.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>

#include "winchhall/coordinator.hpp"

namespace winchhall::detail {

// The work, in ms, that may reach a server within one window of time. A part counts from its sending until
// its answer shows that it arrived before the window: parts that wait in a connection while the server or
// this process is stalled arrive together, however far apart they were sent. Not thread-safe.
class WarmUpWindow {
 public:
  using SendId = std::uint64_t;  // chosen by the caller, unique over all servers; 0: no part

  void add(SendId id, Millis now, Millis work) { sends_[id] = {now, work, true}; }

  // The attempt has ended: the part arrived at `now` minus its work at the latest.
  void on_attempt_ended(SendId id, Millis now) {
    auto found = sends_.find(id);
    if (found == sends_.end() || !found->second.in_flight) return;
    Send& send = found->second;
    send.in_flight = false;
    send.counted_at = std::max(send.counted_at, now - send.work);
  }

  // The part was not sent after all.
  void remove(SendId id) { sends_.erase(id); }

  // The server has restarted: what is in flight went to its previous process.
  void on_restart() {
    for (auto& [id, send] : sends_) send.in_flight = false;
  }

  // Work in ms that may arrive from `begin` on. Forgets what arrived before: `begin` must not decrease.
  Millis work_since(Millis begin) {
    std::erase_if(sends_,
                  [&](const auto& sent) { return !sent.second.in_flight && sent.second.counted_at < begin; });
    Millis sum = 0;
    for (const auto& [id, send] : sends_) sum += send.work;
    return sum;
  }

  bool empty() const { return sends_.empty(); }

 private:
  struct Send {
    Millis counted_at = 0, work = 0;
    bool in_flight = false;
  };
  std::map<SendId, Send> sends_;
};

}  // namespace winchhall::detail
