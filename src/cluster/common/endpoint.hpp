// Conversion of addresses to TCP endpoints.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// Endpoint of an "ip:port" text; empty if the text has another form. Host names are not resolved.
std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(const Address& address);

}  // namespace winchhall::cluster
