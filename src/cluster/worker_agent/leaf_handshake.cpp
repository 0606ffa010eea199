#include "cluster/worker_agent/leaf_handshake.hpp"

namespace winchhall::cluster {
namespace {

// Below the second for which a leaf waits for a response, by a clock that may run 2% slow.
constexpr Millis kMaxHeartbeatGap{900};
constexpr Millis kMaxLateness{5000};  // of a heartbeat

}  // namespace

bool LeafHandshake::observe(const Heartbeat& heartbeat, TimePoint now) {
  const bool succeeds = opening_ && is_successor(*opening_, heartbeat);
  if (succeeds &&
      (is_prompt(*opening_, heartbeat, now) || now - opening_->first_received_at >= kMaxLateness)) {
    opening_.reset();
    return true;
  }
  const TimePoint first_received_at = succeeds ? opening_->first_received_at : now;
  opening_ =
      Opening{heartbeat.leaf.leaf_id(), heartbeat.sequence, heartbeat.clock_ms, now, first_received_at};
  return false;
}

bool LeafHandshake::is_successor(const Opening& opening, const Heartbeat& heartbeat) {
  if (opening.leaf_id != heartbeat.leaf.leaf_id()) return false;
  return !opening.sequence || !heartbeat.sequence || *heartbeat.sequence > *opening.sequence;
}

bool LeafHandshake::is_prompt(const Opening& opening, const Heartbeat& heartbeat, TimePoint now) {
  if (now - opening.received_at >= kMaxHeartbeatGap) return false;
  if (!opening.leaf_clock_ms || !heartbeat.clock_ms) return true;
  const std::uint64_t gap_ms = *heartbeat.clock_ms - *opening.leaf_clock_ms;
  return *heartbeat.clock_ms > *opening.leaf_clock_ms && Millis(gap_ms) < kMaxHeartbeatGap;
}

}  // namespace winchhall::cluster
