#include "aggregator/flight/grpc.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>

#include "command.pb.h"

namespace winchhall::flight {
namespace {
constexpr std::size_t kPrefixBytes = 5;     // of a message: compression flag and length
constexpr std::size_t kMaxTimeoutText = 9;  // characters: eight digits and a unit
constexpr double kMaxTimeoutMs = 99999999;
constexpr char kRetryInfoType[] = "type.googleapis.com/google.rpc.RetryInfo";
constexpr char kBase64Alphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
}  // namespace

std::string frame_message(std::string_view message) {
  std::string framed(1, '\0');  // not compressed
  for (int shift = 24; shift >= 0; shift -= 8)
    framed.push_back(static_cast<char>((message.size() >> shift) & 0xff));
  return framed.append(message);
}

std::optional<std::string> take_message(std::string& in, std::size_t max_bytes, bool& malformed) {
  if (in.size() < kPrefixBytes) return std::nullopt;
  const bool is_compressed = in[0] != 0;
  std::size_t size = 0;
  for (std::size_t i = 1; i < kPrefixBytes; ++i) size = size << 8 | static_cast<unsigned char>(in[i]);
  malformed = is_compressed || size > max_bytes;
  if (malformed || in.size() < kPrefixBytes + size) return std::nullopt;
  std::string message = in.substr(kPrefixBytes, size);
  in.erase(0, kPrefixBytes + size);
  return message;
}

std::optional<double> read_timeout(std::string_view text) {
  std::uint64_t count = 0;
  const char* last = text.data() + text.size();
  auto [unit, error] = std::from_chars(text.data(), last, count);
  if (error != std::errc{} || last - unit != 1 || text.size() > kMaxTimeoutText) return std::nullopt;
  const auto n = static_cast<double>(count);
  switch (*unit) {
    case 'H':
      return n * 3600e3;
    case 'M':
      return n * 60e3;
    case 'S':
      return n * 1e3;
    case 'm':
      return n;
    case 'u':
      return n / 1e3;
    case 'n':
      return n / 1e6;
    default:
      return std::nullopt;
  }
}

std::string write_timeout(double ms) {
  return std::to_string(static_cast<long long>(std::clamp(std::floor(ms), 1.0, kMaxTimeoutMs))) + "m";
}

std::string encode_base64(std::string_view bytes) {
  std::string text;
  std::uint32_t pending = 0;
  int bits = 0;
  for (unsigned char c : bytes) {
    pending = pending << 8 | c;
    for (bits += 8; bits >= 6; bits -= 6) text.push_back(kBase64Alphabet[(pending >> (bits - 6)) & 63]);
  }
  if (bits > 0) text.push_back(kBase64Alphabet[(pending << (6 - bits)) & 63]);
  return text;
}

std::optional<std::string> decode_base64(std::string_view text) {
  std::string bytes;
  std::uint32_t pending = 0;
  int bits = 0;
  while (!text.empty() && text.back() == '=') text.remove_suffix(1);
  for (char c : text) {
    std::size_t value = std::string_view(kBase64Alphabet).find(c);
    if (value > 63) return std::nullopt;
    pending = pending << 6 | static_cast<std::uint32_t>(value);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes.push_back(static_cast<char>((pending >> bits) & 0xff));
    }
  }
  return bytes;
}

namespace {

RetryInfo to_retry_info(double retry_after_ms) {
  RetryInfo info;
  const auto seconds = static_cast<std::int64_t>(retry_after_ms / 1000);
  const double rest_ms = retry_after_ms - 1000.0 * static_cast<double>(seconds);
  info.mutable_retry_delay()->set_seconds(seconds);
  info.mutable_retry_delay()->set_nanos(static_cast<std::int32_t>(std::llround(rest_ms * 1e6)));
  return info;
}

}  // namespace

// All messages of this program are plain ASCII, so they need no percent-encoding.
Headers status_trailers(Status status, const std::string& message, double retry_after_ms) {
  const int code = static_cast<int>(status);
  Headers trailers{{"grpc-status", std::to_string(code)}};
  if (!message.empty()) trailers.emplace_back("grpc-message", message);
  if (retry_after_ms <= 0) return trailers;
  RpcStatus details;
  details.set_code(code);
  details.set_message(message);
  auto* any = details.add_details();
  any->set_type_url(kRetryInfoType);
  any->set_value(to_retry_info(retry_after_ms).SerializeAsString());
  trailers.emplace_back("grpc-status-details-bin", encode_base64(details.SerializeAsString()));
  return trailers;
}

std::optional<double> read_retry_after(const Headers& trailers) {
  const std::string* text = find_header(trailers, "grpc-status-details-bin");
  auto bytes = text ? decode_base64(*text) : std::nullopt;
  RpcStatus details;
  if (!bytes || !details.ParseFromString(*bytes)) return std::nullopt;
  for (const auto& any : details.details()) {
    RetryInfo info;
    if (any.type_url() == kRetryInfoType && info.ParseFromString(any.value()))
      return 1000.0 * static_cast<double>(info.retry_delay().seconds()) + info.retry_delay().nanos() / 1e6;
  }
  return std::nullopt;
}

void add_denial(Headers& trailers, const ranges::Denial& denial) {
  RangeDenial message;
  message.set_incarnation(denial.revision.incarnation);
  message.set_revision(denial.revision.number);
  for (const ranges::PlannedPart& part : denial.successors) {
    auto* successor = message.add_successors();
    successor->set_id(part.range);
    successor->set_from(part.span.from);
    successor->set_to(part.span.to);
    for (const std::string& server : ranges::serving_servers(*part.holders)) successor->add_holders(server);
  }
  trailers.emplace_back("range-denial-bin", encode_base64(message.SerializeAsString()));
}

ranges::Denial read_denial(const Headers& trailers) {
  const std::string* text = find_header(trailers, "range-denial-bin");
  auto bytes = text ? decode_base64(*text) : std::nullopt;
  RangeDenial message;
  ranges::Denial denial;
  if (!bytes || !message.ParseFromString(*bytes)) return denial;
  denial.revision = {message.incarnation(), message.revision()};
  for (const auto& successor : message.successors()) {
    ranges::Holders holders;
    for (const std::string& server : successor.holders()) holders.push_back({server, ranges::Role::serving});
    denial.successors.push_back({{successor.from(), successor.to()},
                                 successor.id(),
                                 denial.revision,
                                 std::make_shared<const ranges::Holders>(std::move(holders)),
                                 0,
                                 std::nullopt});
  }
  return denial;
}

}  // namespace winchhall::flight
