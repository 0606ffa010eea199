// Discovery's lists, as plain values.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/exchange.hpp"

namespace winchhall::platform {

struct MemberList {
  long long revision = 0;
  bool complete = false;
  std::vector<core::Member> members{};
};

// Nothing if the text is no such list.
std::optional<MemberList> read_members(const std::string& text);

}  // namespace winchhall::platform
