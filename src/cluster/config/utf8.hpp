// Checks texts from outside before they enter messages, which carry valid UTF-8 only.
#pragma once

#include <string_view>

namespace winchhall::cluster {

// True if `text` is well-formed UTF-8: shortest forms only, no surrogates, nothing above U+10FFFF.
bool is_valid_utf8(std::string_view text);

}  // namespace winchhall::cluster
