// Parsing of IPv4 addresses with a port.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string_view>

namespace winchhall::event_loop {

// Parses an address such as "127.0.0.1:8815"; nothing if the text is malformed. Host names are not resolved.
std::optional<sockaddr_in> parse_address(std::string_view host_port);

}  // namespace winchhall::event_loop
