// Parsing of a leaf's heartbeats and encoding of the responses, both in JSON.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/common/errors.hpp"
#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// A parsed heartbeat of a leaf.
struct Heartbeat {
  wire::LeafDescription leaf;
  std::optional<std::uint64_t> sequence;  // increases with every call of one incarnation of the leaf
  std::optional<std::uint64_t> clock_ms;  // the leaf's steady clock when it sent the heartbeat
  std::vector<wire::RunningTask> running;
  std::vector<wire::FinishedTask> finished;
};

// The response to a heartbeat. Fields that are empty or zero are omitted from the JSON.
struct HeartbeatResponse {
  // How long the leaf may continue to run its tasks, counted from the time that it sent its heartbeat. Called
  // `hold_ms` in the JSON.
  std::optional<Millis> lease;
  std::uint64_t last_seen = 0;    // the leaf may drop finished tasks up to this number from its list
  std::uint64_t fence_token = 0;  // the leader's epoch; the leaf ignores responses with a lower one
  std::vector<wire::StartOrder> starts;
  std::vector<wire::StopOrder> stops;
  Millis retry_after{0};  // pause before the next heartbeat
};

// Parses a heartbeat of the leaf `leaf_id`. Unknown fields are ignored. Fails with InvalidInput, which names
// the field.
leaf::result<Heartbeat> parse_heartbeat(const std::string& leaf_id, std::string_view body);

// Returns true if the id consists of 1 to 128 printable ASCII characters without spaces and slashes.
bool is_valid_leaf_id(std::string_view leaf_id);

// Encodes a response.
std::string heartbeat_response_json(const HeartbeatResponse& response);

// Encodes an error as {"error":{"source","field","value","allowed"}}.
std::string error_json(const InvalidInput& error);

// Returns an upper bound of the bytes that a start order takes up in the JSON of a response.
std::size_t max_encoded_bytes(const wire::StartOrder& start);

}  // namespace winchhall::cluster
