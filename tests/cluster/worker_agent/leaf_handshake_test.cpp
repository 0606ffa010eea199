#include "cluster/worker_agent/leaf_handshake.hpp"

#include <catch2/catch.hpp>

using namespace winchhall::cluster;

namespace {

constexpr std::uint64_t kLeafClockMs = 7'700'000;

// A heartbeat that the leaf i-1 sent `sent_ms` after its first one.
Heartbeat heartbeat(std::uint64_t sequence, std::uint64_t sent_ms, const std::string& leaf_id = "i-1") {
  Heartbeat heartbeat;
  heartbeat.leaf.set_leaf_id(leaf_id);
  heartbeat.sequence = sequence;
  heartbeat.clock_ms = kLeafClockMs + sent_ms;
  return heartbeat;
}

TimePoint at(std::int64_t ms) { return TimePoint(Millis(ms)); }

}  // namespace

TEST_CASE("a heartbeat that follows a responded one in quick succession completes the handshake") {
  LeafHandshake handshake;
  CHECK_FALSE(handshake.observe(heartbeat(5, 0), at(0)));
  CHECK(handshake.observe(heartbeat(6, 50), at(50)));
}

TEST_CASE(
    "a heartbeat that the leaf sent after it gave up on the one before does not complete the handshake") {
  LeafHandshake handshake;
  CHECK_FALSE(handshake.observe(heartbeat(5, 0), at(0)));
  CHECK_FALSE(handshake.observe(heartbeat(6, 1000), at(5)));  // both were late and arrive together
  CHECK(handshake.observe(heartbeat(9, 1060), at(65)));
}

TEST_CASE(
    "a heartbeat that is older than the one before, or of another leaf, does not complete the handshake") {
  LeafHandshake handshake;
  CHECK_FALSE(handshake.observe(heartbeat(5, 300), at(0)));
  CHECK_FALSE(handshake.observe(heartbeat(4, 280), at(20)));
  CHECK_FALSE(handshake.observe(heartbeat(6, 350, "i-2"), at(50)));
  CHECK_FALSE(handshake.observe(heartbeat(7, 400), at(100)));
}

TEST_CASE("a heartbeat that arrives long after the response does not complete the handshake") {
  LeafHandshake handshake;
  CHECK_FALSE(handshake.observe(heartbeat(5, 0), at(0)));
  CHECK_FALSE(handshake.observe(heartbeat(6, 50), at(2000)));
}

TEST_CASE("a leaf that ignores the responses is known after 5 s") {
  LeafHandshake handshake;
  for (std::uint64_t number = 0; number < 4; ++number)
    CHECK_FALSE(handshake.observe(heartbeat(5 + number, number * 1500),
                                  at(static_cast<std::int64_t>(number) * 1500)));
  CHECK(handshake.observe(heartbeat(9, 6000), at(6000)));
}

TEST_CASE("without a leaf's clock the time of arrival counts") {
  LeafHandshake handshake;
  Heartbeat first = heartbeat(5, 0);
  first.clock_ms.reset();
  Heartbeat late = heartbeat(6, 0);
  late.clock_ms.reset();
  Heartbeat prompt = heartbeat(7, 0);
  prompt.clock_ms.reset();
  CHECK_FALSE(handshake.observe(first, at(0)));
  CHECK_FALSE(handshake.observe(late, at(1000)));
  CHECK(handshake.observe(prompt, at(1050)));
}
