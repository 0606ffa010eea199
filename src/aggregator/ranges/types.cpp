#include "aggregator/ranges/types.hpp"

#include <algorithm>

namespace winchhall::ranges {

const char* name_of(Role role) {
  return role == Role::copying ? "copying" : role == Role::serving ? "serving" : "leaving";
}

std::string text_of(const Span& s) {
  return "[" + std::to_string(s.from) + ", " + std::to_string(s.to) + ")";
}

std::string text_of(const Revision& r) {
  return std::to_string(r.incarnation) + "." + std::to_string(r.number);
}

bool serves(const Holders& holders, const std::string& server) {
  return std::any_of(holders.begin(), holders.end(),
                     [&](const Holder& h) { return h.role == Role::serving && h.server == server; });
}

std::vector<std::string> serving_servers(const Holders& holders) {
  std::vector<std::string> list;
  for (const Holder& h : holders)
    if (h.role == Role::serving) list.push_back(h.server);
  return list;
}

}  // namespace winchhall::ranges
