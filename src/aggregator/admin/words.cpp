#include "aggregator/admin/words.hpp"

#include <algorithm>

namespace winchhall::door {

const char* word_of(Call call) {
  return call == Call::ready ? "ready" : call == Call::drain ? "drain" : "resume";
}

Heard hear(std::string_view bytes, bool ended) {
  std::size_t end = bytes.find('\n');
  // Guards against callers that never end their line: a long one is told as soon as it is too long.
  if (std::min(end, bytes.size()) > kLineMost)
    return {.why = "a line too long: at most " + std::to_string(kLineMost) + " bytes"};
  if (bytes.substr(0, end).find('\0') != std::string_view::npos) return {.why = "a zero byte in the line"};
  if (end == std::string_view::npos) return ended ? Heard{.why = "no whole line"} : Heard{};
  if (end + 1 < bytes.size()) return {.why = "more than one line"};
  std::string_view line = bytes.substr(0, end);
  auto space = [](char c) { return c == ' ' || c == '\t' || c == '\r'; };
  while (!line.empty() && space(line.back())) line.remove_suffix(1);
  while (!line.empty() && space(line.front())) line.remove_prefix(1);
  for (Call call : {Call::ready, Call::drain, Call::resume})
    if (line == word_of(call)) return {.call = call};
  return {.why = line.empty() ? "nothing asked: ready, drain or resume"
                              : "unknown word: ready, drain or resume"};
}

std::string Answer::line() const {
  std::string text = (yes ? "ACK " : "NAK ") + word;
  std::replace_if(
      text.begin(), text.end(), [](char c) { return c == '\n' || c == '\r' || c == '\0'; }, ' ');
  return text + "\n";
}

std::optional<Answer> read_answer(std::string_view line) {
  std::size_t end = line.find('\n');
  if (end == std::string_view::npos) return std::nullopt;
  line = line.substr(0, end);
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  std::string_view sign = line.substr(0, 3);
  if ((sign != "ACK" && sign != "NAK") || (line.size() > 3 && line[3] != ' ')) return std::nullopt;
  return Answer{sign == "ACK", std::string(line.substr(std::min<std::size_t>(4, line.size())))};
}

}  // namespace winchhall::door
