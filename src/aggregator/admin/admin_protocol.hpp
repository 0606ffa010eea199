// What callers at the operators' door say, one line to a connection. No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace winchhall::admin {

enum class Command { ready, drain, resume };

constexpr std::size_t kLineMost = 256;  // bytes: the longest word is far shorter

// A call as far as it has come in. Nothing where the line is not whole yet; `why` is set where it never will
// be a call, and the answer is NAK.
struct ParsedLine {
  std::optional<Command> command{};
  std::string why{};
  bool complete() const { return command.has_value() || !why.empty(); }
};
ParsedLine parse_line(std::string_view bytes, bool ended);

struct Reply {
  bool accepted = false;
  std::string message{};
  // "ACK word\n" or "NAK word\n"; what could end the line early is left out.
  std::string line() const;
};

// The words of an answer line; nothing where it is none.
std::optional<Reply> parse_reply(std::string_view line);
const char* command_name(Command command);

}  // namespace winchhall::admin
