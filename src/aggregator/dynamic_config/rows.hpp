// What stands in a set of files, as read and not yet believed: rows with the line that each came from.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "aggregator/ranges/types.hpp"

namespace winchhall::generations {

// The files of a set. Only these names are ever opened; nodes must be there, the others may be.
enum class Kind { nodes, weights, ranges, tenants };
inline constexpr Kind kKinds[] = {Kind::nodes, Kind::weights, Kind::ranges, Kind::tenants};
const char* file_of(Kind kind);  // "nodes.xml"

struct NodeRow {
  std::string id{}, address{}, zone{};
  long long cell = 0;
  bool draining = false;
  long line = 0;
};
struct WeightRow {
  std::string node{};
  double weight = 0;
  long line = 0;
};
struct RangeRow {
  ranges::RangeId id = 0;
  ranges::Span span{};
  double weight = 1;
  ranges::Holders holders{};
  long line = 0;
};
struct TenantRow {
  std::string name{};
  double quota_per_s = 0;
  long line = 0;
};

struct Rows {
  std::map<Kind, std::uint64_t> revisions{};  // as each file states its own; 0: not stated
  std::vector<NodeRow> nodes{};
  std::vector<WeightRow> weights{};
  std::vector<RangeRow> ranges{};
  std::vector<TenantRow> tenants{};
};

// The bytes of a set, by kind; what is not there is no entry.
using Bytes = std::map<Kind, std::string>;

struct Fault {
  Kind kind = Kind::nodes;
  long line = 0;  // 0: of the file as a whole
  std::string what{};
  std::string text() const {
    return std::string(file_of(kind)) + (line > 0 ? ":" + std::to_string(line) : "") + ": " + what;
  }
};

}  // namespace winchhall::generations
