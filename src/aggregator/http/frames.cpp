#include "aggregator/http/frames.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <cstring>

namespace winchhall::http {

std::string make_frame(char type, std::string_view payload) {
  std::uint32_t length = static_cast<std::uint32_t>(payload.size() + 1);
  std::string frame;
  for (int shift = 0; shift < 32; shift += 8) frame.push_back(static_cast<char>((length >> shift) & 0xff));
  frame.push_back(type);
  return frame.append(payload);
}

std::optional<Frame> take_frame(std::string& in, bool& bad) {
  if (in.size() < 4) return std::nullopt;
  std::uint32_t length = 0;
  for (std::size_t i = 0; i < 4; ++i)
    length |= static_cast<std::uint32_t>(static_cast<unsigned char>(in[i])) << (8 * i);
  bad = length == 0 || length > kMaxFrameBytes || (in.size() > 4 && !std::strchr("DKIUOZ", in[4])) ||
        (in.size() > 4 && in[4] == '\0');
  if (!bad && in.size() > 4 + kMaxAnswerLineBytes && in[4] == 'O')
    bad = in.find('\n', 5) > 4 + kMaxAnswerLineBytes;
  if (bad || in.size() < 4 + std::size_t{length}) return std::nullopt;
  Frame frame{in[4], in.substr(5, length - 1)};
  in.erase(0, 4 + std::size_t{length});
  return frame;
}

std::string encode_part(std::string_view part, int shard, long long wait_ms, std::string_view text) {
  std::string line(part);
  line += " " + std::to_string(shard) + " d=" + std::to_string(wait_ms) + " " + std::to_string(text.size());
  return line.append("\n").append(text);
}

std::string encode_span_part(std::string_view part, const coordination::AttemptRequest& request,
                             long long wait_ms) {
  std::string line(part);
  line += " " + std::to_string(request.range) + " d=" + std::to_string(wait_ms) +
          ",from=" + std::to_string(request.span.from) + ",to=" + std::to_string(request.span.to) +
          ",rev=" + ranges::text_of(request.revision) + " " + std::to_string(request.text->size());
  return line.append("\n").append(*request.text);
}

coordination::Load read_load(std::string_view report) {
  coordination::Load load;
  while (!report.empty()) {
    std::size_t comma = std::min(report.find(','), report.size());
    std::string_view item = report.substr(0, comma);
    report.remove_prefix(std::min(comma + 1, report.size()));
    std::size_t equals = item.find('=');
    if (equals == std::string_view::npos) continue;
    std::string_view name = item.substr(0, equals);
    std::string value(item.substr(equals + 1));
    char* end = nullptr;
    double x = std::strtod(value.c_str(), &end);
    if (value.empty() || *end != 0 || !std::isfinite(x) || x < 0) continue;
    // Both the names of the protocol's example and those that the settings list under report.fields, which
    // leafs use: without readable reports, servers would be selected by no load at all, which shows only
    // under load.
    if (name == "busy_reqs" || name == "inflight") load.in_flight = x;
    if (name == "pending" || name == "queue") load.queued = x;
    if (name == "svc_ms" || name == "latency_ms") load.service_ms = x;
  }
  return load;
}

namespace {
// Whether `s` is valid UTF-8 without NUL: other values could not be passed on unchanged in a JSON body.
bool is_valid_text(std::string_view s) {
  for (std::size_t i = 0; i < s.size();) {
    auto c = static_cast<unsigned char>(s[i]);
    std::size_t n = c < 0x80                ? 1
                    : c >= 0xc2 && c < 0xe0 ? 2
                    : (c & 0xf0) == 0xe0    ? 3
                    : c >= 0xf0 && c < 0xf5 ? 4
                                            : 0;
    if (c == 0 || n == 0 || i + n > s.size()) return false;
    auto second = n > 1 ? static_cast<unsigned char>(s[i + 1]) : 0;
    if ((c == 0xe0 && second < 0xa0) || (c == 0xed && second > 0x9f) || (c == 0xf0 && second < 0x90) ||
        (c == 0xf4 && second > 0x8f))
      return false;
    for (std::size_t k = 1; k < n; ++k)
      if ((static_cast<unsigned char>(s[i + k]) & 0xc0) != 0x80) return false;
    i += n;
  }
  return true;
}
}  // namespace

std::optional<PartAnswer> read_answer(const std::string& payload) {
  std::size_t line = payload.find('\n');
  if (line == std::string::npos) return std::nullopt;
  std::string_view head = std::string_view(payload).substr(0, line), words[4];
  for (auto& word : words) {
    std::size_t space = std::min(head.find(' '), head.size());
    word = head.substr(0, space);
    head.remove_prefix(std::min(space + 1, head.size()));
  }
  PartAnswer a{std::string(words[0]), 0, {}, payload.substr(line + 1)};
  if (words[1] == "200" || words[1] == "500" || words[1] == "503" || words[1] == "421")
    a.status = std::stoi(std::string(words[1]));
  bool has_score =
      !words[2].empty() && words[2].find_first_not_of("+-.0123456789eE") == std::string_view::npos;
  if (a.part.empty() || a.status == 0 || !has_score || !is_valid_text(a.value)) return std::nullopt;
  // An unreadable load report does not invalidate the response.
  a.load = read_load(words[3]);
  return a;
}

}  // namespace winchhall::http
