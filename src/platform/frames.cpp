#include "platform/frames.hpp"

#include <algorithm>
#include <cstdlib>

namespace winchhall::platform {

std::string make_frame(char letter, std::string_view rest) {
  std::uint32_t length = static_cast<std::uint32_t>(rest.size() + 1);
  std::string frame;
  for (int shift = 0; shift < 32; shift += 8) frame.push_back(static_cast<char>((length >> shift) & 0xff));
  frame.push_back(letter);
  return frame.append(rest);
}

std::optional<Frame> take_frame(std::string& in, bool& bad) {
  if (in.size() < 4) return std::nullopt;
  std::uint32_t length = 0;
  for (std::size_t i = 0; i < 4; ++i)
    length |= static_cast<std::uint32_t>(static_cast<unsigned char>(in[i])) << (8 * i);
  bad = length == 0 || length > kFrameMost;
  if (bad || in.size() < 4 + std::size_t{length}) return std::nullopt;
  Frame frame{in[4], in.substr(5, length - 1)};
  in.erase(0, 4 + std::size_t{length});
  return frame;
}

std::string part_lines(std::string_view part, int shard, long long wait_ms, std::string_view text) {
  std::string line(part);
  line += " " + std::to_string(shard) + " d=" + std::to_string(wait_ms) + " " + std::to_string(text.size());
  return line.append("\n").append(text);
}

core::Load read_load(std::string_view report) {
  core::Load load;
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
    if (value.empty() || *end != 0) continue;
    // Guards against reports that are read under the protocol's example names only: leafs use the names that
    // the settings list under report.fields, and a choice without reports looks sound until there is load.
    if (name == "busy_reqs" || name == "inflight") load.in_flight = x;
    if (name == "pending" || name == "queue") load.queued = x;
    if (name == "svc_ms" || name == "latency_ms") load.service_ms = x;
  }
  return load;
}

std::optional<PartAnswer> read_answer(const std::string& rest) {
  std::size_t line = rest.find('\n');
  if (line == std::string::npos) return std::nullopt;
  std::string_view head = std::string_view(rest).substr(0, line), words[4];
  for (auto& word : words) {
    std::size_t space = std::min(head.find(' '), head.size());
    word = head.substr(0, space);
    head.remove_prefix(std::min(space + 1, head.size()));
  }
  PartAnswer a{std::string(words[0]), 0, {}, rest.substr(line + 1)};
  if (words[1] == "200" || words[1] == "500" || words[1] == "503") a.end = std::stoi(std::string(words[1]));
  if (a.part.empty() || a.end == 0) return std::nullopt;
  a.load = read_load(words[3]);
  return a;
}

}  // namespace winchhall::platform
