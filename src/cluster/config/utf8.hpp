// Validation of strings from external sources, before they are stored in Protocol Buffers messages, whose
// strings must be UTF-8.
#pragma once

#include <string_view>

namespace winchhall::cluster {

// True if `text` is well-formed UTF-8 (RFC 3629): shortest forms, no surrogates, nothing above U+10FFFF.
bool is_valid_utf8(std::string_view text);

}  // namespace winchhall::cluster
