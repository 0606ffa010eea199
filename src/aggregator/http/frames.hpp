// Binary frames between aggregators and leafs: a length of 4 bytes (little-endian, of the rest of the frame),
// a type byte, and the payload.
//
// Types: D one or more parts to compute, O the response to a part, K a part to cancel, U and I probes and
// their responses with a load report, Z an error message of a leaf about a frame.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "aggregator/coordination/request_router.hpp"

namespace winchhall::http {

constexpr std::size_t kMaxAnswerLineBytes = 4 * 1024;  // first line of an O frame
// A value is returned in an HTTP body of at most 64 KiB, so a valid frame is not longer.
constexpr std::size_t kMaxFrameBytes = 64 * 1024 + kMaxAnswerLineBytes;

struct Frame {
  char type = 0;
  std::string payload{};
};

// Payload of an O frame.
struct PartAnswer {
  std::string part{};  // its id
  int status = 0;      // 200, 500, 503 or kMisdirected
  coordination::Load load{};
  std::string value{};
};

constexpr int kMisdirected = 421;  // status for parts of spans only: the node does not hold the range

std::string make_frame(char type, std::string_view payload);
// Removes a complete frame from the front of `in`; nothing if it is still incomplete. Sets `bad` as soon as
// the bytes cannot become a valid frame (impossible length, unknown type, overlong first line), so that the
// rest is neither awaited nor buffered.
std::optional<Frame> take_frame(std::string& in, bool& bad);
// Encodes a part for a D frame. `wait_ms`: time left for its computation.
std::string encode_part(std::string_view part, int shard, long long wait_ms, std::string_view text);
// Likewise for a part of a span: the range id takes the place of the shard; interval and revision of the
// range map are added to the options.
std::string encode_span_part(std::string_view part, const coordination::AttemptRequest& request,
                             long long wait_ms);
// Parses the payload of an O frame; nothing if it is malformed. An unreadable load report is ignored.
std::optional<PartAnswer> read_answer(const std::string& payload);
// Parses a load report (name=value items, comma-separated); unknown names and invalid values are ignored.
coordination::Load read_load(std::string_view report);

}  // namespace winchhall::http
