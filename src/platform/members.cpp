#include "platform/members.hpp"

#include <nlohmann/json.hpp>

namespace winchhall::platform {

using nlohmann::json;
using pewterrill::ServerState;

std::optional<MemberList> read_members(const std::string& text) {
  json from = json::parse(text, nullptr, false);
  if (!from.is_object()) return std::nullopt;
  MemberList list;
  try {
    list.revision = from.value("revision", 0LL);
    list.complete = from.value("complete", false);
    if (!from.contains("members")) return std::nullopt;
    for (const json& row : from.at("members")) {
      core::Member m;
      m.entry.server = row.at("id").get<std::string>();
      m.endpoint = row.value("host_port", "");
      m.entry.cell = row.value("cell", 0);
      m.entry.size = row.value("size", 1.0);
      std::string phase = row.value("phase", "ready");
      m.entry.state = phase == "draining" ? ServerState::draining
                      : phase == "gone"   ? ServerState::gone
                                          : ServerState::ready;
      double started = row.value("up_since_ms", 0.0);
      if (started > 0) m.entry.started = started;
      list.members.push_back(std::move(m));
    }
  } catch (const json::exception&) {
    return std::nullopt;
  }
  return list;
}

}  // namespace winchhall::platform
