// What callers at the operators' door say, one line to a connection. No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace winchhall::door {

enum class Call { ready, drain, resume };

constexpr std::size_t kLineMost = 256;  // bytes: the longest word is far shorter

// A call as far as it has come in. Nothing where the line is not whole yet; `why` is set where it never will
// be a call, and the answer is NAK.
struct Heard {
  std::optional<Call> call{};
  std::string why{};
  bool whole() const { return call.has_value() || !why.empty(); }
};
Heard hear(std::string_view bytes, bool ended);

struct Answer {
  bool yes = false;
  std::string word{};
  // "ACK word\n" or "NAK word\n"; what could end the line early is left out.
  std::string line() const;
};

// The words of an answer line; nothing where it is none.
std::optional<Answer> read_answer(std::string_view line);
const char* word_of(Call call);

}  // namespace winchhall::door
