// Decides what happens to the parts of an open query when the map changes, or when a node denies a part
// because it doesn't hold its keys. The functions only return decisions; the caller carries them out.
//
// A part in flight is never replaced: its answer, of the old revision, may still arrive, and counts if it is
// the first for its keys. When its attempt has ended without an answer, the part is replanned.
#pragma once

#include <optional>
#include <vector>

#include "aggregator/ranges/planner.hpp"

namespace winchhall::ranges {

// A part of a query that is neither answered nor replaced.
struct OpenPart {
  std::size_t number = 0;
  bool in_flight = false;  // an attempt has been sent and may still be answered
  PlannedPart planned{};
};

// What happens to one part, or to several that are merged.
struct Decision {
  enum class Kind {
    // Nothing changes.
    keep,
    // Its range does not exist any more, but its attempt may still be answered. No further attempt is made;
    // if this one fails, the successors are requested instead.
    defer,
    // The same keys, other holders.
    reassign,
    // Replaced by successors, which cover its keys except for those that are already answered.
    replace,
    // Several adjacent parts are replaced by one successor that covers all their keys.
    merge,
  } kind = Kind::keep;
  // Numbers of the parts in order of their keys: one, or several to merge.
  std::vector<std::size_t> parts{};
  // For `reassign`, the part itself with its new plan. Empty for `keep`.
  std::vector<PlannedPart> successors{};
};

// Returns one decision for each part, in order of their keys; merged parts share one. Weights and hints of
// successors sum to those of the parts that they replace.
std::vector<Decision> replan(const RangeMap& map, const Coverage& coverage, std::vector<OpenPart> parts);

// A node's reply that it does not hold all keys of the requested part ("not mine", HTTP status 421).
struct Denial {
  Revision revision{};  // of the node's map
  // What the node knows of the ranges of these keys: spans, ids and holders only. May be empty.
  std::vector<PlannedPart> successors{};
};

// How to proceed with a denied part.
struct DenialDecision {
  bool refresh_directory = false;      // the node's map is newer than ours, or contradicts it
  std::optional<Decision> decision{};  // none: after a delay, another holder is requested
};

// Decides about a denied part, which is not in flight any more. The directory takes precedence over a node:
// the node's successors are used only if its map is newer than ours, they cover the part's keys exactly, and
// each has a serving holder.
DenialDecision handle_denial(const RangeMap& map, const Coverage& coverage, const OpenPart& part,
                             const Denial& denial);

}  // namespace winchhall::ranges
