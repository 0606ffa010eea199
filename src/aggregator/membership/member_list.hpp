// Parsing of the discovery service's endpoint lists. No I/O.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "aggregator/coordination/request_router.hpp"

namespace winchhall::http {

// A parsed list. complete: all servers; else only those that changed.
struct MemberList {
  long long revision = 0;
  bool complete = false;
  std::vector<coordination::Member> members{};
};

// Splits the byte stream of a watch into JSON objects, on one line or over several, and the empty lines
// between them (keepalives). Only finds where objects end; doesn't validate them. The caller limits the
// buffer, by buffered_bytes().
class JsonObjectSplitter {
 public:
  // none: no complete token yet; bad: a byte that can't begin an object.
  enum class Token { none, empty_line, object, bad };
  void feed(std::string text) { buffer_ += text; }
  // Takes the next token; `object` gets the text of an object with its line end.
  Token next(std::string& object);
  // Bytes buffered.
  std::size_t buffered_bytes() const { return buffer_.size(); }

 private:
  std::string buffer_;
  std::size_t at_ = 0;  // bytes of the buffer already scanned
  int depth_ = 0;
  bool in_text_ = false, escaped_ = false;
};

// Parses an endpoint list; nothing if the text isn't valid.
std::optional<MemberList> read_members(const std::string& text);

}  // namespace winchhall::http
