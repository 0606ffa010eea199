// HTTP/1.1 messages, read as they come: bytes may split anywhere.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace winchhall::http {

constexpr std::size_t kBodyMost = 64 * 1024;             // by the protocol
constexpr std::size_t kSpansBodyMost = 4 * 1024 * 1024;  // of an answer to spans, which the platform has not
constexpr std::size_t kHeadMost = 16 * 1024;

struct HttpMessage {
  std::string method{}, target{};  // requests
  int status = 0;                  // responses
  int minor = 1;
  std::vector<std::pair<std::string, std::string>> headers{};  // names in lower case
  std::string body{};
  const std::string* header(std::string_view lower_name) const;
  bool has_token(std::string_view lower_name, std::string_view token) const;
  bool keep_alive() const;
};

class HttpParser {
 public:
  enum class Mode { request, response, streamed };  // streamed: a response whose body is taken as it comes
  enum class State { head, body, chunk_size, chunk_data, chunk_end, trailer, until_close, done, failed };

  explicit HttpParser(Mode mode) : mode_(mode) {}

  // Eats from the front of `in` what belongs to this message; stops after its end.
  void feed(std::string& in);
  bool done() const { return state_ == State::done; }
  bool failed() const { return state_ == State::failed; }
  bool head_done() const { return state_ != State::head && state_ != State::failed; }
  bool begun() const { return begun_; }
  // The connection ended: that completes a body that lasts until then, but a reset is no end.
  void connection_closed(bool reset);
  int error() const { return error_; }  // the status that a failed request is answered with
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
  std::size_t left_ = 0, trailer_ = 0;
  HttpMessage message_;
};

std::string lower(std::string_view text);
std::string_view trim(std::string_view text);

}  // namespace winchhall::http
