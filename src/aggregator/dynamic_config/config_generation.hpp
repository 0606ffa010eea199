// One version of the dynamic configuration: the content of all its files, validated together and applied
// atomically.
#pragma once

#include <memory>
#include <set>

#include "aggregator/coordination/request_router.hpp"
#include "aggregator/dynamic_config/digest.hpp"
#include "aggregator/dynamic_config/rows.hpp"
#include "aggregator/ranges/map.hpp"

namespace winchhall::dynamic_config {

// Limits of a valid configuration.
struct Bounds {
  std::size_t nodes = 100'000, ranges = 2'000'000, tenants = 10'000;  // maximum number of rows
  // A weight that differs from the median by more than this factor is rejected as a mistake.
  double max_weight_ratio = 100;
  // Zones of the installation; empty: any zone is valid.
  std::set<std::string> zones{};
  // Valid cells are 0 to `cells` - 1; 0: any cell is valid.
  long long cells = 0;
};

// A tenant and its quota in requests per second.
struct Tenant {
  std::string name{};
  double quota_per_s = 0;
  bool operator==(const Tenant&) const = default;
};

// A validated configuration. Immutable once `check` has returned it, and shared between threads.
struct ConfigGeneration {
  std::uint64_t digest = 0;                     // of the bytes of all files, see digest.hpp
  std::map<Kind, std::uint64_t> revisions{};    // as stated in the files
  std::vector<coordination::Member> members{};  // sorted by id; a weight is the member's `size`
  bool weighted = false;                        // the configuration has weights
  std::optional<ranges::RangeMap> map{};        // none: the configuration has no ranges
  std::vector<Tenant> tenants{};

  // The member of this id; null: none. The pointer is valid as long as this object.
  const coordination::Member* member(const std::string& id) const;
};
using ConfigGenerationPtr = std::shared_ptr<const ConfigGeneration>;

// Maximum number of faults that `check` reports.
inline constexpr std::size_t kMaxFaults = 50;
// Validates the rows of all files, each by itself and against the others. Null if they are invalid: `faults`
// then has every fault that was found, up to kMaxFaults. Thread-safe.
ConfigGenerationPtr check(const Rows& rows, std::uint64_t digest, const Bounds& bounds,
                          std::vector<Fault>& faults);

// The digest as 16 hexadecimal digits.
std::string digest_text(std::uint64_t digest);

// The changes from `a` to `b` for people, one line each: "+" added, "-" removed, "~" changed. Empty if they
// are equal; truncated after 200 lines.
std::vector<std::string> differences(const ConfigGeneration& a, const ConfigGeneration& b);

}  // namespace winchhall::dynamic_config
