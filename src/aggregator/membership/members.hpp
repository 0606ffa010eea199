// Discovery's lists, as plain values.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "aggregator/coordination/exchange.hpp"

namespace winchhall::platform {

struct MemberList {
  long long revision = 0;
  bool complete = false;
  std::vector<core::Member> members{};
};

// Cuts what a watch writes into JSON objects, whether each is a line or is indented over several, and the
// empty lines between them. Nothing is read of an object but where it ends.
class ObjectCutter {
 public:
  enum class Piece { none, empty_line, object, bad };
  void feed(std::string text) { held_ += text; }
  Piece next(std::string& object);  // none: not a whole piece is there; bad: what can't begin an object
  std::size_t held() const { return held_.size(); }

 private:
  std::string held_;
  std::size_t at_ = 0;  // looked at so far
  int depth_ = 0;
  bool in_text_ = false, escaped_ = false;
};

// Nothing if the text is no such list.
std::optional<MemberList> read_members(const std::string& text);

}  // namespace winchhall::platform
