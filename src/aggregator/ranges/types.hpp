// Value types of the range map: keys, spans, revisions, ranges and their holders. No I/O, no clock.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace winchhall::ranges {

using Key = std::uint64_t;  // an account number
// Keys are less than this: JSON numbers, which are IEEE doubles, represent them exactly.
inline constexpr Key kKeyEnd = Key{1} << 53;
// Of one range; more are taken for an error in the directory.
inline constexpr std::size_t kMaxHolders = 16;
inline constexpr std::size_t kMaxNameBytes = 128;  // of a server's name

// A half-open interval [from, to).
struct Span {
  Key from = 0, to = 0;
  bool operator==(const Span&) const = default;
  bool empty() const { return from >= to; }
  Key size() const { return empty() ? 0 : to - from; }
  bool contains(Key key) const { return from <= key && key < to; }
  bool contains(const Span& s) const { return from <= s.from && s.to <= to; }
  bool overlaps(const Span& s) const { return from < s.to && s.from < to; }
};

using RangeId = std::uint64_t;  // never reused within an incarnation of the directory

// Version of a map. A directory numbers its changes from its start; a later start has a higher incarnation.
// Numbers of different incarnations can't be compared with each other.
struct Revision {
  std::uint64_t incarnation = 0, number = 0;
  auto operator<=>(const Revision&) const = default;
};

// What a server does for a range.
enum class Role : std::uint8_t {
  copying,  // does not have the whole range yet: receives no requests
  serving,  // receives requests
  leaving,  // still has the range: may answer requests in flight, but receives no new ones
};

// A server that has a copy of a range, or is making one.
struct Holder {
  std::string server{};
  Role role = Role::serving;
  bool operator==(const Holder&) const = default;
};
using Holders = std::vector<Holder>;
using HoldersPtr = std::shared_ptr<const Holders>;  // shared by all ranges that have the same ones

// A range as the directory publishes it.
struct Range {
  RangeId id = 0;
  Span span{};
  double weight = 1;  // amount of data in the range, in any unit that all ranges share; above 0
  HoldersPtr holders{};
};

const char* name_of(Role role);
std::string text_of(const Span& span);          // "[17, 40)"
std::string text_of(const Revision& revision);  // "3.41"
// Whether the server is among the holders with role `serving`.
bool serves(const Holders& holders, const std::string& server);
// Names of the holders with role `serving`, in order.
std::vector<std::string> serving_servers(const Holders& holders);

}  // namespace winchhall::ranges
