// What processes of one aggregator tell each other, and its form in a file. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "aggregator/coordination/exchange.hpp"

namespace winchhall::takeover {

// One process. Later ones are greater; started is in ms of Unix time.
struct Who {
  std::int64_t started = 0, pid = 0;
  auto operator<=>(const Who&) const = default;
  std::string text() const { return std::to_string(started) + "-" + std::to_string(pid); }
};

struct State {
  std::string name{};
  Who who{};
  std::uint64_t number = 0;  // one more with each writing
  std::string phase{};
  bool listens = false;
  std::vector<Who> heard_of{};
  long long revision = 0;
  std::vector<core::Member> members{};
};

constexpr std::size_t kStateMost =
    4 * 1024 * 1024;  // bytes of a file: a list of 10,000 servers is a quarter of it

// A file's bytes: a mark with the version, a checksum (xxHash) over all that follows, then the state
// (protobuf).
std::string encode(const State& state);
// Nothing, and why, where the bytes are no whole state of a version that is known here.
std::optional<State> decode(const std::string& bytes, std::string& why);

}  // namespace winchhall::takeover
