// What a change of the map, or a node's "not mine", means for the parts of an open query. Decisions go out as
// values; who carries them out is not known here. No part that is out is ever replaced: its answer may still
// come, under its old revision, and counts if it is the first that covers its keys. Once its attempt has
// ended without an answer it is looked at again.
#pragma once

#include <optional>
#include <vector>

#include "aggregator/ranges/planner.hpp"

namespace winchhall::ranges {

struct OpenPart {  // of a query, neither in nor replaced
  std::size_t number = 0;
  bool in_flight = false;  // an attempt may still be answered
  PlannedPart planned{};
};

struct Decision {
  enum class Kind {
    keep,      // nothing changes
    defer,     // its attempt may still be answered; no further one under this plan: its range is no more,
               // and these would be asked in its place
    reassign,  // other holders, the same keys
    replace,   // by successors, which cover the same keys but for those that are in already
    merge,     // several neighbours by one successor, that covers all their keys
  } kind = Kind::keep;
  std::vector<std::size_t> parts{};       // one, or several to join, in order of their keys
  std::vector<PlannedPart> successors{};  // elsewhere: the one part as it is now
};

// One decision for each part, in order of their keys; parts joined share one. Shares and hints of successors
// sum to those of the parts that they come from.
std::vector<Decision> replan(const RangeMap& map, const Coverage& coverage, std::vector<OpenPart> parts);

// A node says that it has not (all of) what it was asked for.
struct Denial {
  Revision revision{};                    // the node's
  std::vector<PlannedPart> successors{};  // what it knows of them: spans, ids, holders; may be empty
};

struct DenialDecision {
  bool refresh_directory = false;      // the node knows more than we do, or contradicts the map
  std::optional<Decision> decision{};  // nothing: the part waits a moment, then another holder is asked
};

// `part` is not out any more. The directory's word goes above a node's: its successors are taken only where
// the node is ahead of us, they cover the part's keys exactly and each has a serving holder.
DenialDecision handle_denial(const RangeMap& map, const Coverage& coverage, const OpenPart& part,
                             const Denial& word);

}  // namespace winchhall::ranges
