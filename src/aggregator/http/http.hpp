// Incremental parser of HTTP/1.1 messages. No I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace winchhall::http {

constexpr std::size_t kMaxBodyBytes = 64 * 1024;  // protocol limit
// Responses to queries over spans, which that protocol does not define.
constexpr std::size_t kMaxSpansBodyBytes = 4 * 1024 * 1024;
constexpr std::size_t kMaxHeadBytes = 16 * 1024;  // request or status line with all headers

// A request or response.
struct HttpMessage {
  std::string method{}, target{};                              // requests
  int status = 0;                                              // responses
  int minor = 1;                                               // of HTTP/1.x
  std::vector<std::pair<std::string, std::string>> headers{};  // names in lower case
  std::string body{};
  // Value of the first header of that name, or null.
  const std::string* header(std::string_view lower_name) const;
  // Whether a comma-separated header contains the token (lower case).
  bool has_token(std::string_view lower_name, std::string_view token) const;
  // Whether the sender keeps the connection open after this message.
  bool keep_alive() const;
};

// Parses one message from input that may be split at any byte. Limits heads to kMaxHeadBytes and, unless
// streamed, bodies to kMaxBodyBytes. Owns the message.
class HttpParser {
 public:
  // streamed: a response of unlimited size, whose body the caller removes while it arrives.
  enum class Mode { request, response, streamed };
  enum class State { head, body, chunk_size, chunk_data, chunk_end, trailer, until_close, done, failed };

  explicit HttpParser(Mode mode) : mode_(mode) {}

  // Consumes the bytes of this message from the front of `in` and stops after its end.
  void feed(std::string& in);
  bool done() const { return state_ == State::done; }
  bool failed() const { return state_ == State::failed; }
  bool head_done() const { return state_ != State::head && state_ != State::failed; }
  bool begun() const { return begun_; }  // has seen a byte of the message
  // The connection was closed, which completes a body without a length; a reset makes it fail.
  void connection_closed(bool reset);
  int error() const { return error_; }  // status for the response to a request that failed to parse
  HttpMessage& message() { return message_; }
  void reset() { *this = HttpParser(mode_); }

 private:
  bool take_line(std::string& in, std::string& line);
  bool take_body(std::string& in);
  void read_head(std::string_view head);
  void read_first_line(std::string_view line);
  void read_framing();
  void fail(int status) {
    state_ = State::failed;
    error_ = status;
  }

  Mode mode_;
  State state_ = State::head;
  bool begun_ = false;
  int error_ = 400;
  std::size_t remaining_bytes_ = 0, trailer_bytes_ = 0;  // of the body or chunk; of all trailers
  HttpMessage message_;
};

// ASCII only.
std::string to_lower(std::string_view text);
// Without leading and trailing spaces, tabs and carriage returns.
std::string_view trim(std::string_view text);

}  // namespace winchhall::http
