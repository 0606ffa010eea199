// A generation: one set of files, checked each by itself and against one another, and used whole.
#pragma once

#include <memory>
#include <set>

#include "aggregator/coordination/exchange.hpp"
#include "aggregator/dynamic_config/digest.hpp"
#include "aggregator/dynamic_config/rows.hpp"
#include "aggregator/ranges/map.hpp"

namespace winchhall::generations {

struct Bounds {
  std::size_t nodes = 100'000, ranges = 2'000'000, tenants = 10'000;
  double weight_span = 100;  // x the median: a weight further off is taken for a mistake
  // What an installation knows; empty: any zone. Cells from 0 up to and without `cells`; 0: any.
  std::set<std::string> zones{};
  long long cells = 0;
};

struct Tenant {
  std::string name{};
  double quota_per_s = 0;
  bool operator==(const Tenant&) const = default;
};

struct Generation {
  std::uint64_t digest = 0;  // of the bytes of all files: xxHash (XXH3, 64 bits)
  std::map<Kind, std::uint64_t> revisions{};
  std::vector<core::Member> members{};  // in order of their ids; weights are their `size`
  bool weighted = false;                // weights were stated
  std::optional<ranges::RangeMap> map{};
  std::vector<Tenant> tenants{};

  const core::Member* member(const std::string& id) const;
};
using GenerationPtr = std::shared_ptr<const Generation>;

// The generation that these rows make, or every fault that was found (at most kFaultsMost).
inline constexpr std::size_t kFaultsMost = 50;
GenerationPtr check(const Rows& rows, std::uint64_t digest, const Bounds& bounds, std::vector<Fault>& faults);

std::string digest_text(std::uint64_t digest);

// What changes from one to the other, a line each, in words; nothing where they are the same.
std::vector<std::string> differences(const Generation& a, const Generation& b);

}  // namespace winchhall::generations
