// The parsed but not yet validated content of the configuration files: rows with their line numbers.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "aggregator/ranges/types.hpp"

namespace winchhall::dynamic_config {

// The configuration files. `nodes` is required, the others are optional.
enum class Kind { nodes, weights, ranges, tenants };
inline constexpr Kind kKinds[] = {Kind::nodes, Kind::weights, Kind::ranges, Kind::tenants};
// The file's name, such as "nodes.xml".
const char* file_name(Kind kind);

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
  std::map<Kind, std::uint64_t> revisions{};  // as stated in each file; 0: not stated
  std::vector<NodeRow> nodes{};
  std::vector<WeightRow> weights{};
  std::vector<RangeRow> ranges{};
  std::vector<TenantRow> tenants{};
};

// Content of the files that exist.
using Bytes = std::map<Kind, std::string>;

// Why a configuration is invalid.
struct Fault {
  Kind kind = Kind::nodes;  // the file
  long line = 0;            // 0: the file as a whole
  std::string what{};
  // "FILE:LINE: what"
  std::string text() const {
    return std::string(file_name(kind)) + (line > 0 ? ":" + std::to_string(line) : "") + ": " + what;
  }
};

}  // namespace winchhall::dynamic_config
