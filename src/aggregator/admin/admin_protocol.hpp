// Line protocol of the admin port: one command line and one reply line per connection. No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace winchhall::admin {

// ready: is the aggregator serving; drain: stop accepting queries; resume: accept them again.
enum class Command { ready, drain, resume };

constexpr std::size_t kMaxLineBytes = 256;  // bytes of a command line at most

// Result of parsing the bytes received so far: a command, or the reason why they can't become one (the reply
// is then NAK), or neither while the line is incomplete.
struct ParsedLine {
  std::optional<Command> command{};
  std::string why{};
  bool complete() const { return command.has_value() || !why.empty(); }
};
// `ended`: the peer has closed its side, so that nothing follows.
ParsedLine parse_line(std::string_view bytes, bool ended);

// Reply to a command: ACK or NAK with a message.
struct Reply {
  bool accepted = false;
  std::string message{};
  // "ACK message\n" or "NAK message\n"; line ends and zero bytes in the message become spaces.
  std::string line() const;
};

// Parses a reply line; nothing if it is incomplete or malformed.
std::optional<Reply> parse_reply(std::string_view line);
// The command's word in the protocol.
const char* command_name(Command command);

}  // namespace winchhall::admin
