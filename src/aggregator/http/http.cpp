#include "aggregator/http/http.hpp"

#include <algorithm>
#include <charconv>

namespace winchhall::http {
namespace {

bool is_token_char(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), is_token_char);
}

std::optional<std::size_t> parse_number(std::string_view text, int base) {
  std::size_t n = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), n, base);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return n;
}

}  // namespace

std::string to_lower(std::string_view text) {
  std::string result(text);
  for (char& c : result)
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  return result;
}

std::string_view trim(std::string_view text) {
  std::size_t from = text.find_first_not_of(" \t\r");
  return from == std::string_view::npos ? std::string_view{}
                                        : text.substr(from, text.find_last_not_of(" \t\r") - from + 1);
}

const std::string* HttpMessage::header(std::string_view name) const {
  for (const auto& [key, value] : headers)
    if (key == name) return &value;
  return nullptr;
}

bool HttpMessage::has_token(std::string_view name, std::string_view token) const {
  for (const auto& [key, value] : headers) {
    if (key != name) continue;
    std::string_view rest = value;
    while (!rest.empty()) {
      std::size_t comma = std::min(rest.find(','), rest.size());
      if (to_lower(trim(rest.substr(0, comma))) == token) return true;
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  return false;
}

bool HttpMessage::keep_alive() const {
  return !has_token("connection", "close") && (minor > 0 || has_token("connection", "keep-alive"));
}

void HttpParser::feed(std::string& in) {
  while (!in.empty() && state_ != State::done && state_ != State::failed) {
    std::string line;
    switch (state_) {
      case State::head: {
        // Blank lines before a request are skipped (RFC 9112, section 2.2).
        std::size_t blank = begun_ ? 0 : in.find_first_not_of("\r\n");
        if (blank == std::string::npos) return in.clear();
        in.erase(0, blank);
        begun_ = true;
        std::size_t end = in.find("\r\n\r\n"), separator_size = 4;
        if (std::size_t bare = in.find("\n\n"); bare < end) end = bare, separator_size = 2;
        if (std::min(end, in.size()) > kMaxHeadBytes) return fail(431);
        if (end == std::string::npos) return;
        read_head(std::string_view(in).substr(0, end));
        in.erase(0, end + separator_size);
        break;
      }
      case State::body:
      case State::chunk_data:
        if (!take_body(in)) return;
        break;
      case State::until_close:
        if (mode_ != Mode::streamed && message_.body.size() + in.size() > kMaxBodyBytes) return fail(413);
        message_.body += std::exchange(in, {});
        return;
      case State::chunk_size: {
        if (!take_line(in, line)) return;
        auto size = parse_number(trim(std::string_view(line).substr(0, line.find(';'))), 16);
        if (!size) return fail(400);
        if (mode_ != Mode::streamed &&
            (*size > kMaxBodyBytes || message_.body.size() + *size > kMaxBodyBytes))
          return fail(413);
        remaining_bytes_ = *size;
        state_ = remaining_bytes_ > 0 ? State::chunk_data : State::trailer;
        break;
      }
      case State::chunk_end:
        if (!take_line(in, line)) return;
        if (!line.empty()) return fail(400);
        state_ = State::chunk_size;
        break;
      case State::trailer:
        if (!take_line(in, line)) return;
        trailer_bytes_ += line.size();
        if (trailer_bytes_ > kMaxHeadBytes) return fail(431);
        if (line.empty()) state_ = State::done;
        break;
      case State::done:
      case State::failed:
        return;
    }
  }
}

bool HttpParser::take_line(std::string& in, std::string& line) {
  std::size_t end = in.find('\n');
  if (std::min(end, in.size()) > kMaxHeadBytes) fail(400);
  if (end == std::string::npos || failed()) return false;
  line = in.substr(0, end);
  if (!line.empty() && line.back() == '\r') line.pop_back();
  in.erase(0, end + 1);
  return true;
}

bool HttpParser::take_body(std::string& in) {
  std::size_t n = std::min(remaining_bytes_, in.size());
  message_.body.append(in, 0, n);
  in.erase(0, n);
  remaining_bytes_ -= n;
  if (remaining_bytes_ > 0) return false;
  state_ = state_ == State::body ? State::done : State::chunk_end;
  return true;
}

void HttpParser::read_head(std::string_view head) {
  std::size_t end = std::min(head.find('\n'), head.size());
  read_first_line(trim(head.substr(0, end)));
  while (!failed() && end < head.size()) {
    head.remove_prefix(end + 1);
    end = std::min(head.find('\n'), head.size());
    std::string_view line = head.substr(0, end);
    std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) return fail(400);
    message_.headers.emplace_back(to_lower(line.substr(0, colon)), std::string(trim(line.substr(colon + 1))));
  }
  if (!failed()) read_framing();
}

void HttpParser::read_first_line(std::string_view line) {
  std::size_t first_space = line.find(' ');
  if (first_space == std::string_view::npos) return fail(400);
  std::string_view version = line.substr(0, first_space);
  if (mode_ == Mode::request) {
    std::size_t last_space = line.rfind(' ');
    if (last_space == first_space || !is_token(line.substr(0, first_space))) return fail(400);
    message_.method = line.substr(0, first_space);
    message_.target = line.substr(first_space + 1, last_space - first_space - 1);
    version = line.substr(last_space + 1);
    if (message_.target.empty() || message_.target.find(' ') != std::string::npos) return fail(400);
  } else {
    auto status = parse_number(line.substr(first_space + 1, 3), 10);
    if (!status || *status < 100) return fail(400);
    message_.status = static_cast<int>(*status);
  }
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return fail(mode_ == Mode::request ? 505 : 400);
  message_.minor = version.back() - '0';
}

void HttpParser::read_framing() {
  const std::string* length = message_.header("content-length");
  if (message_.header("transfer-encoding")) {
    // Request smuggling: messages whose end two parsers could see differently are rejected. Exactly one
    // transfer coding is allowed, and no Content-Length with it.
    std::size_t coding_headers = 0;
    for (const auto& [key, value] : message_.headers) coding_headers += key == "transfer-encoding";
    if (length || coding_headers != 1 || to_lower(*message_.header("transfer-encoding")) != "chunked")
      return fail(400);
    state_ = State::chunk_size;
    return;
  }
  if (length) {
    for (const auto& [key, value] : message_.headers)
      if (key == "content-length" && value != *length) return fail(400);
    auto n = parse_number(*length, 10);
    if (!n) return fail(400);
    if (mode_ != Mode::streamed && *n > kMaxBodyBytes) return fail(413);
    remaining_bytes_ = *n;
    state_ = remaining_bytes_ > 0 ? State::body : State::done;
    return;
  }
  state_ = mode_ == Mode::request ? State::done : State::until_close;
}

void HttpParser::connection_closed(bool reset) {
  if (state_ == State::until_close && !reset)
    state_ = State::done;
  else if (state_ != State::done)
    fail(400);
}

}  // namespace winchhall::http
