#include "cluster/common/endpoint.hpp"

#include <charconv>

namespace winchhall::cluster {

std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(const Address& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == Address::npos) return std::nullopt;
  const char* end = address.data() + address.size();
  std::uint16_t port = 0;
  if (std::from_chars(address.data() + colon + 1, end, port).ptr != end) return std::nullopt;
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(address.substr(0, colon), error);
  if (error) return std::nullopt;
  return boost::asio::ip::tcp::endpoint(ip, port);
}

}  // namespace winchhall::cluster
