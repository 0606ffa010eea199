// gRPC over HTTP/2, as in its protocol specification: message framing, deadlines, statuses. No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "aggregator/flight/http2_connection.hpp"
#include "aggregator/ranges/replan.hpp"

namespace winchhall::flight {

// The gRPC status codes that this program uses.
enum class Status {
  ok = 0,
  cancelled = 1,
  unknown = 2,
  invalid_argument = 3,
  deadline_exceeded = 4,
  not_found = 5,
  already_exists = 6,
  resource_exhausted = 8,
  failed_precondition = 9,
  unimplemented = 12,
  internal = 13,
  unavailable = 14,
};

constexpr std::size_t kMaxMessageBytes = 1024 * 1024;

// The message with its 5-byte prefix, uncompressed.
std::string frame_message(std::string_view message);
// Removes and returns the first message of `in` if it is complete. Sets `malformed` if the bytes aren't a
// message, or it is larger than `max_bytes`.
std::optional<std::string> take_message(std::string& in, std::size_t max_bytes, bool& malformed);

// The value of grpc-timeout in ms, or nothing if it is invalid.
std::optional<double> read_timeout(std::string_view text);
// Value of grpc-timeout, rounded down to whole ms, at least 1 ms.
std::string write_timeout(double ms);

// Trailers that end a call; `retry_after_ms` above 0 adds google.rpc.RetryInfo.
Headers status_trailers(Status status, const std::string& message, double retry_after_ms = 0);
// The delay of google.rpc.RetryInfo in ms, or nothing if the trailers have no valid one.
std::optional<double> read_retry_after(const Headers& trailers);

// A node's rejection of a part whose range it doesn't own, in the trailer range-denial-bin. What can't be
// read is returned as a rejection without a revision.
void add_denial(Headers& trailers, const ranges::Denial& denial);
ranges::Denial read_denial(const Headers& trailers);

// Base64 without padding, as gRPC sends binary headers; padding is accepted when decoding.
std::string encode_base64(std::string_view bytes);
std::optional<std::string> decode_base64(std::string_view text);

}  // namespace winchhall::flight
