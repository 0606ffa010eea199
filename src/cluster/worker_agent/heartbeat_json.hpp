// JSON encoding of the leaf's heartbeats and of the responses to them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/common/errors.hpp"
#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// One heartbeat, as the leaf sent it.
struct Heartbeat {
  wire::LeafDescription leaf;
  std::optional<std::uint64_t> sequence;  // rises with every call of one incarnation of the leaf
  std::vector<wire::RunningTask> running;
  std::vector<wire::FinishedTask> finished;
};

// The response to a heartbeat. Parts that are empty or zero are left out of the JSON.
struct HeartbeatResponse {
  // `hold_ms`: how long the leaf may go on running its tasks, from the sending of its heartbeat.
  std::optional<Millis> lease;
  std::uint64_t last_seen = 0;    // finished tasks up to this number may be dropped from the list
  std::uint64_t fence_token = 0;  // the leader's epoch: the leaf ignores responses with a lower one
  std::vector<wire::StartOrder> starts;
  std::vector<wire::StopOrder> stops;
  Millis retry_after{0};  // pause before the next heartbeat
};

// Parses a heartbeat of the leaf `leaf_id`. Unknown fields are ignored. Errors: InvalidInput, with the field.
leaf::result<Heartbeat> parse_heartbeat(const std::string& leaf_id, std::string_view body);

// True for 1 to 128 printable ASCII characters without blanks and slashes.
bool is_valid_leaf_id(std::string_view leaf_id);

std::string heartbeat_response_json(const HeartbeatResponse& response);

// {"error":{"source","field","value","allowed"}}
std::string error_json(const InvalidInput& error);

// Upper bound of the bytes that a start takes up in the JSON of a response.
std::size_t max_encoded_bytes(const wire::StartOrder& start);

}  // namespace winchhall::cluster
