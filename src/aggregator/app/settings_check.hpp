// Checks whether a configuration can replace the one of a running program.
#pragma once

#include <string>

namespace winchhall::app {

// The first reason why `fresh` can't replace `current`, with the key, its value and what is expected, or an
// empty string: a key that is missing or of another type, a class without a key that the other classes have,
// a list whose length isn't the number of classes, or a deadline or number of attempts that is not above 0.
// Both are complete JSON texts; `current` must be valid.
std::string incompatible_setting(const std::string& current, const std::string& fresh);

// Where the JSON is malformed ("line L: ...", with the byte offset), for messages. Empty if the text is valid
// JSON.
std::string json_fault(const std::string& text);

}  // namespace winchhall::app
