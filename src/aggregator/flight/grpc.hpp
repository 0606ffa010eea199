// gRPC on top of HTTP/2: message framing, deadlines, statuses.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "aggregator/flight/http2.hpp"
#include "aggregator/ranges/replan.hpp"

namespace winchhall::flight {

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

constexpr std::size_t kMessageMost = 1024 * 1024;

std::string frame_message(std::string_view message);
// Takes one message from the front of `in` where it is whole. Sets `bad` for what cannot be one.
std::optional<std::string> take_message(std::string& in, std::size_t most, bool& bad);

std::optional<double> read_timeout(std::string_view text);  // grpc-timeout, in milliseconds
std::string write_timeout(double ms);

// Trailers that end a call; retry_after above 0 adds google.rpc.RetryInfo.
Headers status_trailers(Status status, const std::string& message, double retry_after_ms = 0);
std::optional<double> read_retry_after(const Headers& trailers);
// A node's denial of a part, in the trailer range-denial-bin. One that can't be read has no revision.
void add_denial(Headers& trailers, const ranges::NotMine& denial);
ranges::NotMine read_denial(const Headers& trailers);
std::string encode_base64(std::string_view bytes);
std::optional<std::string> decode_base64(std::string_view text);

}  // namespace winchhall::flight
