// The leaf's language: heartbeats from it and the answers to them, as JSON (Boost.JSON).
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
  std::optional<std::uint64_t> sequence;  // rises with every call of one life
  std::vector<wire::RunningTask> running;
  std::vector<wire::FinishedTask> finished;
};

// What an answer to a heartbeat tells the leaf. Parts that say nothing are left out of the JSON.
struct HeartbeatResponse {
  std::optional<Millis> hold;  // counted by the leaf from the sending of its heartbeat
  std::uint64_t last_seen = 0;
  std::uint64_t fence_token = 0;
  std::vector<wire::StartOrder> starts;
  std::vector<wire::StopOrder> stops;
  Millis retry_after{0};
};

// Reads the heartbeat of the leaf `leaf_id`. Errors: InvalidInput. Unknown fields are ignored.
leaf::result<Heartbeat> parse_heartbeat(const std::string& leaf_id, std::string_view body);

// True if a leaf may have this id: printable ASCII, not too long.
bool is_valid_leaf_id(std::string_view leaf_id);

std::string heartbeat_response_json(const HeartbeatResponse& answer);

// {"error":{"source","field","value","allowed"}}
std::string error_json(const InvalidInput& error);

// Most bytes that an order may take up in the JSON text of an answer.
std::size_t max_encoded_bytes(const wire::StartOrder& start);

}  // namespace winchhall::cluster
