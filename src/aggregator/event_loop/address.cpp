#include "aggregator/event_loop/address.hpp"

#include <arpa/inet.h>

#include <charconv>
#include <cstdint>
#include <string>

namespace winchhall::net {

std::optional<sockaddr_in> parse_address(std::string_view text) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  sockaddr_in a{};
  a.sin_family = AF_INET;
  std::uint16_t port = 0;
  auto digits = text.substr(colon + 1);
  auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc{} || end != digits.data() + digits.size()) return std::nullopt;
  a.sin_port = htons(port);
  if (::inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &a.sin_addr) != 1) return std::nullopt;
  return a;
}

}  // namespace winchhall::net
