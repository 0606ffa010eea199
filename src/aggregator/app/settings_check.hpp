// Whether a configuration can take the place of the one that a running program goes by.
#pragma once

#include <string>

namespace winchhall::app {

// Empty, or the first thing that keeps `fresh` from taking the place of `old`, by key, value and what is
// allowed: a key that is missing or of another kind, a row of a class that lacks what another has, a list
// that does not fit the classes, a deadline or a number of attempts that is not over 0. Both are whole JSON
// texts; `old` is sound.
std::string unfit_to_replace(const std::string& old, const std::string& fresh);

// Where JSON ends to be any: "line L, column C", for messages. Empty where the text is JSON.
std::string json_fault(const std::string& text);

}  // namespace winchhall::app
