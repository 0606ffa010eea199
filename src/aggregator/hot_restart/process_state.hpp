// State that processes of one aggregator exchange during a hot restart, and its file format. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "aggregator/coordination/request_router.hpp"

namespace winchhall::hot_restart {

// Identity of a process, ordered by start. `started_ms` counts from the Unix epoch.
struct ProcessId {
  std::int64_t started_ms = 0, pid = 0;
  auto operator<=>(const ProcessId&) const = default;
  std::string text() const { return std::to_string(started_ms) + "-" + std::to_string(pid); }
};

// Published state of one process.
struct State {
  std::string name{};  // of the aggregator, from its configuration
  ProcessId id{};
  std::uint64_t sequence_number = 0;         // incremented with each write
  std::string phase{};                       // lifecycle phase, as in the log
  bool listens = false;                      // accepts client connections
  std::vector<ProcessId> known_processes{};  // acknowledged by this process
  long long revision = 0;                    // of the endpoint list `members`
  std::vector<coordination::Member> members{};
};

// Maximum size of a state file in bytes; a list of 10,000 servers takes a quarter of it.
constexpr std::size_t kMaxStateBytes = 4 * 1024 * 1024;

// File format: magic with the format version, XXH3 64-bit checksum (little-endian) of the rest, then the
// protobuf message of state.proto.
std::string encode(const State& state);
// Nothing if the bytes aren't a complete state of a known format version; `why` then gives the reason.
std::optional<State> decode(const std::string& bytes, std::string& why);

}  // namespace winchhall::hot_restart
