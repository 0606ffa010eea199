// Tells a leaf that runs and receives this process's responses from late heartbeats.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cluster/worker_agent/heartbeat_json.hpp"

namespace winchhall::cluster {

// Makes sure that the lists of a leaf that this process doesn't know yet are the present ones. A heartbeat
// may arrive seconds late: since it was sent, an earlier process of the worker-agent may have given the leaf
// orders, or the leaf may have ended. The process can't see that, as sequence numbers and earlier leaves are
// lost with the process that knew them.
//
// Handshake: the leaf's heartbeat soon gets a response without lease and orders. The leaf is known with a
// heartbeat that it sent shortly after the one that was responded to. A leaf sends one heartbeat at a time
// and waits for longer than that before it gives up, so it has received the response, and the second
// heartbeat shows all that earlier processes have ordered. A leaf that ignores the responses, because their
// fencing token is too low, is known once it has sent heartbeats for longer than any of them is late. Not
// thread-safe.
class LeafHandshake {
 public:
  // Observes a heartbeat of a leaf that isn't known. Returns true if it completes the handshake; otherwise
  // the heartbeat must be responded to within less than the time that the leaf waits.
  bool observe(const Heartbeat& heartbeat, TimePoint now);

 private:
  // The newest heartbeat that was responded to.
  struct Opening {
    std::string leaf_id;
    std::optional<std::uint64_t> sequence;
    std::optional<std::uint64_t> leaf_clock_ms;
    TimePoint received_at{};
    TimePoint first_received_at{};  // of the heartbeats of this leaf in a row
  };

  static bool is_successor(const Opening& opening, const Heartbeat& heartbeat);
  // True if the leaf sent this successor after it had received the response to the opening.
  static bool is_prompt(const Opening& opening, const Heartbeat& heartbeat, TimePoint now);

  std::optional<Opening> opening_;
};

}  // namespace winchhall::cluster
