#include "aggregator/flight/grpc.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>

#include "command.pb.h"

namespace winchhall::flight {
namespace {
constexpr char kRetryInfo[] = "type.googleapis.com/google.rpc.RetryInfo";
constexpr char kAlphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
}  // namespace

std::string frame_message(std::string_view message) {
  std::string all(1, '\0');  // not compressed
  for (int shift = 24; shift >= 0; shift -= 8)
    all.push_back(static_cast<char>((message.size() >> shift) & 0xff));
  return all.append(message);
}

std::optional<std::string> take_message(std::string& in, std::size_t most, bool& bad) {
  if (in.size() < 5) return std::nullopt;
  std::size_t size = 0;
  for (std::size_t i = 1; i < 5; ++i) size = size << 8 | static_cast<unsigned char>(in[i]);
  bad = in[0] != 0 || size > most;
  if (bad || in.size() < 5 + size) return std::nullopt;
  std::string message = in.substr(5, size);
  in.erase(0, 5 + size);
  return message;
}

std::optional<double> read_timeout(std::string_view text) {
  std::uint64_t n = 0;
  const char* last = text.data() + text.size();
  auto [end, error] = std::from_chars(text.data(), last, n);
  if (error != std::errc{} || last - end != 1 || text.size() > 9) return std::nullopt;
  switch (*end) {
    case 'H':
      return static_cast<double>(n) * 3600e3;
    case 'M':
      return static_cast<double>(n) * 60e3;
    case 'S':
      return static_cast<double>(n) * 1e3;
    case 'm':
      return static_cast<double>(n);
    case 'u':
      return static_cast<double>(n) / 1e3;
    case 'n':
      return static_cast<double>(n) / 1e6;
    default:
      return std::nullopt;
  }
}

std::string write_timeout(double ms) {
  return std::to_string(static_cast<long long>(std::clamp(std::floor(ms), 1.0, 99999999.0))) + "m";
}

std::string encode_base64(std::string_view bytes) {
  std::string text;
  std::uint32_t held = 0;
  int bits = 0;
  for (unsigned char c : bytes) {
    held = held << 8 | c;
    for (bits += 8; bits >= 6; bits -= 6) text.push_back(kAlphabet[(held >> (bits - 6)) & 63]);
  }
  if (bits > 0) text.push_back(kAlphabet[(held << (6 - bits)) & 63]);
  return text;  // gRPC sends it without padding
}

std::optional<std::string> decode_base64(std::string_view text) {
  std::string bytes;
  std::uint32_t held = 0;
  int bits = 0;
  while (!text.empty() && text.back() == '=') text.remove_suffix(1);
  for (char c : text) {
    std::size_t value = std::string_view(kAlphabet).find(c);
    if (value > 63) return std::nullopt;
    held = held << 6 | static_cast<std::uint32_t>(value);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes.push_back(static_cast<char>((held >> bits) & 0xff));
    }
  }
  return bytes;
}

Headers status_trailers(Status status, const std::string& message, double retry_after_ms) {
  int code = static_cast<int>(status);
  Headers list{{"grpc-status", std::to_string(code)}};
  if (!message.empty()) list.emplace_back("grpc-message", message);  // our own words: plain ASCII
  if (retry_after_ms > 0) {
    RetryInfo advice;
    auto whole = static_cast<std::int64_t>(retry_after_ms / 1000);
    advice.mutable_retry_delay()->set_seconds(whole);
    advice.mutable_retry_delay()->set_nanos(static_cast<std::int32_t>(
        std::llround((retry_after_ms - 1000.0 * static_cast<double>(whole)) * 1e6)));
    RpcStatus details;
    details.set_code(code);
    details.set_message(message);
    auto* any = details.add_details();
    any->set_type_url(kRetryInfo);
    any->set_value(advice.SerializeAsString());
    list.emplace_back("grpc-status-details-bin", encode_base64(details.SerializeAsString()));
  }
  return list;
}

std::optional<double> read_retry_after(const Headers& trailers) {
  const std::string* text = find_header(trailers, "grpc-status-details-bin");
  auto bytes = text ? decode_base64(*text) : std::nullopt;
  RpcStatus details;
  if (!bytes || !details.ParseFromString(*bytes)) return std::nullopt;
  for (const auto& any : details.details()) {
    RetryInfo advice;
    if (any.type_url() == kRetryInfo && advice.ParseFromString(any.value()))
      return 1000.0 * static_cast<double>(advice.retry_delay().seconds()) +
             advice.retry_delay().nanos() / 1e6;
  }
  return std::nullopt;
}

void add_denial(Headers& trailers, const ranges::NotMine& denial) {
  RangeDenial message;
  message.set_incarnation(denial.revision.incarnation);
  message.set_revision(denial.revision.number);
  for (const ranges::PlannedPart& s : denial.successors) {
    auto* row = message.add_successors();
    row->set_id(s.range);
    row->set_from(s.span.from);
    row->set_to(s.span.to);
    for (const std::string& holder : ranges::serving(*s.holders)) row->add_holders(holder);
  }
  trailers.emplace_back("range-denial-bin", encode_base64(message.SerializeAsString()));
}

ranges::NotMine read_denial(const Headers& trailers) {
  const std::string* text = find_header(trailers, "range-denial-bin");
  auto bytes = text ? decode_base64(*text) : std::nullopt;
  RangeDenial message;
  ranges::NotMine denial;
  if (!bytes || !message.ParseFromString(*bytes)) return denial;
  denial.revision = {message.incarnation(), message.revision()};
  for (const auto& row : message.successors()) {
    ranges::Holders holders;
    for (const std::string& server : row.holders()) holders.push_back({server, ranges::Role::serving});
    denial.successors.push_back({{row.from(), row.to()},
                                 row.id(),
                                 denial.revision,
                                 std::make_shared<const ranges::Holders>(std::move(holders)),
                                 0,
                                 std::nullopt});
  }
  return denial;
}

}  // namespace winchhall::flight
