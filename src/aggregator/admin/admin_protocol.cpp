#include "aggregator/admin/admin_protocol.hpp"

#include <algorithm>

namespace winchhall::admin {

const char* command_name(Command command) {
  return command == Command::ready ? "ready" : command == Command::drain ? "drain" : "resume";
}

ParsedLine parse_line(std::string_view bytes, bool ended) {
  std::size_t end = bytes.find('\n');
  // Bounds the buffer for a peer that never ends its line.
  if (std::min(end, bytes.size()) > kMaxLineBytes)
    return {.why = "a line too long: at most " + std::to_string(kMaxLineBytes) + " bytes"};
  if (bytes.substr(0, end).find('\0') != std::string_view::npos) return {.why = "a zero byte in the line"};
  if (end == std::string_view::npos) return ended ? ParsedLine{.why = "no whole line"} : ParsedLine{};
  if (end + 1 < bytes.size()) return {.why = "more than one line"};
  std::string_view line = bytes.substr(0, end);
  auto space = [](char c) { return c == ' ' || c == '\t' || c == '\r'; };
  while (!line.empty() && space(line.back())) line.remove_suffix(1);
  while (!line.empty() && space(line.front())) line.remove_prefix(1);
  for (Command command : {Command::ready, Command::drain, Command::resume})
    if (line == command_name(command)) return {.command = command};
  return {.why = line.empty() ? "nothing asked: ready, drain or resume"
                              : "unknown word: ready, drain or resume"};
}

std::string Reply::line() const {
  std::string text = (accepted ? "ACK " : "NAK ") + message;
  std::replace_if(
      text.begin(), text.end(), [](char c) { return c == '\n' || c == '\r' || c == '\0'; }, ' ');
  return text + "\n";
}

std::optional<Reply> parse_reply(std::string_view line) {
  std::size_t end = line.find('\n');
  if (end == std::string_view::npos) return std::nullopt;
  line = line.substr(0, end);
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  std::string_view sign = line.substr(0, 3);
  if ((sign != "ACK" && sign != "NAK") || (line.size() > 3 && line[3] != ' ')) return std::nullopt;
  return Reply{sign == "ACK", std::string(line.substr(std::min<std::size_t>(4, line.size())))};
}

}  // namespace winchhall::admin
