// Decides which configuration generation is active, and which members are drained because it removed them.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "aggregator/dynamic_config/config_generation.hpp"

namespace winchhall::dynamic_config {

using Millis = double;

struct ConfigGenerationLimits {
  // A generation that removes a larger share of the nodes needs an operator's approval.
  double max_removed_share = 0.25;
  // Time in ms for which a removed node is draining before it leaves the member list.
  Millis drain_time = 10000;
  std::size_t history = 32;  // maximum number of results that are kept
};

// What became of a candidate.
enum class ValidationOutcome {
  taken,    // applied: the active generation from now on
  same,     // nothing to do: it is active, or was already rejected or held
  refused,  // rejected: the active generation stays; `faults` has the reasons
  held,     // valid, but removes too much: the active generation stays until an operator approves this one
};
// The outcome's name in logs and in the store.
const char* name_of(ValidationOutcome verdict);

// Result of one `evaluate`.
struct ValidationResult {
  ValidationOutcome verdict = ValidationOutcome::same;
  std::uint64_t digest = 0;
  std::vector<Fault> faults{};  // of a rejected generation
  std::string why{};            // it is held, or was applied at an operator's command
  // The faults may come from partly written files, which should be read again soon.
  bool may_be_partial = false;
};

// Validates candidates and holds the active generation.
//
// Invariant: the active generation changes only as a whole, to a valid one, and never to one with a lower
// stated revision unless an operator rolls back. A candidate is reported once: while its digest stays the
// same, `evaluate` answers `same`. No I/O; the caller passes the time, in milliseconds. Not thread-safe.
class ConfigGenerationManager {
 public:
  explicit ConfigGenerationManager(Bounds bounds = {}, ConfigGenerationLimits limits = {})
      : bounds_(std::move(bounds)), limits_(limits) {}

  // Validates the rows of a candidate and applies it if it is valid. `parse_faults`: faults found while the
  // files were parsed (XML, schema); if there are any, the candidate is rejected with them.
  ValidationResult evaluate(const Rows& rows, std::uint64_t digest, std::vector<Fault> parse_faults,
                            Millis now);
  // The same for a candidate that was validated on another thread. `candidate`: null if there are faults.
  ValidationResult evaluate(ConfigGenerationPtr candidate, std::uint64_t digest, std::vector<Fault> faults,
                            Millis now);
  // Applies the generation that the store had as the newest one, at the start. Null: nothing happens.
  void restore(ConfigGenerationPtr stored, Millis now);
  // Applies the held generation at an operator's command. False: none of this digest is held.
  bool accept(std::uint64_t digest, Millis now);
  // Applies an earlier generation at an operator's command; the one that was active is rejected until the
  // files change. False: `to` is null or active.
  bool rollback(ConfigGenerationPtr to, Millis now);

  // The active generation; null: none yet.
  const ConfigGenerationPtr& current() const { return current_; }
  // The generation that waits for an operator's approval; null: none.
  const ConfigGenerationPtr& held() const { return held_; }
  const Bounds& bounds() const { return bounds_; }
  // Incremented whenever a generation is applied.
  std::uint64_t number() const { return number_; }
  // The active generation's range map, with a revision that rises with `number()`.
  std::optional<ranges::RangeMap> map() const;

  // The members of the active generation, and the removed ones that are still draining at `now`.
  std::vector<coordination::Member> members(Millis now);
  // When the next draining member drops out of `members`; infinity: none is draining.
  Millis next_removal() const;

  // A result in the history.
  struct Entry {
    Millis at = 0;
    ValidationOutcome verdict = ValidationOutcome::taken;
    std::uint64_t digest = 0;
    std::string why{};  // the first fault, or why it is held
  };
  // The newest results, oldest first.
  const std::deque<Entry>& history() const { return history_; }

 private:
  struct DrainingMember {
    coordination::Member member{};
    Millis removed_at = 0;  // when it leaves `members`
  };
  void activate(ConfigGenerationPtr next, Millis now);
  void record(Millis now, const ValidationResult& result);
  // Why an operator has to approve `next`; empty: it is applied without.
  std::string approval_reason(const ConfigGeneration& next) const;

  Bounds bounds_;
  ConfigGenerationLimits limits_;
  ConfigGenerationPtr current_, held_;
  std::uint64_t number_ = 0, rejected_digest_ = 0;
  std::vector<DrainingMember> draining_;
  std::deque<Entry> history_;
};

}  // namespace winchhall::dynamic_config
