#include "aggregator/membership/members.hpp"

#include <nlohmann/json.hpp>

namespace winchhall::platform {

using nlohmann::json;
using winchhall::ServerState;

ObjectCutter::Piece ObjectCutter::next(std::string& object) {
  object.clear();
  for (; at_ < held_.size(); ++at_) {
    char c = held_[at_];
    if (in_text_) {
      in_text_ = escaped_ || c != '"';
      escaped_ = !escaped_ && c == '\\';
    } else if (c == '{' || c == '[') {
      ++depth_;
    } else if (c == '}' || c == ']') {
      if (--depth_ > 0) continue;
      if (depth_ < 0) return Piece::bad;
      std::size_t end = at_ + 1;
      // The line's end belongs to its object: it is no empty line.
      if (held_.compare(end, 2, "\r\n") == 0)
        end += 2;
      else if (end < held_.size() && held_[end] == '\n')
        ++end;
      object = held_.substr(0, end);
      held_.erase(0, end);
      at_ = 0;
      return Piece::object;
    } else if (depth_ > 0) {
      in_text_ = c == '"';
    } else if (c == '\n') {
      held_.erase(0, at_ + 1);
      at_ = 0;
      return Piece::empty_line;
    } else if (c != ' ' && c != '\t' && c != '\r') {
      return Piece::bad;
    }
  }
  return Piece::none;
}

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
