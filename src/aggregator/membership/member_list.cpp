#include "aggregator/membership/member_list.hpp"

#include <nlohmann/json.hpp>

namespace winchhall::http {

using nlohmann::json;
using winchhall::ServerState;

JsonObjectSplitter::Token JsonObjectSplitter::next(std::string& object) {
  object.clear();
  for (; at_ < buffer_.size(); ++at_) {
    char c = buffer_[at_];
    if (in_text_) {
      in_text_ = escaped_ || c != '"';
      escaped_ = !escaped_ && c == '\\';
    } else if (c == '{' || c == '[') {
      ++depth_;
    } else if (c == '}' || c == ']') {
      if (--depth_ > 0) continue;
      if (depth_ < 0) return Token::bad;
      std::size_t end = at_ + 1;
      // The line end belongs to the object, or it would count as an empty line.
      if (buffer_.compare(end, 2, "\r\n") == 0)
        end += 2;
      else if (end < buffer_.size() && buffer_[end] == '\n')
        ++end;
      object = buffer_.substr(0, end);
      buffer_.erase(0, end);
      at_ = 0;
      return Token::object;
    } else if (depth_ > 0) {
      in_text_ = c == '"';
    } else if (c == '\n') {
      buffer_.erase(0, at_ + 1);
      at_ = 0;
      return Token::empty_line;
    } else if (c != ' ' && c != '\t' && c != '\r') {
      return Token::bad;
    }
  }
  return Token::none;
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
      coordination::Member m;
      m.entry.server = row.at("id").get<std::string>();
      m.endpoint = row.value("host_port", "");
      m.entry.cell = row.value("cell", 0);
      m.entry.size = row.value("size", 1.0);
      std::string phase = row.value("phase", "ready");
      m.entry.state = phase == "draining" ? ServerState::draining
                      : phase == "gone"   ? ServerState::removed
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

}  // namespace winchhall::http
