#include "cluster/worker_agent/leaf_handshake.hpp"

namespace winchhall::cluster {
namespace {

// Below the second for which a leaf waits for a response, by a clock that may run 2% slow.
constexpr Millis kMaxHeartbeatGap{900};

}  // namespace

bool LeafHandshake::observe(const Heartbeat& heartbeat, TimePoint now) {
  if (opening_ && is_prompt_successor(*opening_, heartbeat, now)) {
    opening_.reset();
    return true;
  }
  opening_ = Opening{heartbeat.leaf.leaf_id(), heartbeat.sequence, heartbeat.clock_ms, now};
  return false;
}

bool LeafHandshake::is_prompt_successor(const Opening& opening, const Heartbeat& heartbeat, TimePoint now) {
  if (opening.leaf_id != heartbeat.leaf.leaf_id()) return false;
  if (opening.sequence && heartbeat.sequence && *heartbeat.sequence <= *opening.sequence) return false;
  if (now - opening.received_at >= kMaxHeartbeatGap) return false;
  if (!opening.leaf_clock_ms || !heartbeat.clock_ms) return true;
  const std::uint64_t gap_ms = *heartbeat.clock_ms - *opening.leaf_clock_ms;
  return *heartbeat.clock_ms > *opening.leaf_clock_ms && Millis(gap_ms) < kMaxHeartbeatGap;
}

}  // namespace winchhall::cluster
