// IPv4 addresses and ports as operators write them.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string_view>

namespace winchhall::net {

// "127.0.0.1:8815"; nothing for what is none. No name is looked up.
std::optional<sockaddr_in> parse_address(std::string_view host_port);

}  // namespace winchhall::net
