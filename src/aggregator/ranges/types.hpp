// The words of moving ranges: keys, spans, revisions, holders. Plain values, no I/O, no clock.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace winchhall::ranges {

using Key = std::uint64_t;                         // an account number
inline constexpr Key kKeyEnd = Key{1} << 53;       // keys are below this: JSON's numbers hold them exactly
inline constexpr std::size_t kMaxHolders = 16;     // holders of one range; more is a mistake in a directory
inline constexpr std::size_t kMaxNameBytes = 128;  // bytes of a server's name

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

using RangeId = std::uint64_t;  // never used twice within an incarnation of the directory

// A directory counts its changes from its own begin. An incarnation that is higher is a later begin; numbers
// of different incarnations do not compare.
struct Revision {
  std::uint64_t incarnation = 0, number = 0;
  auto operator<=>(const Revision&) const = default;
};

enum class Role : std::uint8_t {
  copying,  // has not all of the range yet: never asked
  serving,  // may be asked
  leaving,  // still has the range: what was sent may be answered, nothing new is sent
};

struct Holder {
  std::string server{};
  Role role = Role::serving;
  bool operator==(const Holder&) const = default;
};
using Holders = std::vector<Holder>;
using HoldersPtr = std::shared_ptr<const Holders>;  // shared by all ranges that have the same ones

// One range with all that is known of it, as a directory tells it.
struct Range {
  RangeId id = 0;
  Span span{};
  double weight = 1;  // how much of the ledger it holds, in any unit; above 0
  HoldersPtr holders{};
};

const char* name_of(Role role);
std::string text_of(const Span& span);          // "[17, 40)"
std::string text_of(const Revision& revision);  // "3.41"
bool serves(const Holders& holders, const std::string& server);
std::vector<std::string> serving_servers(const Holders& holders);

}  // namespace winchhall::ranges
